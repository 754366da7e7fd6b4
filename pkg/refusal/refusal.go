// Package refusal describes why a request was refused or failed, and what is known about its execution.
//
// Every error that reaches a caller is turned into an Error, so that its outcome, its code and the time
// to come back are stated in one way.
//
// Usage:
//
//	return refusal.New(http.StatusServiceUnavailable, "no_route", outcome.NotRun, "no targets hold all layers").
//		After(time.Second)
package refusal

import (
	"errors"
	"fmt"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
)

// Error is a refusal or a failure as callers see it.
type Error struct {
	Status     int             // Status is the HTTP status.
	Code       string          // Code is stable and meant for programs.
	Message    string          // Message is meant for people.
	Outcome    outcome.Outcome // Outcome says whether the request ran.
	RetryAfter time.Duration   // RetryAfter is zero where coming back does not help.
	Cause      error           // Cause is logged and never shown to callers.
}

// New returns a refusal without a time to come back.
func New(status int, code string, ran outcome.Outcome, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Outcome: ran, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	changed := *e
	changed.RetryAfter = d
	return &changed
}

// WithCause returns a copy of e with the cause.
func (e *Error) WithCause(cause error) *Error {
	changed := *e
	changed.Cause = cause
	return &changed
}

// Error returns the message, followed by the cause where there is one.
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

// ran is implemented by errors of clients that know whether their request may have reached the target.
type ran interface {
	error
	Ran() outcome.Outcome
}

// OutcomeOf returns what err says about the execution of the request, Unknown where it says nothing.
func OutcomeOf(err error) outcome.Outcome {
	var refused *Error
	if errors.As(err, &refused) {
		return refused.Outcome
	}
	var known ran
	if errors.As(err, &known) {
		return known.Ran()
	}
	return outcome.Unknown
}

// FromError returns the *Error in the chain of err. Another error becomes an internal error with the outcome
// that err tells.
func FromError(err error) *Error {
	var refused *Error
	if errors.As(err, &refused) {
		return refused
	}
	return New(500, "internal_error", OutcomeOf(err), "the request could not be completed").WithCause(err)
}
