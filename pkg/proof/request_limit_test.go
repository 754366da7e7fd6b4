package proof_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proof"
	"github.com/cuminroute/cuminroute/pkg/standin/service"
)

// Guards against instances that together send a service target more requests than the limit that it names, and against
// requests that are not refused at once, as NotRun, while no target takes them.
func TestServiceRequestLimit(t *testing.T) {
	t.Parallel()
	const (
		instances = 3
		interval  = 40 * time.Millisecond // interval is the time between two requests to the same instance.
		perSecond = 6
		reaction  = 3 * time.Second
		window    = 4 * time.Second
	)
	for _, test := range []struct {
		name  string
		order bool // order means that the requests may run at most once.
	}{
		{"lookups", false},
		{"orders", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newHarness(c, proof.Options{Seed: 33, Instances: instances})
			for _, s := range h.Services {
				s.SetFaults(service.Faults{RequestLimit: perSecond})
			}
			began := time.Now()
			var sending sync.WaitGroup
			for n := range int(instances * (reaction + window) / interval) {
				sending.Go(func() {
					time.Sleep(time.Duration(n/instances) * interval)
					id := fmt.Sprint(test.name, n)
					send := h.LookUpStock
					if test.order {
						send = h.PlaceOrder
					}
					response := send(context.Background(), h.Instances()[n%instances], id)
					if response.Outcome != outcome.Done {
						c.Check(response.Outcome, qt.Equals, outcome.NotRun, qt.Commentf("%v", response.Err))
						c.Check(response.RetryAfter > 0, qt.IsTrue)
						c.Check(response.Ended.Sub(response.Started) < time.Second, qt.IsTrue)
					}
				})
			}
			sending.Wait()
			for i, s := range h.Services {
				late := 0
				for _, at := range s.ArrivalTimes() {
					if at.Sub(began) > reaction {
						late++
					}
				}
				allowed := 1.5*perSecond*window.Seconds() + 5
				c.Check(float64(late) <= allowed, qt.IsTrue, qt.Commentf("target %d got %d requests in %v, allowed %v", i, late, window, allowed))
				c.Check(float64(late) >= 0.5*perSecond*window.Seconds(), qt.IsTrue, qt.Commentf("target %d got only %d requests in %v", i, late, window))
			}
		})
	}
}
