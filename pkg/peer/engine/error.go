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

	// ErrNoCache means that the engine holds no KV cache for the request's generation.
	ErrNoCache = namespace.NewType("no_cache", errorx.NotFound()).New("engine holds no KV cache for this generation")

	errClosed     = namespace.NewType("closed").New("engine client is closed")
	errDuplicate  = namespace.NewType("duplicate", errorx.Duplicate()).New("an identical step is already pending")
	errUnframed   = namespace.NewType("unframed").New("response has no length, so that its end is not known")
	errIncomplete = namespace.NewType("incomplete").New("response ended without a result for the step")
)

// Error is the error of a failed engine call.
type Error struct {
	Call    string // Call is "step" or the path of a unary call, with its query.
	Address netip.AddrPort
	// Outcome is NotRun if no byte of the request reached the engine or if the cause is ErrNoCache, Failed if a unary call
	// got an error status, and otherwise Unknown.
	Outcome outcome.Outcome
	Cause   error
}

// Error returns the engine's address, the call and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("engine %s: %s: %v", e.Address, e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Ran returns the outcome. Its value Unknown means that the engine may or may not have run the request.
func (e *Error) Ran() outcome.Outcome {
	return e.Outcome
}

func (c *Client) newError(call string, ran outcome.Outcome, cause error) error {
	return &Error{Call: call, Address: c.address, Outcome: ran, Cause: cause}
}

type counters struct {
	calls   metrics.Counter // calls counts batches of steps but not unary calls.
	steps   metrics.Counter
	dropped metrics.Counter // dropped counts results without a pending step.
}

func newCounters(r metrics.Registry) counters {
	return counters{
		calls:   metrics.GetOrRegisterCounter("engine.calls", r),
		steps:   metrics.GetOrRegisterCounter("engine.steps", r),
		dropped: metrics.GetOrRegisterCounter("engine.results_dropped", r),
	}
}
