package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
)

// TestRelease guards against a planned stop that makes the successor wait, and against a holder
// that orders after it gave up the lease.
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
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("the order may still run"))
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
// attempts without an answer.
func TestLongOutage(t *testing.T) {
	now := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	h := lease.New("k", "a", "a1")
	h.Observe(now, lease.Row{})
	x, _ := h.Acquire(now)
	h.ObserveCommit(now, x, 1)
	for range 200 {
		now = now.Add(4 * time.Second)
		x, _ = h.Renew(now)
	}
	_, ok := h.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsFalse)
	h.Observe(now, lease.Row{Revision: 2, Value: x.Value})
	fence, ok := h.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, fence, qt.Equals, uint64(1))
}
