package proxy_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// withoutLength returns a response that ends with its connection. err is the result of the check of its end.
func withoutLength(r *proxy.Response, err error) *proxy.Response {
	r.ContentLength, r.ConfirmEnd = -1, func(context.Context) error { return err }
	return r
}

var errEnded = errors.New("the target has ended")

// TestStreamWithoutLength guards against a stream that ends as a whole one in the middle, since its target ended and the stream had no
// length.
func TestStreamWithoutLength(t *testing.T) {
	for _, test := range []struct {
		name, path string
		end        error // end is the result of the check of the first response's end.
		dead       bool  // dead means that the last target of the path is dead.
		want       string
		aborted    bool
		attempts   int
	}{
		{"the target has ended", "/plan/1", errEnded, false, events(1, 5), false, 2},
		{"the target has ended, may not be resumed", "/chat/1", errEnded, false, events(1, 2), true, 1},
		{"the last target of the path is dead", "/plan/1", nil, true, events(1, 5), false, 2},
		{"the target runs", "/plan/1", nil, false, events(1, 2), false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.upstream.open = func(_ context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
				if n == 1 && test.dead {
					h.stats.MarkDead(a.Path[1].Target.Name, time.Now().Add(time.Minute))
				}
				if n == 1 {
					return withoutLength(streamingResponse(strings.NewReader(events(1, 2))), test.end), nil
				}
				return streamingResponse(strings.NewReader(events(3, 5))), nil
			}
			recorder, err := h.call(test.path)
			qt.Assert(t, errors.Is(err, http.ErrAbortHandler), qt.Equals, test.aborted, qt.Commentf("%v", err))
			qt.Assert(t, recorder.Body.String(), qt.Equals, test.want)
			qt.Assert(t, h.upstream.sent(), qt.HasLen, test.attempts)
		})
	}
}

// TestResponseWithoutLength guards against a response that ends as a whole one in the middle, since its target ended and the
// response had no length.
func TestResponseWithoutLength(t *testing.T) {
	long := strings.Repeat("x", 100<<10) // Is forwarded before its end is known.
	for _, test := range []struct {
		name, path, body string
		end              error
		want             int // want is the status of the response or the refusal, 0 for a response that is cut off.
		sent             int
	}{
		{"may not be repeated", "/book/1", "do", errEnded, http.StatusBadGateway, 1},
		{"may be repeated", "/look/1", "do", errEnded, http.StatusOK, 2},
		{"long, may be repeated", "/look/1", long, errEnded, 0, 1},
		{"the target runs", "/book/1", "do", nil, http.StatusOK, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.upstream.open = func(_ context.Context, n int, _ proxy.Attempt) (*proxy.Response, error) {
				if n == 1 {
					return withoutLength(response(http.StatusOK, test.body), test.end), nil
				}
				return response(http.StatusOK, "done"), nil
			}
			recorder, err := h.call(test.path)
			got := recorder.Code
			switch {
			case errors.Is(err, http.ErrAbortHandler):
				got = 0
			case err != nil:
				got = status(err)
				qt.Assert(t, refusal.OutcomeOf(err), qt.Equals, outcome.Unknown)
			}
			qt.Assert(t, got, qt.Equals, test.want)
			qt.Assert(t, h.upstream.sent(), qt.HasLen, test.sent)
		})
	}
}

// TestResumeIsAnsweredWithAnotherResponse guards against the text of an error, or events that the client has already, in the middle of a
// stream, and against a stream that ends since a single target does not resume it.
func TestResumeIsAnsweredWithAnotherResponse(t *testing.T) {
	sealedError := func(status int) func() *proxy.Response {
		return func() *proxy.Response { return response(status, "the worker failed\n\n") }
	}
	for _, test := range []struct {
		name   string
		second func() *proxy.Response
	}{
		{"an error", sealedError(http.StatusInternalServerError)},
		{"a bad request", sealedError(http.StatusBadRequest)},
		{"a whole document with status 200", sealedError(http.StatusOK)},
		{"no content", sealedError(http.StatusNoContent)},
		{"the stream from its start", func() *proxy.Response { return streamingResponse(strings.NewReader(events(1, 5))) }},
		{"the last event again", func() *proxy.Response { return streamingResponse(strings.NewReader(events(2, 5))) }},
		{"nothing, without a length", func() *proxy.Response { return withoutLength(streamingResponse(strings.NewReader("")), nil) }},
		{"bytes that are no events", func() *proxy.Response { return streamingResponse(strings.NewReader("<html>busy</html>\n\n")) }},
	} {
		for _, resumed := range []bool{true, false} {
			name := test.name + ", another target resumes"
			if !resumed {
				name = test.name + ", no target resumes"
			}
			t.Run(name, func(t *testing.T) {
				h := newHarness(t)
				h.upstream.open = func(_ context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
					switch {
					case n == 1:
						return streamingResponse(io.MultiReader(strings.NewReader(events(1, 2)), iotest.ErrReader(errReset))), nil
					case n == 2 || !resumed:
						return test.second(), nil
					default:
						qt.Check(t, a.LastEventID, qt.Equals, "2")
						return streamingResponse(strings.NewReader(events(3, 5))), nil
					}
				}
				recorder, err := h.call("/plan/1")
				if resumed {
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 5))
					return
				}
				qt.Assert(t, err, qt.ErrorIs, http.ErrAbortHandler)
				qt.Assert(t, recorder.Body.String(), qt.Equals, events(1, 2))
			})
		}
	}
}
