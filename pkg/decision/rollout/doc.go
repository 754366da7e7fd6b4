// Package rollout performs rolling updates: it decides when each target changes its layers, until
// every target holds its planned layers.
//
// The change of a target is its transition to the planned layers, from the start of its drain until it
// reports them. A serving target is drained before its layers change: it gets no new requests, and its
// assignment is released, so that it may be sent, once several successive reports show no pending
// steps, or after a timeout. A stream whose KV cache is still on the target after the timeout resumes
// elsewhere as a new generation. A change starts only if the remaining targets can serve every model
// that is served now. If no target can be spared, one is drained nonetheless, since the fleet could
// otherwise never reach the plan. Loads are spaced by the weight store's rate, in the order in which
// they unblock throughput.
//
// Targets with different versions of a model never form one route. While a new version loads, the
// version with more targets serves (see ServingVersion).
//
// Rollout is a state machine. It reads no clock and does no I/O. A successor that starts with an
// empty Rollout reaches the same result from the targets' reports.
//
// Usage:
//
//	r := rollout.New()
//	plan := rollout.Plan(kept, targets, spec)
//	actions := r.Advance(now, plan.Assignments, targets, spec)
//	// Drain actions.Drain, assign actions.Desired, and poll actions.OutOfSync first.
package rollout
