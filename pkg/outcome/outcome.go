// Package outcome names what is known about the execution of a request.
//
// Usage:
//
//	if result.Outcome == outcome.NotRun {
//		// The request reached no target and may be sent again.
//	}
package outcome

// Outcome says what is known about the execution of a request.
type Outcome string

const (
	// Done means that the request ran and its whole answer is known.
	Done Outcome = "Done"
	// NotRun means that the request provably did not run on any target.
	NotRun Outcome = "NotRun"
	// Failed means that the request ran and failed.
	Failed Outcome = "Failed"
	// Unknown means that the request may have run.
	Unknown Outcome = "Unknown"
)
