package instance

import (
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/configsync"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// runControl is the control loop, which owns the state machines until the node stops.
func (n *Node) runControl() {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.tick(time.Now())
		case r := <-n.packets:
			n.sendAll(n.memberList.Receive(r.from, r.packet, time.Now()))
		case f := <-n.commands:
			f()
		}
		n.handleEvents(time.Now())
	}
}

// viewTicks is the number of ticks after which the view is updated even if no change requires it, for load reports
// and the other values that change without an event.
const viewTicks = 10

// tick runs the state machines, and updates the view when that is due.
func (n *Node) tick(now time.Time) {
	n.sendAll(n.memberList.Tick(now))
	n.updateMembers()
	if !n.configSyncDisabled {
		n.runActions(n.syncer.Tick(now))
	}
	if n.ticks++; n.ticks%viewTicks == 0 {
		n.storeView()
	}
}

// handleEvents passes the events of the member list to the syncer, the notifier and the log.
func (n *Node) handleEvents(now time.Time) {
	for _, e := range n.memberList.Events() {
		switch i := e.Item.(type) {
		case nil:
			n.membersChanged = true
			n.logMember(e)
		case membership.ConfigVersion:
			n.runActions(n.syncer.VersionAdvertised(e.From, i.Number, now))
		case membership.Drain, membership.Quarantine:
			n.membersChanged = true
			n.notifier.notifyItem(i)
		}
	}
}

// updateMembers updates the syncer, the view and the member handlers after a change of members or items. It runs once
// per tick and not after each change: thousands of members change in one second when a region is partitioned, and the
// list is sorted each time.
func (n *Node) updateMembers() {
	if !n.membersChanged {
		return
	}
	n.membersChanged = false
	n.syncer.SetMembers(n.memberList.Members())
	n.storeView()
	n.notifier.notifyMembers(n.Members())
}

// logMember logs deaths at a higher level than other changes, of which a starting instance receives thousands.
func (n *Node) logMember(e membership.Event) {
	entry := n.logger.Debug()
	if e.Member.State == membership.Dead {
		entry = n.logger.Info()
	}
	entry.Str("Member", e.Member.Name).Str("Address", e.Member.Address.String()).
		Str("State", string(e.Member.State)).Uint64("Incarnation", e.Member.Incarnation).
		Msg("instance changed state")
}

// storeView replaces the view by one of the present state. The list of members is shared with the earlier view if it
// has not changed.
func (n *Node) storeView() {
	n.view.Store(&View{
		Self: n.memberList.Self(), Members: n.memberList.Members(), Gone: n.memberList.DeadOrLeft(),
		Items: n.memberList.Items(), Loads: n.memberList.LoadReports(),
		Version: n.syncer.Version(), Known: n.syncer.LatestKnown(),
		Polls: n.syncer.IsPoller(), Health: n.memberList.HealthScore(), Refused: n.memberList.Refused(),
	})
}

// sendAll sends packets. A packet that the socket does not accept is dropped, as packets may be dropped by the network.
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

// receivePackets reads and decodes packets until the socket is closed.
func (n *Node) receivePackets() {
	buffer := make([]byte, membership.MaxPacketBytes+1)
	for n.ctx.Err() == nil {
		size, from, err := n.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			n.sleep(retryDelay)
			continue
		}
		n.counters.packetsIn.Inc(1)
		n.counters.bytesIn.Inc(int64(size))
		if size > 0 && buffer[0] == statusMark {
			n.receiveStatus(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[1:size])
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

// enqueue queues a packet for the control goroutine, or drops it if the queue is full.
func (n *Node) enqueue(from netip.AddrPort, p membership.Packet) {
	select {
	case n.packets <- receivedPacket{from: from, packet: p}:
	default:
		n.counters.dropped.Inc(1)
	}
}

// retryDelay prevents a failing socket from using a whole core. A read error on a UDP socket can be
// caused by an ICMP error for a packet that could not be delivered, so reading goes on.
const retryDelay = time.Millisecond

// sleep waits until the duration has passed or the node stops.
func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// runActions executes the syncer's actions, each in its own goroutine, since all of them block on I/O. The syncer
// requests at most one read of the head and one other action at a time.
func (n *Node) runActions(actions []configsync.Action) {
	for _, a := range actions {
		n.start(func() { n.runAction(a) })
	}
}
