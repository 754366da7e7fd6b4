package membership

import (
	"net/netip"
	"slices"
	"time"
)

// prober makes one probe at a time.
type prober struct {
	order  []*record // order is the rest of this round; each round probes every member once
	next   time.Time
	health int

	target   *record // target is nil if no probe waits for an answer
	sequence uint64
	askAt    time.Time
	asked    int
	nacks    int
}

// relay is a probe made for another member.
type relay struct {
	origin   netip.AddrPort
	asked    uint64 // asked is the sequence number of the origin's probe
	target   netip.AddrPort
	sequence uint64 // sequence is the number of the ping to the target
	deadline time.Time
}

func (t *MemberList) tickProbe() {
	p := &t.probes
	if p.target != nil && p.asked == 0 && !t.now.Before(p.askAt) {
		t.askHelpers()
	}
	if t.now.Before(p.next) {
		return
	}
	if p.target != nil {
		t.failProbe()
	}
	p.next = t.now.Add(t.scaled(probeInterval))
	if r := t.nextTarget(); r != nil {
		t.startProbe(r)
	}
}

// scaled lengthens a timeout by the local health score.
func (t *MemberList) scaled(d time.Duration) time.Duration {
	return d * time.Duration(1+t.probes.health)
}

// nextTarget returns the next live member of the round, and starts a new round after the last one.
func (t *MemberList) nextTarget() *record {
	p := &t.probes
	for range 2 {
		for len(p.order) > 0 {
			r := p.order[len(p.order)-1]
			p.order = p.order[:len(p.order)-1]
			if r.State.Live() {
				return r
			}
		}
		p.order = append(p.order, t.live...)
		t.rand.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
	}
	return nil
}

func (t *MemberList) startProbe(r *record) {
	p := &t.probes
	p.target, p.sequence, p.asked, p.nacks = r, t.sequence(), 0, 0
	p.askAt = t.now.Add(t.scaled(ackTimeout))
	t.send(t.ping(r.Address, p.sequence))
}

func (t *MemberList) ping(to netip.AddrPort, sequence uint64) Packet {
	k := t.compose(Ping, to)
	k.Sequence = sequence
	return k
}

// askHelpers probes the target again, directly and through others.
func (t *MemberList) askHelpers() {
	p := &t.probes
	p.asked = -1
	t.send(t.ping(p.target.Address, p.sequence))
	for _, h := range t.pick(helpers, p.target) {
		k := t.compose(PingRequest, h.Address)
		k.Sequence, k.Target = p.sequence, p.target.Address
		t.send(k)
		p.asked = max(p.asked, 0) + 1
	}
}

// failProbe suspects the target. The health score rises only if no helper answered either: then
// this member itself is likely to be the one that is cut off.
func (t *MemberList) failProbe() {
	p := &t.probes
	r := p.target
	p.target = nil
	if p.nacks == 0 && p.asked > 1 {
		p.health = min(p.health+1, maxHealth)
	}
	t.suspect(r)
}

// answered ends the probe with the sequence number, if it is still running.
func (t *MemberList) answered(sequence uint64) {
	p := &t.probes
	if p.target == nil || p.sequence != sequence {
		return
	}
	p.target = nil
	p.health = max(p.health-1, 0)
}

// relayPing probes the target of a request for its origin.
func (t *MemberList) relayPing(p Packet) {
	if len(t.relays) >= maxRelays || p.Target == t.self.Address {
		return
	}
	r := relay{
		origin: p.From.Address, asked: p.Sequence, target: p.Target,
		sequence: t.sequence(), deadline: t.now.Add(ackTimeout),
	}
	t.relays = append(t.relays, r)
	t.send(t.ping(r.target, r.sequence))
}

// relayAck passes an answer on to the origin of the request.
func (t *MemberList) relayAck(p Packet) {
	i := slices.IndexFunc(t.relays, func(r relay) bool {
		return r.sequence == p.Sequence && r.target == p.From.Address
	})
	if i < 0 {
		return
	}
	r := t.relays[i]
	t.relays = slices.Delete(t.relays, i, i+1)
	k := t.compose(Ack, r.origin, p.From)
	k.Sequence = r.asked
	t.send(k)
}

func (t *MemberList) expireRelays() {
	for len(t.relays) > 0 && !t.now.Before(t.relays[0].deadline) {
		r := t.relays[0]
		t.relays = t.relays[1:]
		k := t.compose(Nack, r.origin)
		k.Sequence = r.asked
		t.send(k)
	}
}

func (t *MemberList) sequence() uint64 {
	t.nextSequence++
	return t.nextSequence
}
