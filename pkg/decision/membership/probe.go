package membership

import (
	"net/netip"
	"slices"
	"time"
)

// prober runs one probe at a time.
type prober struct {
	order       []*record // order is the remainder of this round; each round probes every member once
	next        time.Time
	healthScore int

	target     *record // target is nil if no probe is running
	sequence   uint64
	indirectAt time.Time
	requested  int
	nacks      int
}

// indirectProbe is a probe made for another member.
type indirectProbe struct {
	origin         netip.AddrPort
	originSequence uint64 // originSequence is the sequence number of the origin's probe
	target         netip.AddrPort
	sequence       uint64 // sequence is the number of the ping to the target
	deadline       time.Time
}

func (l *MemberList) tickProbe() {
	p := &l.probes
	if p.target != nil && p.requested == 0 && !l.now.Before(p.indirectAt) {
		l.sendIndirectProbes()
	}
	if l.now.Before(p.next) {
		return
	}
	if p.target != nil {
		l.failProbe()
	}
	p.next = l.now.Add(l.scaledByHealth(probeInterval))
	if r := l.nextTarget(); r != nil {
		l.startProbe(r)
	}
}

// scaledByHealth lengthens a timeout by the local health score.
func (l *MemberList) scaledByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+l.probes.healthScore)
}

// nextTarget returns the next live member of the round, and starts a new round after the last one.
func (l *MemberList) nextTarget() *record {
	p := &l.probes
	for range 2 {
		for len(p.order) > 0 {
			r := p.order[len(p.order)-1]
			p.order = p.order[:len(p.order)-1]
			if r.State.Live() {
				return r
			}
		}
		p.order = append(p.order, l.live...)
		l.rand.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
	}
	return nil
}

func (l *MemberList) startProbe(r *record) {
	p := &l.probes
	p.target, p.sequence, p.requested, p.nacks = r, l.nextSequenceNumber(), 0, 0
	p.indirectAt = l.now.Add(l.scaledByHealth(ackTimeout))
	l.send(l.ping(r.Address, p.sequence))
}

func (l *MemberList) ping(to netip.AddrPort, sequence uint64) Packet {
	k := l.newPacket(Ping, to)
	k.Sequence = sequence
	return k
}

// sendIndirectProbes probes the target again, directly and through relays.
func (l *MemberList) sendIndirectProbes() {
	p := &l.probes
	p.requested = -1
	l.send(l.ping(p.target.Address, p.sequence))
	for _, relay := range l.randomLive(indirectProbeCount, p.target) {
		k := l.newPacket(PingRequest, relay.Address)
		k.Sequence, k.Target = p.sequence, p.target.Address
		l.send(k)
		p.requested = max(p.requested, 0) + 1
	}
}

// failProbe suspects the target. The health score increases only if no relay answered either: then
// it is likely that this member itself is partitioned.
func (l *MemberList) failProbe() {
	p := &l.probes
	r := p.target
	p.target = nil
	if p.nacks == 0 && p.requested > 1 {
		p.healthScore = min(p.healthScore+1, maxHealth)
	}
	l.suspect(r)
}

// endProbe ends the probe with the sequence number, if it is still running.
func (l *MemberList) endProbe(sequence uint64) {
	p := &l.probes
	if p.target == nil || p.sequence != sequence {
		return
	}
	p.target = nil
	p.healthScore = max(p.healthScore-1, 0)
}

// startIndirectProbe probes the target of a PingRequest for its origin.
func (l *MemberList) startIndirectProbe(p Packet) {
	if len(l.indirectProbes) >= maxIndirectProbes || p.Target == l.self.Address {
		return
	}
	r := indirectProbe{
		origin: p.From.Address, originSequence: p.Sequence, target: p.Target,
		sequence: l.nextSequenceNumber(), deadline: l.now.Add(ackTimeout),
	}
	l.indirectProbes = append(l.indirectProbes, r)
	l.send(l.ping(r.target, r.sequence))
}

// forwardAck forwards an Ack to the origin of the PingRequest.
func (l *MemberList) forwardAck(p Packet) {
	i := slices.IndexFunc(l.indirectProbes, func(r indirectProbe) bool {
		return r.sequence == p.Sequence && r.target == p.From.Address
	})
	if i < 0 {
		return
	}
	r := l.indirectProbes[i]
	l.indirectProbes = slices.Delete(l.indirectProbes, i, i+1)
	k := l.newPacket(Ack, r.origin, p.From)
	k.Sequence = r.originSequence
	l.send(k)
}

func (l *MemberList) expireIndirectProbes() {
	for len(l.indirectProbes) > 0 && !l.now.Before(l.indirectProbes[0].deadline) {
		r := l.indirectProbes[0]
		l.indirectProbes = l.indirectProbes[1:]
		k := l.newPacket(Nack, r.origin)
		k.Sequence = r.originSequence
		l.send(k)
	}
}

func (l *MemberList) nextSequenceNumber() uint64 {
	l.nextSequence++
	return l.nextSequence
}
