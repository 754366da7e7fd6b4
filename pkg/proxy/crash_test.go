package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
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
