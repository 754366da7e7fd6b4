// Package dispatch runs the lease and the reconciler of one instance: it keeps the lease row in the
// table service and sends the orders that are due to the engines.
//
// Only candidates read and write the lease row. The holder writes it every 3.3 s and reads it only
// after a write without an answer; another candidate reads it every 2 s. With every instance of a
// large fleet as a candidate the reads would exceed what the table serves, so the caller makes a
// few of them candidates, for example by rendezvous hashing over the live members. Safety does not
// depend on that choice.
//
// Usage:
//
//	d := dispatch.New(tableClient, engines, "entry-3")
//	defer d.Close(ctx)
//	d.SetCandidate(true)
//	d.SetDesired(plan)
//	d.Report(asked, "worker-1", reported)
package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/sleep"
)

const (
	// Key is the key of the lease row.
	Key = "leases/orders"
	// DefaultInterval is the pause between two turns. It is well below the 3.3 s between renewals.
	DefaultInterval = 500 * time.Millisecond
	// watchInterval is how often a candidate without the lease reads the row.
	watchInterval = 2 * time.Second
)

// ErrAssignmentExpired means that an order was not sent because its time limit had passed.
var ErrAssignmentExpired = errors.New("the order's time limit passed before it was sent")

// Table is what the dispatcher needs of the table service.
type Table interface {
	Commit(ctx context.Context, t table.Transaction) (table.Result, error)
	Get(ctx context.Context, key string) (table.Row, error)
}

// TargetControl sends one order. It returns an error if the engine did not answer before ctx ended.
type TargetControl interface {
	Assign(ctx context.Context, order reconcile.Assignment) (accepted bool, err error)
}

// Dispatcher gives orders while it holds the lease. It is safe for concurrent use.
type Dispatcher struct {
	table   Table
	engines TargetControl
	tick    time.Duration

	mu         sync.Mutex
	holder     *lease.Elector
	reconciler *reconcile.Reconciler
	candidate  bool
	current    bool   // current means that the row is known since the last write.
	fence      uint64 // fence is the lease's fencing number at the last turn, 0 where no order was allowed.
	under      uint64 // under is the fencing number of the lease that the desired states belong to, 0 for any.
	watched    time.Time

	held     metrics.Gauge
	sent     metrics.Counter
	refused  metrics.Counter
	failed   metrics.Counter
	cancel   context.CancelFunc
	loops    sync.WaitGroup
	inFlight sync.WaitGroup
}

// Option changes a Dispatcher when it is made.
type Option func(*Dispatcher)

// WithInterval sets the pause between two turns.
func WithInterval(d time.Duration) Option {
	return func(o *Dispatcher) { o.tick = d }
}

// WithElector replaces the lease holder, for example by one with other times.
func WithElector(h *lease.Elector) Option {
	return func(o *Dispatcher) { o.holder = h }
}

// WithMetrics registers the gauge orders.held and the counters orders.sent, orders.refused and
// orders.failed in r.
func WithMetrics(r metrics.Registry) Option {
	return func(o *Dispatcher) {
		o.held = metrics.GetOrRegisterGauge("orders.held", r)
		o.sent = metrics.GetOrRegisterCounter("orders.sent", r)
		o.refused = metrics.GetOrRegisterCounter("orders.refused", r)
		o.failed = metrics.GetOrRegisterCounter("orders.failed", r)
	}
}

// New returns a dispatcher that is not a candidate yet and starts its goroutine.
func New(t Table, e TargetControl, instance string, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		table: t, engines: e, tick: DefaultInterval,
		holder:     lease.New(Key, instance, uuid.NewString()),
		reconciler: reconcile.New(),
	}
	WithMetrics(metrics.NewRegistry())(d)
	for _, opt := range opts {
		opt(d)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.loops.Go(func() { d.run(ctx) })
	return d
}

// SetCandidate sets whether this instance tries to hold the lease.
func (d *Dispatcher) SetCandidate(candidate bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.candidate = candidate
}

// SetDesired replaces the desired states of the engines, whatever the lease.
func (d *Dispatcher) SetDesired(desired map[string]reconcile.State) {
	d.SetDesiredForToken(0, desired)
}

// SetDesiredForToken replaces the desired states of the engines by states that were computed under the
// lease with the fencing number. They are ordered only under that lease, so that an instance that
// was paused and holds the lease anew does not order what it computed before the pause.
func (d *Dispatcher) SetDesiredForToken(fence uint64, desired map[string]reconcile.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.under = fence
	d.reconciler.SetDesired(desired)
}

// FencingToken returns the lease's fencing number, and whether orders were allowed at the last turn.
func (d *Dispatcher) FencingToken() (fence uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence, d.fence != 0
}

// Report takes in what an engine said of itself in answer to a request made at the time asked.
func (d *Dispatcher) Report(asked time.Time, target string, r reconcile.Reported) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reconciler.Report(asked, target, r)
}

// HoldsLease reports whether this instance may give orders now.
func (d *Dispatcher) HoldsLease() bool {
	return d.held.Value() == 1
}

// OutOfSync returns the targets that are not known to be in their desired state.
func (d *Dispatcher) OutOfSync() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reconciler.OutOfSync()
}

// Close stops giving orders, waits for those in flight, and releases the lease unless ctx ends
// first. A lease that is not released lapses.
func (d *Dispatcher) Close(ctx context.Context) error {
	d.cancel()
	d.loops.Wait()
	d.inFlight.Wait()
	for d.holder.IsHolder() {
		if x, ok := d.holder.Release(time.Now()); ok {
			_, err := d.table.Commit(ctx, transaction(x))
			return err
		}
		if err := sleep.For(ctx, d.tick); err != nil {
			return err
		}
	}
	return nil
}

func transaction(x lease.Transaction) table.Transaction {
	return table.Transaction{
		Conditions: []table.Condition{{Key: x.Key, Revision: x.Revision}},
		Writes:     []table.Write{{Key: x.Key, Value: x.Value}},
	}
}
