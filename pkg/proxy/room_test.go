package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

const (
	// streamTokens is the size of a stream of which the targets of the harness hold 20 at a time.
	streamTokens = 50_000
	streamTime   = time.Second // streamTime is how long a stream lasts on average.
)

// openShort returns a stream that lasts between a quarter and seven quarters of streamTime.
func openShort(ctx context.Context, attempt int, _ proxy.Attempt) (*proxy.Response, error) {
	gap := time.Duration(0.25*float64(streamTime)+1.5*float64(streamTime)*float64(attempt*7%20)/20) / 20
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(errReset) })
	go func() {
		for i := 1; i <= 20; i++ {
			_, _ = io.WriteString(writer, events(i, i))
			time.Sleep(gap)
		}
		_ = writer.Close()
	}()
	return streamingResponse(reader), nil
}

// TestLessUrgentStreamsGiveWay guards against streams of a less urgent route that are served as often as those of an urgent one where
// there is room for one of them, against refusals that are not true or name no time, and against holding streams that get no room.
func TestLessUrgentStreamsGiveWay(t *testing.T) {
	const (
		interval = 20 * time.Millisecond // interval is the time between two requests: 50 a second, where 20 can be served.
		warmUp   = 4 * time.Second
		length   = 12 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		registry := metrics.NewRegistry()
		h := newHarness(t, proxy.WithRegistry(registry))
		h.upstream.open = openShort
		started := time.Now()
		var mu sync.Mutex
		served, asked := make(map[string]int), make(map[string]int)
		held := time.Duration(0) // held is the longest time to a refusal.
		var group sync.WaitGroup
		for n := 0; time.Since(started) < length; n++ {
			path := []string{"/urgent/1", "/later/1"}[n%2]
			counts := time.Since(started) > warmUp
			group.Go(func() {
				sent := time.Now()
				request := &proxy.Request{
					ID: fmt.Sprint(n), Method: "POST", URI: path, Path: path, Host: host, Key: "key", ReceivedAt: sent,
					Tokens: proxy.TokenCounts{Prompt: streamTokens, Output: 10},
				}
				err := h.server.Serve(context.Background(), request, httptest.NewRecorder())
				mu.Lock()
				defer mu.Unlock()
				if counts {
					asked[path]++
				}
				var refused *refusal.Error
				switch {
				case err == nil && counts:
					served[path]++
				case errors.As(err, &refused):
					held = max(held, time.Since(sent))
					qt.Check(t, refused.Outcome, qt.Equals, outcome.NotRun)
					qt.Check(t, refused.RetryAfter > 0, qt.IsTrue)
				}
			})
			time.Sleep(interval)
		}
		group.Wait()
		urgent, later := served["/urgent/1"], served["/later/1"]
		capacity := 20 * int((length-warmUp)/streamTime)
		qt.Check(t, urgent+later >= 8*capacity/10, qt.IsTrue, qt.Commentf("%d and %d served, there is room for %d", urgent, later, capacity))
		qt.Check(t, urgent >= 2*later, qt.IsTrue, qt.Commentf("%d urgent and %d later streams are served", urgent, later))
		qt.Check(t, later*asked["/urgent/1"] >= urgent*asked["/later/1"]/8, qt.IsTrue, qt.Commentf("the later ones are starved: %d of %d", later, urgent))
		qt.Check(t, held <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("a stream was held for %v, and refused", held))
		turnedAway := metrics.GetOrRegisterCounter("Room.TurnedAway.Priority2", registry) // The workspace's priority.
		qt.Check(t, turnedAway.Count() > 0, qt.IsTrue)
		qt.Check(t, h.server.RoomStates(time.Now())["model"].Refused > 0, qt.IsTrue)
		qt.Check(t, h.server.RoomReports(time.Now()), qt.HasLen, 1)
	})
}

// TestNoOrderWithoutGoal guards against an order among the requests of routes that do not ask for one.
func TestNoOrderWithoutGoal(t *testing.T) {
	h := newHarness(t)
	h.upstream.open = openShort
	_, err := h.call("/plan/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, h.server.RoomStates(time.Now()), qt.HasLen, 0)
}
