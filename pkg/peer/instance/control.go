package instance

import (
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/configsync"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// control owns the state machines until the node stops.
func (n *Node) control() {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.tick(time.Now())
		case r := <-n.packets:
			n.sendAll(n.table.Receive(r.from, r.packet, time.Now()))
		case f := <-n.commands:
			f()
		}
		n.handleEvents(time.Now())
	}
}

// refreshTicks is the number of ticks between snapshots if nothing but load shares changes.
const refreshTicks = 10

func (n *Node) tick(now time.Time) {
	n.sendAll(n.table.Tick(now))
	n.updateMembers()
	if !n.quiet {
		n.perform(n.spreader.Tick(now))
	}
	if n.ticks++; n.ticks%refreshTicks == 0 {
		n.refresh()
	}
}

// handleEvents passes on what the member table has learned.
func (n *Node) handleEvents(now time.Time) {
	for _, e := range n.table.Events() {
		switch i := e.Item.(type) {
		case nil:
			n.changed = true
			n.logMember(e)
		case membership.ConfigVersion:
			n.perform(n.spreader.PeerVersion(e.From, i.Number, now))
		case membership.Drain, membership.Quarantine:
			n.changed = true
			n.notices.item(i)
		}
	}
}

// updateMembers tells the spreader and readers of changes. It runs once a tick: thousands of members
// change in one second when a region is cut off, and the list is sorted each time.
func (n *Node) updateMembers() {
	if !n.changed {
		return
	}
	n.changed = false
	n.spreader.SetMembers(n.table.Members())
	n.refresh()
	n.notices.members(n.Members())
}

// logMember logs deaths at a higher level than the rest, of which a starting instance sees thousands.
func (n *Node) logMember(e membership.Event) {
	entry := n.logger.Debug()
	if e.Member.State == membership.Dead {
		entry = n.logger.Info()
	}
	entry.Str("Member", e.Member.Name).Str("Address", e.Member.Address.String()).
		Str("State", string(e.Member.State)).Uint64("Incarnation", e.Member.Incarnation).
		Msg("instance changed state")
}

// refresh replaces the snapshot for readers. Lists that did not change are the same as before.
func (n *Node) refresh() {
	n.view.Store(&View{
		Self: n.table.Self(), Members: n.table.Members(), Gone: n.table.DeadOrLeft(), Items: n.table.Items(),
		Loads: n.table.LoadReports(), Version: n.spreader.Version(), Known: n.spreader.LatestKnown(),
		Polls: n.spreader.IsPoller(), Health: n.table.HealthScore(), Refused: n.table.Refused(),
	})
}

// sendAll sends packets. A packet that the system does not take is lost, as in the network.
func (n *Node) sendAll(packets []membership.Packet) {
	for _, p := range packets {
		b, err := Encode(p)
		if err != nil {
			n.logger.Error().Err(err).Str("Kind", string(p.Kind)).Msg("packet could not be encoded")
			continue
		}
		if _, err := n.udp.WriteToUDPAddrPort(b, p.To); err != nil {
			n.counters.dropped.Inc(1)
			continue
		}
		n.counters.packetsOut.Inc(1)
		n.counters.bytesOut.Inc(int64(len(b)))
	}
}

// read decodes packets until the socket is closed.
func (n *Node) read() {
	buffer := make([]byte, membership.MaxPacketBytes+1)
	for n.ctx.Err() == nil {
		size, from, err := n.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			n.pause(readPause)
			continue
		}
		n.counters.packetsIn.Inc(1)
		n.counters.bytesIn.Inc(int64(size))
		if size > 0 && buffer[0] == bulletinMark {
			n.readBulletin(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[1:size])
			continue
		}
		p, err := Decode(buffer[:size])
		if err != nil {
			n.counters.refused.Inc(1)
			n.logger.Debug().Err(err).Str("From", from.String()).Msg("packet refused")
			continue
		}
		n.enqueue(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), p)
	}
}

func (n *Node) enqueue(from netip.AddrPort, p membership.Packet) {
	select {
	case n.packets <- received{from: from, packet: p}:
	default:
		n.counters.dropped.Inc(1)
	}
}

// readPause keeps a failing socket from using a whole core. An error of a read on a UDP socket can be
// the echo of a packet that could not be delivered, so reading goes on.
const readPause = time.Millisecond

// pause waits, but not beyond the end of the node.
func (n *Node) pause(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// perform carries out the spreader's actions, each in its own goroutine, since all of them wait for
// others. The spreader asks for at most one read of the head and one other action at a time.
func (n *Node) perform(actions []configsync.Action) {
	for _, a := range actions {
		n.start(func() { n.act(a) })
	}
}
