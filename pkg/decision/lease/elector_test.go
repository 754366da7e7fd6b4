package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/revision"
)

// TestRelease guards against a planned stop that makes the successor wait, and against a holder
// that sends an assignment after it released the lease.
func TestRelease(t *testing.T) {
	now := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	first, second := lease.New("k", "a", "a1"), lease.New("k", "b", "b1")
	first.Observe(now, lease.Row{})
	transaction, ok := first.Acquire(now)
	qt.Assert(t, ok, qt.IsTrue)
	first.ObserveCommit(now, transaction, revision.New(0, 1))
	_, ok = first.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = first.Release(now.Add(time.Second))
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("the assignment may still run"))
	now = now.Add(3 * time.Second)
	transaction, ok = first.Release(now)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = first.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsFalse)
	second.Observe(now, lease.Row{Revision: revision.New(0, 2), Value: transaction.Value})
	transaction, ok = second.Acquire(now)
	qt.Assert(t, ok, qt.IsTrue)
	second.ObserveCommit(now, transaction, revision.New(0, 3))
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
	e.ObserveCommit(now, transaction, revision.New(0, 1))
	for range 200 {
		now = now.Add(4 * time.Second)
		transaction, _ = e.Renew(now)
	}
	_, ok := e.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsFalse)
	e.Observe(now, lease.Row{Revision: revision.New(0, 2), Value: transaction.Value})
	token, ok := e.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, token, qt.Equals, uint64(1))
}

// TestNewEra guards against a holder that keeps the lease although the store came back from an older copy, against a
// write of an older era that makes its sender the holder, against a lower fencing token than before, and against a
// successor that does not wait for the holder of the lost row.
func TestNewEra(t *testing.T) {
	now := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	first, second := lease.New("k", "a", "a1"), lease.New("k", "b", "b1")
	first.Observe(now, lease.Row{Revision: revision.New(1, 0)})
	second.Observe(now, lease.Row{Revision: revision.New(1, 0)})
	now = now.Add(time.Minute)
	acquisition, ok := first.Acquire(now)
	qt.Assert(t, ok, qt.IsTrue)
	first.ObserveCommit(now, acquisition, revision.New(1, 1))
	second.Observe(now, lease.Row{Revision: revision.New(1, 1), Value: acquisition.Value})
	now = now.Add(4 * time.Second)
	renewal, ok := first.Renew(now)
	qt.Assert(t, ok, qt.IsTrue)

	// The copy does not have the row. The renewal takes effect in the new era, in place of another row with its number.
	second.Observe(now, lease.Row{Revision: revision.New(2, 0)})
	_, ok = second.Acquire(now)
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("the holder of the lost row may still assign"))
	first.ObserveCommit(now, renewal, revision.New(2, 2))
	qt.Assert(t, first.IsHolder(), qt.IsFalse)
	_, ok = first.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsFalse)

	now = now.Add(time.Minute)
	second.Observe(now, lease.Row{Revision: revision.New(2, 2), Value: renewal.Value})
	now = now.Add(time.Minute)
	second.ObserveFencingToken(6)
	takeover, ok := second.Acquire(now)
	qt.Assert(t, ok, qt.IsTrue)
	second.ObserveCommit(now, takeover, revision.New(2, 3))
	token, ok := second.AuthorizeAssignment(now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, token, qt.Equals, uint64(7))

	// A late response of the older era changes nothing.
	second.Observe(now, lease.Row{Revision: revision.New(1, 99), Value: acquisition.Value})
	qt.Assert(t, second.IsHolder(), qt.IsTrue)

	// An engine has seen a higher token.
	second.ObserveFencingToken(9)
	now = now.Add(4 * time.Second)
	renewal, _ = second.Renew(now)
	second.ObserveCommit(now, renewal, revision.New(2, 4))
	token, _ = second.AuthorizeAssignment(now)
	qt.Assert(t, token, qt.Equals, uint64(10))
}
