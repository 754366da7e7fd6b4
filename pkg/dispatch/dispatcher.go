// Package dispatch runs the lease and the reconciler of one instance: it maintains the lease row in the
// table service and sends due assignments to the targets.
//
// The candidates are the instances that may acquire the lease; the holder is the one that has it. Only
// candidates read and write the lease row. The holder writes it every 3.3 s and reads it only after a
// write without an answer; any other candidate reads it every 2 s. If every instance of a large fleet
// were a candidate, the reads would exceed the table's capacity, so the caller makes only a few of them
// candidates, for example by rendezvous hashing over the live members. Safety does not depend on that
// choice.
//
// Usage:
//
//	d := dispatch.New(tableClient, targetControl, "instance-3")
//	defer d.Close(ctx)
//	d.SetCandidate(true)
//	d.SetDesired(states)
//	d.Report(requestedAt, "target-1", reported)
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
	// DefaultInterval is the interval between two iterations of the loop. It is well below the 3.3 s
	// between lease renewals.
	DefaultInterval = 500 * time.Millisecond
	// standbyPollInterval is how often a candidate without the lease reads the row.
	standbyPollInterval = 2 * time.Second
)

// ErrAssignmentExpired means that an assignment was not sent because its timeout had passed.
var ErrAssignmentExpired = errors.New("assignment timed out before it was sent")

// Table is the part of the table service that the dispatcher uses.
type Table interface {
	Commit(ctx context.Context, t table.Transaction) (table.Result, error)
	Get(ctx context.Context, key string) (table.Row, error)
}

// TargetControl sends assignments to targets. Assign returns an error if the target did not answer
// before ctx ended.
type TargetControl interface {
	Assign(ctx context.Context, assignment reconcile.Assignment) (accepted bool, err error)
}

// Dispatcher sends assignments while it holds the lease. It is safe for concurrent use.
type Dispatcher struct {
	table         Table
	targetControl TargetControl
	interval      time.Duration

	mu           sync.Mutex
	elector      *lease.Elector
	reconciler   *reconcile.Reconciler
	candidate    bool
	rowKnown     bool      // rowKnown means that the row was read or written, and that no later write failed.
	fencingToken uint64    // fencingToken is the lease's token in the last iteration, 0 if no assignments were authorized.
	desiredToken uint64    // desiredToken is the fencing token of the lease that the desired states belong to, 0 for any.
	lastRead     time.Time // lastRead is when the row was last read.

	held     metrics.Gauge
	sent     metrics.Counter
	refused  metrics.Counter
	failed   metrics.Counter
	cancel   context.CancelFunc
	loops    sync.WaitGroup
	inFlight sync.WaitGroup
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithInterval sets the interval between two iterations of the loop.
func WithInterval(d time.Duration) Option {
	return func(o *Dispatcher) { o.interval = d }
}

// WithElector replaces the lease elector, for example by one with other durations.
func WithElector(h *lease.Elector) Option {
	return func(o *Dispatcher) { o.elector = h }
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

// New returns a dispatcher, not yet a candidate for the lease, and starts its goroutine.
func New(t Table, e TargetControl, instance string, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		table: t, targetControl: e, interval: DefaultInterval,
		elector:    lease.New(Key, instance, uuid.NewString()),
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

// SetDesired replaces the desired states of the targets. They are assigned under any lease.
func (d *Dispatcher) SetDesired(desired map[string]reconcile.State) {
	d.SetDesiredForToken(0, desired)
}

// SetDesiredForToken replaces the desired states of the targets by states that were computed under the
// lease with the fencing token. They are assigned only under that lease, so that an instance that was
// paused and has acquired the lease again does not assign states that it computed before the pause.
func (d *Dispatcher) SetDesiredForToken(fencingToken uint64, desired map[string]reconcile.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.desiredToken = fencingToken
	d.reconciler.SetDesired(desired)
}

// FencingToken returns the lease's fencing token and true if the lease authorized assignments in the last
// iteration of the loop, and 0 and false otherwise.
func (d *Dispatcher) FencingToken() (fencingToken uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fencingToken, d.fencingToken != 0
}

// Report records a target's answer to a report request that was made at requestedAt.
func (d *Dispatcher) Report(requestedAt time.Time, target string, r reconcile.Reported) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reconciler.Report(requestedAt, target, r)
}

// HoldsLease reports whether the lease authorized assignments in the last iteration of the loop.
func (d *Dispatcher) HoldsLease() bool {
	return d.held.Value() == 1
}

// OutOfSync returns the targets whose desired state is not confirmed by a report that was requested after
// their last assignment.
func (d *Dispatcher) OutOfSync() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reconciler.OutOfSync()
}

// Close stops sending assignments, waits for the assignments in flight, and releases the lease unless ctx ends
// first. A lease that is not released expires.
func (d *Dispatcher) Close(ctx context.Context) error {
	d.cancel()
	d.loops.Wait()
	d.inFlight.Wait()
	for d.elector.IsHolder() {
		if x, ok := d.elector.Release(time.Now()); ok {
			_, err := d.table.Commit(ctx, transaction(x))
			return err
		}
		if err := sleep.For(ctx, d.interval); err != nil {
			return err
		}
	}
	return nil
}

func transaction(x lease.Transaction) table.Transaction {
	return table.Transaction{
		Conditions: []table.Condition{{Key: x.Key, Revision: x.Revision.Number}},
		Writes:     []table.Write{{Key: x.Key, Value: x.Value}},
	}
}
