package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/decision/linkbudget"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/memorylimit"
	"github.com/cuminroute/cuminroute/pkg/decision/requestlimit"
	"github.com/cuminroute/cuminroute/pkg/decision/retry"
	"github.com/cuminroute/cuminroute/pkg/decision/room"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/quarantinesync"
	"github.com/cuminroute/cuminroute/pkg/sleep"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// minUnaryRetryAfter and minStreamRetryAfter are the lower bounds of Retry-After. Streams have the higher one
	// because they occupy capacity for longer.
	minUnaryRetryAfter  = 400 * time.Millisecond
	minStreamRetryAfter = 800 * time.Millisecond
	// writeGrace is how long after its deadline a response may still be written. A client that does not read blocks the writing.
	writeGrace = 5 * time.Second
	// firstSnapshotWait is how long a request waits for the first snapshot of a server that was started less than startTime ago.
	firstSnapshotWait     = 400 * time.Millisecond
	startTime             = 2 * time.Second
	snapshotCheckInterval = 10 * time.Millisecond
)

// Server serves requests. It is safe for concurrent use.
type Server struct {
	startedAt      time.Time
	snapshots      SnapshotSource
	upstream       Upstream
	stats          *targetstats.Tracker
	retryBudget    *retry.Budget
	linkBudget     *linkbudget.Budget
	memoryLimit    *memorylimit.Limit
	crashTracker   CrashTracker
	requestLimiter *requestlimit.Limiter
	dataCentre     string
	logger         *log.Logger
	registry       metrics.Registry
	counters       counters
	detector       *failureDetector
	rooms          roomSet
	mustEndBy      func() time.Time
	running        context.Context    // running ends when all requests must end.
	endRequests    context.CancelFunc // endRequests ends running.

	mu     sync.Mutex
	random *rand.Rand
}

// Option configures a Server.
type Option func(*Server)

// WithRetryBudget sets the retry budget.
func WithRetryBudget(b *retry.Budget) Option {
	return func(s *Server) { s.retryBudget = b }
}

// WithLinkBudget sets the budget of transfers between data centres.
func WithLinkBudget(b *linkbudget.Budget) Option {
	return func(s *Server) { s.linkBudget = b }
}

// WithCrashTracker sets the crash tracker.
func WithCrashTracker(t CrashTracker) Option {
	return func(s *Server) { s.crashTracker = t }
}

// WithRequestLimiter sets the limiter that keeps the request limits of targets.
func WithRequestLimiter(l *requestlimit.Limiter) Option {
	return func(s *Server) { s.requestLimiter = l }
}

// WithDataCentre sets the data centre of the instance.
func WithDataCentre(name string) Option {
	return func(s *Server) { s.dataCentre = name }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(s *Server) { s.logger = l }
}

// WithRegistry sets the metrics registry.
func WithRegistry(r metrics.Registry) Option {
	return func(s *Server) { s.counters, s.registry = newCounters(r), r }
}

// WithStop sets the function that returns when the requests of a stopping instance must have ended at the latest, or zero if
// there is no such bound. The server refuses requests whose deadline is later, since they might be cut off.
func WithStop(mustEndBy func() time.Time) Option {
	return func(s *Server) { s.mustEndBy = mustEndBy }
}

// WithDeadTargetHandler sets the function that is called for targets that this instance finds dead. ended means that
// the target's host refuses connections.
func WithDeadTargetHandler(handle func(t target.Target, ended bool)) Option {
	return func(s *Server) { s.detector.onDead = handle }
}

// WithAliveTargetHandler sets the function that is called for targets that this instance found dead and that respond
// again.
func WithAliveTargetHandler(handle func(t target.Target)) Option {
	return func(s *Server) { s.detector.onAlive = handle }
}

// WithControlProbe sets the function that connects to a host that is expected to respond. If it fails, a target that does
// not respond either is not taken for dead.
func WithControlProbe(control func(ctx context.Context) error) Option {
	return func(s *Server) { s.detector.control = control }
}

// WithProbeDelegate sets the function that asks the monitors of suspected targets to probe them, and returns the targets
// that this instance is to probe itself. The round counts the checks of the same stall. Without this option, the
// instance probes all suspects itself.
func WithProbeDelegate(delegate func(suspects []target.Target, round int, conclusive bool) (own []target.Target)) Option {
	return func(s *Server) { s.detector.delegate = delegate }
}

// WithLinkCheck sets the function that returns when this instance was found to have lost its link to a target that other
// instances reach, or zero if it has not. Attempts that started later do not use the link.
func WithLinkCheck(failedAt func(ctx context.Context, t target.Target) time.Time) Option {
	return func(s *Server) { s.detector.linkFailedAt = failedAt }
}

// New returns a server.
func New(snapshots SnapshotSource, upstream Upstream, stats *targetstats.Tracker, options ...Option) *Server {
	registry := metrics.NewRegistry()
	s := &Server{
		startedAt: time.Now(),
		snapshots: snapshots, upstream: upstream, stats: stats, retryBudget: retry.New(), linkBudget: linkbudget.New(), memoryLimit: memorylimit.New(),
		requestLimiter: requestlimit.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now()),
		crashTracker:   quarantinesync.New(func([]membership.Item) {}), logger: &log.DefaultLogger,
		mustEndBy: func() time.Time { return time.Time{} },
		registry:  registry, counters: newCounters(registry), rooms: roomSet{rooms: make(map[string]*room.Room)},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	s.running, s.endRequests = context.WithCancel(context.Background())
	s.detector = newFailureDetector(s)
	for _, o := range options {
		o(s)
	}
	return s
}

// awaitSnapshot waits until a server that has just started has its first snapshot, at most for firstSnapshotWait. The wait of a client
// that is refused instead would be longer, and clients come back a few times only. Later on, a snapshot that is missing is not
// about to arrive.
func (s *Server) awaitSnapshot(ctx context.Context) {
	end := time.Now().Add(firstSnapshotWait)
	if last := s.startedAt.Add(startTime); last.Before(end) {
		end = last
	}
	for s.snapshots.Snapshot() == nil && time.Now().Before(end) {
		if sleep.For(ctx, snapshotCheckInterval) != nil {
			return
		}
	}
}

// Serve handles a request. If the error is a *refusal.Error, nothing was written; http.ErrAbortHandler means that the
// response was started and the connection must be aborted.
func (s *Server) Serve(ctx context.Context, request *Request, w http.ResponseWriter) error {
	active := &activeRequest{Request: request, server: s}
	s.awaitSnapshot(ctx)
	err := active.admit()
	if err == nil {
		_ = http.NewResponseController(w).SetWriteDeadline(active.deadline.Add(writeGrace)) // Only response writers of tests lack deadlines.
		deadlineCtx, cancel := context.WithDeadline(ctx, active.deadline)
		stop := context.AfterFunc(s.running, cancel)
		s.retryBudget.RecordRequest(active.service.Name, request.ReceivedAt)
		if active.service.Engine != nil {
			err = active.serveStream(deadlineCtx, w)
		} else {
			err = active.serveUnary(deadlineCtx, w)
		}
		stop()
		cancel()
	}
	active.logResult(ctx, err)
	return err
}

// EndRequests ends all requests. Those whose response has not started end with an error response, the others are broken off.
func (s *Server) EndRequests() { s.endRequests() }

// isDead reports whether a target is marked dead.
func (s *Server) isDead(name string) bool {
	return s.stats.IsDead(name, time.Now())
}

// isDeadOrSaturated reports whether a target is marked dead or has just refused a request for lack of capacity.
func (s *Server) isDeadOrSaturated(name string) bool {
	now := time.Now()
	return s.stats.IsDead(name, now) || s.stats.Saturated(name, now)
}

// retryAfter returns the Retry-After of a refusal for a cause, with jitter so that clients do not retry at the same time. It is short,
// because overload is usually brief, unless targets lack room, of which the decision on room knows more.
func (r *activeRequest) retryAfter(cause error) time.Duration {
	base := minUnaryRetryAfter
	if r.service.Engine != nil {
		base = minStreamRetryAfter
	}
	if r.roomRequest != nil && lacksRoom(cause) {
		return r.roomRequest.room.RetryAfter(base, time.Until(r.deadline), time.Now())
	}
	return base + time.Duration(r.server.randomFloat()*float64(base))
}

// randomFloat returns a random number in [0, 1).
func (s *Server) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// withRandom runs a function with exclusive access to the random source.
func (s *Server) withRandom(f func(*rand.Rand)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.random)
}
