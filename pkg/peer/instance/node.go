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

	"github.com/cuminroute/cuminroute/pkg/decision/configsync"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

// View is an immutable snapshot of what a node knows.
type View struct {
	Self    membership.Member       `json:"Self"`
	Members []membership.Member     `json:"Members"` // Members are the live instances, this one included.
	Gone    []membership.Member     `json:"Gone"`    // Gone are the dead and departed ones, not yet forgotten.
	Items   []membership.Item       `json:"Items"`   // Items are the drains and quarantines in force.
	Loads   []membership.LoadReport `json:"Loads"`
	Version uint64                  `json:"Version"` // Version is the configuration in force here; 0 means none.
	Known   uint64                  `json:"Known"`   // Known is the newest configuration heard of.
	Polls   bool                    `json:"Polls"`   // Polls reports whether this instance reads the head row.
	Health  int                     `json:"Health"`  // Health is 0 if probes are answered.
	Refused uint64                  `json:"Refused"` // Refused counts packets of other fleets.
}

// Ready reports whether a configuration is in force.
func (v *View) Ready() bool { return v.Version > 0 }

// Node is one entry instance among the others. It must be made by New. All methods are safe for
// concurrent use.
type Node struct {
	fleet    string
	source   ConfigSource
	applier  ConfigApplier
	logger   *log.Logger
	counters counters
	state    func(context.Context) ([]byte, error)
	// bulletins takes the bulletins of others, if it is set.
	bulletins func(netip.AddrPort, *instancepb.StatusUpdate)
	snapshots func(context.Context) (ConfigSnapshot, error)
	quiet     bool // quiet means that the node does not spread configuration.

	udp     *net.UDPConn
	tcp     *net.TCPListener
	history history
	view    atomic.Pointer[View]
	notices notices

	commands chan func()
	packets  chan received
	ctx      context.Context // ctx ends when the node stops
	stop     context.CancelFunc
	group    sync.WaitGroup
	close    sync.Once

	// The control goroutine owns the following fields.
	table    *membership.MemberList
	spreader *configsync.Syncer
	ticks    uint64
	changed  bool // changed is set if members or items changed since the last tick
}

// received is a decoded packet on its way to the control goroutine.
type received struct {
	from   netip.AddrPort
	packet membership.Packet
}

// packetBacklog bounds the packets that wait for the control goroutine. It is a second of traffic
// during a mass event; more are dropped, as the network would.
const packetBacklog = 256

// New starts a node. It listens and joins the others until the context ends or Close is called. If
// the context ends, the node stops without announcing its departure.
func New(ctx context.Context, c Config, options ...Option) (*Node, error) {
	n := &Node{
		fleet: c.Fleet, logger: &log.DefaultLogger, counters: newCounters(metrics.NewRegistry()),
		commands: make(chan func()), packets: make(chan received, packetBacklog), notices: newNotices(),
	}
	for _, o := range options {
		o(n)
	}
	if err := n.listen(c.Address); err != nil {
		return nil, err
	}
	if err := n.machines(c); err != nil {
		n.closeSockets()
		return nil, err
	}
	n.ctx, n.stop = context.WithCancel(ctx)
	n.refresh()
	n.start(n.control)
	n.start(n.read)
	n.start(n.serve)
	n.start(func() { n.notices.run(n.ctx) })
	n.start(func() {
		<-n.ctx.Done()
		n.closeSockets()
	})
	return n, nil
}

// machines makes the state machines with a random seed.
func (n *Node) machines(c Config) error {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := membership.Member{Name: c.Name, DataCentre: c.DataCentre, Address: n.Address()}
	table, err := membership.New(membership.Config{Fleet: c.Fleet, Self: self, Seeds: c.Seeds}, r, time.Now())
	if err != nil {
		return err
	}
	n.table = table
	n.spreader = configsync.New(table.Self(), r)
	n.spreader.ExpectPeers(n.hasPeers(c.Seeds))
	return nil
}

// hasPeers reports whether the seeds name another instance.
func (n *Node) hasPeers(seeds []netip.AddrPort) bool {
	return slices.ContainsFunc(seeds, func(a netip.AddrPort) bool { return a != n.Address() })
}

func (n *Node) start(f func()) {
	n.group.Go(f)
}

// listenAttempts bounds the tries to find a port number that is free for both UDP and TCP.
const listenAttempts = 16

// listen opens UDP and TCP on the same port number.
func (n *Node) listen(a netip.AddrPort) error {
	var err error
	for range listenAttempts {
		n.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
		if err != nil {
			return Unavailable.Wrap(err, "cannot listen on %s", a)
		}
		n.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.Address()))
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

// Address returns where the node listens.
func (n *Node) Address() netip.AddrPort {
	a := n.tcp.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// View returns what the node knows. The result must not be changed.
func (n *Node) View() *View { return n.view.Load() }

// Members returns the live instances, this one included, in the order of their addresses. The
// result must not be changed.
func (n *Node) Members() []membership.Member { return n.View().Members }

// OnItem has a function called for each drain and quarantine that is known, and that this node learns
// of or publishes later. Calls come one at a time from one goroutine; an item may come twice.
func (n *Node) OnItem(f func(membership.Item)) {
	n.notices.onItem(f)
	for _, i := range n.View().Items {
		n.notices.item(i)
	}
}

// OnMembers has a function called after the live members have changed. Calls come one at a time
// from one goroutine.
func (n *Node) OnMembers(f func([]membership.Member)) { n.notices.onMembers(f) }

// Publish tells all instances of a drain or quarantine, or sets the load share of this one.
func (n *Node) Publish(i membership.Item) error {
	var err error
	if !n.do(func() { err = n.table.Publish(i) }) {
		return ErrClosed
	}
	return err
}

// Broadcast tells all instances of items at once, see membership.Table.
func (n *Node) Broadcast(items []membership.Item) error {
	var err error
	sent := n.do(func() {
		var packets []membership.Packet
		packets, err = n.table.Broadcast(items, time.Now())
		n.sendAll(packets)
	})
	if !sent {
		return ErrClosed
	}
	return err
}

// NotifyVersion tells the node that a version was accepted, so that it need not wait for the next read of
// the head row. The Source must be able to return its changes.
func (n *Node) NotifyVersion(version uint64) {
	n.do(func() { n.perform(n.spreader.CommittedVersion(version, time.Now())) })
}

// SetSeeds replaces the addresses that are tried to find other instances.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.do(func() {
		n.table.SetSeeds(seeds)
		n.spreader.ExpectPeers(n.hasPeers(seeds))
	})
}

// Close announces the departure, stops the node and waits for its goroutines. The Applier and Source
// must have returned from their calls or honour the context.
func (n *Node) Close() error {
	n.close.Do(func() {
		n.do(func() { n.sendAll(n.table.Leave(time.Now())) })
		n.stop()
	})
	n.group.Wait()
	return nil
}

// do runs a function in the control goroutine and reports whether it ran.
func (n *Node) do(f func()) bool {
	done := make(chan struct{})
	select {
	case n.commands <- func() { f(); close(done) }:
		<-done
		return true
	case <-n.ctx.Done():
		return false
	}
}
