package stream

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/target"
)

// Runner produces answers. It is safe for concurrent use.
type Runner struct {
	router    Router
	stages    func(target.Target) Stage
	ledger    CrashTracker
	budget    RetryBudget
	now       func() time.Time
	backoff   func(attempt int) time.Duration
	logger    *log.Logger
	registry  metrics.Registry
	counters  counters
	deadlines *deadlines
	crashes   *crashes
	cleanup   sync.WaitGroup
	closing   sync.Mutex
	closed    bool // closed is set when no more cleanups may start; answers may outlast a killed instance.
}

// Option changes a runner.
type Option func(*Runner)

// WithCrashTracker reports crashes to l and refuses the fingerprints that l holds in quarantine.
func WithCrashTracker(l CrashTracker) Option {
	return func(r *Runner) { r.ledger = l }
}

// WithRetryBudget limits new generations by b.
func WithRetryBudget(b RetryBudget) Option {
	return func(r *Runner) { r.budget = b }
}

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(r *Runner) { r.now = now }
}

// WithBackoff replaces the wait before an attempt, counted from 1, that follows a refusal.
func WithBackoff(backoff func(attempt int) time.Duration) Option {
	return func(r *Runner) { r.backoff = backoff }
}

// WithLogger replaces the logger.
func WithLogger(l *log.Logger) Option {
	return func(r *Runner) { r.logger = l }
}

// WithRegistry sets the registry that holds the runner's metrics.
func WithRegistry(m metrics.Registry) Option {
	return func(r *Runner) { r.registry = m }
}

// NewRunner returns a runner that places answers by router and reaches targets by stages.
func NewRunner(router Router, stages func(target.Target) Stage, options ...Option) *Runner {
	r := &Runner{
		router: router, stages: stages, ledger: noLedger{}, budget: noBudget{},
		now: time.Now, backoff: pauseBefore, logger: &log.DefaultLogger,
		deadlines: newDeadlines(), crashes: newCrashes(),
	}
	for _, option := range options {
		option(r)
	}
	if r.registry == nil {
		r.registry = metrics.NewRegistry()
	}
	r.counters = newCounters(r.registry)
	return r
}

// Close waits until what ended answers held on the engines has been cancelled, at most a few seconds.
func (r *Runner) Close() {
	r.closing.Lock()
	r.closed = true
	r.closing.Unlock()
	r.cleanup.Wait()
}

// cleanUp runs f beside the answers, until Close.
func (r *Runner) cleanUp(f func()) {
	r.closing.Lock()
	defer r.closing.Unlock()
	if !r.closed {
		r.cleanup.Go(f)
	}
}

// Run produces the answer to req and passes its tokens to emit in order, each exactly once. It returns
// after the answer's explicit end, or with an error that refusal.From turns into an outcome. An error
// of emit ends the answer.
func (r *Runner) Run(ctx context.Context, req Request, emit func(Token) error) (Summary, error) {
	a := newAnswer(r, req, emit)
	err := a.run(ctx)
	return a.summary, err
}

type noLedger struct{}

func (noLedger) Check(uint64, time.Time) Verdict       { return Free }
func (noLedger) RequestStarted(string, uint64, string) {}
func (noLedger) RequestProgressed(string)              {}
func (noLedger) TargetResponded(string)                {}
func (noLedger) TargetCrashed(string, time.Time)       {}
func (noLedger) RequestFinished(string, string)        {}
func (noLedger) RequestCompleted(uint64)               {}

type noBudget struct{}

func (noBudget) RecordRequest(string, time.Time) {}
func (noBudget) Allow(string, time.Time) bool    { return true }

type counters struct {
	answers     metrics.Counter
	generations metrics.Counter
	tokens      metrics.Counter
	crashed     metrics.Counter
	frozen      metrics.Counter
	refused     metrics.Counter
	mismatched  metrics.Counter
	violated    metrics.Counter
	failed      metrics.Counter
	probes      metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("stream."+name, r) }
	return counters{
		answers: counter("answers"), generations: counter("generations"), tokens: counter("tokens"),
		crashed: counter("stages_crashed"), frozen: counter("stages_frozen"), refused: counter("stages_refused"),
		mismatched: counter("results_mismatched"), violated: metrics.GetOrRegisterCounter("invariant_broken", r), failed: counter("answers_failed"),
		probes: counter("probes"),
	}
}
