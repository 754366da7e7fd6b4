package retryshare_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/retry"
	"github.com/cuminroute/cuminroute/pkg/decision/retryshare"
)

var start = time.Unix(1700000000, 0)

const (
	instances = 146
	retries   = 587
	window    = 10 * time.Second
	ratio     = 0.2
	// requestRate is the number of requests per second that each instance gets.
	requestRate = 3
)

// TestFleet guards against a fleet that exceeds its retry budget, since its instances count too few others: after a
// restart of all, and while overloaded instances lose members that are alive. Every request wants a retry at any time.
func TestFleet(t *testing.T) {
	tests := []struct {
		name string
		seen func(sinceStart time.Duration) int // seen returns the number of instances in the member lists.
	}{
		{"all are known", func(time.Duration) int { return instances }},
		{"all have just started", func(d time.Duration) int { return min(1+int(d/(8*time.Millisecond)), instances) }},
		{"members are lost by mistake", func(d time.Duration) int {
			if d > 6*time.Second && d < 14*time.Second {
				return 20
			}
			return instances
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const tick = 100 * time.Millisecond
			var sent []int // sent holds the retries in each tick.
			shares, budgets := make([]*retryshare.Share, instances), make([]*retry.Budget, instances)
			for i := range instances {
				shares[i] = retryshare.New(retries, window, start)
				budgets[i] = retry.New(retry.WithRatio(0.8*ratio), retry.WithMinRate(0), retry.WithInitial(retryshare.InitialRetries))
			}
			for d := time.Duration(0); d < 30*time.Second; d += tick {
				now, n := start.Add(d), 0
				for i, budget := range budgets {
					shares[i].ObserveInstances(test.seen(d), now)
					budget.SetMinRate(shares[i].Limits(now))
					if (int(d/tick)+i)%(10/requestRate) == 0 {
						budget.RecordRequest("model", now)
					}
					for budget.Allow("model", now) {
						n++
					}
				}
				sent = append(sent, n)
			}
			inWindow := 0
			for i, n := range sent {
				inWindow += n
				if first := i - int(window/tick); first >= 0 {
					inWindow -= sent[first]
				}
				allowed := int(ratio*requestRate*instances*window.Seconds() + retries)
				qt.Assert(t, inWindow <= allowed, qt.IsTrue, qt.Commentf("%d retries in the window that ends at %v, allowed %d", inWindow, time.Duration(i)*tick, allowed))
			}
		})
	}
}

// TestGrowth guards against a share that stays too small after the fleet has shrunk for good.
func TestGrowth(t *testing.T) {
	share := retryshare.New(retries, window, start)
	share.ObserveInstances(100, start)
	share.ObserveInstances(10, start.Add(40*time.Second))
	_, burst := share.Limits(start.Add(40 * time.Second))
	qt.Assert(t, burst, qt.Equals, 0.6*retries/10)
}

// TestStart guards against an instance that cannot retry at all after its start: its first requests meet targets whose load
// it does not know.
func TestStart(t *testing.T) {
	share := retryshare.New(retries, window, start)
	budget := retry.New(retry.WithMinRate(0), retry.WithInitial(retryshare.InitialRetries))
	budget.SetMinRate(share.Limits(start))
	qt.Assert(t, budget.Allow("model", start), qt.IsTrue)
	qt.Assert(t, budget.Allow("model", start), qt.IsFalse)
}
