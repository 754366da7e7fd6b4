package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/proxy"
)

// TestStreamThatCrashesTargets guards against a crash that is not recorded since the request was a stream.
func TestStreamThatCrashesTargets(t *testing.T) {
	for _, test := range []struct {
		name string
		// answer is the response of a target that crashes.
		answer func() (*proxy.Response, error)
	}{
		{"before the response header", func() (*proxy.Response, error) { return nil, errLost }},
		{"before the first event", func() (*proxy.Response, error) { return streamingResponse(iotest.ErrReader(errReset)), nil }},
		{"in the middle of the first event", func() (*proxy.Response, error) {
			return streamingResponse(io.MultiReader(strings.NewReader("id: 1\nda"), iotest.ErrReader(errReset))), nil
		}},
		{"before the first event, without a length", func() (*proxy.Response, error) {
			r := streamingResponse(strings.NewReader(""))
			r.ConfirmEnd = func(context.Context) error { return nil }
			return r, nil
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const rounds, maxCrashes = 12, 2
				h := newHarness(t)
				crashes := 0
				h.upstream.open = func(_ context.Context, _ int, a proxy.Attempt) (*proxy.Response, error) {
					if a.Request.URI != "/chat/crash" {
						return streamingResponse(strings.NewReader(events(1, 5))), nil
					}
					crashes++
					h.upstream.kill(a.Path[0].Target.Name)
					return test.answer()
				}
				for round := range rounds {
					_, err := h.call("/chat/crash", func(r *proxy.Request) { r.ID = fmt.Sprint("crash-", round) })
					qt.Assert(t, err, qt.IsNotNil)
					time.Sleep(time.Second)
					h.upstream.reviveAll()
					time.Sleep(10 * time.Second)
					for n := range 8 { // Targets respond to other requests before the next copy comes.
						recorder, err := h.call("/chat/other", func(r *proxy.Request) { r.ID = fmt.Sprint("other-", round, "-", n) })
						qt.Assert(t, err, qt.IsNil)
						qt.Assert(t, recorder.Code, qt.Equals, http.StatusOK)
					}
				}
				qt.Assert(t, crashes <= maxCrashes, qt.IsTrue, qt.Commentf("%d of %d copies crashed a target", crashes, rounds))
				time.Sleep(time.Minute) // Lets the probes of dead targets end.
			})
		})
	}
}

// TestPromptPartThatCrashesTargets guards against requests that crash one target after another since only a part of their
// prompts is the same, and against refusing those that share other parts with them.
func TestPromptPartThatCrashesTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rounds, maxCrashes = 20, 5
		h := newHarness(t)
		crashes := 0
		h.upstream.open = func(_ context.Context, _ int, a proxy.Attempt) (*proxy.Response, error) {
			if !slices.Contains(a.Request.PromptParts, "bad") {
				return streamingResponse(strings.NewReader(events(1, 5))), nil
			}
			crashes++
			h.upstream.kill(a.Path[0].Target.Name)
			return nil, errLost
		}
		for round := range rounds {
			_, err := h.call("/chat/1", func(r *proxy.Request) {
				r.ID = fmt.Sprint("bad-", round)
				r.Body = []byte(r.ID)
				r.PromptParts = []string{"system", "bad", r.ID}
			})
			qt.Assert(t, err, qt.IsNotNil)
			time.Sleep(100 * time.Millisecond)
			h.upstream.reviveAll()
			time.Sleep(5 * time.Second)
			for n := range 8 {
				recorder, err := h.call("/chat/1", func(r *proxy.Request) {
					r.ID = fmt.Sprint("good-", round, "-", n)
					r.Body = []byte(r.ID)
					r.PromptParts = []string{"system", "good", r.ID}
				})
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, recorder.Code, qt.Equals, http.StatusOK)
			}
		}
		qt.Assert(t, crashes <= maxCrashes, qt.IsTrue, qt.Commentf("%d of %d requests crashed a target", crashes, rounds))
		time.Sleep(time.Minute)
	})
}
