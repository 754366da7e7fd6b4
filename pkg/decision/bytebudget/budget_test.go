package bytebudget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/decision/bytebudget"
)

const megabyte = 1 << 20

var start = time.Unix(1000, 0)

// client is a client of a test that sends a body.
type client struct {
	hold    *bytebudget.Hold
	evicted bool
}

func begin(b *bytebudget.Budget, at time.Time) *client {
	c := &client{}
	c.hold = b.Begin(at, func() { c.evicted = true })
	return c
}

// TestCrowdGivesWay guards against a crowd that came first and keeps ordinary callers out, and against taking room from callers who
// make progress.
func TestCrowdGivesWay(t *testing.T) {
	b := bytebudget.New(16 * megabyte)
	var crowd []*client
	for n := range 40 {
		c := begin(b, start.Add(time.Duration(n)*time.Millisecond))
		c.hold.Grow(megabyte, start.Add(time.Duration(n)*time.Millisecond))
		crowd = append(crowd, c)
	}
	later := start.Add(5 * time.Second)
	upload := begin(b, later)
	for size := range 4 {
		qt.Assert(t, upload.hold.Grow(megabyte, later.Add(time.Duration(size)*100*time.Millisecond)), qt.IsTrue)
	}
	qt.Assert(t, upload.hold.Complete(), qt.IsTrue)
	gone := 0
	for _, c := range crowd {
		if c.evicted {
			gone++
		}
	}
	qt.Check(t, gone >= 40-16+4, qt.IsTrue, qt.Commentf("%d of the crowd gave way", gone))
	qt.Check(t, b.Usage().Used <= 16*megabyte, qt.IsTrue)
}

// TestTrickleGivesWay guards against a client that keeps a large body by sending a byte now and then.
func TestTrickleGivesWay(t *testing.T) {
	b := bytebudget.New(8 * megabyte)
	trickle := begin(b, start)
	qt.Assert(t, trickle.hold.Grow(4*megabyte, start), qt.IsTrue)
	now := start
	for range 60 {
		now = now.Add(time.Second)
		qt.Assert(t, trickle.hold.Grow(1, now), qt.IsTrue)
	}
	upload := begin(b, now)
	qt.Assert(t, upload.hold.Grow(6*megabyte, now), qt.IsTrue)
	qt.Check(t, trickle.evicted, qt.IsTrue)
	qt.Check(t, trickle.hold.Complete(), qt.IsFalse)
}

// TestRunningRequestsKeepTheirBodies guards against taking the body of a request that was sent to a target, and against refusing
// ordinary requests while large bodies fill the budget.
func TestRunningRequestsKeepTheirBodies(t *testing.T) {
	b := bytebudget.New(8 * megabyte)
	var running []*client
	for range 7 {
		c := begin(b, start)
		qt.Assert(t, c.hold.Grow(megabyte, start), qt.IsTrue)
		qt.Assert(t, c.hold.Complete(), qt.IsTrue)
		running = append(running, c)
	}
	large := begin(b, start)
	qt.Check(t, large.hold.Grow(megabyte, start.Add(time.Minute)), qt.IsFalse, qt.Commentf("the reserve is for small bodies"))
	small := begin(b, start)
	qt.Check(t, small.hold.Grow(4096, start.Add(time.Minute)), qt.IsTrue)
	qt.Check(t, b.EvictWorst(start.Add(time.Minute)), qt.IsTrue)
	qt.Check(t, small.evicted, qt.IsTrue, qt.Commentf("the only incomplete body with bytes"))
	for _, c := range running {
		qt.Check(t, c.evicted, qt.IsFalse)
		c.hold.Release()
		c.hold.Release()
	}
	qt.Check(t, b.Usage().Used, qt.Equals, int64(0))
}

// TestBudgetHolds guards against counts that drift, or a budget that is exceeded, over any order of events.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		b := bytebudget.New(limit)
		now := start
		var clients []*client
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			if len(clients) == 0 || rapid.Bool().Draw(t, "begin") {
				clients = append(clients, begin(b, now))
			}
			c := clients[rapid.IntRange(0, len(clients)-1).Draw(t, "client")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				c.hold.Grow(int64(rapid.IntRange(1, 600).Draw(t, "bytes")), now)
			case 2:
				if c.hold.Complete() == c.evicted {
					t.Fatalf("a body is complete and had to give way")
				}
			case 3:
				c.hold.Release()
			}
			if used := b.Usage().Used; used < 0 || used > limit {
				t.Fatalf("%d bytes are held of %d", used, limit)
			}
		}
		for _, c := range clients {
			c.hold.Release()
		}
		if usage := b.Usage(); usage.Used != 0 || usage.Incomplete != 0 {
			t.Fatalf("after all ended: %+v", usage)
		}
	})
}

// BenchmarkGrow measures the choice of the body that gives way among many.
func BenchmarkGrow(b *testing.B) {
	for _, test := range []struct {
		name   string
		bodies int
	}{{"1", 1}, {"100", 100}, {"10000", 10_000}} {
		b.Run(test.name, func(b *testing.B) {
			budget := bytebudget.New(int64(test.bodies) * 4096)
			for n := range test.bodies {
				begin(budget, start).hold.Grow(4000, start.Add(time.Duration(n)))
			}
			now := start.Add(time.Second)
			for b.Loop() {
				h := budget.Begin(now, func() {})
				h.Grow(4000, now)
			}
		})
	}
}
