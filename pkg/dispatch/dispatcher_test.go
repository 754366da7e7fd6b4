package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
	"github.com/cuminroute/cuminroute/pkg/dispatch"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

// engine is a target that accepts only assignments with rising fencing tokens.
type engine struct {
	mu           sync.Mutex
	fencingToken uint64
	state        reconcile.State
}

func (e *engine) Assign(_ context.Context, o reconcile.Assignment) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken <= e.fencingToken {
		return false, nil
	}
	e.fencingToken, e.state = o.FencingToken, o.State
	return true, nil
}

func (e *engine) reported() reconcile.Reported {
	e.mu.Lock()
	defer e.mu.Unlock()
	return reconcile.Reported{State: e.state, FencingToken: e.fencingToken}
}

func start(s *platform.Server, e *engine, name string) *dispatch.Dispatcher {
	elector := lease.New(dispatch.Key, name, name, lease.WithDurations(time.Second, 100*time.Millisecond, 100*time.Millisecond))
	d := dispatch.New(table.New(s.URL()), e, name, dispatch.WithInterval(10*time.Millisecond), dispatch.WithElector(elector))
	d.SetCandidate(true)
	return d
}

// waitForVersion waits until the engine reports the version, and passes its reports to all dispatchers.
func waitForVersion(t *testing.T, e *engine, version string, all ...*dispatch.Dispatcher) {
	t.Helper()
	for _, d := range all {
		d.SetDesired(map[string]reconcile.State{"worker-1": {Model: "darning", Version: version}})
	}
	for deadline := time.Now().Add(12 * time.Second); e.reported().Version != version; {
		if time.Now().After(deadline) {
			t.Fatalf("the engine still reports %v", e.reported())
		}
		time.Sleep(10 * time.Millisecond)
		for _, d := range all {
			d.Report(time.Now(), "worker-1", e.reported())
		}
	}
}

// TestTakeover guards against an engine that gets no more assignments after the lease holder stops or is
// disconnected from the table, and against a holder that keeps sending assignments while disconnected.
func TestTakeover(t *testing.T) {
	s, err := platform.New()
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	e := &engine{}
	first := start(s, e, "entry-1")
	waitForVersion(t, e, "v1", first)
	second := start(s, e, "entry-2")
	closeWithin(t, first, 5*time.Second)
	waitForVersion(t, e, "v2", second)
	qt.Assert(t, second.HoldsLease(), qt.IsTrue)

	s.SetFaults(platform.Faults{Table: platform.Fault{Outage: platform.Refused}})
	time.Sleep(1200 * time.Millisecond)
	qt.Assert(t, second.HoldsLease(), qt.IsFalse)
	s.SetFaults(platform.Faults{Table: platform.Fault{LoseAnswers: 2}})
	waitForVersion(t, e, "v3", second)
	closeWithin(t, second, 5*time.Second)
}

// closeWithin closes a dispatcher, which must not take longer than d.
func closeWithin(t *testing.T, dispatcher *dispatch.Dispatcher, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	qt.Assert(t, dispatcher.Close(ctx), qt.IsNil)
}
