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

	"github.com/cuminroute/cuminroute/pkg/decision/bytebudget"
	"github.com/cuminroute/cuminroute/pkg/decision/crashhistory"
	"github.com/cuminroute/cuminroute/pkg/decision/freshness"
	"github.com/cuminroute/cuminroute/pkg/decision/linkbudget"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/requestlimit"
	"github.com/cuminroute/cuminroute/pkg/decision/retry"
	"github.com/cuminroute/cuminroute/pkg/decision/retryshare"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/drain"
	"github.com/cuminroute/cuminroute/pkg/logqueue"
	"github.com/cuminroute/cuminroute/pkg/peer/instance"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/quarantinesync"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// memoryFraction is the fraction of the memory limit that the Go runtime may use. The rest covers memory that the
	// runtime does not count: socket buffers and unread bytes.
	memoryFraction = 0.6
	// unreadyDelay is how long a stopping instance at least continues to accept connections, within the grace period: the load
	// balancer notices the stop after two readiness probes, one a second.
	unreadyDelay = 3 * time.Second
	// longRequestCutoff is the time after the start of a stop from which requests are refused that might not end before the
	// stop. The load balancer sends requests for most of this time, and a retry would come back to this instance. In a short
	// grace period it is half of the wait for requests.
	longRequestCutoff = 2800 * time.Millisecond
	// idleCheckInterval is how often a stopping instance checks whether its requests have ended.
	idleCheckInterval = 20 * time.Millisecond
	// killMargin is how long before the kill a stopping instance stops waiting for its requests.
	killMargin = 600 * time.Millisecond
	// closeTimeout bounds the closing of connections after the wait for requests.
	closeTimeout = 200 * time.Millisecond
	// lastResponseWait is the part of closeTimeout in which requests may still get their response. The rest is for telling the other
	// clients that they get none.
	lastResponseWait = 120 * time.Millisecond
	// flushTimeout bounds the writing of the last log lines.
	flushTimeout = 100 * time.Millisecond
	// ratioFraction is the fraction of RetryBudget.Ratio that is used, since requests and their retries may fall into
	// different windows.
	ratioFraction = 0.8
)

// Gateway is one running instance.
type Gateway struct {
	settings Settings
	platform Platform
	logger   *log.Logger
	registry metrics.Registry
	output   io.Writer
	logQueue *logqueue.Queue

	cache          *stateCache
	targetStats    *targetstats.Tracker
	retryBudget    *retry.Budget
	retryShare     *retryshare.Share
	requestLimiter *requestlimit.Limiter
	linkBudget     *linkbudget.Budget
	crashTracker   *quarantinesync.Tracker
	server         *proxy.Server
	leader         *leader
	peers          *peers

	clientListener, readinessListener, operatorListener net.Listener

	network       instance.Network // network connects this instance to the others; nil for that of the operating system.
	reloadSignal  <-chan os.Signal // reloadSignal receives the signals to read the settings again; nil if there are none.
	app           *kratos.App
	targetsLoaded atomic.Bool // targetsLoaded reports whether the target list was read at least once.
	stopping      atomic.Bool

	// The following times keep the reading of the steady clock: the time of day may jump.

	// targetsReadAt is when the target list was last read from the store, nil if the last read failed or a watcher
	// sends the list.
	targetsReadAt atomic.Pointer[time.Time]
	storeFailedAt atomic.Pointer[time.Time] // storeFailedAt is when the last read of the configuration failed; nil if it succeeded.
	stoppingSince atomic.Pointer[time.Time] // stoppingSince is when the stop was requested.

	requests drain.Counter // requests counts the requests in flight.
	// listsRead counts the whole target lists that were read from the store, and listsFetched those, or parts of them, that another
	// instance handed out.
	listsRead, listsFetched metrics.Counter

	reads              *freshness.Tracker // reads records what the reads of the store by this instance show; mu guards it.
	configurationReads metrics.Counter    // configurationReads counts the calls to the store for the configuration.
	// confirmationRequestedAt is when a confirmation of the configuration was last requested. Only watchConfiguration uses it.
	confirmationRequestedAt time.Time
	readReason              readReason // readReason is the reason that was logged last. Only watchConfiguration uses it.

	full metrics.Counter // full counts the requests that were refused since too many were in flight.
	// bodies bounds the bodies of the requests; nil before the start.
	bodies *bytebudget.Budget
	// runningSinceStop counts those of them that were received after the stop was requested, and lastReceivedAfter is the time from
	// then to the last such request, in nanoseconds.
	runningSinceStop, lastReceivedAfter atomic.Int64

	done chan struct{}
	err  error

	mu           sync.Mutex
	storeFailing map[string]bool // storeFailing holds whether the last call to the store failed, by purpose.
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithLogOutput writes the log to w instead of standard output.
func WithLogOutput(w io.Writer) Option {
	return func(g *Gateway) { g.output = w }
}

// WithReloadSignal sets the channel that receives the signals to read the settings again. The caller registers the channel, so that
// a signal that arrives during the start is kept.
func WithReloadSignal(c <-chan os.Signal) Option {
	return func(g *Gateway) { g.reloadSignal = c }
}

// New starts an instance. The instance listens immediately, and is ready when it has received a configuration that is
// not stale and the target list.
func New(ctx context.Context, settings Settings, platform Platform, options ...Option) (*Gateway, error) {
	debug.SetMemoryLimit(int64(memoryFraction * float64(settings.MemoryLimit)))
	g := newGateway(settings, platform, options...)
	if err := g.listen(); err != nil {
		return nil, err
	}
	if err := g.start(ctx); err != nil {
		return nil, err
	}
	return g, nil
}

// newGateway returns an instance that does not listen yet.
func newGateway(settings Settings, platform Platform, options ...Option) *Gateway {
	g := &Gateway{
		settings: settings, platform: platform, registry: metrics.NewRegistry(), output: os.Stdout,
		targetStats: targetstats.New(), linkBudget: linkbudget.New(), requestLimiter: requestlimit.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now()), done: make(chan struct{}), storeFailing: make(map[string]bool),
		reads: freshness.New(storeTimeout),
	}
	for _, o := range options {
		o(g)
	}
	g.full = metrics.GetOrRegisterCounter("Clients.InstanceFull", g.registry)
	g.configurationReads = metrics.GetOrRegisterCounter("Configuration.Reads", g.registry)
	g.listsRead = metrics.GetOrRegisterCounter("Targets.ListsRead", g.registry)
	g.listsFetched = metrics.GetOrRegisterCounter("Targets.ListsFetched", g.registry)
	if g.logger == nil {
		g.logQueue = logqueue.New(g.output, logqueue.WithDropCounter(metrics.GetOrRegisterCounter("Log.Dropped", g.registry).Inc))
		g.logger = newLogger(settings, g.logQueue)
	}
	g.cache = newStateCache(platform, g.logger, settings.MaxConfigurationAge)
	g.crashTracker = quarantinesync.New(func(items []membership.Item) { g.peers.broadcastItems(items) },
		quarantinesync.WithCrashMessages(func(r crashhistory.Report) { g.peers.sendCrash(r) }, func(contents []uint64) { g.peers.sendProgress(contents) }),
		quarantinesync.WithLogger(g.logger), quarantinesync.WithRegistry(g.registry))
	g.retryShare = retryshare.New(settings.RetryBudget.MinRetries, settings.RetryBudget.Window, time.Now())
	g.retryBudget = retry.New(retry.WithRatio(ratioFraction*settings.RetryBudget.Ratio), retry.WithMinRate(0),
		retry.WithInitial(retryshare.InitialRetries))
	g.retryBudget.SetMinRate(g.retryShare.Limits(time.Now()))
	g.server = proxy.New(g.cache, platform.Upstream, g.targetStats, proxy.WithRetryBudget(g.retryBudget), proxy.WithLinkBudget(g.linkBudget),
		proxy.WithRequestLimiter(g.requestLimiter),
		proxy.WithDataCentre(settings.DataCentre), proxy.WithLogger(g.logger), proxy.WithRegistry(g.registry),
		proxy.WithStop(g.mustEndBy), proxy.WithCrashTracker(g.crashTracker),
		proxy.WithDeadTargetHandler(func(t target.Target, ended bool) { g.peers.sendDead(t, ended) }),
		proxy.WithAliveTargetHandler(func(t target.Target) { g.peers.sendAlive(t) }),
		proxy.WithControlProbe(func(ctx context.Context) error { return g.peers.connectToAny(ctx) }),
		proxy.WithLinkCheck(g.linkFailedAt),
		proxy.WithProbeDelegate(func(suspects []target.Target, round int, conclusive bool) []target.Target {
			return g.peers.requestProbes(suspects, round, conclusive)
		}))
	g.peers = newPeers(g)
	g.cache.onDrain = func(t target.Target) { go g.server.DrainTarget(t) }
	g.leader = newLeader(g, fmt.Sprintf("%s/%08x", settings.Instance, rand.Uint32()))
	return g
}

func newLogger(settings Settings, output io.Writer) *log.Logger {
	logger := &log.Logger{Level: log.InfoLevel, TimeField: "Time", TimeFormat: time.RFC3339Nano}
	logger.Context = log.NewContext(nil).Str("Instance", settings.Instance).Str("DataCentre", settings.DataCentre).Value()
	logger.Writer = &log.IOWriter{Writer: output}
	return logger
}

// frameworkLoggerOnce guards the setting of the framework's logger, which is global to the process.
var frameworkLoggerOnce sync.Once

func (g *Gateway) start(ctx context.Context) error {
	frameworkLoggerOnce.Do(func() { klog.SetLogger(klog.NewStdLogger(io.Discard)) })
	run, cancel := context.WithCancel(ctx)
	if err := g.peers.start(run); err != nil {
		cancel()
		return err
	}
	g.startRelay()
	clients := g.newClientServer(run)
	ready := newHTTPServer(g.readinessListener)
	ready.Handler = g.readinessHandler()
	operators := newHTTPServer(g.operatorListener)
	operators.Handler = g.operatorHandler()
	g.startControl(run)
	go g.reload(run)
	g.app = kratos.New(
		kratos.Name("cuminrouted"), kratos.ID(g.settings.Instance), kratos.Context(ctx), kratos.Server(clients, ready, operators),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT), kratos.BeforeStop(g.stopGracefully),
		kratos.StopTimeout(closeTimeout),
	)
	g.logger.Info().Str("Callers", g.settings.ClientAddress.String()).Str("Ready", g.settings.ReadinessAddress.String()).
		Str("Peers", g.settings.PeerAddress.String()).Msg("started")
	go func() {
		defer close(g.done)
		g.err = g.app.Run()
		cancel()
		g.logger.Info().Err(g.err).Msg("stopped")
		g.logQueue.Flush(flushTimeout)
	}()
	return nil
}

// startControl starts the goroutines that keep the state of this instance up to date, until the context ends.
func (g *Gateway) startControl(ctx context.Context) {
	go g.watchConfiguration(ctx)
	go g.watchTargets(ctx)
	go g.leader.run(ctx)
	go g.peers.run(ctx)
}

// pruneTargets drops the statistics of targets that are no longer listed, unless the list has not been read yet.
func (g *Gateway) pruneTargets() {
	if g.cache.Snapshot() == nil {
		return
	}
	listed, hashes := make(map[string]bool), make(map[uint64]bool)
	for _, t := range g.cache.allTargets() {
		listed[t.Name], hashes[targetstats.TargetHash(t.Name)] = true, true
	}
	g.targetStats.Retain(func(name string) bool { return listed[name] })
	g.requestLimiter.Retain(func(hash uint64) bool { return hashes[hash] })
}

// Wait blocks until the instance has stopped.
func (g *Gateway) Wait() error {
	<-g.done
	return g.err
}
