// Package placementcontroller controls the placement of model layers on targets: it computes the plan and
// its throughput bound and, if the configuration sets Placement.Managed, assigns the planned layers to
// the targets.
//
// A few candidates compete for the lease of package dispatch. The holder repairs the plan, stores it in
// one row of the table service by compare-and-swap, and passes the states that may be assigned now to
// the dispatcher. A successor reads the row first and continues from it. Nothing is computed or
// assigned from a row that was read under an earlier lease.
//
// Usage:
//
//	c := placementcontroller.New(tableClient, targetControl, fleet, "instance-3")
//	defer c.Close(ctx)
//	c.Report(requestedAt, "target-1", reported)
//	plan := c.Plan(ctx)
package placementcontroller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
	"github.com/cuminroute/cuminroute/pkg/dispatch"
)

const (
	// DefaultInterval is the interval between two iterations of the control loop.
	DefaultInterval = time.Second
	// minAvailable is the fraction of the known targets that must be available for a change of the plan. A
	// lease holder that reaches fewer is more likely partitioned from the network itself than observing
	// the failure of two of three data centres.
	minAvailable = 0.5
)

// Fleet is the controller's view of its instance.
type Fleet interface {
	// Configuration returns the active configuration.
	Configuration() *configuration.Configuration
	// Targets returns every listed target. The controller fills in memory, rate and link.
	Targets() []rollout.TargetState
	// Candidate reports whether this instance is one of the few that may hold the lease.
	Candidate() bool
	// SetDraining replaces the set of targets that get no new requests because their layers change. Only
	// the lease holder calls it.
	SetDraining(targets []string)
}

// Controller controls the placement. It is safe for concurrent use.
type Controller struct {
	table          dispatch.Table
	fleet          Fleet
	dispatcher     *dispatch.Dispatcher
	interval       time.Duration
	logger         *log.Logger
	outOfSync      atomic.Pointer[[]string] // outOfSync is the result of OutOfSync.
	moves          metrics.Counter
	failures       metrics.Counter
	outOfSyncCount metrics.Gauge

	dispatcherOptions []dispatch.Option
	rolloutOptions    []rollout.Option

	state  leaseState // state is used only by the loop's goroutine.
	cancel context.CancelFunc
	loop   sync.WaitGroup
}

// leaseState is the state that a holder keeps under one lease.
type leaseState struct {
	fencingToken uint64                 // fencingToken is the token of the lease that the state belongs to, 0 for none.
	rowRead      bool                   // rowRead means that the row was read under this lease.
	revision     uint64                 // revision is the row's revision.
	plan         []placement.Assignment // plan is the plan in the row.
	inputsHash   uint64                 // inputsHash is the hash of the inputs that the plan was last checked against.
	rollout      *rollout.Rollout
}

// Option configures a Controller.
type Option func(*Controller)

// WithInterval sets the interval between two iterations of the control loop.
func WithInterval(d time.Duration) Option {
	return func(c *Controller) { c.interval = d }
}

// WithLogger sets the logger for changes of the plan.
func WithLogger(l *log.Logger) Option {
	return func(c *Controller) { c.logger = l }
}

// WithDispatcherOptions passes options to the dispatcher of assignments.
func WithDispatcherOptions(opts ...dispatch.Option) Option {
	return func(c *Controller) { c.dispatcherOptions = append(c.dispatcherOptions, opts...) }
}

// WithRolloutOptions passes options to the rollout.
func WithRolloutOptions(opts ...rollout.Option) Option {
	return func(c *Controller) { c.rolloutOptions = append(c.rolloutOptions, opts...) }
}

// WithMetrics registers placing.moves, placing.failures, placing.differing and the metrics of the
// dispatcher in r.
func WithMetrics(r metrics.Registry) Option {
	return func(c *Controller) {
		c.moves = metrics.GetOrRegisterCounter("placing.moves", r)
		c.failures = metrics.GetOrRegisterCounter("placing.failures", r)
		c.outOfSyncCount = metrics.GetOrRegisterGauge("placing.differing", r)
		c.dispatcherOptions = append(c.dispatcherOptions, dispatch.WithMetrics(r))
	}
}

// New returns a controller and starts its goroutine.
func New(t dispatch.Table, e dispatch.TargetControl, f Fleet, instance string, opts ...Option) *Controller {
	c := &Controller{table: t, fleet: f, interval: DefaultInterval, logger: &log.Logger{Level: log.PanicLevel}}
	WithMetrics(metrics.NewRegistry())(c)
	for _, opt := range opts {
		opt(c)
	}
	c.outOfSync.Store(&[]string{})
	c.dispatcher = dispatch.New(t, e, instance, c.dispatcherOptions...)
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.loop.Go(func() { c.run(ctx) })
	return c
}

// Report records a target's answer to a report request that was made at requestedAt.
func (c *Controller) Report(requestedAt time.Time, target string, r reconcile.Reported) {
	c.dispatcher.Report(requestedAt, target, r)
}

// OutOfSync returns the available targets whose newest report differed from the plan in the last iteration
// of the control loop. The list is empty unless this instance holds the lease.
func (c *Controller) OutOfSync() []string {
	return *c.outOfSync.Load()
}

// HoldsLease reports whether this instance holds the lease and may send assignments.
func (c *Controller) HoldsLease() bool {
	_, ok := c.dispatcher.FencingToken()
	return ok
}

// Close stops the controller, and releases the lease unless ctx ends first.
func (c *Controller) Close(ctx context.Context) error {
	c.cancel()
	c.loop.Wait()
	return c.dispatcher.Close(ctx)
}

func (c *Controller) run(ctx context.Context) {
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.runOnce(ctx)
		}
	}
}
