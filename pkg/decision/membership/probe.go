package membership

import (
	"net/netip"
	"slices"
	"time"
)

// prober makes one probe at a time.
type prober struct {
	order  []*record // order is the rest of this round; each round probes every member once
	verify []Member  // verify lists deaths that others hold against members live here
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
	sequence uint64
	target   netip.AddrPort
	deadline time.Time
}

// verify arranges that a member is probed next. What a digest answer says of a death may be what
// the other side of a healed cut still believes, so it is checked and not taken over.
func (t *Table) verify(r *record, claim Member) {
	p := &t.probes
	same := func(m Member) bool { return m.Address == r.Address }
	if i := slices.IndexFunc(p.verify, same); i >= 0 {
		p.verify[i] = claim
		return
	}
	p.verify = append(p.verify, claim)
}

func (t *Table) tickProbe() {
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
	if claim, ok := t.nextClaim(); ok {
		t.startProbe(t.members[claim.Address], []Member{claim})
	} else if r := t.nextTarget(); r != nil {
		t.startProbe(r, nil)
	}
}

// scaled lengthens a timeout by the local health score.
func (t *Table) scaled(d time.Duration) time.Duration {
	return d * time.Duration(1+t.probes.health)
}

// nextClaim returns the next claimed death that still concerns a live record.
func (t *Table) nextClaim() (Member, bool) {
	p := &t.probes
	for len(p.verify) > 0 {
		claim := p.verify[0]
		p.verify = p.verify[1:]
		r := t.members[claim.Address]
		if r != nil && r.State.Live() && claim.Wins(r.Member) {
			return claim, true
		}
	}
	return Member{}, false
}

// nextTarget returns the next live member of the round, and starts a new round after the last one.
func (t *Table) nextTarget() *record {
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

func (t *Table) startProbe(r *record, tell []Member) {
	p := &t.probes
	p.target, p.sequence, p.asked, p.nacks = r, t.sequence(), 0, 0
	p.askAt = t.now.Add(t.scaled(ackTimeout))
	t.send(t.ping(r.Address, p.sequence, tell))
}

func (t *Table) ping(to netip.AddrPort, sequence uint64, tell []Member) Packet {
	k := t.compose(Ping, to, tell...)
	k.Sequence = sequence
	return k
}

// askHelpers probes the target again, directly and through others.
func (t *Table) askHelpers() {
	p := &t.probes
	p.asked = -1
	t.send(t.ping(p.target.Address, p.sequence, nil))
	for _, h := range t.pick(helpers, p.target) {
		k := t.compose(PingRequest, h.Address)
		k.Sequence, k.Target = p.sequence, p.target.Address
		t.send(k)
		p.asked = max(p.asked, 0) + 1
	}
}

// failProbe suspects the target. The health score rises only if no helper answered either: then
// this member itself is likely to be the one that is cut off.
func (t *Table) failProbe() {
	p := &t.probes
	r := p.target
	p.target = nil
	if p.nacks == 0 && p.asked > 1 {
		p.health = min(p.health+1, maxHealth)
	}
	t.suspect(r)
}

// answered ends the probe with the sequence number, if it is still running.
func (t *Table) answered(sequence uint64) {
	p := &t.probes
	if p.target == nil || p.sequence != sequence {
		return
	}
	p.target = nil
	p.health = max(p.health-1, 0)
}

// relayPing probes the target of a request for its origin.
func (t *Table) relayPing(p Packet) {
	if len(t.relays) >= maxRelays {
		return
	}
	s := t.sequence()
	t.relays[s] = relay{
		origin: p.From.Address, sequence: p.Sequence, target: p.Target, deadline: t.now.Add(ackTimeout),
	}
	t.send(t.ping(p.Target, s, nil))
}

// relayAck passes an answer on to the origin of the request.
func (t *Table) relayAck(p Packet) {
	r, ok := t.relays[p.Sequence]
	if !ok || p.From.Address != r.target {
		return
	}
	delete(t.relays, p.Sequence)
	k := t.compose(Ack, r.origin, p.From)
	k.Sequence = r.sequence
	t.send(k)
}

func (t *Table) expireRelays() {
	for _, s := range t.sortedRelays() {
		r := t.relays[s]
		if t.now.Before(r.deadline) {
			continue
		}
		delete(t.relays, s)
		k := t.compose(Nack, r.origin)
		k.Sequence = r.sequence
		t.send(k)
	}
}

func (t *Table) sequence() uint64 {
	t.nextSequence++
	return t.nextSequence
}
