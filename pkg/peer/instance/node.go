package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/cuminroute/cuminroute/pkg/decision/configsync"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

// View is an immutable snapshot of a node's state.
type View struct {
	Self    membership.Member       `json:"Self"`
	Members []membership.Member     `json:"Members"` // Members contains the live instances, including this one.
	Gone    []membership.Member     `json:"Gone"`    // Gone contains the tombstones of dead and departed instances.
	Items   []membership.Item       `json:"Items"`   // Items contains the unexpired drains and quarantines.
	Loads   []membership.LoadReport `json:"Loads"`   // Loads contains the valid load reports of other instances.
	Version uint64                  `json:"Version"` // Version is the active configuration version; 0 means none.
	Known   uint64                  `json:"Known"`   // Known is the latest configuration version known.
	Polls   bool                    `json:"Polls"`   // Polls reports whether this instance polls the head row.
	// Health is the local health score of the failure detector: 0 is healthy, higher values lengthen its timeouts.
	Health  int    `json:"Health"`
	Refused uint64 `json:"Refused"` // Refused is described at membership.MemberList.Refused.
}

// Ready reports whether a configuration is active.
func (v *View) Ready() bool { return v.Version > 0 }

// Node runs membership and configuration synchronization for one instance, and exchanges status updates with other
// instances. It must be created by New. All methods are safe for concurrent use.
type Node struct {
	fleet               string
	source              ConfigSource
	applier             ConfigApplier
	logger              *log.Logger
	counters            counters
	stateDump           func(context.Context) ([]byte, error)
	crashHandler        CrashHandler        // crashHandler is nil if messages about crashes are ignored.
	requestLimitHandler RequestLimitHandler // requestLimitHandler is nil if reports about request limits are ignored.
	relayTargetDialer   RelayTargetDialer   // relayTargetDialer is nil if no connections are relayed.
	relaySlots          chan struct{}       // relaySlots has one element for each relayed connection.
	relayActivities     relayActivities
	crashLimiter        *rate.Limiter
	// statusHandler handles the status updates of other instances. It is nil if they are ignored.
	statusHandler      func(netip.AddrPort, *instancepb.StatusUpdate)
	snapshotProvider   func(context.Context) (ConfigSnapshot, error)
	targetListProvider func(digests []uint64) (ConfigSnapshot, error) // targetListProvider is nil if the list of targets is not handed out.
	configSyncDisabled bool                                           // configSyncDisabled is set by WithoutConfigSync.

	network   Network
	udp       PacketConn
	tcp       net.Listener
	changeLog changeLog
	view      atomic.Pointer[View]
	notifier  notifier

	commands chan func() // commands are functions for the control goroutine; see runInControl
	packets  chan receivedPacket
	ctx      context.Context // ctx ends when the node stops
	stop     context.CancelFunc
	wg       sync.WaitGroup
	close    sync.Once

	// The control goroutine owns the following fields.
	memberList     *membership.MemberList
	syncer         *configsync.Syncer
	ticks          uint64
	membersChanged bool // membersChanged is set if members or items changed since the last tick
}

// receivedPacket is a decoded packet queued for the control goroutine.
type receivedPacket struct {
	from   netip.AddrPort
	packet membership.Packet
}

// packetQueueSize bounds the packets queued for the control goroutine. It is one second of traffic when many
// instances fail or restart at once. Further packets are dropped, as packets may be dropped by the network.
const packetQueueSize = 256

// New starts a node, which joins the other instances and runs until the context is cancelled or Close is called. If
// the context is cancelled, the node stops without announcing its departure.
func New(ctx context.Context, c Config, options ...Option) (*Node, error) {
	n := &Node{
		fleet: c.Fleet, logger: &log.DefaultLogger, counters: newCounters(metrics.NewRegistry()),
		commands: make(chan func()), packets: make(chan receivedPacket, packetQueueSize), notifier: newNotifier(),
		crashLimiter: newCrashLimiter(), relaySlots: make(chan struct{}, maxRelays), network: systemNetwork{},
	}
	for _, o := range options {
		o(n)
	}
	if err := n.listen(c.Address); err != nil {
		return nil, err
	}
	if err := n.newStateMachines(c); err != nil {
		n.closeSockets()
		return nil, err
	}
	n.ctx, n.stop = context.WithCancel(ctx)
	n.storeView()
	n.start(n.runControl)
	n.start(n.receivePackets)
	n.start(n.serve)
	n.start(func() { n.notifier.run(n.ctx) })
	n.start(func() {
		<-n.ctx.Done()
		n.closeSockets()
	})
	return n, nil
}

// newStateMachines creates the member list and the configuration syncer, which share a randomly seeded generator.
func (n *Node) newStateMachines(c Config) error {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := membership.Member{Name: c.Name, DataCentre: c.DataCentre, Address: n.Address()}
	memberList, err := membership.New(membership.Config{Fleet: c.Fleet, Self: self, Seeds: c.Seeds}, r, time.Now())
	if err != nil {
		return err
	}
	n.memberList = memberList
	n.syncer = configsync.New(memberList.Self(), r)
	n.syncer.ExpectPeers(n.hasPeers(c.Seeds))
	return nil
}

// hasPeers reports whether the seeds include another instance.
func (n *Node) hasPeers(seeds []netip.AddrPort) bool {
	return slices.ContainsFunc(seeds, func(a netip.AddrPort) bool { return a != n.Address() })
}

// start runs a function in a goroutine that Close waits for.
func (n *Node) start(f func()) {
	n.wg.Go(f)
}

// listenAttempts bounds the attempts to find a port number that is free for both UDP and TCP.
const listenAttempts = 16

// listen opens UDP and TCP on the same port number.
func (n *Node) listen(a netip.AddrPort) error {
	var err error
	for range listenAttempts {
		n.tcp, err = n.network.Listen(a)
		if err != nil {
			return Unavailable.Wrap(err, "cannot listen on %s", a)
		}
		n.udp, err = n.network.ListenPacket(n.Address())
		if err == nil {
			return nil
		}
		_ = n.tcp.Close()
		if a.Port() != 0 {
			break
		}
	}
	return Unavailable.Wrap(err, "cannot listen on the same port for UDP and TCP at %s", a)
}

func (n *Node) closeSockets() {
	_ = n.tcp.Close()
	_ = n.udp.Close()
}

// Address returns the address that the node listens on.
func (n *Node) Address() netip.AddrPort {
	a := n.tcp.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// View returns the node's current view. The result must not be changed.
func (n *Node) View() *View { return n.view.Load() }

// Members returns the live instances, this one included, in the order of their addresses. The
// result must not be changed.
func (n *Node) Members() []membership.Member { return n.View().Members }

// OnItem adds a handler that is called for each drain and quarantine in the view, and for each one that this node
// receives or publishes later. The calls of all handlers are made by one goroutine. An item may be passed twice, also
// to handlers that were added earlier.
func (n *Node) OnItem(f func(membership.Item)) {
	n.notifier.addItemHandler(f)
	for _, i := range n.View().Items {
		n.notifier.notifyItem(i)
	}
}

// Others returns the live instances except this one.
func (n *Node) Others() []membership.Member {
	self := n.Address()
	return slices.DeleteFunc(slices.Clone(n.Members()), func(m membership.Member) bool { return m.Address == self })
}

// OnMembers adds a handler that is called after the live members or the items have changed. The calls of all
// handlers are made by one goroutine.
func (n *Node) OnMembers(f func([]membership.Member)) { n.notifier.addMemberHandler(f) }

// Publish gossips a drain or quarantine to all instances, or sets the load report of this instance. See
// membership.MemberList.
func (n *Node) Publish(i membership.Item) error {
	var err error
	if !n.runInControl(func() { err = n.memberList.Publish(i) }) {
		return ErrClosed
	}
	return err
}

// Broadcast gossips items as Publish does, and also sends them directly to all instances, which is faster than
// gossip but limited in rate. See membership.MemberList.
func (n *Node) Broadcast(items []membership.Item) error {
	var err error
	ran := n.runInControl(func() {
		var packets []membership.Packet
		packets, err = n.memberList.Broadcast(items, time.Now())
		n.sendAll(packets)
	})
	if !ran {
		return ErrClosed
	}
	return err
}

// NotifyVersion notifies the node that a version was committed, so that the node need not wait for the next read of
// the head row. The ConfigSource must already be able to return the changes up to that version.
func (n *Node) NotifyVersion(version uint64) {
	n.runInControl(func() { n.runActions(n.syncer.VersionCommitted(version, time.Now())) })
}

// SetSeeds replaces the addresses that are used to find other instances. The list may be outdated or empty.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.runInControl(func() {
		n.memberList.SetSeeds(seeds)
		n.syncer.ExpectPeers(n.hasPeers(seeds))
	})
}

// Close announces the departure, stops the node and waits for its goroutines. Running calls of the ConfigApplier and
// ConfigSource must return by themselves or because their context is cancelled.
func (n *Node) Close() error {
	n.close.Do(func() {
		n.runInControl(func() { n.sendAll(n.memberList.Leave(time.Now())) })
		n.stop()
	})
	n.wg.Wait()
	return nil
}

// runInControl runs a function in the control goroutine and waits for it. It returns false if the node stopped before
// the function ran.
func (n *Node) runInControl(f func()) bool {
	done := make(chan struct{})
	select {
	case n.commands <- func() { f(); close(done) }:
		<-done
		return true
	case <-n.ctx.Done():
		return false
	}
}
