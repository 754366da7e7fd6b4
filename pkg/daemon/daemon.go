// Package daemon runs one instance: it connects the decision packages, the peers and the listeners,
// and starts and stops them.
//
// One control goroutine owns the control state. Request goroutines read published snapshots: the
// active configuration, the targets, and the picker's own snapshot.
//
// The control goroutine polls the engines for two things: reports, with an engine's layers and load, and
// cache events, which say that a prompt prefix was added to or removed from an engine's KV cache.
//
// Usage:
//
//	d, err := daemon.New(ctx, settings)
//	if err != nil { ... }
//	err = d.Wait() // Wait returns after SIGTERM, once every request in flight has its response.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/claim"
	"github.com/cuminroute/cuminroute/pkg/configlog"
	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/connection"
	"github.com/cuminroute/cuminroute/pkg/decision/admission"
	"github.com/cuminroute/cuminroute/pkg/decision/crashhistory"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/requestlimit"
	"github.com/cuminroute/cuminroute/pkg/decision/retry"
	"github.com/cuminroute/cuminroute/pkg/decision/route"
	"github.com/cuminroute/cuminroute/pkg/drain"
	"github.com/cuminroute/cuminroute/pkg/peer/caller"
	"github.com/cuminroute/cuminroute/pkg/peer/engine"
	"github.com/cuminroute/cuminroute/pkg/peer/instance"
	"github.com/cuminroute/cuminroute/pkg/peer/instancelist"
	"github.com/cuminroute/cuminroute/pkg/peer/objectstore"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/peer/service"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/placementcontroller"
	"github.com/cuminroute/cuminroute/pkg/quarantinesync"
	"github.com/cuminroute/cuminroute/pkg/relay"
	"github.com/cuminroute/cuminroute/pkg/relaypeers"
	"github.com/cuminroute/cuminroute/pkg/settings"
	"github.com/cuminroute/cuminroute/pkg/stream"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// Daemon is one running instance.
type Daemon struct {
	settings settings.Settings
	logger   *log.Logger
	registry metrics.Registry
	counters counters
	output   io.Writer

	table         *table.Client
	objects       *objectstore.Client
	list          *instancelist.Client
	engines       *engine.Pool
	configuration *activeConfiguration
	// bootstrap holds the operators of the settings, who can make the first change.
	bootstrap           *configuration.Configuration
	log                 *acceptedLog
	claimer             *claim.Claimer
	picker              *route.Picker
	crashTracker        crashTracker
	admission           *admissionController
	running             *drain.Counter
	runner              *stream.Runner
	services            *service.Client
	node                *instance.Node
	requestLimiter      *requestlimit.Limiter
	targetDial          relay.DialFunc
	targetDialer        *relay.Dialer // targetDialer opens connections to targets, through other instances where a link has failed.
	control             *control
	placementController *placementcontroller.Controller

	placementOptions []placementcontroller.Option
	ignoreEvents     bool

	clientServer, operatorServer *khttp.Server
	clientListener               net.Listener
	operatorListener             net.Listener
	app                          *kratos.App
	cancel                       context.CancelFunc
	stopOnce                     sync.Once
	done                         chan struct{} // done is closed when the instance has ended.
	err                          error         // err is the result of app.Run; it may be read once done is closed.
	stopping                     chan struct{} // stopping is closed when a planned stop begins.
}

// Addresses are the addresses that a daemon listens on.
type Addresses struct {
	ClientAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	PeerAddress     netip.AddrPort
}

const (
	// targetDialTimeout is far above the round-trip time within a region.
	targetDialTimeout = time.Second
	// targetUnackedTimeout is how long bytes to a target may stay unacknowledged before the connection fails. A link that has
	// failed sends no reset.
	targetUnackedTimeout = 1500 * time.Millisecond
)

// Option configures a daemon.
type Option func(*Daemon)

// WithLogOutput sends the log to w instead of standard error.
func WithLogOutput(w io.Writer) Option {
	return func(d *Daemon) { d.output = w }
}

// WithPlacementController passes options to the placement controller.
func WithPlacementController(options ...placementcontroller.Option) Option {
	return func(d *Daemon) { d.placementOptions = append(d.placementOptions, options...) }
}

// WithTargetDial sets the function that opens connections to targets directly.
func WithTargetDial(dial relay.DialFunc) Option {
	return func(d *Daemon) { d.targetDial = dial }
}

// WithoutCacheEvents ignores the engines' cache events.
func WithoutCacheEvents() Option {
	return func(d *Daemon) { d.ignoreEvents = true }
}

type counters struct {
	listFailures   metrics.Counter
	listSkipped    metrics.Gauge // listSkipped is the number of entries of the last list that were left out.
	reportFailures metrics.Counter
	eventGaps      metrics.Counter
	eventsSeen     metrics.Counter
}

// New starts an instance. When New returns, the instance listens; it is ready once it has read a
// configuration and the platform's list and has polled enough of the listed engines for their layers to
// serve requests. Stop, Kill and the end of ctx end the instance.
func New(ctx context.Context, s settings.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: s, registry: metrics.NewRegistry(), done: make(chan struct{}), stopping: make(chan struct{}),
	}
	direct := connection.NewDialer(targetDialTimeout, targetUnackedTimeout)
	d.targetDial = direct.DialContext
	for _, option := range options {
		option(d)
	}
	d.bootstrap = &configuration.Configuration{HeadOffice: configuration.HeadOffice{Operators: s.Operators}}
	d.logger = newLogger(s, d.output)
	d.counters = counters{
		listFailures:   metrics.GetOrRegisterCounter("list.failures", d.registry),
		listSkipped:    metrics.GetOrRegisterGauge("list.skipped", d.registry),
		reportFailures: metrics.GetOrRegisterCounter("reports.failures", d.registry),
		eventGaps:      metrics.GetOrRegisterCounter("events.gaps", d.registry),
		eventsSeen:     metrics.GetOrRegisterCounter("events.seen", d.registry),
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithCancel(ctx)
	d.cancel = cancel
	if err := d.assemble(runCtx); err != nil {
		cancel()
		d.closeListeners()
		return nil, err
	}
	d.start(runCtx)
	return d, nil
}

func newLogger(s settings.Settings, output io.Writer) *log.Logger {
	logger := &log.Logger{Level: log.ParseLevel(s.LogLevel), TimeField: "Time", TimeFormat: time.RFC3339Nano}
	logger.Context = log.NewContext(nil).Str("Instance", s.Instance).Str("DataCentre", s.DataCentre).Value()
	if output != nil {
		logger.Writer = &log.IOWriter{Writer: output}
	}
	return logger
}

func (d *Daemon) listen() error {
	var err error
	if d.clientListener, err = net.Listen("tcp", d.settings.Listen.Callers.String()); err != nil {
		return errListen.Wrap(err, "cannot listen on the client address")
	}
	if d.operatorListener, err = net.Listen("tcp", d.settings.Listen.Operators.String()); err != nil {
		_ = d.clientListener.Close()
		return errListen.Wrap(err, "cannot listen on the operator address")
	}
	return nil
}

func (d *Daemon) closeListeners() {
	_ = d.clientListener.Close()
	_ = d.operatorListener.Close()
}

// assemble creates the components of the instance, first the clients of the platform's services.
func (d *Daemon) assemble(ctx context.Context) error {
	d.assemblePlatform()
	d.picker = route.NewPicker(route.WithPolicy(policyOf(d.settings.Routing)))
	d.crashTracker = crashTracker{quarantinesync.New(func(items []membership.Item) { d.broadcast(items) },
		quarantinesync.WithCrashMessages(d.sendCrash, d.sendProgress),
		quarantinesync.WithLogger(d.logger), quarantinesync.WithRegistry(d.registry))}
	d.admission = &admissionController{controller: admission.NewController(admission.New(), time.Now)}
	d.running = &drain.Counter{}
	d.requestLimiter = requestlimit.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now())
	d.targetDialer = relay.New(d.targetDial)
	d.control = newControl(d)
	if err := d.assembleNode(ctx); err != nil {
		return err
	}
	d.assembleTraffic(ctx)
	return d.assembleListeners()
}

func (d *Daemon) assemblePlatform() {
	d.table = table.New(d.settings.Platform.Table, table.WithMetrics(d.registry))
	d.objects = objectstore.New(d.settings.Platform.ObjectStore)
	d.list = instancelist.New(d.settings.Platform.InstanceList, instancelist.WithSkipHandler(d.logSkippedEntries()))
	d.log = newAcceptedLog(configlog.New(d.table, configlog.WithObjectStore(d.objects)))
	d.configuration = newActiveConfiguration(d.log)
	// Without the suffix, a restarted process with the same name would be taken for the holder of its
	// predecessor's claims.
	holder := fmt.Sprintf("%s/%08x", d.settings.Instance, rand.Uint32())
	d.claimer = claim.New(d.table, holder, claim.WithMetrics(d.registry))
}

// logSkippedEntries returns a function that counts the entries of the instance list that were left out, and logs the first one's
// fault when their number changes.
func (d *Daemon) logSkippedEntries() func(skipped []error) {
	var last atomic.Int64
	return func(skipped []error) {
		n := int64(len(skipped))
		d.counters.listSkipped.Update(n)
		if last.Swap(n) != n {
			d.logger.Warn().Int64("Skipped", n).Err(errors.Join(skipped[:min(n, 1)]...)).Msg("entries of the instance list left out")
		}
	}
}

func (d *Daemon) assembleNode(ctx context.Context) error {
	node, err := instance.New(ctx, instance.Config{
		Fleet: d.settings.Fleet, Name: d.settings.Instance, DataCentre: d.settings.DataCentre,
		Address: d.settings.Listen.Peers, Seeds: d.settings.Seeds,
	},
		instance.WithConfigApplier(d.configuration), instance.WithConfigSource(logSource{d.configuration}), instance.WithStateDump(fleet{d}.dump),
		instance.WithCrashHandler(d.crashTracker), instance.WithRequestLimitHandler(d.requestLimiter), instance.WithRelay(targetRelay{d}),
		instance.WithLogger(d.logger), instance.WithMetrics(d.registry))
	if err != nil {
		return errListen.Wrap(err, "cannot listen on the peer address")
	}
	d.node = node
	d.targetDialer.SetPeers(relaypeers.New(d.settings.DataCentre, node.Others, node.DialThrough).Dial)
	d.log.notifyVersion = node.NotifyVersion
	node.OnItem(func(i membership.Item) { d.control.observeItem(ctx, i) })
	return nil
}

func (d *Daemon) assembleTraffic(ctx context.Context) {
	d.engines = engine.NewPool(engine.WithRegistry(d.registry), engine.WithDial(d.targetDialer.DialContext))
	retryBudget := retry.New()
	routes := newRouter(d.picker, d.crashTracker, func() []target.Target { return *d.control.targets.Load() },
		func(name string) { d.control.observeLeaving(ctx, name) })
	stages := func(t target.Target) stream.Stage { return d.engines.Client(t.Address) }
	d.runner = stream.NewRunner(routes, stages, stream.WithCrashTracker(d.crashTracker), stream.WithRetryBudget(retryBudget),
		stream.WithLogger(d.logger), stream.WithRegistry(d.registry))
	d.services = service.New(d.serviceTargets, &claimAdapter{claimer: d.claimer}, service.WithRetryBudget(retryBudget),
		service.WithDrainCounter(d.running), service.WithRequestLimiter(d.requestLimiter), service.WithDial(d.targetDialer.DialContext), service.WithLogger(d.logger), service.WithRegistry(d.registry))
}

// broadcast sends quarantine items to all other instances.
func (d *Daemon) broadcast(items []membership.Item) {
	if err := d.node.Broadcast(items); err != nil {
		d.logger.Warn().Err(err).Msg("cannot broadcast quarantines to the other instances")
	}
}

// sendCrash informs all other instances of a crash under requests of this instance.
func (d *Daemon) sendCrash(r crashhistory.Report) {
	if err := d.node.SendCrash(r); err != nil {
		d.logger.Warn().Err(err).Msg("cannot report a crash to the other instances")
	}
}

// sendRequestLimits sends the request limits of targets to all other instances, or to a random sample of a large fleet.
func (d *Daemon) sendRequestLimits(now time.Time) {
	var others []netip.AddrPort
	for _, m := range d.node.Others() {
		others = append(others, m.Address)
	}
	d.requestLimiter.ObserveInstances(len(others)+1, now)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if err := d.node.SendRequestLimits(others[:min(len(others), requestLimitFanout)], d.requestLimiter.Reports(now)); err != nil {
		d.logger.Warn().Err(err).Msg("cannot send request limits to the other instances")
	}
}

// sendProgress informs all other instances of contents with which requests of this instance have made progress.
func (d *Daemon) sendProgress(contents []uint64) {
	if err := d.node.SendProgress(contents); err != nil {
		d.logger.Warn().Err(err).Msg("cannot report progress to the other instances")
	}
}

func (d *Daemon) serviceTargets(name string) []target.Target {
	var found []target.Target
	for _, t := range *d.control.targets.Load() {
		if t.Kind == target.Service && t.Service == name {
			found = append(found, t)
		}
	}
	return found
}

// policyOf returns the picker's policy for the setting; "Cost" is the default.
func policyOf(setting string) route.Policy {
	if setting == "Cost" || setting == "" {
		return route.EstimatedFinish
	}
	return route.Policy(setting)
}

// frameworkLogger sets the logger of the application framework (kratos) once: this logger is global, and
// setting it again would race with the servers of other instances in this process.
var frameworkLogger sync.Once

// start runs the control goroutine and the kratos application.
func (d *Daemon) start(ctx context.Context) {
	frameworkLogger.Do(func() { klog.SetLogger(newKratosLogger(d.logger)) })
	d.placementController = placementcontroller.New(d.table, placementFleet{d}, placementFleet{d}, d.settings.Instance,
		append([]placementcontroller.Option{placementcontroller.WithLogger(d.logger), placementcontroller.WithMetrics(d.registry)}, d.placementOptions...)...)
	go d.control.run(ctx)
	go d.compact(ctx)
	d.app = kratos.New(
		kratos.Name("cuminrouted"), kratos.ID(d.settings.Instance), kratos.Context(ctx),
		kratos.Server(d.clientServer, d.operatorServer),
		kratos.BeforeStop(func(ctx context.Context) error { return d.drain(ctx) }),
	)
	go func() {
		defer close(d.done)
		d.err = d.app.Run()
		d.shutdown(ctx)
	}()
	d.logger.Info().Str("Callers", d.clientListener.Addr().String()).Str("Operators", d.operatorListener.Addr().String()).
		Str("Peers", d.node.Address().String()).Msg("listening")
}

// Addresses returns the addresses that the instance listens on.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		ClientAddress:   d.clientListener.Addr().(*net.TCPAddr).AddrPort(),
		OperatorAddress: d.operatorListener.Addr().(*net.TCPAddr).AddrPort(),
		PeerAddress:     d.node.Address(),
	}
}

// State returns the state dump of the instance.
func (d *Daemon) State() api.State {
	state, _ := fleet{d}.State(context.Background()) // The error is always nil, since the state is in memory.
	return state
}

// Version returns the version of the active configuration.
func (d *Daemon) Version() uint64 {
	return d.configuration.current().Version
}

var _ caller.AdmissionController = (*admissionController)(nil)
