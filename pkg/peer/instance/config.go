package instance

import (
	"context"
	"net/netip"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

// Config is what a node must know to start.
type Config struct {
	Fleet      string
	Name       string
	DataCentre string
	// Address is where the node listens for UDP and TCP, and how others reach it. Port 0 takes a free
	// port.
	Address netip.AddrPort
	// Seeds are addresses of other instances. They may be stale or empty and are replaced by SetSeeds.
	Seeds []netip.AddrPort
}

// ConfigChange is one configuration change. The node does not look into its content.
type ConfigChange struct {
	Version uint64
	Content []byte
}

// ConfigSnapshot is the whole configuration at a version. The node does not look into its content.
type ConfigSnapshot struct {
	Version uint64
	Content []byte
}

// ConfigSource reads configuration from the platform's table. Its methods are called from several
// goroutines and must return when the context ends.
type ConfigSource interface {
	// Head returns the newest version, and 0 if there is no configuration.
	Head(ctx context.Context) (uint64, error)
	// Changes returns the changes after a version in order, and ErrTrimmed if the next one is not
	// kept any more.
	Changes(ctx context.Context, after uint64) ([]ConfigChange, error)
	// Snapshot returns the whole configuration.
	Snapshot(ctx context.Context) (ConfigSnapshot, error)
}

// ConfigApplier puts configuration in force. Apply and ApplySnapshot are never called at the same time
// and always with a higher version than before.
type ConfigApplier interface {
	// Apply puts the change that follows the version in force into force.
	Apply(ctx context.Context, c ConfigChange) error
	// ApplySnapshot replaces the whole configuration.
	ApplySnapshot(ctx context.Context, s ConfigSnapshot) error
	// Snapshot returns the configuration in force, for peers that start without one.
	Snapshot(ctx context.Context) (ConfigSnapshot, error)
}

var (
	namespace = errorx.NewNamespace("instance")
	// Malformed is the type of errors about packets and answers that a correct peer does not send.
	Malformed = namespace.NewType("malformed")
	// Unavailable is the type of errors about peers that cannot be reached or do not answer in time.
	Unavailable = namespace.NewType("unavailable")
	// ErrTrimmed reports that the changes asked for are not kept any more.
	ErrTrimmed = namespace.NewType("trimmed").New("the changes asked for are not kept any more")
	// ErrClosed reports that the node was closed.
	ErrClosed = namespace.NewType("closed").New("the node is closed")
)

// Option changes an optional part of a node.
type Option func(*Node)

// WithConfigSource sets where configuration is read when peers cannot give it.
func WithConfigSource(s ConfigSource) Option {
	return func(n *Node) { n.source = s }
}

// WithConfigApplier sets who puts configuration in force. Without one, the node fetches nothing.
func WithConfigApplier(a ConfigApplier) Option {
	return func(n *Node) { n.applier = a }
}

// WithLogger sets the logger. Without one, the node logs to the default logger.
func WithLogger(l *log.Logger) Option {
	return func(n *Node) { n.logger = l }
}

// WithMetrics sets the registry of the node's counters.
func WithMetrics(r metrics.Registry) Option {
	return func(n *Node) { n.counters = newCounters(r) }
}

// WithStatusHandler sets who takes the bulletins of other instances. It is called from the goroutine that reads them and
// must not block.
func WithStatusHandler(f func(from netip.AddrPort, b *instancepb.StatusUpdate)) Option {
	return func(n *Node) { n.bulletins = f }
}

// WithSnapshotProvider sets who gives the configuration in force to peers that ask for it, in place of the Applier.
func WithSnapshotProvider(f func(ctx context.Context) (ConfigSnapshot, error)) Option {
	return func(n *Node) { n.snapshots = f }
}

// WithoutConfigSync leaves the spread of configuration to others: the node is used for its members and bulletins.
func WithoutConfigSync() Option {
	return func(n *Node) { n.quiet = true }
}

// WithStateDump sets who makes the state dump that State hands out, as JSON.
func WithStateDump(f func(context.Context) ([]byte, error)) Option {
	return func(n *Node) { n.state = f }
}

// counters count control traffic.
type counters struct {
	packetsIn, packetsOut, bytesIn, bytesOut, refused, dropped, calls metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("Instance."+name, r)
	}
	return counters{
		packetsIn: c("PacketsIn"), packetsOut: c("PacketsOut"), bytesIn: c("BytesIn"), bytesOut: c("BytesOut"),
		refused: c("PacketsRefused"), dropped: c("PacketsDropped"), calls: c("Calls"),
	}
}
