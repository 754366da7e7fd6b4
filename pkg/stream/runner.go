package stream

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/target"
)

// Runner generates responses. It is safe for concurrent use.
type Runner struct {
	router       Router
	stages       func(target.Target) Stage // stages returns the client of a target.
	crashTracker CrashTracker
	retryBudget  RetryBudget
	now          func() time.Time
	backoff      func(attempt int) time.Duration
	logger       *log.Logger
	registry     metrics.Registry
	counters     counters
	stepTimes    *stepTimes
	crashReports *crashReports
	cleanup      sync.WaitGroup // cleanup counts the cancellations and probes in the background.
	closing      sync.Mutex     // closing guards closed.
	closed       bool           // closed stops new cancellations, since responses may outlive a killed instance.
}

// Option configures a Runner.
type Option func(*Runner)

// WithCrashTracker reports crashes to t and refuses the content that t has quarantined.
func WithCrashTracker(t CrashTracker) Option {
	return func(r *Runner) { r.crashTracker = t }
}

// WithRetryBudget limits the new generations after a failure by b.
func WithRetryBudget(b RetryBudget) Option {
	return func(r *Runner) { r.retryBudget = b }
}

// WithClock replaces the clock. The watchdog of a step always uses the system clock.
func WithClock(now func() time.Time) Option {
	return func(r *Runner) { r.now = now }
}

// WithBackoff replaces the delay of each wait during a response. Its argument is the number of the wait, counted from 1.
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

// NewRunner returns a runner that gets routes from router and reaches targets through stages.
func NewRunner(router Router, stages func(target.Target) Stage, options ...Option) *Runner {
	r := &Runner{
		router: router, stages: stages, crashTracker: noCrashTracker{}, retryBudget: noRetryBudget{},
		now: time.Now, backoff: defaultBackoff, logger: &log.DefaultLogger,
		stepTimes: newStepTimes(), crashReports: newCrashReports(),
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

// Close stops new cancellations and waits for the cancellations and probes in flight, which takes at most a few
// seconds.
func (r *Runner) Close() {
	r.closing.Lock()
	r.closed = true
	r.closing.Unlock()
	r.cleanup.Wait()
}

// cleanUpAsync runs f in the background, or not at all if the runner is closed.
func (r *Runner) cleanUpAsync(f func()) {
	r.closing.Lock()
	defer r.closing.Unlock()
	if !r.closed {
		r.cleanup.Go(f)
	}
}

// Run generates the response to req and passes its tokens to emit in order, each exactly once. Run returns after
// the explicit end of the response or after MaxTokens tokens, or with an error that refusal.FromError turns into an
// outcome. An error of emit ends the response.
func (r *Runner) Run(ctx context.Context, req Request, emit func(Token) error) (Summary, error) {
	resp := newResponse(r, req, emit)
	err := resp.run(ctx)
	return resp.summary, err
}

// noCrashTracker lets all content run on any target.
type noCrashTracker struct{}

func (noCrashTracker) Check(uint64, time.Time, ...uint64) Verdict       { return Free }
func (noCrashTracker) RequestStarted(string, uint64, string, ...uint64) {}
func (noCrashTracker) RequestProgressed(string)                         {}
func (noCrashTracker) TargetResponded(string)                           {}
func (noCrashTracker) TargetCrashed(string, time.Time)                  {}
func (noCrashTracker) RequestFinished(string, string)                   {}
func (noCrashTracker) RequestCompleted(uint64)                          {}

// noRetryBudget allows all retries.
type noRetryBudget struct{}

func (noRetryBudget) RecordRequest(string, time.Time) {}
func (noRetryBudget) Allow(string, time.Time) bool    { return true }

type counters struct {
	responses        metrics.Counter
	generations      metrics.Counter
	tokens           metrics.Counter
	crashed          metrics.Counter
	frozen           metrics.Counter
	refused          metrics.Counter
	mismatched       metrics.Counter
	invariantsBroken metrics.Counter
	failed           metrics.Counter
	probes           metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("stream."+name, r) }
	return counters{
		responses: counter("answers"), generations: counter("generations"), tokens: counter("tokens"),
		crashed: counter("stages_crashed"), frozen: counter("stages_frozen"), refused: counter("stages_refused"),
		mismatched: counter("results_mismatched"), invariantsBroken: metrics.GetOrRegisterCounter("invariant_broken", r),
		failed: counter("answers_failed"), probes: counter("probes"),
	}
}
