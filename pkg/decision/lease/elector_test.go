package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
)

// TestRelease guards against a planned stop that makes the successor wait, and against a holder
// that sends an assignment after it released the lease.
func TestRelease(t *testing.T) {
	now := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	first, second := lease.New("k", "a", "a1"), lease.New("k", "b", "b1")
	first.Observe(now, lease.Row{})
	x, ok := first.Acquire(now)
	qt.Assert(t, ok, qt.IsTrue)
	first.ObserveCommit(now, x, 1)
	_, ok = first.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = first.Release(now.Add(time.Second))
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("the assignment may still run"))
	now = now.Add(3 * time.Second)
	x, ok = first.Release(now)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = first.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsFalse)
	second.Observe(now, lease.Row{Revision: 2, Value: x.Value})
	x, ok = second.Acquire(now)
	qt.Assert(t, ok, qt.IsTrue)
	second.ObserveCommit(now, x, 3)
	fence, ok := second.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, fence, qt.Equals, uint64(2))
}

// TestLongOutage guards against a holder that does not recognise its own renewal after many
// attempts without a response, as in a store outage.
func TestLongOutage(t *testing.T) {
	now := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	e := lease.New("k", "a", "a1")
	e.Observe(now, lease.Row{})
	x, _ := e.Acquire(now)
	e.ObserveCommit(now, x, 1)
	for range 200 {
		now = now.Add(4 * time.Second)
		x, _ = e.Renew(now)
	}
	_, ok := e.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsFalse)
	e.Observe(now, lease.Row{Revision: 2, Value: x.Value})
	fence, ok := e.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, fence, qt.Equals, uint64(1))
}
