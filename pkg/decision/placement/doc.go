// Package placement assigns layer ranges to targets, and computes the plan's throughput and an upper
// bound on the throughput of any placement on the same targets, however the requests are routed.
//
// Targets are grouped into tiers by the number of layers that fit into their memory, so that a small
// target does not force short ranges, and more stages, on the others. Within a tier the model is
// split into equal ranges, and the targets are distributed over the ranges so that each range gets
// about the same rate. A plan's throughput is the maximum flow of tokens through its ranges, since
// the router may combine any ranges that together make up the complete model.
//
// Usage:
//
//	planner := placement.New()
//	plan := planner.Plan(targets, models)
//	repaired, moves := planner.Repair(plan, remaining, models)
//	loads := planner.ScheduleLoads(repaired, loaded, remaining, models, storeRate)
package placement
