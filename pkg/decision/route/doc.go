// Package route chooses the targets that run a request: one for each range of layers, so that the ranges
// partition [0, L) without gaps or overlaps.
//
// Targets that hold the same range of the same model form a group. For each group, Pick compares two random
// targets and the target that holds the prompt's prefix by their estimated finish times. Dynamic programming
// over layer boundaries then finds the cheapest partition. The cost of Pick grows with the number of groups of
// the model, not with the number of targets.
//
// Every method is safe for concurrent use: Pick reads an immutable snapshot and atomic counters. SetTargets is
// meant to be called by a single goroutine.
//
// Usage:
//
//	picker := route.NewPicker()
//	picker.SetTargets(targets)
//	chosen, err := picker.Pick(random, route.Request{Model: "darning", Layers: 32, Now: now})
//	picker.RequestSent(chosen.Stages[0].Name, 1, now)
//	picker.RequestFinished(chosen.Stages[0].Name, 1, took, now.Add(took))
//
// A plain service is a model of one layer, whose name ServiceModel returns.
package route
