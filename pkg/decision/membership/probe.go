package membership

import (
	"net/netip"
	"slices"
	"time"
)

// prober runs one probe at a time: a ping, and if it is not answered in time, a second ping and indirect probes
// through relays.
type prober struct {
	remaining   []*record // remaining lists the members left in this round; each round probes every member once
	nextProbe   time.Time
	healthScore int // healthScore is the local health score; see maxHealth

	target     *record // target is nil if no probe is running
	sequence   uint64
	indirectAt time.Time // indirectAt is when the indirect probes are due
	relays     int       // relays counts the PingRequests sent; 0 before they are due, -1 if no relay was found
	nacks      int       // nacks counts the relays that the target did not answer either
}

// indirectProbe is a probe that this member makes as a relay, for the origin of a PingRequest.
type indirectProbe struct {
	origin         netip.AddrPort // origin is the sender of the PingRequest
	originSequence uint64         // originSequence is the sequence number of the origin's probe
	target         netip.AddrPort
	sequence       uint64 // sequence is the sequence number of the ping to the target
	deadline       time.Time
}

// tickProbe starts the indirect probes when the ping was not answered in time, and ends the probe and starts the
// next one when that is due.
func (l *MemberList) tickProbe() {
	p := &l.probes
	if p.target != nil && p.relays == 0 && !l.now.Before(p.indirectAt) {
		l.sendIndirectProbes()
	}
	if l.now.Before(p.nextProbe) {
		return
	}
	if p.target != nil {
		l.failProbe()
	}
	p.nextProbe = l.now.Add(l.scaledByHealth(probeInterval))
	if r := l.nextTarget(); r != nil {
		l.startProbe(r)
	}
}

// scaledByHealth multiplies a timeout by the local health score plus 1.
func (l *MemberList) scaledByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+l.probes.healthScore)
}

// nextTarget returns the next live member of the round, and starts a new round after the last one.
func (l *MemberList) nextTarget() *record {
	p := &l.probes
	for range 2 {
		for len(p.remaining) > 0 {
			r := p.remaining[len(p.remaining)-1]
			p.remaining = p.remaining[:len(p.remaining)-1]
			if r.State.Live() {
				return r
			}
		}
		p.remaining = append(p.remaining, l.live...)
		l.rand.Shuffle(len(p.remaining), func(i, j int) { p.remaining[i], p.remaining[j] = p.remaining[j], p.remaining[i] })
	}
	return nil
}

func (l *MemberList) startProbe(r *record) {
	p := &l.probes
	p.target, p.sequence, p.relays, p.nacks = r, l.nextSequenceNumber(), 0, 0
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
	p.relays = -1
	l.send(l.ping(p.target.Address, p.sequence))
	for _, relay := range l.randomLive(indirectProbeCount, p.target) {
		k := l.newPacket(PingRequest, relay.Address)
		k.Sequence, k.Target = p.sequence, p.target.Address
		l.send(k)
		p.relays = max(p.relays, 0) + 1
	}
}

// failProbe suspects the target. The health score increases only if several relays were asked and none sent a Nack:
// then it is likely that this member itself is slow or partitioned.
func (l *MemberList) failProbe() {
	p := &l.probes
	r := p.target
	p.target = nil
	if p.nacks == 0 && p.relays > 1 {
		p.healthScore = min(p.healthScore+1, maxHealth)
	}
	l.suspect(r)
}

// endProbe ends the probe with the sequence number as answered, if it is still running, and lowers the health score.
func (l *MemberList) endProbe(sequence uint64) {
	p := &l.probes
	if p.target == nil || p.sequence != sequence {
		return
	}
	p.target = nil
	p.healthScore = max(p.healthScore-1, 0)
}

// startIndirectProbe probes the target of a PingRequest on behalf of the sender.
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

// forwardAck forwards an Ack to the origin of the indirect probe that it answers, if there is one.
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

// expireIndirectProbes sends a Nack to the origin of each indirect probe that was not answered in time.
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
