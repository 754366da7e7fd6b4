// Package route chooses the targets that run a request: one for each range of layers, so that
// the ranges tile [0, L) with no gap and no overlap.
//
// Targets that hold the same range of the same model form a group. For each group, Pick looks at
// two random targets and at the target that holds the prompt's prefix, and estimates when each
// would finish. The cheapest tiling is then found by dynamic programming over layer boundaries.
// The cost of Pick grows with the number of groups of the model, not with the number of targets.
//
// One goroutine calls SetTargets. Every method is safe for concurrent use: Pick reads an
// immutable snapshot and atomic counters.
//
// Usage:
//
//	picker := route.NewPicker()
//	picker.SetTargets(targets)
//	chosen, err := picker.Pick(random, route.Request{Model: "darning", Layers: 32, Now: now})
//	picker.RequestSent(chosen.Stages[0].Name, 1, now)
//	picker.RequestFinished(chosen.Stages[0].Name, 1, took, now.Add(took))
//
// A plain service is a model of one layer, named by ServiceModel.
package route
