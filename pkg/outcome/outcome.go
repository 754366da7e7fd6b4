// Package outcome defines what is known about the execution of a request.
//
// Usage:
//
//	if result.Outcome == outcome.NotRun {
//		// No target ran the request, so it may be sent again.
//	}
package outcome

// Outcome is what is known about the execution of a request.
type Outcome string

const (
	// Done means that the request ran and its complete response is known.
	Done Outcome = "Done"
	// NotRun means that the request provably did not run on any target.
	NotRun Outcome = "NotRun"
	// Failed means that the request ran and failed.
	Failed Outcome = "Failed"
	// Unknown means that the request may have run.
	Unknown Outcome = "Unknown"
)
