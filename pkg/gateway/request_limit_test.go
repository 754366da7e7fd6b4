package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// limitedUpstream counts the requests to a target that names a limit in its responses.
type limitedUpstream struct {
	limited   string
	perSecond float64

	mu       sync.Mutex
	arrivals []time.Time
}

func (u *limitedUpstream) Open(_ context.Context, a proxy.Attempt) (*proxy.Response, error) {
	time.Sleep(5 * time.Millisecond)
	r := &proxy.Response{Status: http.StatusOK, Body: strings.NewReader("done"), ContentLength: 4, Release: func() {}, Abort: func() {}}
	if a.Path[0].Target.Name == u.limited {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.arrivals = append(u.arrivals, time.Now())
		r.RequestLimit = proxy.RequestLimit{PerSecond: u.perSecond, Named: true}
	}
	return r, nil
}

func (u *limitedUpstream) ChangePath(context.Context, string, path.Path) error { return nil }

func (u *limitedUpstream) Probe(context.Context, target.Target) error { return nil }

// TestRequestLimitHoldsForTheFleet guards against instances that each send a target as many requests as it takes from all of
// them together.
func TestRequestLimitHoldsForTheFleet(t *testing.T) {
	t.Parallel()
	const (
		instances = 4
		perSecond = 8
		reaction  = 3 * time.Second
		window    = 4 * time.Second
	)
	intervals := [instances]time.Duration{30 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond}
	store := newFilledStore()
	for i := range 2 {
		store.put("targets", fmt.Sprint("d", i), encode(target.Target{
			Service: "desk", State: target.Live, DataCentre: "dc", Slots: 100, Address: netip.MustParseAddrPort(fmt.Sprint("10.0.0.2:", 80+i)),
		}))
	}
	upstream := &limitedUpstream{limited: "d0", perSecond: perSecond}
	gateways := startFleetWith(t, instances, store, upstream)
	began := time.Now()
	var group sync.WaitGroup
	for i, g := range gateways {
		group.Go(func() {
			for n := 0; time.Since(began) < reaction+window; n++ {
				group.Go(func() {
					request := &proxy.Request{
						ID: fmt.Sprint(i, "-", n), Method: http.MethodPost, URI: "/desk/1", Path: "/desk/1", Host: "shop.example", ReceivedAt: time.Now(),
					}
					qt.Check(t, g.server.Serve(context.Background(), request, httptest.NewRecorder()), qt.IsNil)
				})
				time.Sleep(intervals[i])
			}
		})
	}
	group.Wait()
	late := 0
	for _, at := range upstream.arrivals {
		if at.Sub(began) > reaction {
			late++
		}
	}
	allowed := 1.5*perSecond*window.Seconds() + 5
	qt.Assert(t, float64(late) <= allowed, qt.IsTrue, qt.Commentf("%d requests in %v, allowed %v", late, window, allowed))
	qt.Assert(t, float64(late) >= 0.5*perSecond*window.Seconds(), qt.IsTrue, qt.Commentf("only %d requests in %v", late, window))
}
