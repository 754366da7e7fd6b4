// Package outcome defines the possible outcomes of a request: whether it ran, and how.
//
// Usage:
//
//	if result.Outcome == outcome.NotRun {
//		// No target ran the request, so it may be sent again.
//	}
package outcome

// Outcome says whether a request ran, as far as the sender can tell.
type Outcome string

const (
	// Done means that the request ran and its complete response was received.
	Done Outcome = "Done"
	// NotRun means that the request provably did not run on any target.
	NotRun Outcome = "NotRun"
	// Failed means that the request ran and failed.
	Failed Outcome = "Failed"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "Unknown"
)
