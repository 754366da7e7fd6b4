package engine

import (
	"fmt"
	"net/netip"

	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/outcome"
)

var (
	namespace = errorx.NewNamespace("engine")

	// ErrNoCache means that the engine holds no KV cache for the key.
	ErrNoCache = namespace.NewType("no_cache", errorx.NotFound()).New("the engine holds no KV cache for the generation")

	errClosed     = namespace.NewType("closed").New("the client is closed")
	errDuplicate  = namespace.NewType("duplicate", errorx.Duplicate()).New("the same step waits for its result already")
	errIncomplete = namespace.NewType("incomplete").New("the response ended without a result for the step")
)

// Error is a failed call of an engine.
type Error struct {
	Call    string
	Address netip.AddrPort
	Outcome outcome.Outcome // Outcome is NotRun where no byte of the request reached the engine, otherwise Unknown or Failed.
	Cause   error
}

// Error names the call, the engine and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("engine %s: %s: %v", e.Address, e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Ran returns what is known about the execution.
func (e *Error) Ran() outcome.Outcome {
	return e.Outcome
}

func (c *Client) fail(call string, ran outcome.Outcome, cause error) error {
	return &Error{Call: call, Address: c.address, Outcome: ran, Cause: cause}
}

type counters struct {
	calls   metrics.Counter
	steps   metrics.Counter
	dropped metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		calls:   metrics.GetOrRegisterCounter("engine.calls", r),
		steps:   metrics.GetOrRegisterCounter("engine.steps", r),
		dropped: metrics.GetOrRegisterCounter("engine.results_dropped", r),
	}
}
