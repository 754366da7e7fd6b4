package service_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/requestlimit"
	"github.com/cuminroute/cuminroute/pkg/peer/service"
	standin "github.com/cuminroute/cuminroute/pkg/standin/service"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// beyondUsualLatency is more than the longest time after which an attempt looks for another target.
const beyondUsualLatency = 2500 * time.Millisecond

// seldomPermits returns a limiter whose instance, as one of many, gets far fewer permits than one in the time of a test.
func seldomPermits() *requestlimit.Limiter {
	now := time.Now()
	l := requestlimit.New(rand.New(rand.NewPCG(1, 2)), now)
	l.ObserveInstances(10000, now)
	return l
}

// exhaust sends lookups until the request limit of the service's only target takes no more.
func exhaust(t *testing.T, client *service.Client) {
	t.Helper()
	for range 100 {
		if _, err := client.Do(t.Context(), lookupRequest()); err != nil {
			return
		}
	}
	t.Fatal("the target takes all requests in spite of its limit")
}

// Guards against a lookup that is cancelled at a slow target, and fails, although the other target takes no more requests.
func TestSlowTargetKeepsLookupWhileOthersAreLimited(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	limited, slow := startService(c), startService(c)
	limited.SetFaults(standin.Faults{RequestLimit: 1})
	slow.SetFaults(standin.Faults{Delay: beyondUsualLatency})
	targets := []target.Target{newTarget(limited.Addr(), "limited")}
	client := service.New(func(string) []target.Target { return targets }, newFakeClaimer(), service.WithLogger(quiet),
		service.WithRequestLimiter(seldomPermits()))
	exhaust(t, client)
	targets = append(targets, newTarget(slow.Addr(), "slow"))
	before := len(slow.ArrivalTimes())
	response, err := client.Do(t.Context(), lookupRequest())
	c.Assert(err, qt.IsNil)
	c.Assert(response.Status, qt.Equals, 200)
	c.Assert(slow.ArrivalTimes()[before:], qt.HasLen, 1)
}
