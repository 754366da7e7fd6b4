package proxy_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/retry"
	"github.com/cuminroute/cuminroute/pkg/proxy"
)

// TestStreamsEndWhileTargetsCrash guards against an instance that hangs: no stream starts or ends any more after targets have crashed
// under many streams while other instances report them lost.
func TestStreamsEndWhileTargetsCrash(t *testing.T) {
	const (
		clients  = 32
		reports  = 8
		duration = time.Second
	)
	h := newHarness(t, proxy.WithRetryBudget(retry.New(retry.WithMinRate(1e6))))
	h.upstream.open = func(_ context.Context, n int, a proxy.Attempt) (*proxy.Response, error) {
		switch {
		case a.LastEventID != "":
			return streamingResponse(strings.NewReader(events(2, 5))), nil
		case n%2 == 0: // The connection breaks after the first event.
			return streamingResponse(io.MultiReader(strings.NewReader(events(1, 1)), iotest.ErrReader(errReset))), nil
		default:
			return streamingResponse(strings.NewReader(events(1, 5))), nil
		}
	}
	models := h.models()
	end := time.Now().Add(duration)
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				_, _ = h.call("/plan/1", func(r *proxy.Request) { r.ID = fmt.Sprint(n, "-", i) })
			}
		})
	}
	for n := range reports {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				h.server.TargetDead(*models[(n+i)%len(models)], true)
				h.server.TargetAlive(models[(n+i)%len(models)].Name)
			}
		})
	}
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(duration + 5*time.Second): // A stream's timeout is 3 s.
		t.Fatal("requests hang")
	}
	_, err := h.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
}
