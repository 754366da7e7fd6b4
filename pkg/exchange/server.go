package exchange

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/decision/quarantine"
	"github.com/cuminroute/cuminroute/pkg/decision/retry"
	"github.com/cuminroute/cuminroute/pkg/decision/usage"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/target"
	"github.com/cuminroute/cuminroute/pkg/verdict"
)

const (
	// unconfiguredAfter is when a caller comes back to an instance that knows no configuration yet.
	unconfiguredAfter = 100 * time.Millisecond
	// staleAfter is when a caller comes back if the configuration may be out of date. Another instance may serve it.
	staleAfter = 200 * time.Millisecond
	// stoppingAfter is when a caller comes back that a stopping instance refuses: another instance takes it at once.
	stoppingAfter = 50 * time.Millisecond
	// heldAfter is when a caller comes back whose request is suspected; a verdict usually takes a second.
	heldAfter = time.Second
	// maxRefusals bounds the targets asked for one request that refuse without running it.
	maxRefusals = 4
)

// Server serves requests. It is safe for concurrent use.
type Server struct {
	views      Views
	upstream   Upstream
	meter      *usage.Meter
	budget     *retry.Budget
	ledger     Ledger
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

// WithBudget sets the retry budget.
func WithBudget(b *retry.Budget) Option {
	return func(s *Server) { s.budget = b }
}

// WithLedger sets the ledger of crashes.
func WithLedger(l Ledger) Option {
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

// WithStop sets what reports that this instance stops soon, so that it takes no more requests that run for long.
func WithStop(soon func() bool) Option {
	return func(s *Server) { s.stopsSoon = soon }
}

// WithLossReport sets who is told of targets that this instance finds dead.
func WithLossReport(tell func(t target.Target)) Option {
	return func(s *Server) { s.watch.tell = tell }
}

// New returns a server.
func New(views Views, upstream Upstream, meter *usage.Meter, options ...Option) *Server {
	s := &Server{
		views: views, upstream: upstream, meter: meter, budget: retry.New(), ledger: verdict.New(func([]membership.Item) {}), logger: &log.DefaultLogger,
		stopsSoon: func() bool { return false },
		counters:  newCounters(metrics.NewRegistry()), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	s.watch = newWatch(s)
	for _, o := range options {
		o(s)
	}
	return s
}

// request is a call on its way through the server.
type request struct {
	*Call
	server      *Server
	view        *View
	route       *catalogue.Route
	service     *catalogue.Service
	workspace   string
	rank        int
	fingerprint uint64    // fingerprint is the fingerprint of what the caller sent.
	deadline    time.Time // deadline is when the final answer is due.
	avoided     map[string]bool
	refusals    int             // refusals counts the attempts that provably did not run.
	attempts    int             // attempts counts those that may have run.
	ran         map[string]bool // ran names the targets that may have run the request, as the first of a path.
	targets     []string        // targets lists the target of each attempt, or its path.
	crossings   int             // crossings counts the changes of data centre on the last path.
	first       time.Duration   // first is the time to the first event.
	events      int
	longest     time.Duration // longest is the longest pause between events.
	resumes     int
	repaths     atomic.Int32
}

// Serve answers a call. An error is a *refusal.Error and means that nothing was written; http.ErrAbortHandler means
// that the answer was begun and must be broken off.
func (s *Server) Serve(ctx context.Context, c *Call, w http.ResponseWriter) error {
	r := &request{Call: c, server: s}
	err := r.admit()
	if err == nil {
		bounded, cancel := context.WithDeadline(ctx, r.deadline)
		s.budget.Request(r.service.Name, c.Arrived)
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

// admit finds the route and checks the key.
func (r *request) admit() error {
	view := r.server.views.View()
	if view == nil {
		return refusal.New(http.StatusServiceUnavailable, "no_configuration", outcome.NotRun,
			"this instance has no configuration yet").After(unconfiguredAfter)
	}
	r.view = view
	fresh := r.server.views.Fresh()
	route, ok := view.Catalogue.Route(r.Host, r.Path)
	if !ok {
		return r.unlessStale(fresh, refusal.New(http.StatusNotFound, "no_route", outcome.NotRun, "no route matches %s%s", r.Host, r.Path))
	}
	r.route, r.rank = route, route.Priority
	if !route.Public {
		workspace, ok := view.Catalogue.Workspace(r.Key)
		if !ok {
			return r.unlessStale(fresh, refusal.New(http.StatusUnauthorized, "unknown_key", outcome.NotRun, "the key is not known"))
		}
		if !fresh {
			return r.stale()
		}
		r.workspace = workspace.Name
		if workspace.Ranked {
			r.rank = workspace.Priority
		}
	}
	if err := r.checkCrashes(); err != nil {
		return err
	}
	r.service = view.Catalogue.Service(route.Service(xxhash.Sum64String(r.ID)))
	if r.service.Engine != nil && r.server.stopsSoon() {
		return refusal.New(http.StatusServiceUnavailable, "stopping", outcome.NotRun, "this instance stops soon").After(stoppingAfter)
	}
	r.deadline = r.Arrived.Add(route.Timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(r.deadline) {
		r.deadline = r.Deadline
	}
	return nil
}

// checkCrashes refuses a request that is known to crash the targets that run it, or may be.
func (r *request) checkCrashes() error {
	r.fingerprint = quarantine.Fingerprint(r.workspace, append([]byte(r.Method+" "+r.Host+r.URI+"\n"), r.Body...))
	switch r.server.ledger.Check(r.fingerprint, time.Now()) {
	case quarantine.Quarantined:
		return refusal.New(http.StatusBadGateway, "crashes_targets", outcome.Failed, "this request crashes the targets that run it")
	case quarantine.Held:
		return refusal.New(http.StatusServiceUnavailable, "crash_suspected", outcome.NotRun, "this request may have crashed a target").
			After(heldAfter)
	default:
		return nil
	}
}

// unlessStale returns the refusal, or one that promises nothing if a newer configuration may say otherwise.
func (r *request) unlessStale(fresh bool, e *refusal.Error) error {
	if fresh {
		return e
	}
	return r.stale()
}

func (r *request) stale() error {
	return refusal.New(http.StatusServiceUnavailable, "stale_configuration", outcome.NotRun,
		"this instance cannot confirm its configuration").After(staleAfter)
}

// attempt returns an attempt on a path.
func (r *request) attempt(p path.Path) Attempt {
	return Attempt{Call: r.Call, Workspace: r.workspace, Rank: r.rank, Path: p, Left: time.Until(r.deadline), After: r.After}
}

// confirmed refuses a request with a key whose configuration has become too old since it was admitted.
func (r *request) confirmed() error {
	if !r.route.Public && !r.server.views.Fresh() {
		return r.stale()
	}
	return nil
}

// mayRepeat reports whether the request may be sent to another target after one that may have run it.
func (r *request) mayRepeat() bool {
	return r.route.Repeatable() && r.attempts < r.route.MaxAttempts && r.allowed()
}

// allowed takes a repeated sending out of the retry budget.
func (r *request) allowed() bool {
	if r.server.budget.Allow(r.service.Name, time.Now()) {
		return true
	}
	r.server.counters.budget.Inc(1)
	return false
}

// failed takes in an attempt without an answer. It returns the final refusal, or nil if the request may be sent again.
func (r *request) failed(err error, p path.Path) error {
	now := time.Now()
	var f *Failure
	if !errors.As(err, &f) {
		f = &Failure{Sent: true, Cause: err}
	}
	r.blame(f, p, now)
	if f.NotRun {
		r.refusals++
		if r.refusals < maxRefusals && time.Until(r.deadline) > 0 && r.allowed() {
			return nil
		}
		return r.refused("targets_refused", "the targets have no room", f)
	}
	r.attempts++
	if time.Until(r.deadline) <= 0 {
		return refusal.New(http.StatusGatewayTimeout, "timeout", outcome.Unknown, "no answer within the time").Because(f)
	}
	if r.mayRepeat() {
		return nil
	}
	return refusal.New(http.StatusBadGateway, "target_failed", outcome.Unknown, "the target gave no answer").Because(f)
}

// refused returns a refusal of a request that has not run, unless an earlier attempt may have.
func (r *request) refused(code, message string, cause error) error {
	if r.attempts > 0 && !r.route.Repeatable() {
		return refusal.New(http.StatusBadGateway, code, outcome.Unknown, "%s", message).Because(cause)
	}
	return refusal.New(http.StatusServiceUnavailable, code, outcome.NotRun, "%s", message).Because(cause).After(r.server.retryAfter(r.service))
}

// blame notes which target failed.
func (r *request) blame(f *Failure, p path.Path, now time.Time) {
	culprit := p[0].Target
	if t, ok := p.At(f.Culprit); ok {
		culprit = t
	}
	if r.avoided == nil {
		r.avoided = make(map[string]bool)
	}
	r.avoided[culprit.Name] = true
	if f.Refused && !f.Misdirected {
		r.server.meter.Refused(culprit.Name, now)
	} else {
		r.server.meter.Failed(culprit.Name, now)
	}
	r.server.logger.Info().Str("Request", r.ID).Str("Target", culprit.Name).Str("Address", culprit.Address.String()).
		Bool("NotRun", f.NotRun).Bool("Misdirected", f.Misdirected).Err(f.Cause).Msg("attempt failed")
}

// avoid reports whether the request had better not use a target.
func (r *request) avoid(name string) bool {
	now := time.Now()
	return r.avoided[name] || r.server.meter.Avoided(name, now) || r.server.meter.IsDead(name, now) ||
		!r.server.ledger.MayRun(r.ID, r.fingerprint, name, now)
}

// dead reports whether a target is known not to answer.
func (s *Server) dead(name string) bool {
	return s.meter.IsDead(name, time.Now())
}

// retryAfter is when a refused caller should return: early where a moment's load is at fault, spread so that callers do
// not return together.
func (s *Server) retryAfter(service *catalogue.Service) time.Duration {
	base := 400 * time.Millisecond
	if service.Engine != nil {
		base = 800 * time.Millisecond
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
