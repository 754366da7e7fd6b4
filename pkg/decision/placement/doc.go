// Package placement assigns layer ranges to workers, and states the throughput that the plan
// allows beside a bound that no schedule on the same workers can exceed.
//
// Workers with room for few layers are kept apart from workers with room for many, so that a small
// worker does not force short ranges, and more stages, on the others. Within such a tier the model
// is cut into equal ranges, and the workers are spread over the ranges so that each range gets the
// same rate. The plan's own value is the maximum flow of tokens through its ranges, since the
// router may combine any ranges that tile the model.
//
// Usage:
//
//	planner := placement.New()
//	plan := planner.Plan(workers, models)
//	repaired, moves := planner.Repair(plan, remaining, models)
//	loads := planner.Reload(repaired, loaded, remaining, models, storeRate)
package placement
