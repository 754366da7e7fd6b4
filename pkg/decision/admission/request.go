package admission

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
)

// Request is a request for admission.
type Request struct {
	ID        string
	Workspace string
	Weight    int // Weight sets the workspace's share under contention; a weight below 1 counts as 1.
	Priority  configuration.Priority
	Cost      float64   // Cost is the estimated number of tokens; a cost below 1 counts as 1.
	Deadline  time.Time // Deadline is when the response must be complete; zero means none.
}

// Verdict is the outcome of an admission decision.
type Verdict string

const (
	// Admitted requests may run now.
	Admitted Verdict = "Admitted"
	// Queued requests wait for a later decision, which Tick returns.
	Queued Verdict = "Queued"
	// Refused requests do not run.
	Refused Verdict = "Refused"
)

// Reasons of refusals.
const (
	// ReasonQueueFull says that the queue is full.
	ReasonQueueFull = "the queue is full"
	// ReasonDeadline says that the request cannot meet its deadline at the observed service rate.
	ReasonDeadline = "the deadline cannot be met at the current rate"
	// ReasonExpired says that the deadline of a queued request can no longer be met.
	ReasonExpired = "the deadline can no longer be met"
	// ReasonNoCapacity says that no target can serve the request now.
	ReasonNoCapacity = "there is no capacity"
	// ReasonDuplicate says that a request with the same ID is queued or running.
	ReasonDuplicate = "the ID is in use"
)

// Decision is the decision on a request.
type Decision struct {
	ID         string
	Verdict    Verdict
	RetryAfter time.Duration // RetryAfter is the delay after which a refused client may retry.
	Reason     string        // Reason says why a request was refused.
}
