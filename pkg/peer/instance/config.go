package instance

import (
	"context"
	"net/netip"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

// Config holds the settings of this instance's node.
type Config struct {
	Fleet      string
	Name       string
	DataCentre string
	// Address is where the node listens for UDP and TCP, and how other instances reach it. Port 0 selects a free
	// port.
	Address netip.AddrPort
	// Seeds are addresses that are used to find other instances. The list may be outdated or empty. SetSeeds
	// replaces it.
	Seeds []netip.AddrPort
}

// ConfigChange is one configuration change. Its content is opaque to the node.
type ConfigChange struct {
	Version uint64
	Content []byte
}

// ConfigSnapshot is the whole configuration at a version, or the list of targets at a revision. Its content is opaque to the node.
type ConfigSnapshot struct {
	Version uint64
	Era     uint64 // Era is the encoded era of the store that Version belongs to, 0 if Version is no revision.
	Content []byte
}

// ConfigSource reads configuration from the platform's table. The methods are called from several
// goroutines and must return when the context is cancelled.
type ConfigSource interface {
	// Head returns the latest version, or 0 if there is no configuration.
	Head(ctx context.Context) (uint64, error)
	// Changes returns the changes after a version in order, or ErrTrimmed if the first of them is
	// no longer kept.
	Changes(ctx context.Context, after uint64) ([]ConfigChange, error)
	// Snapshot returns the whole configuration.
	Snapshot(ctx context.Context) (ConfigSnapshot, error)
}

// ConfigApplier makes configuration active. Apply and ApplySnapshot are never called concurrently,
// and always with a higher version than before.
type ConfigApplier interface {
	// Apply applies the change that follows the active version.
	Apply(ctx context.Context, c ConfigChange) error
	// ApplySnapshot replaces the whole configuration.
	ApplySnapshot(ctx context.Context, s ConfigSnapshot) error
	// Snapshot returns the active configuration, for peers that start without one.
	Snapshot(ctx context.Context) (ConfigSnapshot, error)
}

var (
	namespace = errorx.NewNamespace("instance")
	// Malformed is the type of errors for packets and responses that cannot be decoded or are invalid.
	Malformed = namespace.NewType("malformed")
	// Unavailable is the type of errors for peers that cannot be reached or do not answer in time.
	Unavailable = namespace.NewType("unavailable")
	// Unreachable is the type of errors for peers that accept no connection.
	Unreachable = Unavailable.NewSubtype("unreachable")
	// ErrTrimmed reports that the requested changes are no longer kept.
	ErrTrimmed = namespace.NewType("trimmed").New("the requested changes are no longer kept")
	// ErrClosed reports that the node was closed.
	ErrClosed = namespace.NewType("closed").New("the node is closed")
)

// Option configures a node.
type Option func(*Node)

// WithConfigSource sets the source that the node reads the latest version from, and the configuration if peers
// cannot provide it.
func WithConfigSource(s ConfigSource) Option {
	return func(n *Node) { n.source = s }
}

// WithConfigApplier sets the applier of configuration. Without one, the node fetches no configuration.
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

// WithStatusHandler sets the handler of status updates from other instances. The handler is called from the
// goroutine that reads all packets and must not block.
func WithStatusHandler(f func(from netip.AddrPort, update *instancepb.StatusUpdate)) Option {
	return func(n *Node) { n.statusHandler = f }
}

// WithSnapshotProvider sets the provider of the snapshots served to peers, in place of the ConfigApplier.
func WithSnapshotProvider(f func(ctx context.Context) (ConfigSnapshot, error)) Option {
	return func(n *Node) { n.snapshotProvider = f }
}

// WithTargetListProvider sets the provider of the list of targets that peers fetch with FetchTargets. Its argument is the caller's
// digests.
func WithTargetListProvider(f func(digests []uint64) (ConfigSnapshot, error)) Option {
	return func(n *Node) { n.targetListProvider = f }
}

// WithoutConfigSync disables the synchronization of configuration by the node, for a daemon that synchronizes it by
// other means: the syncer is not ticked, so the node does not poll for new versions. The node still maintains members,
// gossips items, receives the versions that peers advertise and exchanges status updates.
func WithoutConfigSync() Option {
	return func(n *Node) { n.configSyncDisabled = true }
}

// WithStateDump sets the provider of the state dump that peers fetch with FetchState, as JSON.
func WithStateDump(f func(context.Context) ([]byte, error)) Option {
	return func(n *Node) { n.stateDump = f }
}

// counters count the traffic between instances and the calls served.
type counters struct {
	packetsIn, packetsOut, bytesIn, bytesOut, refused, dropped, calls, relayed metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("Instance."+name, r)
	}
	return counters{
		packetsIn: c("PacketsIn"), packetsOut: c("PacketsOut"), bytesIn: c("BytesIn"), bytesOut: c("BytesOut"),
		refused: c("PacketsRefused"), dropped: c("PacketsDropped"), calls: c("Calls"), relayed: c("ConnectionsRelayed"),
	}
}
