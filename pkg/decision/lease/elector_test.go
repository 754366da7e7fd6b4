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
	transaction, ok := first.Acquire(now)
	qt.Assert(t, ok, qt.IsTrue)
	first.ObserveCommit(now, transaction, 1)
	_, ok = first.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = first.Release(now.Add(time.Second))
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("the assignment may still run"))
	now = now.Add(3 * time.Second)
	transaction, ok = first.Release(now)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = first.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsFalse)
	second.Observe(now, lease.Row{Revision: 2, Value: transaction.Value})
	transaction, ok = second.Acquire(now)
	qt.Assert(t, ok, qt.IsTrue)
	second.ObserveCommit(now, transaction, 3)
	token, ok := second.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, token, qt.Equals, uint64(2))
}

// TestLongOutage guards against a holder that does not recognise the last of its renewals in the row after many
// attempts without a response, as in a store outage.
func TestLongOutage(t *testing.T) {
	now := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	e := lease.New("k", "a", "a1")
	e.Observe(now, lease.Row{})
	transaction, _ := e.Acquire(now)
	e.ObserveCommit(now, transaction, 1)
	for range 200 {
		now = now.Add(4 * time.Second)
		transaction, _ = e.Renew(now)
	}
	_, ok := e.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsFalse)
	e.Observe(now, lease.Row{Revision: 2, Value: transaction.Value})
	token, ok := e.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, token, qt.Equals, uint64(1))
}
