package membership

import (
	"net/netip"
	"time"
)

// Receive handles a packet and returns the response packets. They are sent to the address in the packet's From
// record, which may differ from the source address from on hosts with several addresses.
func (l *MemberList) Receive(from netip.AddrPort, p Packet, now time.Time) []Packet {
	l.now = now
	if p.Fleet != l.fleet || p.From.Address == l.self.Address || p.Validate() != nil || !from.IsValid() {
		l.refused++
		return nil
	}
	l.mergeHeader(p)
	source := fromGossip
	if p.Kind == SyncEntries {
		source = fromSync
	}
	for _, m := range p.Members {
		l.merge(m, source, p.From.Address)
	}
	for _, i := range p.Items {
		l.mergeItem(i, p.From.Address)
	}
	l.handle(p)
	return l.takePackets()
}

// mergeHeader merges the sender's own record, version and load. An event for the version is added even if the
// sender is recorded as dead, since the sender can still serve the changes.
func (l *MemberList) mergeHeader(p Packet) {
	l.merge(p.From, fromMember, p.From.Address)
	if p.Version.Supersedes(l.version) {
		l.events = append(l.events, Event{Item: p.Version, From: p.From.Address})
	}
	r := l.members[p.From.Address]
	if r == nil || p.Load.At.IsZero() || p.Load.At.Sub(l.now) > loadReportTTL || !p.Load.Supersedes(r.load) {
		return
	}
	r.load = p.Load
	r.load.Origin = p.From.Address
	l.events = append(l.events, Event{Item: r.load, From: p.From.Address})
}

func (l *MemberList) handle(p Packet) {
	switch p.Kind {
	case Ping:
		k := l.newPacket(Ack, p.From.Address)
		k.Sequence = p.Sequence
		l.send(k)
	case Ack:
		l.forwardAck(p)
		l.endProbe(p.Sequence)
	case PingRequest:
		l.startIndirectProbe(p)
	case Nack:
		if l.probes.target != nil && l.probes.sequence == p.Sequence {
			l.probes.nacks++
		}
	case Sync, SyncReply:
		l.respondToDigest(p)
	}
}

// newPacket returns a packet with the header and as many queued updates as fit. The records in first precede the
// updates, and so does the record of the receiver if it is not Alive, so that the receiver can refute it.
func (l *MemberList) newPacket(kind PacketKind, to netip.AddrPort, first ...Member) Packet {
	p := l.newHeader(kind, to)
	p.Members = append(p.Members, first...)
	if r := l.members[to]; r != nil && r.State != Alive {
		p.Members = append(p.Members, r.Member)
	}
	l.fillUpdates(&p)
	return p
}

// newHeader returns a packet with only the header.
func (l *MemberList) newHeader(kind PacketKind, to netip.AddrPort) Packet {
	return Packet{To: to, Kind: kind, Fleet: l.fleet, From: l.self, Version: l.version, Load: l.load}
}
