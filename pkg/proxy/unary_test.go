package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

var (
	errLost    = &proxy.AttemptError{Sent: true, Cause: errors.New("connection reset")}
	errRefused = &proxy.AttemptError{Sent: true, NotRun: true, Refused: true, Cause: errors.New("full")}
	errDial    = &proxy.AttemptError{NotRun: true, Cause: errors.New("connection refused")}
)

// TestOutcomes guards against running a request twice that may run only once, a NotRun outcome for a request that may
// have run, and giving up while another target could serve the request.
func TestOutcomes(t *testing.T) {
	for _, test := range []struct {
		name, path string
		first      error // first is the error of the first attempt; nil if the target responds with an error of its own.
		want       int   // want is the status that the client gets.
		sent       int
	}{
		{"non-idempotent, response lost", "/book/1", errLost, http.StatusBadGateway, 1},
		{"non-idempotent, refused by a target", "/book/1", errRefused, http.StatusOK, 2},
		{"non-idempotent, no connection", "/book/1", errDial, http.StatusOK, 2},
		{"non-idempotent, error response", "/book/1", nil, http.StatusInternalServerError, 1},
		{"idempotent, response lost", "/look/1", errLost, http.StatusOK, 2},
		{"idempotent, error response", "/look/1", nil, http.StatusOK, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.upstream.open = func(_ context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
				switch {
				case n > 1:
					return response(http.StatusOK, "done"), nil
				case test.first == nil:
					return response(http.StatusInternalServerError, "failed"), nil
				default:
					return nil, test.first
				}
			}
			recorder, err := h.call(test.path)
			got := recorder.Code
			if err != nil {
				got = status(err)
			}
			qt.Assert(t, got, qt.Equals, test.want)
			sent := h.upstream.sent()
			qt.Assert(t, sent, qt.HasLen, test.sent)
			if len(sent) == 2 {
				qt.Assert(t, sent[0].Path[0].Target.Name, qt.Not(qt.Equals), sent[1].Path[0].Target.Name)
			}
		})
	}
}

// TestMaxAttempts guards against more runs than the route allows.
func TestMaxAttempts(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) { return nil, errLost }
	_, err := h.call("/look/1")
	qt.Assert(t, status(err), qt.Equals, http.StatusBadGateway)
	qt.Assert(t, h.upstream.sent(), qt.HasLen, 2)
}

// TestBudget guards against retries beyond the retry budget. The refusal must have the outcome NotRun.
func TestBudget(t *testing.T) {
	h := newHarness(t, noRetries())
	h.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) { return nil, errRefused }
	_, err := h.call("/book/1")
	qt.Assert(t, h.upstream.sent(), qt.HasLen, 1)
	refused := refusal.FromError(err)
	qt.Assert(t, refused.Status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, refused.Outcome, qt.Equals, outcome.NotRun)
	qt.Assert(t, refused.RetryAfter > 0, qt.IsTrue)
}

// TestBrokenBody guards against forwarding a truncated response, and against retrying a request that ran.
func TestBrokenBody(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
		truncated := response(http.StatusOK, "do")
		truncated.Body, truncated.ContentLength = io.MultiReader(truncated.Body, iotest.ErrReader(io.ErrUnexpectedEOF)), 4
		return truncated, nil
	}
	recorder, err := h.call("/book/1")
	qt.Assert(t, status(err), qt.Equals, http.StatusBadGateway)
	qt.Assert(t, recorder.Body.Len(), qt.Equals, 0)
	qt.Assert(t, h.upstream.sent(), qt.HasLen, 1)
}

// TestTimeout guards against keeping a client waiting beyond its deadline.
func TestTimeout(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = func(ctx context.Context, _ int, _ proxy.Attempt) (*proxy.Response, error) {
		<-ctx.Done()
		return nil, &proxy.AttemptError{Sent: true, Cause: ctx.Err()}
	}
	started := time.Now()
	_, err := h.call("/book/1", func(r *proxy.Request) { r.Deadline = time.Now().Add(100 * time.Millisecond) })
	qt.Assert(t, status(err), qt.Equals, http.StatusGatewayTimeout)
	qt.Assert(t, time.Since(started) < time.Second, qt.IsTrue)
	qt.Assert(t, h.upstream.sent()[0].Timeout <= 100*time.Millisecond, qt.IsTrue)
}

// TestAdmission guards against running a request that the configuration does not allow, and against final refusals
// while the configuration may be stale.
func TestAdmission(t *testing.T) {
	for _, test := range []struct {
		name, path, key string
		stale           bool
		want            int
	}{
		{"unknown route", "/none/", "key", false, http.StatusNotFound},
		{"unknown key", "/book/1", "other", false, http.StatusUnauthorized},
		{"no key", "/book/1", "", false, http.StatusUnauthorized},
		{"public route without a key", "/open/1", "", false, 0},
		{"stale, unknown route", "/none/", "key", true, http.StatusServiceUnavailable},
		{"stale, unknown key", "/book/1", "other", true, http.StatusServiceUnavailable},
		{"stale, known key", "/book/1", "key", true, http.StatusServiceUnavailable},
		{"stale, public route", "/open/1", "", true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.snapshots.stale = test.stale
			h.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
				return response(http.StatusOK, "done"), nil
			}
			_, err := h.call(test.path, func(r *proxy.Request) { r.Key = test.key })
			qt.Assert(t, status(err), qt.Equals, test.want)
			if test.want != 0 {
				qt.Assert(t, h.upstream.sent(), qt.HasLen, 0)
			}
		})
	}
}

// TestNoConfiguration guards against a final refusal, such as 404 or 401, while the instance has no configuration.
func TestNoConfiguration(t *testing.T) {
	h := newHarness(t)
	h.snapshots.snapshot = nil
	_, err := h.call("/book/1")
	qt.Assert(t, status(err), qt.Equals, http.StatusServiceUnavailable)
}

// TestWorkspace guards against sending a request under a workspace other than the one that the API key belongs to.
func TestWorkspace(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
		return response(http.StatusOK, "done"), nil
	}
	recorder, err := h.call("/book/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, h.upstream.sent()[0].Workspace, qt.Equals, "kiln")
	qt.Assert(t, recorder.Header().Get("X-Seal"), qt.Equals, "s")
	qt.Assert(t, recorder.Body.String(), qt.Equals, "done")
}

// TestCrashingRequest guards against a request that crashes one target after another as its client retries it, and
// against refusing other requests that ran on the same targets.
func TestCrashingRequest(t *testing.T) {
	h := newHarness(t)
	h.setTargets("desk", httpTarget("d1"), httpTarget("d2"), httpTarget("d3"), httpTarget("d4"), httpTarget("d5"), httpTarget("d6"))
	crashes := 0
	h.upstream.open = func(_ context.Context, _ int, a proxy.Attempt) (*proxy.Response, error) {
		if string(a.Request.Body) == "poison" {
			crashes++
			h.upstream.kill(a.Path[0].Target.Name)
			return nil, errLost
		}
		return response(http.StatusOK, "done"), nil
	}
	var last error
	for i := range 8 {
		_, last = h.call("/book/1", func(r *proxy.Request) { r.ID, r.Body = fmt.Sprint("poison-", i), []byte("poison") })
		for j := range 12 {
			_, err := h.call("/book/1", func(r *proxy.Request) { r.ID, r.Body = fmt.Sprint("good-", i, j), []byte(fmt.Sprint("good-", j)) })
			qt.Assert(t, err, qt.IsNil)
		}
	}
	qt.Assert(t, crashes <= 3, qt.IsTrue, qt.Commentf("%d targets crashed", crashes))
	// Crashes shortly after one another may have different causes, so the request may be held instead of quarantined.
	qt.Assert(t, status(last) == http.StatusBadGateway || status(last) == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%v", last))
}

// TestRefusedAfterLostAnswer guards against telling a client that a request has not run, after the answer of a target that
// may have run it was lost.
func TestRefusedAfterLostAnswer(t *testing.T) {
	brokenStream := func() *proxy.Response { return streamingResponse(iotest.ErrReader(errReset)) }
	for _, test := range []struct {
		name, path string
		first      func() (*proxy.Response, error)
		want       int
		outcome    outcome.Outcome
	}{
		{"idempotent, response lost", "/look/1", func() (*proxy.Response, error) { return nil, errLost }, http.StatusBadGateway, outcome.Unknown},
		{"idempotent, refused", "/look/1", func() (*proxy.Response, error) { return nil, errRefused }, http.StatusServiceUnavailable, outcome.NotRun},
		{"idempotent, no connection", "/look/1", func() (*proxy.Response, error) { return nil, errDial }, http.StatusServiceUnavailable, outcome.NotRun},
		{"stream, response lost", "/plan/1", func() (*proxy.Response, error) { return nil, errLost }, http.StatusBadGateway, outcome.Unknown},
		{"stream, lost before the first event", "/plan/1", func() (*proxy.Response, error) { return brokenStream(), nil }, http.StatusBadGateway, outcome.Unknown},
		{"stream, refused", "/plan/1", func() (*proxy.Response, error) { return nil, errRefused }, http.StatusServiceUnavailable, outcome.NotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.upstream.open = func(_ context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
				if n == 1 {
					return test.first()
				}
				return nil, errRefused
			}
			_, err := h.call(test.path)
			qt.Assert(t, status(err), qt.Equals, test.want, qt.Commentf("%v", err))
			qt.Assert(t, refusal.OutcomeOf(err), qt.Equals, test.outcome)
		})
	}
}

// TestTargetStatusThatPromisesNotRun guards against telling a client that a request that may run only once has not run, when a target
// that may have run it gave such a status itself.
func TestTargetStatusThatPromisesNotRun(t *testing.T) {
	for _, test := range []struct {
		name, path   string
		status, want int
	}{
		{"order", "/book/1", http.StatusServiceUnavailable, http.StatusBadGateway},
		{"order", "/book/1", http.StatusTooManyRequests, http.StatusBadGateway},
		{"order", "/book/1", http.StatusRequestTimeout, http.StatusBadGateway},
		{"order", "/book/1", http.StatusInternalServerError, http.StatusInternalServerError},
		{"order", "/book/1", http.StatusGatewayTimeout, http.StatusGatewayTimeout},
		{"order", "/book/1", http.StatusNotFound, http.StatusNotFound},
		{"stream", "/chat/1", http.StatusServiceUnavailable, http.StatusBadGateway},
		{"stream", "/chat/1", http.StatusTooManyRequests, http.StatusBadGateway},
		{"stream", "/chat/1", http.StatusInternalServerError, http.StatusInternalServerError},
		{"lookup", "/look/1", http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		{"stream that may be resumed", "/plan/1", http.StatusServiceUnavailable, http.StatusServiceUnavailable},
	} {
		t.Run(fmt.Sprintf("%s, %d", test.name, test.status), func(t *testing.T) {
			h := newHarness(t, noRetries())
			h.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
				return response(test.status, "failed"), nil
			}
			recorder, err := h.call(test.path)
			got := recorder.Code
			if err != nil {
				got = status(err)
				qt.Assert(t, refusal.OutcomeOf(err), qt.Equals, outcome.Unknown)
				qt.Assert(t, recorder.Header(), qt.HasLen, 0)
			}
			qt.Assert(t, got, qt.Equals, test.want)
			qt.Assert(t, h.upstream.sent(), qt.HasLen, 1)
		})
	}
}

// TestStaleConfigurationAfterLostAnswer guards against telling a client that a request has not run, when the configuration became
// stale after a target may have run the request.
func TestStaleConfigurationAfterLostAnswer(t *testing.T) {
	for _, test := range []struct {
		name, path string
		first      error
		want       int
		outcome    outcome.Outcome
	}{
		{"lookup, response lost", "/look/1", errLost, http.StatusBadGateway, outcome.Unknown},
		{"stream, response lost", "/plan/1", errLost, http.StatusBadGateway, outcome.Unknown},
		{"lookup, refused", "/look/1", errRefused, http.StatusServiceUnavailable, outcome.NotRun},
		{"order, refused", "/book/1", errRefused, http.StatusServiceUnavailable, outcome.NotRun},
		{"stream, refused", "/chat/1", errRefused, http.StatusServiceUnavailable, outcome.NotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
				h.snapshots.stale = true
				return nil, test.first
			}
			_, err := h.call(test.path)
			qt.Assert(t, status(err), qt.Equals, test.want, qt.Commentf("%v", err))
			qt.Assert(t, refusal.OutcomeOf(err), qt.Equals, test.outcome)
			qt.Assert(t, h.upstream.sent(), qt.HasLen, 1)
		})
	}
}
