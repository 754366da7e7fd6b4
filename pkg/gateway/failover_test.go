package gateway

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWatcherFailover guards against calls to the store by all instances of a fleet while the store turns its watcher away,
// against a change that does not reach them then, and against confirmations that lapse.
func TestWatcherFailover(t *testing.T) {
	const (
		instances = 30 // More than statusFanout.
		duration  = 5 * time.Second
		maxCalls  = 60 // Two instances that watch list and configuration make about 4 calls a second.
	)
	backing, total := newFilledStore(), new(atomic.Int64)
	stores := make([]*turnedAwayStore, instances)
	gateways := make([]*Gateway, instances)
	for i := range gateways {
		stores[i] = &turnedAwayStore{fakeStore: backing, calls: total}
		var seeds []*Gateway
		if i > 0 {
			seeds = gateways[:1]
		}
		gateways[i] = start(t, fmt.Sprint("i", i), stores[i], &fakeTargetControl{store: backing}, seeds...)
	}
	for _, g := range gateways {
		eventually(t, "all instances", func() bool { return len(g.peers.node.Members()) == instances && g.Ready() })
	}
	eventually(t, "one watcher", func() bool { return countWatchers(gateways) == 1 })
	time.Sleep(2 * time.Second) // The instances begin to rely on the watcher.
	for i, g := range gateways {
		if g.peers.isWatcher() {
			stores[i].turnedAway.Store(true)
		}
	}
	before := total.Load()
	time.Sleep(duration / 2)
	backing.put("configuration", "config", "2")
	time.Sleep(duration / 2)
	calls := total.Load() - before
	t.Logf("%d calls in %v", calls, duration)
	qt.Assert(t, calls <= maxCalls, qt.IsTrue, qt.Commentf("%d calls in %v", calls, duration))
	for _, g := range gateways {
		version, _ := g.cache.configurationVersion()
		qt.Check(t, version, qt.Equals, uint64(2))
		qt.Check(t, g.Ready(), qt.IsTrue)
	}
}

// countWatchers returns the number of instances that take themselves for the watcher.
func countWatchers(gateways []*Gateway) int {
	n := 0
	for _, g := range gateways {
		if g.peers.isWatcher() {
			n++
		}
	}
	return n
}
