package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/retry"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/listener"
	"github.com/cuminroute/cuminroute/pkg/logqueue"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/quarantinesync"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// memoryShare is the part of the memory limit that the runtime keeps to. The rest covers what it does not count:
	// sockets' buffers and unread bytes.
	memoryShare = 0.6
	// noticeTime is how long a stopping instance goes on accepting connections: the load balancer notices after two
	// questions, one a second.
	noticeTime = 3 * time.Second
	// lastStream is when a stopping instance refuses requests to models, which may not end before the kill.
	lastStream = 2800 * time.Millisecond
	// killMargin is the time before the kill by which a stopping instance has ended.
	killMargin = 600 * time.Millisecond
	// closeTime bounds the closing of connections after that.
	closeTime = 200 * time.Millisecond
	// flushTime bounds the writing of the last log lines.
	flushTime = 100 * time.Millisecond
	// ratioShare is the part of the allowed retries for each request that is used. slackBurst and slackRate are the
	// parts of the slack that may be used at once and over the window: together less than all of it, since requests
	// and retries fall into windows differently.
	ratioShare = 0.8
	slackBurst = 0.6
	slackRate  = 0.25
	// firstRate is the rate of retries per second until the other instances are known.
	firstRate = 3
)

// Gateway is one running entry instance.
type Gateway struct {
	settings Settings
	platform Platform
	logger   *log.Logger
	registry metrics.Registry
	output   io.Writer
	lines    *logqueue.Queue

	knowledge *knowledge
	meter     *targetstats.Tracker
	budget    *retry.Budget
	ledger    *quarantinesync.Tracker
	server    *proxy.Server
	leader    *leader
	peers     *peers

	callersAt, readyAt, operatorsAt net.Listener
	app                             *kratos.App
	listed                          atomic.Bool
	polledAt                        atomic.Int64 // polledAt is when the list was last read from the store, 0 if others tell of it.
	lostAt                          atomic.Int64 // lostAt is when the store did not answer, 0 if it did.
	stopping                        atomic.Bool
	stopAt                          atomic.Int64 // stopAt is when the order to stop came, in Unix nanoseconds.
	running                         atomic.Int64 // running counts the requests in flight.
	done                            chan struct{}
	err                             error

	mu   sync.Mutex
	lost map[string]bool
}

// Option changes a station.
type Option func(*Gateway)

// WithLogOutput sends the log to w instead of standard output.
func WithLogOutput(w io.Writer) Option {
	return func(s *Gateway) { s.output = w }
}

// New starts an instance. It listens at once, and is ready when a configuration and the list of targets are known.
func New(ctx context.Context, settings Settings, platform Platform, options ...Option) (*Gateway, error) {
	s := &Gateway{
		settings: settings, platform: platform, registry: metrics.NewRegistry(), output: os.Stdout,
		meter: targetstats.New(), done: make(chan struct{}), lost: make(map[string]bool),
	}
	for _, o := range options {
		o(s)
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimit)))
	s.lines = logqueue.New(s.output, logqueue.WithDropCounter(metrics.GetOrRegisterCounter("Log.Dropped", s.registry).Inc))
	s.logger = newLogger(settings, s.lines)
	s.knowledge = newKnowledge(platform, s.logger, settings.MaxConfigurationAge)
	s.ledger = quarantinesync.New(func(items []membership.Item) { s.peers.tellItems(items) })
	s.budget = retry.New(retry.WithRatio(ratioShare*settings.RetryBudget.Ratio), retry.WithMinRate(firstRate))
	s.server = proxy.New(s.knowledge, platform.Upstream, s.meter, proxy.WithRetryBudget(s.budget),
		proxy.WithDataCentre(settings.DataCentre), proxy.WithLogger(s.logger), proxy.WithRegistry(s.registry),
		proxy.WithStopping(s.stopsSoon), proxy.WithCrashTracker(s.ledger), proxy.WithDeadTargetHandler(func(t target.Target) { s.peers.tellLost(t) }))
	s.peers = newPeers(s)
	s.knowledge.vacated = func(t target.Target) { go s.server.DrainTarget(t) }
	s.leader = newLeader(s, fmt.Sprintf("%s/%08x", settings.Instance, rand.Uint32()))
	if err := s.listen(); err != nil {
		return nil, err
	}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	return s, nil
}

func newLogger(s Settings, output io.Writer) *log.Logger {
	logger := &log.Logger{Level: log.InfoLevel, TimeField: "Time", TimeFormat: time.RFC3339Nano}
	logger.Context = log.NewContext(nil).Str("Instance", s.Instance).Str("DataCentre", s.DataCentre).Value()
	logger.Writer = &log.IOWriter{Writer: output}
	return logger
}

// frameworkLogger sets the framework's logger once: it is global.
var frameworkLogger sync.Once

func (s *Gateway) start(ctx context.Context) error {
	frameworkLogger.Do(func() { klog.SetLogger(klog.NewStdLogger(io.Discard)) })
	run, cancel := context.WithCancel(ctx)
	if err := s.peers.start(run); err != nil {
		cancel()
		return err
	}
	callers := newListener(s.callersAt)
	callers.Handler = s.platform.NewHandler(s.server, s.limits, s.enter)
	listener.NewConnReaper(run, callers.Server, s.timeouts)
	ready := newListener(s.readyAt)
	ready.Handler = s.readiness()
	operators := newListener(s.operatorsAt)
	operators.Handler = s.inspection()
	go s.followConfiguration(run)
	go s.followTargets(run)
	go s.leader.run(run)
	go s.peers.run(run)
	go s.reload(run)
	s.app = kratos.New(
		kratos.Name("cuminrouted"), kratos.ID(s.settings.Instance), kratos.Context(ctx), kratos.Server(callers, ready, operators),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT), kratos.BeforeStop(s.drain),
		kratos.StopTimeout(closeTime),
	)
	s.logger.Info().Str("Callers", s.settings.ClientAddress.String()).Str("Ready", s.settings.ReadinessAddress.String()).
		Str("Peers", s.settings.PeerAddress.String()).Msg("started")
	go func() {
		defer close(s.done)
		s.err = s.app.Run()
		cancel()
		s.logger.Info().Err(s.err).Msg("stopped")
		s.lines.Flush(flushTime)
	}()
	return nil
}

// shareBudget gives this instance its part of the retries of all.
func (s *Gateway) shareBudget(instances int) {
	r := s.settings.RetryBudget
	if r.Window <= 0 {
		return
	}
	part := r.MinRetries / float64(instances)
	s.budget.SetMinRate(slackRate*part/r.Window.Seconds(), slackBurst*part)
}

// forget drops what was measured of targets that left. Without a list it drops nothing.
func (s *Gateway) forget() {
	if s.knowledge.Snapshot() == nil {
		return
	}
	known := make(map[string]bool)
	for _, t := range s.knowledge.all() {
		known[t.Name] = true
	}
	s.meter.Retain(func(name string) bool { return known[name] })
}

// Wait returns when the instance has ended.
func (s *Gateway) Wait() error {
	<-s.done
	return s.err
}
