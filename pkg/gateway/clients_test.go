package gateway

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/decision/bytebudget"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// TestTooManyRequests guards against an instance that takes the requests of all others and exceeds its memory, and against one that
// refuses requests after those before them have ended.
func TestTooManyRequests(t *testing.T) {
	const limit = 20
	g := &Gateway{settings: Settings{MemoryLimit: limit * requestBytes * 4}, full: metrics.NewCounter()}
	qt.Assert(t, maxRunning(g.settings), qt.Equals, limit)
	var ends []func()
	for range limit {
		end, _, err := g.trackRequest()
		qt.Assert(t, err, qt.IsNil)
		ends = append(ends, end)
	}
	_, closing, err := g.trackRequest()
	var refused *refusal.Error
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	qt.Check(t, refused.Outcome, qt.Equals, outcome.NotRun)
	qt.Check(t, refused.RetryAfter > 0, qt.IsTrue)
	qt.Check(t, closing, qt.IsFalse)
	qt.Check(t, g.requests.Running(), qt.Equals, limit)
	ends[0]()
	_, _, err = g.trackRequest()
	qt.Check(t, err, qt.IsNil)

	evicted := false
	g.bodies = bytebudget.New(1 << 20)
	g.bodies.Begin(time.Now(), func() { evicted = true }).Grow(1000, time.Now())
	_, _, err = g.trackRequest()
	qt.Check(t, err, qt.IsNil, qt.Commentf("a request whose body does not end gives way"))
	qt.Check(t, evicted, qt.IsTrue)
}

// TestClientLimits guards against limits on the smallest machine that ordinary clients meet.
func TestClientLimits(t *testing.T) {
	bytes, connections := clientLimits(Settings{MemoryLimit: 136 << 20, DescriptorLimit: 2870})
	qt.Check(t, bytes >= 4*(4<<20), qt.IsTrue, qt.Commentf("%d bytes of bodies", bytes))
	qt.Check(t, connections >= 500 && connections <= 2670, qt.IsTrue, qt.Commentf("%d connections", connections))
	_, unknown := clientLimits(Settings{MemoryLimit: 1 << 30})
	qt.Check(t, unknown > connections, qt.IsTrue)
}
