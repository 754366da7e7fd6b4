// Package placementcontroller keeps the placement of model layers: it states the plan and its throughput bound
// and, where the configuration manages the placement, brings the engines to it.
//
// A few candidates run the lease of package dispatch. The holder repairs the plan, keeps it in one
// row of the table by compare-and-swap, and hands the states that may be ordered now to the
// dispatcher. A successor reads the row first and goes on from it. Nothing is computed or ordered
// from a row that was read under an earlier lease.
//
// Usage:
//
//	k := placementcontroller.New(tableClient, engines, fleet, "entry-3")
//	defer k.Close(ctx)
//	k.Report(asked, "worker-1", reported)
//	plan, err := k.Plan(ctx)
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
	// DefaultInterval is the pause between two looks at the fleet.
	DefaultInterval = time.Second
	// leastHeard is the part of the known targets that must be available for a change of the plan. A
	// holder that hears fewer is more likely cut off itself than a witness of the loss of two data
	// centres of three.
	leastHeard = 0.5
)

// Fleet is what the keeper needs of its instance.
type Fleet interface {
	// Configuration returns the configuration in force.
	Configuration() *configuration.Configuration
	// Targets returns every listed engine. Memory, rate and link are filled by the keeper.
	Targets() []rollout.TargetState
	// Candidate reports whether this instance is one of the few that may hold the lease.
	Candidate() bool
	// SetDraining replaces the set of targets that get no new work because their layers change. Only the
	// holder of the lease calls it.
	SetDraining(targets []string)
}

// Controller keeps the placement. It is safe for concurrent use.
type Controller struct {
	table      dispatch.Table
	fleet      Fleet
	dispatcher *dispatch.Dispatcher
	tick       time.Duration
	logger     *log.Logger
	waiting    atomic.Pointer[[]string]
	moves      metrics.Counter
	failures   metrics.Counter
	differing  metrics.Gauge

	dispatcherOptions []dispatch.Option
	rolloutOptions    []rollout.Option

	state  holding // state belongs to the goroutine.
	cancel context.CancelFunc
	loop   sync.WaitGroup
}

// holding is what the holder of one lease knows.
type holding struct {
	fence    uint64 // fence is the lease's fencing number, 0 where this instance does not hold it.
	known    bool   // known means that the row was read under this lease.
	revision uint64
	plan     []placement.Assignment
	inputs   uint64 // inputs is the hash of what the plan was made from.
	rollout  *rollout.Rollout
}

// Option changes a Keeper when it is made.
type Option func(*Controller)

// WithInterval sets the pause between two looks at the fleet.
func WithInterval(d time.Duration) Option {
	return func(k *Controller) { k.tick = d }
}

// WithLogger sets where changes of the plan are logged.
func WithLogger(l *log.Logger) Option {
	return func(k *Controller) { k.logger = l }
}

// WithDispatcherOptions passes options to the dispatcher of orders.
func WithDispatcherOptions(opts ...dispatch.Option) Option {
	return func(k *Controller) { k.dispatcherOptions = append(k.dispatcherOptions, opts...) }
}

// WithRolloutOptions passes options to the rollout.
func WithRolloutOptions(opts ...rollout.Option) Option {
	return func(k *Controller) { k.rolloutOptions = append(k.rolloutOptions, opts...) }
}

// WithMetrics registers placing.moves, placing.failures, placing.differing and the metrics of the
// dispatcher in r.
func WithMetrics(r metrics.Registry) Option {
	return func(k *Controller) {
		k.moves = metrics.GetOrRegisterCounter("placing.moves", r)
		k.failures = metrics.GetOrRegisterCounter("placing.failures", r)
		k.differing = metrics.GetOrRegisterGauge("placing.differing", r)
		k.dispatcherOptions = append(k.dispatcherOptions, dispatch.WithMetrics(r))
	}
}

// New returns a keeper and starts its goroutine.
func New(t dispatch.Table, e dispatch.TargetControl, f Fleet, instance string, opts ...Option) *Controller {
	k := &Controller{table: t, fleet: f, tick: DefaultInterval, logger: &log.Logger{Level: log.PanicLevel}}
	WithMetrics(metrics.NewRegistry())(k)
	for _, opt := range opts {
		opt(k)
	}
	k.waiting.Store(&[]string{})
	k.dispatcher = dispatch.New(t, e, instance, k.dispatcherOptions...)
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.loop.Go(func() { k.run(ctx) })
	return k
}

// Report takes in what an engine said of itself in answer to a request made at the time asked.
func (k *Controller) Report(asked time.Time, target string, r reconcile.Reported) {
	k.dispatcher.Report(asked, target, r)
}

// OutOfSync returns the targets whose reports the keeper waits for. It is empty unless this instance
// holds the lease.
func (k *Controller) OutOfSync() []string {
	return *k.waiting.Load()
}

// HoldsLease reports whether this instance gives the orders.
func (k *Controller) HoldsLease() bool {
	_, ok := k.dispatcher.FencingToken()
	return ok
}

// Close stops the keeper, and releases the lease unless ctx ends first.
func (k *Controller) Close(ctx context.Context) error {
	k.cancel()
	k.loop.Wait()
	return k.dispatcher.Close(ctx)
}

func (k *Controller) run(ctx context.Context) {
	ticker := time.NewTicker(k.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.turn(ctx)
		}
	}
}
