// Package rollout decides when the layers of which target change, until every target holds what
// the plan says.
//
// A target that serves is drained before its layers change: it gets no new work, and its order is
// released when it has reported no running steps for several reports, or after a time limit. A
// stream that still has its KV cache there after the limit resumes elsewhere as a new generation.
// A change starts only if the targets that stay serve every model that is served now; a fleet
// without spare targets is an exception, since the plan would otherwise never be reached there.
// Loads are spaced by the weight store's rate, in the order in which they unblock throughput.
//
// Targets of different versions of a model never form one route. While a new version loads, the
// version with more targets serves (see Serving).
//
// Rollout is a state machine. It reads no clock and does no I/O, and a successor that starts with
// an empty one reaches the same end from what the targets report.
//
// Usage:
//
//	r := rollout.New()
//	plan := rollout.Plan(kept, targets, goal)
//	step := r.Step(now, plan, targets, goal)
//	// Drain step.Drain, order step.Desired, poll step.Waiting first.
package rollout
