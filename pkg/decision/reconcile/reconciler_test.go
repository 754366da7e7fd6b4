package reconcile_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
)

// TestDueAssignments guards against two concurrent assignments to one target, an assignment based on a
// report that is older than the last assignment, and an assignment to a target that has seen a later
// lease.
func TestDueAssignments(t *testing.T) {
	start := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	old := reconcile.Reported{State: reconcile.State{Model: "m", Version: "v1"}}
	r := reconcile.New()
	r.SetDesired(map[string]reconcile.State{"e": {Model: "m", Version: "v2", Adapters: []string{"a", "b"}}})
	expect := func(now time.Time, want int) []reconcile.Assignment {
		t.Helper()
		assignments := r.DueAssignments(now, 7)
		qt.Assert(t, assignments, qt.HasLen, want)
		return assignments
	}
	expect(at(0), 0)
	r.Report(at(0), "e", old)
	first := expect(at(1), 1)[0]
	r.Report(at(1), "e", old)
	expect(at(10), 0)
	r.Report(at(2), "e", old)
	expect(at(2), 0)
	second := expect(at(3), 1)[0]
	qt.Assert(t, second.FencingToken > first.FencingToken, qt.IsTrue)
	r.Acknowledge(first)
	r.Report(at(4), "e", old)
	expect(at(4), 0)
	r.Acknowledge(second)
	expect(at(6), 0)
	expect(at(7), 1)
	r.Report(at(8), "e", reconcile.Reported{State: old.State, FencingToken: 8 << 24})
	expect(at(600), 0)
	r.Report(at(601), "e", reconcile.Reported{State: reconcile.State{Model: "m", Version: "v2", Adapters: []string{"b", "a"}}})
	expect(at(602), 0)
	qt.Assert(t, r.OutOfSync(), qt.HasLen, 0)
	r.Report(at(603), "e", old)
	expect(at(603), 1)
}
