// Package route chooses the targets that run a request. The chosen targets are the stages of a route: their layer
// ranges, in order, partition the layers [0, L) of the model without gaps or overlaps.
//
// Targets that hold the same range of the same model form a group. For each group, Pick compares two random
// targets and the target whose cache holds the prompt's prefix by their estimated finish times. Dynamic programming
// over layer boundaries then finds the partition with the lowest sum of estimated times.
//
// The cost of work is measured in steps. The unit time of a target is the time that the target takes for a cost of 1
// without other work. The outstanding work of a target is the cost that was sent to the target and is not finished.
// The run time of Pick grows with the number of groups of
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
// A plain service, which runs no model, is treated as a model of one layer. ServiceModel returns the name of that
// model.
package route
