// Package experiment plays ways to choose paths against each other, on the same requests, bursts and losses, in the
// virtual time of package emulator.
//
// The fleet begins with the layers that the product's planner gives it. Several instances serve the requests, each of
// which knows its own requests at once and those of the others by what they tell at intervals, as in a fleet. All
// policies meet the same arrivals; they differ in the choice of paths only. Tries, waits and changes of path after a
// loss are the same for all.
//
// A request earns 1 if its first event and all its pauses are within their goals, a half if it is complete but late, and
// nothing otherwise. The credit of a policy is the mean over all requests, and over the two windows of 2 s with the least.
//
// Usage:
//
//	settings, err := experiment.Load("examples/experiment.yaml")
//	report, err := experiment.Play(settings)
//	err = report.Write(os.Stdout)
package experiment
