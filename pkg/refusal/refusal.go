// Package refusal describes why a request was refused or failed, and whether it may have run.
//
// Every error that reaches a client is converted to an Error, so that all errors carry the outcome, the code and
// Retry-After in the same form.
//
// Usage:
//
//	return refusal.New(http.StatusServiceUnavailable, "no_path", outcome.NotRun, "no targets hold all layers").
//		WithRetryAfter(time.Second)
package refusal

import (
	"errors"
	"fmt"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
)

// Error is a refusal or a failure in the form in which clients receive it.
type Error struct {
	Status     int             // Status is the HTTP status.
	Code       string          // Code is a stable, machine-readable code.
	Message    string          // Message is human-readable.
	Outcome    outcome.Outcome // Outcome says whether the request ran.
	RetryAfter time.Duration   // RetryAfter is how long to wait before a retry; zero if a retry does not help.
	Cause      error           // Cause is logged and never sent to clients.
}

// New returns an Error without RetryAfter.
func New(status int, code string, o outcome.Outcome, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Outcome: o, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e with the time after which the client should retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

// WithCause returns a copy of e with the cause.
func (e *Error) WithCause(cause error) *Error {
	copied := *e
	copied.Cause = cause
	return &copied
}

// Error returns the message, followed by the cause if there is one.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Message
	}
	return e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// outcomeReporter is implemented by client errors that know whether their request may have reached the target.
type outcomeReporter interface {
	error
	Ran() outcome.Outcome
}

// OutcomeOf returns the outcome that an error in the chain of err carries, or Unknown if none does.
func OutcomeOf(err error) outcome.Outcome {
	var refusal *Error
	if errors.As(err, &refusal) {
		return refusal.Outcome
	}
	var reporter outcomeReporter
	if errors.As(err, &reporter) {
		return reporter.Ran()
	}
	return outcome.Unknown
}

// FromError returns the *Error in the chain of err. If there is none, it wraps err in an internal error with the
// outcome of err.
func FromError(err error) *Error {
	var refusal *Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return New(500, "internal_error", OutcomeOf(err), "the request could not be completed").WithCause(err)
}
