package membership

import (
	"net/netip"
	"slices"
)

// source is how a member record arrived.
type source string

const (
	direct   source = "direct"   // from the member itself
	gossiped source = "gossiped" // as news
	synced   source = "synced"   // as the answer to a digest
	local    source = "local"    // concluded here
)

// merge takes over a member record if it supersedes what is known.
func (t *MemberList) merge(m Member, how source, from netip.AddrPort) {
	if m.Address == t.self.Address {
		t.refute(m)
		return
	}
	r := t.members[m.Address]
	if r == nil {
		t.insert(m, how, from)
		return
	}
	if !m.Supersedes(r.Member) {
		return
	}
	if how == synced && m.State == Dead && r.State.Live() {
		t.verify(m)
		return
	}
	t.change(r, m, from)
	t.announce(newsKey{address: m.Address})
}

// insert adds an unknown member. A death or departure of a member that was never known is kept, so
// that an older record of it is not believed, but it is not relayed.
func (t *MemberList) insert(m Member, how source, from netip.AddrPort) {
	r := &record{Member: m, hash: hashAddress(m.Address), since: t.now}
	t.members[m.Address] = r
	t.enter(r)
	t.events = append(t.events, Event{Member: m, From: from})
	if m.State.Live() && how != synced {
		t.announce(newsKey{address: m.Address})
	}
}

// change replaces a known record.
func (t *MemberList) change(r *record, m Member, from netip.AddrPort) {
	t.exit(r)
	r.Member = m
	r.since = t.now
	t.enter(r)
	t.events = append(t.events, Event{Member: m, From: from})
}

// enter adds the record to the lists of its state.
func (t *MemberList) enter(r *record) {
	t.sorted = nil
	if !r.State.Live() {
		r.index = len(t.gone)
		t.gone = append(t.gone, r)
		return
	}
	r.index = len(t.live)
	t.live = append(t.live, r)
	t.toggle(r.hash, r.sum(r.hash))
	if r.State == Suspect {
		r.suspicion = &suspicion{deadline: t.now.Add(hearsayFactor * t.patience()), index: len(t.suspects)}
		t.suspects = append(t.suspects, r)
	}
}

// exit removes the record from the lists of its state, which it must still hold.
func (t *MemberList) exit(r *record) {
	t.sorted = nil
	if !r.State.Live() {
		t.gone = remove(t.gone, r.index, func(o *record, i int) { o.index = i })
		return
	}
	t.live = remove(t.live, r.index, func(o *record, i int) { o.index = i })
	t.toggle(r.hash, r.sum(r.hash))
	if r.suspicion != nil {
		t.suspects = remove(t.suspects, r.suspicion.index, func(o *record, i int) { o.suspicion.index = i })
		r.suspicion = nil
	}
}

// remove takes out the element at an index, moves the last one there and tells it its index.
func remove(list []*record, index int, move func(*record, int)) []*record {
	last := len(list) - 1
	list[index] = list[last]
	move(list[index], index)
	list[last] = nil
	return list[:last]
}

// refute answers a record about this member itself that is wrong, by a higher incarnation.
func (t *MemberList) refute(m Member) {
	if t.self.State == Left || m.Incarnation < t.self.Incarnation {
		return
	}
	if m.State == Alive && m.Incarnation == t.self.Incarnation {
		return
	}
	t.toggle(t.hash, t.self.sum(t.hash))
	t.self.Incarnation = m.Incarnation + 1
	t.toggle(t.hash, t.self.sum(t.hash))
	t.sorted = nil
	t.pushes = fanout
}

// tickForget drops what has expired.
func (t *MemberList) tickForget() {
	if t.now.Before(t.nextForget) {
		return
	}
	t.nextForget = t.now.Add(forgetInterval)
	for _, r := range slices.Clone(t.gone) {
		life := deadLife
		if r.State == Left {
			life = leftLife
		}
		if t.now.Sub(r.since) > life {
			t.exit(r)
			delete(t.members, r.Address)
		}
	}
	for k, i := range t.items {
		if i.Expired(t.now) {
			t.removeItem(k, i)
		}
	}
}
