package placementcontroller_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
	"github.com/cuminroute/cuminroute/pkg/dispatch"
	"github.com/cuminroute/cuminroute/pkg/layer"
	client "github.com/cuminroute/cuminroute/pkg/peer/engine"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/placementcontroller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

// fleet is four engines, of which two ignore fencing numbers, and the configuration in force.
type fleet struct {
	engines []*engine.Server
	pool    *client.Pool
	current atomic.Pointer[configuration.Configuration]

	mu     sync.Mutex
	orders []order
}

type order struct {
	by    string
	fence uint64
}

func configured(version string) *configuration.Configuration {
	return &configuration.Configuration{HeadOffice: configuration.HeadOffice{
		Placement:    configuration.Placement{Managed: true},
		Accelerators: []configuration.Accelerator{{Name: "A8", MemoryBytes: 4, Rate: 1000}},
		Models:       []configuration.Model{{Name: "darning", Version: version, Layers: 8, LayerBytes: 1}},
	}}
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{pool: client.NewPool()}
	t.Cleanup(f.pool.Close)
	f.current.Store(configured("1"))
	for n := range 4 {
		half := layer.Range{First: n % 2 * 4, End: n%2*4 + 4}
		e, err := engine.New(engine.WithName(fmt.Sprintf("w%d", n)), engine.WithModel("darning", 8, half), engine.WithFenceCheck(n < 2))
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(e.Close)
		f.engines = append(f.engines, e)
	}
	return f
}

func (f *fleet) address(name string) netip.AddrPort {
	for _, e := range f.engines {
		if e.Name() == name {
			return e.Addr()
		}
	}
	return netip.AddrPort{}
}

func reportOf(e *engine.Server) reconcile.Reported {
	r := e.Report()
	return reconcile.Reported{FencingToken: r.Fence, State: reconcile.State{
		Model: r.Model, Version: r.Version, Role: r.Role, Adapters: r.Adapters,
		Layers: layer.Range{First: int(r.FirstLayer), End: int(r.EndLayer)},
	}}
}

// member is one instance: a keeper and its own way to the table, which a test can break.
type member struct {
	*fleet
	*table.Client
	name   string
	cut    atomic.Bool
	keeper *placementcontroller.Controller
	moves  metrics.Registry
}

func (m *member) Configuration() *configuration.Configuration { return m.current.Load() }
func (m *member) Candidate() bool                             { return true }
func (m *member) SetDraining([]string)                        {}

func (m *member) Targets() []rollout.TargetState {
	var targets []rollout.TargetState
	for _, e := range m.engines {
		targets = append(targets, rollout.TargetState{
			Target: placement.Target{Name: e.Name(), Accelerator: "A8"}, Available: e.Alive(), Reported: reportOf(e), ReportRequestedAt: time.Now(),
		})
	}
	return targets
}

func (m *member) Assign(ctx context.Context, o reconcile.Assignment) (bool, error) {
	m.mu.Lock()
	m.orders = append(m.orders, order{m.name, o.FencingToken})
	m.mu.Unlock()
	return send(ctx, m.fleet, o)
}

func send(ctx context.Context, f *fleet, o reconcile.Assignment) (bool, error) {
	result, err := f.pool.Client(f.address(o.Target)).Assign(ctx, &enginepb.Assignment{
		Fence: o.FencingToken, Model: o.Model, Version: o.Version, FirstLayer: uint32(o.Layers.First), EndLayer: uint32(o.Layers.End), Role: o.Role,
	})
	return result.GetAccepted(), err
}

func (m *member) Commit(ctx context.Context, t table.Transaction) (table.Result, error) {
	if m.cut.Load() {
		return table.Result{}, table.ErrUnavailable
	}
	return m.Client.Commit(ctx, t)
}

func (m *member) Get(ctx context.Context, key string) (table.Row, error) {
	if m.cut.Load() {
		return table.Row{}, table.ErrUnavailable
	}
	return m.Client.Get(ctx, key)
}

func (f *fleet) join(t *testing.T, s *platform.Server, name string) *member {
	m := &member{fleet: f, Client: table.New(s.URL()), name: name, moves: metrics.NewRegistry()}
	holder := lease.New(dispatch.Key, name, name, lease.WithDurations(time.Second, 200*time.Millisecond, 100*time.Millisecond))
	m.keeper = placementcontroller.New(m, m, m, name, placementcontroller.WithInterval(20*time.Millisecond), placementcontroller.WithMetrics(m.moves),
		placementcontroller.WithDispatcherOptions(dispatch.WithInterval(20*time.Millisecond), dispatch.WithElector(holder)),
		placementcontroller.WithRolloutOptions(rollout.WithDurations(50*time.Millisecond, time.Second)))
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				for _, e := range f.engines {
					m.keeper.Report(time.Now(), e.Name(), reportOf(e))
				}
			}
		}
	}()
	t.Cleanup(func() {
		close(done)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = m.keeper.Close(ctx)
	})
	return m
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
	}
}

func (f *fleet) all(version string) func() bool {
	return func() bool {
		for _, e := range f.engines {
			if r := reportOf(e); e.Alive() && (r.Version != version || !r.Layers.Valid()) {
				return false
			}
		}
		return true
	}
}

// TestPausedHolder guards against a holder without the table that goes on giving orders, a successor
// that reshuffles engines or leaves them without orders, and an engine that a late order of the old
// holder leaves in an old state for good.
func TestPausedHolder(t *testing.T) {
	s, err := platform.New()
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	f := newFleet(t)
	first := f.join(t, s, "entry-1")
	eventually(t, "no placement was kept", func() bool {
		_, err := first.Client.Get(context.Background(), placementcontroller.Key)
		return err == nil
	})
	row, err := first.Client.Get(context.Background(), placementcontroller.Key)
	qt.Assert(t, err, qt.IsNil)
	second := f.join(t, s, "entry-2")
	f.current.Store(configured("2"))
	eventually(t, "version 2 was not loaded", f.all("2"))
	qt.Assert(t, first.keeper.HoldsLease() && !second.keeper.HoldsLease(), qt.IsTrue)

	first.cut.Store(true)
	eventually(t, "nobody took over", second.keeper.HoldsLease)
	qt.Assert(t, first.keeper.HoldsLease(), qt.IsFalse)
	f.mu.Lock()
	before := len(f.orders)
	f.mu.Unlock()
	time.Sleep(100 * time.Millisecond) // The successor looks at the fleet several times.
	kept, err := second.Client.Get(context.Background(), placementcontroller.Key)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, kept.Revision, qt.Equals, row.Revision)

	f.current.Store(configured("3"))
	eventually(t, "version 3 was not loaded", f.all("3"))
	first.cut.Store(false)
	stale := reconcile.Assignment{FencingToken: 1, State: reconcile.State{Model: "darning", Version: "2", Layers: layer.Range{End: 4}, Role: "Decode"}}
	for n, e := range f.engines {
		stale.Target = e.Name()
		accepted, err := send(context.Background(), f, stale)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, accepted, qt.Equals, n >= 2)
	}
	eventually(t, "the late orders were not corrected", f.all("3"))
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Assert(t, before < len(f.orders), qt.IsTrue)
	for _, o := range f.orders[before:] {
		qt.Assert(t, o.by, qt.Equals, "entry-2")
	}
}

// TestPlan guards against a plan without a bound where the configuration names the accelerators, and
// against a loss after which the layers are loaded nowhere.
func TestPlan(t *testing.T) {
	s, err := platform.New()
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	f := newFleet(t)
	unmanaged := configured("1")
	unmanaged.HeadOffice.Placement.Managed = false
	f.current.Store(unmanaged)
	m := f.join(t, s, "entry-1")
	plan := m.keeper.Plan(context.Background())
	qt.Assert(t, plan.Assignments, qt.HasLen, 4)
	qt.Assert(t, plan.Bound, qt.Equals, 500.0) // 4 targets of 1,000 layer-steps/s, 8 layers.
	qt.Assert(t, plan.LimitedBy, qt.Equals, placement.LimitedByCompute)

	f.engines[0].Kill()
	f.engines[2].Kill()
	f.current.Store(configured("1"))
	ranges := func() map[layer.Range]bool {
		held := map[layer.Range]bool{}
		for _, e := range []*engine.Server{f.engines[1], f.engines[3]} {
			held[reportOf(e).Layers] = true
		}
		return held
	}
	eventually(t, "the lost layers were not loaded elsewhere", func() bool { return ranges()[layer.Range{End: 4}] && ranges()[layer.Range{First: 4, End: 8}] })
	qt.Assert(t, metrics.GetOrRegisterCounter("orders.sent", m.moves).Count(), qt.Equals, int64(1))
}
