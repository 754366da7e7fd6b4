package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/decision/route"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// TestEventGaps guards against prefixes that stay known after an event was lost, which may have been
// their removal, and against an answer to an old question that is taken in twice.
func TestEventGaps(t *testing.T) {
	entered := func(sequence, hash uint64) *enginepb.CacheEvent {
		return &enginepb.CacheEvent{Sequence: sequence, PrefixHash: hash}
	}
	answer := func(since, first uint64, events ...*enginepb.CacheEvent) poll {
		return poll{since: since, events: &enginepb.CacheEvents{FirstSequence: first, Events: events}}
	}
	tests := []struct {
		name  string
		polls []poll
		known []uint64
		since uint64
		gaps  int64
	}{
		{"in order", []poll{answer(0, 1, entered(1, 10), entered(2, 20)), answer(2, 1, entered(3, 30))}, []uint64{10, 20, 30}, 3, 0},
		{"lost within an answer", []poll{answer(0, 1, entered(1, 10), entered(3, 30))}, []uint64{30}, 3, 1},
		{"lost between answers", []poll{answer(0, 1, entered(1, 10)), answer(1, 1, entered(3, 30))}, []uint64{30}, 3, 1},
		{"no longer held by the engine", []poll{answer(0, 1, entered(1, 10)), answer(1, 5, entered(5, 50))}, []uint64{50}, 5, 1},
		{"first answer starts late", []poll{answer(0, 7, entered(7, 70))}, []uint64{70}, 7, 0},
		{"answer to an old question", []poll{answer(0, 1, entered(1, 10)), answer(0, 1, entered(1, 10))}, []uint64{10}, 1, 0},
		{"nothing new", []poll{answer(0, 1, entered(1, 10)), answer(1, 2)}, []uint64{10}, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &control{d: &Daemon{picker: route.NewPicker(), counters: counters{eventGaps: metrics.NewCounter(), eventsSeen: metrics.NewCounter()}}}
			view := &engineView{}
			for _, p := range test.polls {
				c.observeEvents("w1", view, p)
			}
			qt.Assert(t, view.cache.known, qt.DeepEquals, test.known)
			qt.Assert(t, view.cache.since, qt.Equals, test.since)
			qt.Assert(t, c.d.counters.eventGaps.Count(), qt.Equals, test.gaps)
		})
	}
}

// TestEventBudget guards against cache events that take more of an instance's control traffic than
// their part, whatever the engines publish.
func TestEventBudget(t *testing.T) {
	const answer = 22 << 10 // answer is the size of 1,024 events.
	b := eventBudget(eventBurst)
	asked := 0
	for range 3600 * reportsPerSecond {
		if b.turn() {
			asked++
			b -= answer
		}
	}
	qt.Assert(t, asked*answer <= 3600*eventRate+eventBurst+answer, qt.IsTrue, qt.Commentf("%d answers", asked))
	qt.Assert(t, asked*answer >= 3600*eventRate, qt.IsTrue, qt.Commentf("%d answers", asked))
}
