package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/decision/route"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// TestEventGaps guards against prefixes that stay known after a missed event, which may have been their
// removal, and against a late response to an earlier poll whose events are applied twice.
func TestEventGaps(t *testing.T) {
	added := func(sequence, hash uint64) *enginepb.CacheEvent {
		return &enginepb.CacheEvent{Sequence: sequence, PrefixHash: hash}
	}
	response := func(since, first uint64, events ...*enginepb.CacheEvent) poll {
		return poll{since: since, events: &enginepb.CacheEvents{FirstSequence: first, Events: events}}
	}
	tests := []struct {
		name  string
		polls []poll
		known []uint64
		since uint64
		gaps  int64
	}{
		{"in order", []poll{response(0, 1, added(1, 10), added(2, 20)), response(2, 1, added(3, 30))}, []uint64{10, 20, 30}, 3, 0},
		{"missed within a response", []poll{response(0, 1, added(1, 10), added(3, 30))}, []uint64{30}, 3, 1},
		{"missed between responses", []poll{response(0, 1, added(1, 10)), response(1, 1, added(3, 30))}, []uint64{30}, 3, 1},
		{"discarded by the engine", []poll{response(0, 1, added(1, 10)), response(1, 5, added(5, 50))}, []uint64{50}, 5, 1},
		{"first response starts late", []poll{response(0, 7, added(7, 70))}, []uint64{70}, 7, 0},
		{"late response to an earlier poll", []poll{response(0, 1, added(1, 10)), response(0, 1, added(1, 10))}, []uint64{10}, 1, 0},
		{"no new events", []poll{response(0, 1, added(1, 10)), response(1, 2)}, []uint64{10}, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &control{d: &Daemon{picker: route.NewPicker(), counters: counters{eventGaps: metrics.NewCounter(), eventsSeen: metrics.NewCounter()}}}
			view := &engineView{}
			for _, p := range test.polls {
				c.observeEvents("w1", view, p)
			}
			qt.Assert(t, view.cache.prefixes, qt.DeepEquals, test.known)
			qt.Assert(t, view.cache.lastSequence, qt.Equals, test.since)
			qt.Assert(t, c.d.counters.eventGaps.Count(), qt.Equals, test.gaps)
		})
	}
}

// TestEventBudget guards against cache events that exceed their fraction of an instance's control
// traffic, however many the engines publish.
func TestEventBudget(t *testing.T) {
	const response = 22 << 10 // response is the size of 1,024 events.
	b := eventBudget(eventBurst)
	responses := 0
	for range 3600 * reportsPerSecond {
		if b.refill() {
			responses++
			b -= response
		}
	}
	qt.Assert(t, responses*response <= 3600*eventRate+eventBurst+response, qt.IsTrue, qt.Commentf("%d responses", responses))
	qt.Assert(t, responses*response >= 3600*eventRate, qt.IsTrue, qt.Commentf("%d responses", responses))
}
