package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/retry"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/quarantinesync"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// plainReturn and streamReturn are the shortest waits of refused callers. Streams hold their places longer.
	plainReturn  = 400 * time.Millisecond
	streamReturn = 800 * time.Millisecond
)

// Server serves requests. It is safe for concurrent use.
type Server struct {
	views      SnapshotSource
	upstream   Upstream
	meter      *targetstats.Tracker
	budget     *retry.Budget
	ledger     CrashTracker
	dataCentre string
	logger     *log.Logger
	counters   counters
	watch      *watch
	stopsSoon  func() bool

	mu     sync.Mutex
	random *rand.Rand
}

// Option changes a server.
type Option func(*Server)

// WithRetryBudget sets the retry budget.
func WithRetryBudget(b *retry.Budget) Option {
	return func(s *Server) { s.budget = b }
}

// WithCrashTracker sets the ledger of crashes.
func WithCrashTracker(l CrashTracker) Option {
	return func(s *Server) { s.ledger = l }
}

// WithDataCentre sets where the instance stands.
func WithDataCentre(name string) Option {
	return func(s *Server) { s.dataCentre = name }
}

// WithLogger sets the logger of decisions.
func WithLogger(l *log.Logger) Option {
	return func(s *Server) { s.logger = l }
}

// WithRegistry sets the registry of the counters.
func WithRegistry(r metrics.Registry) Option {
	return func(s *Server) { s.counters = newCounters(r) }
}

// WithStopping sets what reports that this instance stops soon, so that it takes no more requests that run for long.
func WithStopping(soon func() bool) Option {
	return func(s *Server) { s.stopsSoon = soon }
}

// WithDeadTargetHandler sets who is told of targets that this instance finds dead.
func WithDeadTargetHandler(tell func(t target.Target)) Option {
	return func(s *Server) { s.watch.tell = tell }
}

// New returns a server.
func New(views SnapshotSource, upstream Upstream, meter *targetstats.Tracker, options ...Option) *Server {
	s := &Server{
		views: views, upstream: upstream, meter: meter, budget: retry.New(), ledger: quarantinesync.New(func([]membership.Item) {}), logger: &log.DefaultLogger,
		stopsSoon: func() bool { return false },
		counters:  newCounters(metrics.NewRegistry()), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	s.watch = newWatch(s)
	for _, o := range options {
		o(s)
	}
	return s
}

// Serve answers a call. An error is a *refusal.Error and means that nothing was written; http.ErrAbortHandler means
// that the answer was begun and must be broken off.
func (s *Server) Serve(ctx context.Context, c *Request, w http.ResponseWriter) error {
	r := &activeRequest{Request: c, server: s}
	err := r.admit()
	if err == nil {
		bounded, cancel := context.WithDeadline(ctx, r.deadline)
		s.budget.RecordRequest(r.service.Name, c.ReceivedAt)
		if r.service.Engine != nil {
			err = r.stream(bounded, w)
		} else {
			err = r.plain(bounded, w)
		}
		cancel()
	}
	r.record(ctx, err)
	return err
}

// dead reports whether a target is known not to answer.
func (s *Server) dead(name string) bool {
	return s.meter.IsDead(name, time.Now())
}

// retryAfter is when a refused caller should return: early where a moment's load is at fault, spread so that callers do
// not return together.
func (s *Server) retryAfter(service *catalogue.Service) time.Duration {
	base := plainReturn
	if service.Engine != nil {
		base = streamReturn
	}
	return base + time.Duration(s.float()*float64(base))
}

// float returns a random number in [0, 1).
func (s *Server) float() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// draw runs a function with the random source.
func (s *Server) draw(f func(*rand.Rand)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.random)
}
