package membership

import (
	"net/netip"
	"time"
)

// Receive handles a packet and returns the packets to send in answer. Answers go to the address
// that the sender states for itself, which is not necessarily from on hosts with several addresses.
func (t *MemberList) Receive(from netip.AddrPort, p Packet, now time.Time) []Packet {
	t.now = now
	if p.Fleet != t.fleet || p.From.Address == t.self.Address || p.Validate() != nil || !from.IsValid() {
		t.refused++
		return nil
	}
	t.mergeHeader(p)
	how := gossiped
	if p.Kind == SyncEntries {
		how = synced
	}
	for _, m := range p.Members {
		t.merge(m, how, p.From.Address)
	}
	for _, i := range p.Items {
		t.mergeItem(i, p.From.Address)
	}
	t.handle(p)
	return t.take()
}

// mergeHeader takes over what the sender states of itself. The version is reported even if the
// sender is held dead: its change records are as good as any.
func (t *MemberList) mergeHeader(p Packet) {
	t.merge(p.From, direct, p.From.Address)
	if p.Version.Supersedes(t.version) {
		t.events = append(t.events, Event{Item: p.Version, From: p.From.Address})
	}
	r := t.members[p.From.Address]
	if r == nil || p.Load.At.IsZero() || p.Load.At.Sub(t.now) > loadShareLife || !p.Load.Supersedes(r.load) {
		return
	}
	r.load = p.Load
	r.load.Origin = p.From.Address
	t.events = append(t.events, Event{Item: r.load, From: p.From.Address})
}

func (t *MemberList) handle(p Packet) {
	switch p.Kind {
	case Ping:
		k := t.compose(Ack, p.From.Address)
		k.Sequence = p.Sequence
		t.send(k)
	case Ack:
		t.relayAck(p)
		t.answered(p.Sequence)
	case PingRequest:
		t.relayPing(p)
	case Nack:
		if t.probes.target != nil && t.probes.sequence == p.Sequence {
			t.probes.nacks++
		}
	case Sync, SyncReply:
		t.answerDigest(p)
	}
}

// compose returns a packet with the header and as much news as fits. It first tells the receiver
// the given records and what is wrongly or rightly held against it, so that it can refute.
func (t *MemberList) compose(kind PacketKind, to netip.AddrPort, tell ...Member) Packet {
	p := t.bare(kind, to)
	p.Members = append(p.Members, tell...)
	if r := t.members[to]; r != nil && r.State != Alive {
		p.Members = append(p.Members, r.Member)
	}
	t.fillNews(&p)
	return p
}

// bare returns a packet with only the header.
func (t *MemberList) bare(kind PacketKind, to netip.AddrPort) Packet {
	return Packet{To: to, Kind: kind, Fleet: t.fleet, From: t.self, Version: t.version, Load: t.load}
}
