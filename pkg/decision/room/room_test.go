package room_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/decision/room"
)

var start = time.Unix(1000, 0)

const (
	timeout = 20 * time.Second
	usual   = 1000 // usual is the usual work in tokens.
)

// fresh returns a request that has just been sent for the first time.
func fresh(rank, ranks, work int, hash uint64) room.Request {
	return room.Request{Hash: hash, Rank: rank, Ranks: ranks, Work: work, UsualWork: usual, TimeLeft: timeout, Timeout: timeout}
}

// TestPlace guards against an order that does not follow rank, work and lost goals.
func TestPlace(t *testing.T) {
	r := room.New(rand.New(rand.NewPCG(1, 1)))
	now := start
	for n := range 30_000 {
		r.Place(fresh(n%3, 3, usual, uint64(n)), now)
	}
	const byWork, byChance = 1, 0 // Hashes of requests that are ordered by work and by chance.
	late := fresh(1, 3, usual/2, byWork)
	late.TimeLeft = timeout / 2
	list := []room.Request{
		fresh(0, 3, usual/2, byWork), fresh(0, 3, usual, byWork), fresh(0, 3, 2*usual-100, byWork),
		fresh(1, 3, usual-100, byWork), fresh(1, 3, 2*usual-100, byWork), late,
		fresh(2, 3, usual, byWork), fresh(2, 3, 1<<60, byWork),
	}
	last := -1.0
	for i, q := range list {
		position := r.Place(q, now).Position
		qt.Check(t, position > last, qt.IsTrue, qt.Commentf("request %d has position %v after %v", i, position, last))
		last = position
	}
	for _, q := range []room.Request{
		fresh(-5, 3, usual, byWork), fresh(99, 3, usual, byWork), fresh(0, 0, usual, byWork), fresh(0, 3, -1, byWork),
		fresh(0, 3, math.MinInt, byChance),
		{Rank: 1, Ranks: 3, TimeLeft: -time.Hour, Timeout: timeout},
		{},
	} {
		position := r.Place(q, now).Position
		qt.Check(t, position >= 0 && position <= 1, qt.IsTrue, qt.Commentf("%+v has position %v", q, position))
	}
}

// TestCutoffSettles guards against a cutoff that stays low after an overload, or that starts low.
func TestCutoffSettles(t *testing.T) {
	r := room.New(rand.New(rand.NewPCG(1, 1)))
	now := start
	qt.Assert(t, r.Admits(room.Place{Position: 1}, now), qt.IsTrue)
	for range 20 {
		r.Missed(room.Place{Position: 0.1}, now)
	}
	qt.Check(t, r.Admits(room.Place{Position: 0.5}, now), qt.IsFalse)
	qt.Check(t, r.Admits(room.Place{}, now), qt.IsTrue, qt.Commentf("some may always look for room"))
	r.Missed(room.Place{Position: 0.9}, now)
	for range 12 {
		now = now.Add(300 * time.Millisecond)
		r.Found(now)
	}
	qt.Check(t, r.Admits(room.Place{Position: 1}, now), qt.IsTrue, qt.Commentf("cutoff %v", r.State(now).Cutoff))
}

// TestReports guards against instances whose cutoffs stay apart, and against odd reports of others.
func TestReports(t *testing.T) {
	now := start
	a, b := room.New(rand.New(rand.NewPCG(1, 1))), room.New(rand.New(rand.NewPCG(1, 2)))
	_, needed := a.Report(now)
	qt.Check(t, needed, qt.IsFalse, qt.Commentf("nothing is reported while there is room"))
	for range 4 {
		a.Missed(room.Place{}, now)
	}
	for range 40 {
		cutoff, needed := a.Report(now)
		qt.Assert(t, needed, qt.IsTrue)
		b.AddReport(cutoff, now)
	}
	apart := math.Abs(a.State(now).Cutoff - b.State(now).Cutoff)
	qt.Check(t, apart < 0.05, qt.IsTrue, qt.Commentf("the cutoffs are %v apart", apart))
	before := b.State(now).Cutoff
	for _, odd := range []float64{math.NaN(), math.Inf(1), -1, 2} {
		b.AddReport(odd, now)
	}
	qt.Check(t, b.State(now).Cutoff, qt.Equals, before)
}

// TestRetryAfter guards against clients that come back into the same overload, later than they are willing to, or all at once.
func TestRetryAfter(t *testing.T) {
	const lowest = 800 * time.Millisecond
	r := room.New(rand.New(rand.NewPCG(1, 1)))
	for range 50 {
		wait := r.RetryAfter(lowest, timeout, start)
		qt.Assert(t, wait > 0 && wait <= lowest, qt.IsTrue, qt.Commentf("in calm: %v", wait))
	}
	for range 30 {
		r.Decided(fresh(0, 1, usual, 0), false, start)
	}
	shortest, longest := timeout, time.Duration(0)
	for range 200 {
		wait := r.RetryAfter(lowest, timeout, start)
		shortest, longest = min(shortest, wait), max(longest, wait)
	}
	qt.Check(t, longest <= timeout/3, qt.IsTrue, qt.Commentf("%v", longest))
	qt.Check(t, shortest >= 2*lowest, qt.IsTrue, qt.Commentf("%v", shortest))
	qt.Check(t, longest-shortest >= 2*time.Second, qt.IsTrue, qt.Commentf("from %v to %v", shortest, longest))
	qt.Check(t, r.RetryAfter(lowest, -time.Second, start) <= lowest, qt.IsTrue)
}

// TestAnyOrderOfEvents guards against positions and cutoffs out of range, over any order of events.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := room.New(rand.New(rand.NewPCG(1, 1)))
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 2000).Draw(t, "ms")) * time.Millisecond)
			q := room.Request{
				Hash: rapid.Uint64().Draw(t, "hash"), Rank: rapid.IntRange(-1, 5).Draw(t, "rank"), Ranks: rapid.IntRange(0, 4).Draw(t, "ranks"),
				Work: rapid.Int().Draw(t, "work"), UsualWork: rapid.IntRange(-1, 2000).Draw(t, "usual"),
				TimeLeft: time.Duration(rapid.Int64().Draw(t, "left")), Timeout: timeout,
			}
			place := r.Place(q, now)
			if !(place.Position >= 0 && place.Position <= 1) {
				t.Fatalf("position %v of %+v", place.Position, q)
			}
			if utilization := r.Utilization(place, 1, now); !(utilization > 0.5 && utilization <= 1) {
				t.Fatalf("utilization %v", utilization)
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				r.Missed(place, now)
			case 1:
				r.Found(now)
			case 2:
				r.Decided(q, rapid.Bool().Draw(t, "admitted"), now)
			case 3:
				r.AddReport(rapid.Float64().Draw(t, "report"), now)
			}
			if state := r.State(now); !(state.Cutoff >= 0 && state.Cutoff <= 1 && state.Refused >= 0 && state.Refused <= 1) {
				t.Fatalf("state %+v", state)
			}
			if wait := r.RetryAfter(time.Second, q.TimeLeft, now); wait < 0 {
				t.Fatalf("Retry-After %v", wait)
			}
		}
	})
}

// BenchmarkDecide measures the decisions about one request. They do not depend on how many others wait.
func BenchmarkDecide(b *testing.B) {
	for _, ranks := range []int{1, 6} {
		b.Run(fmt.Sprint("ranks=", ranks), func(b *testing.B) {
			r := room.New(rand.New(rand.NewPCG(1, 1)))
			now, n := start, 0
			for b.Loop() {
				n++
				now = now.Add(time.Millisecond)
				q := fresh(n%ranks, ranks, n%2000, uint64(n))
				place := r.Place(q, now)
				if r.Admits(place, now) {
					r.Found(now)
				}
				r.Decided(q, true, now)
			}
		})
	}
}
