package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

const (
	limitWindow   = 4 * time.Second // limitWindow is the time in which the requests at a limited target are counted.
	limitReaction = 3 * time.Second // limitReaction is how long after a target names a limit more requests may arrive.
)

// limitedTargets counts the requests that each first target gets, and names limits in the responses of some targets.
type limitedTargets struct {
	limits map[string]float64 // limits holds the requests a second that limited targets name.
	until  time.Time          // until is when the limits end.

	mu       sync.Mutex
	arrivals map[string][]time.Time
}

func (l *limitedTargets) open(_ context.Context, _ int, a proxy.Attempt) (*proxy.Response, error) {
	now, name := time.Now(), a.Path[0].Target.Name
	l.mu.Lock()
	l.arrivals[name] = append(l.arrivals[name], now)
	l.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	r := response(http.StatusOK, "done")
	if a.Path[0].Layers.Valid() {
		r = streamingResponse(strings.NewReader(events(1, 3)))
	}
	if perSecond, limited := l.limits[name]; limited && now.Before(l.until) {
		r.RequestLimit = proxy.RequestLimit{PerSecond: perSecond, Named: true}
	}
	return r, nil
}

// busiest returns the most requests that a target got in any limitWindow between two times.
func (l *limitedTargets) busiest(name string, from, to time.Time) int {
	most := 0
	for i, first := range l.arrivals[name] {
		n := 0
		for _, at := range l.arrivals[name][i:] {
			if !first.Before(from) && at.Before(to) && at.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestRequestLimit guards against sending a target more requests than the limit that it names, against requests that wait
// although no target takes them, and against limits that outlast what the target says.
func TestRequestLimit(t *testing.T) {
	const (
		interval = 25 * time.Millisecond
		limited  = 12 * time.Second
		length   = 16 * time.Second
	)
	for _, test := range []struct {
		name, path string
		limits     map[string]float64
		refuses    bool // refuses means that the limits of all targets together are below the load.
	}{
		{"one first target of two", "/plan/1", map[string]float64{"m1": 5}, false},
		{"all first targets", "/plan/1", map[string]float64{"m1": 5, "m2": 8}, true},
		{"one plain target of two", "/book/1", map[string]float64{"d1": 5}, false},
		{"all plain targets", "/book/1", map[string]float64{"d1": 5, "d2": 8}, true},
		{"a target that takes none", "/book/1", map[string]float64{"d1": 0}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				start := time.Now()
				targets := &limitedTargets{limits: test.limits, until: start.Add(limited), arrivals: make(map[string][]time.Time)}
				h.upstream.open = targets.open
				var group sync.WaitGroup
				var mu sync.Mutex
				served := 0
				for i := range int(length / interval) {
					group.Go(func() {
						time.Sleep(time.Duration(i) * interval)
						sent := time.Now()
						_, err := h.call(test.path, func(r *proxy.Request) { r.ID, r.ReceivedAt = fmt.Sprint(i), sent })
						mu.Lock()
						defer mu.Unlock()
						if err == nil {
							served++
							return
						}
						refused := refusal.FromError(err)
						qt.Check(t, refused.Status, qt.Equals, http.StatusServiceUnavailable)
						qt.Check(t, refused.Outcome, qt.Equals, outcome.NotRun)
						qt.Check(t, refused.RetryAfter > 0, qt.IsTrue)
						qt.Check(t, time.Since(sent) < interval, qt.IsTrue, qt.Commentf("refused after %v", time.Since(sent)))
					})
				}
				group.Wait()
				for name, perSecond := range test.limits {
					most := targets.busiest(name, start.Add(limitReaction), start.Add(limited))
					allowed := 1.5*perSecond*limitWindow.Seconds() + 5
					qt.Check(t, float64(most) <= allowed, qt.IsTrue, qt.Commentf("%s got %d requests in %v, allowed %v", name, most, limitWindow, allowed))
					used := 0.5 * perSecond * limitWindow.Seconds()
					qt.Check(t, float64(most) >= used, qt.IsTrue, qt.Commentf("%s got at most %d requests in %v, wanted %v", name, most, limitWindow, used))
					after := targets.busiest(name, start.Add(limited+2*time.Second), start.Add(length))
					qt.Check(t, after >= 20, qt.IsTrue, qt.Commentf("%s got %d requests after its limit had ended", name, after))
				}
				qt.Check(t, test.refuses || served == int(length/interval), qt.IsTrue, qt.Commentf("%d requests served", served))
			})
		})
	}
}
