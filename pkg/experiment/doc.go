// Package experiment compares routing policies on the same requests, bursts and target failures, in the virtual time of
// package emulator.
//
// The targets start with the layers that package layout assigns to them. Several instances serve the requests. As in
// production, each instance knows the load of its own requests at once, and that of the others from reports sent at
// intervals. All policies get the same arrivals and differ only in the choice of paths: retries, waits and path changes
// after a failure are the same for all.
//
// A request scores 1 if its first event and all its event gaps are within their goals, 0.5 if it is complete but late, and
// 0 otherwise. A policy's credit is the mean score of all requests. Its worst credit is the mean of the two windows of 2 s
// with the lowest credit.
//
// Usage:
//
//	settings, err := experiment.Load("examples/experiment.yaml")
//	report, err := experiment.Run(settings)
//	err = report.WriteTable(os.Stdout)
package experiment
