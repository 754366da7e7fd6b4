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

// TestOutcomes guards against a second run of a request that may run once, a promise that it has not run when it may
// have, and giving up where another target may still serve it.
func TestOutcomes(t *testing.T) {
	for _, test := range []struct {
		about, path string
		first       error // first is the outcome of the first attempt; nil for a failure of the target's own.
		want        int   // want is the status that the caller gets.
		sent        int
	}{
		{"once, answer lost", "/book/1", errLost, http.StatusBadGateway, 1},
		{"once, refused by a target", "/book/1", errRefused, http.StatusOK, 2},
		{"once, no connection", "/book/1", errDial, http.StatusOK, 2},
		{"once, the target's own failure", "/book/1", nil, http.StatusInternalServerError, 1},
		{"idempotent, answer lost", "/look/1", errLost, http.StatusOK, 2},
		{"idempotent, the target's own failure", "/look/1", nil, http.StatusOK, 2},
	} {
		t.Run(test.about, func(t *testing.T) {
			w := newWorld(t)
			w.upstream.open = func(_ context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
				switch {
				case n > 1:
					return answer(http.StatusOK, "done"), nil
				case test.first == nil:
					return answer(http.StatusInternalServerError, "failed"), nil
				default:
					return nil, test.first
				}
			}
			recorder, err := w.call(test.path)
			got := recorder.Code
			if err != nil {
				got = status(err)
			}
			qt.Assert(t, got, qt.Equals, test.want)
			sent := w.upstream.sent()
			qt.Assert(t, sent, qt.HasLen, test.sent)
			if len(sent) == 2 {
				qt.Assert(t, sent[0].Path[0].Target.Name, qt.Not(qt.Equals), sent[1].Path[0].Target.Name)
			}
		})
	}
}

// TestMaxAttempts guards against more runs than the route allows.
func TestMaxAttempts(t *testing.T) {
	w := newWorld(t)
	w.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) { return nil, errLost }
	_, err := w.call("/look/1")
	qt.Assert(t, status(err), qt.Equals, http.StatusBadGateway)
	qt.Assert(t, w.upstream.sent(), qt.HasLen, 2)
}

// TestBudget guards against repeats beyond the retry budget. A refused request says that it has not run.
func TestBudget(t *testing.T) {
	w := newWorld(t, noBudget())
	w.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) { return nil, errRefused }
	_, err := w.call("/book/1")
	qt.Assert(t, w.upstream.sent(), qt.HasLen, 1)
	refused := refusal.FromError(err)
	qt.Assert(t, refused.Status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, refused.Outcome, qt.Equals, outcome.NotRun)
	qt.Assert(t, refused.RetryAfter > 0, qt.IsTrue)
}

// TestBrokenBody guards against passing on an answer that ends early, and against sending a request again that ran.
func TestBrokenBody(t *testing.T) {
	w := newWorld(t)
	w.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
		a := answer(http.StatusOK, "do")
		a.Body, a.ContentLength = io.MultiReader(a.Body, iotest.ErrReader(io.ErrUnexpectedEOF)), 4
		return a, nil
	}
	recorder, err := w.call("/book/1")
	qt.Assert(t, status(err), qt.Equals, http.StatusBadGateway)
	qt.Assert(t, recorder.Body.Len(), qt.Equals, 0)
	qt.Assert(t, w.upstream.sent(), qt.HasLen, 1)
}

// TestTimeout guards against keeping a caller waiting beyond the route's time.
func TestTimeout(t *testing.T) {
	w := newWorld(t)
	w.upstream.open = func(ctx context.Context, _ int, _ proxy.Attempt) (*proxy.Response, error) {
		<-ctx.Done()
		return nil, &proxy.AttemptError{Sent: true, Cause: ctx.Err()}
	}
	started := time.Now()
	_, err := w.call("/book/1", func(c *proxy.Request) { c.Deadline = time.Now().Add(100 * time.Millisecond) })
	qt.Assert(t, status(err), qt.Equals, http.StatusGatewayTimeout)
	qt.Assert(t, time.Since(started) < time.Second, qt.IsTrue)
	qt.Assert(t, w.upstream.sent()[0].Timeout <= 100*time.Millisecond, qt.IsTrue)
}

// TestAdmission guards against running what the configuration does not allow, and against answers that promise something
// while the configuration may be out of date.
func TestAdmission(t *testing.T) {
	for _, test := range []struct {
		about, path, key string
		stale            bool
		want             int
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
		t.Run(test.about, func(t *testing.T) {
			w := newWorld(t)
			w.views.stale = test.stale
			w.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
				return answer(http.StatusOK, "done"), nil
			}
			_, err := w.call(test.path, func(c *proxy.Request) { c.Key = test.key })
			qt.Assert(t, status(err), qt.Equals, test.want)
			if test.want != 0 {
				qt.Assert(t, w.upstream.sent(), qt.HasLen, 0)
			}
		})
	}
}

// TestNoConfiguration guards against a refusal that says more than that this instance knows nothing yet.
func TestNoConfiguration(t *testing.T) {
	w := newWorld(t)
	w.views.view = nil
	_, err := w.call("/book/1")
	qt.Assert(t, status(err), qt.Equals, http.StatusServiceUnavailable)
}

// TestWorkspace guards against passing on another workspace than the key's.
func TestWorkspace(t *testing.T) {
	w := newWorld(t)
	w.upstream.open = func(context.Context, int, proxy.Attempt) (*proxy.Response, error) {
		return answer(http.StatusOK, "done"), nil
	}
	recorder, err := w.call("/book/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.upstream.sent()[0].Workspace, qt.Equals, "kiln")
	qt.Assert(t, recorder.Header().Get("X-Seal"), qt.Equals, "s")
	qt.Assert(t, recorder.Body.String(), qt.Equals, "done")
}

// TestCrashingRequest guards against a request that crashes one target after the other as its caller sends it again, and
// against refusing others with it.
func TestCrashingRequest(t *testing.T) {
	w := newWorld(t)
	w.list("desk", plainTarget("d1"), plainTarget("d2"), plainTarget("d3"), plainTarget("d4"), plainTarget("d5"), plainTarget("d6"))
	crashes := 0
	w.upstream.open = func(_ context.Context, _ int, a proxy.Attempt) (*proxy.Response, error) {
		if string(a.Request.Body) == "poison" {
			crashes++
			w.upstream.kill(a.Path[0].Target.Name)
			return nil, errLost
		}
		return answer(http.StatusOK, "done"), nil
	}
	var last error
	for i := range 8 {
		_, last = w.call("/book/1", func(c *proxy.Request) { c.ID, c.Body = fmt.Sprint("poison-", i), []byte("poison") })
		for j := range 12 {
			_, err := w.call("/book/1", func(c *proxy.Request) { c.ID, c.Body = fmt.Sprint("good-", i, j), []byte(fmt.Sprint("good-", j)) })
			qt.Assert(t, err, qt.IsNil)
		}
	}
	qt.Assert(t, crashes <= 3, qt.IsTrue, qt.Commentf("%d targets crashed", crashes))
	// Crashes within a moment of each other may have another cause, so that the request is held rather than judged.
	qt.Assert(t, status(last) == http.StatusBadGateway || status(last) == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%v", last))
}
