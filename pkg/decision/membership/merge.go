package membership

import (
	"net/netip"
	"slices"
)

// mergeSource states from where a member record was received. It decides how far the record is trusted and relayed.
type mergeSource string

const (
	fromMember mergeSource = "direct"   // received from the member itself
	fromGossip mergeSource = "gossiped" // received as an update from another member
	fromSync   mergeSource = "synced"   // received in response to a digest
	fromLocal  mergeSource = "local"    // decided by the failure detector of this member
)

// merge stores and gossips a member record if it supersedes the known one. A death received in response to a
// digest is verified first.
func (l *MemberList) merge(m Member, source mergeSource, from netip.AddrPort) {
	if m.Address == l.self.Address {
		l.refute(m)
		return
	}
	r := l.members[m.Address]
	if r == nil {
		l.insert(m, source, from)
		return
	}
	if !m.Supersedes(r.Member) {
		return
	}
	if source == fromSync && m.State == Dead && r.State.Live() {
		l.queueVerification(m)
		return
	}
	l.replace(r, m, from)
	l.enqueueUpdate(updateKey{address: m.Address})
}

// insert adds the record of an unknown member. The death or departure of an unknown member is stored, so that
// an older record of that member is not accepted, but it is not relayed. Neither are records received in
// response to a digest.
func (l *MemberList) insert(m Member, source mergeSource, from netip.AddrPort) {
	r := &record{Member: m, hash: hashAddress(m.Address), stateSince: l.now}
	l.members[m.Address] = r
	l.addToLists(r)
	l.events = append(l.events, Event{Member: m, From: from})
	if m.State.Live() && source != fromSync {
		l.enqueueUpdate(updateKey{address: m.Address})
	}
}

// replace replaces a known record.
func (l *MemberList) replace(r *record, m Member, from netip.AddrPort) {
	l.removeFromLists(r)
	r.Member = m
	r.stateSince = l.now
	l.addToLists(r)
	l.events = append(l.events, Event{Member: m, From: from})
}

// addToLists adds the record to the lists of its state, and a live one to the digest.
func (l *MemberList) addToLists(r *record) {
	l.sortedLive = nil
	if !r.State.Live() {
		r.index = len(l.deadOrLeft)
		l.deadOrLeft = append(l.deadOrLeft, r)
		return
	}
	r.index = len(l.live)
	l.live = append(l.live, r)
	l.toggleDigest(r.hash, r.sum(r.hash))
	if r.State == Suspect {
		r.suspicion = &suspicion{deadline: l.now.Add(remoteSuspicionFactor * l.suspicionTimeout()), index: len(l.suspects)}
		l.suspects = append(l.suspects, r)
	}
}

// removeFromLists removes the record from the lists of its state, and a live one from the digest. It must be
// called before the state changes.
func (l *MemberList) removeFromLists(r *record) {
	l.sortedLive = nil
	if !r.State.Live() {
		l.deadOrLeft = swapRemove(l.deadOrLeft, r.index, func(o *record, i int) { o.index = i })
		return
	}
	l.live = swapRemove(l.live, r.index, func(o *record, i int) { o.index = i })
	l.toggleDigest(r.hash, r.sum(r.hash))
	if r.suspicion != nil {
		l.suspects = swapRemove(l.suspects, r.suspicion.index, func(o *record, i int) { o.suspicion.index = i })
		r.suspicion = nil
	}
}

// swapRemove removes the element at an index, moves the last element there and passes its new index to setIndex.
func swapRemove(list []*record, index int, setIndex func(*record, int)) []*record {
	last := len(list) - 1
	list[index] = list[last]
	setIndex(list[index], index)
	list[last] = nil
	return list[:last]
}

// refute increases the incarnation number of this member if a received record of it would supersede its own, so
// that its own record supersedes the received one.
func (l *MemberList) refute(m Member) {
	if l.self.State == Left || m.Incarnation < l.self.Incarnation {
		return
	}
	if m.State == Alive && m.Incarnation == l.self.Incarnation {
		return
	}
	l.toggleDigest(l.hash, l.self.sum(l.hash))
	l.self.Incarnation = m.Incarnation + 1
	l.toggleDigest(l.hash, l.self.sum(l.hash))
	l.sortedLive = nil
	l.pendingGossip = fanout
}

// tickPurge removes tombstones after their retention, and expired items.
func (l *MemberList) tickPurge() {
	if l.now.Before(l.nextPurge) {
		return
	}
	l.nextPurge = l.now.Add(purgeInterval)
	for _, r := range slices.Clone(l.deadOrLeft) {
		retention := deadRetention
		if r.State == Left {
			retention = leftRetention
		}
		if l.now.Sub(r.stateSince) > retention {
			l.removeFromLists(r)
			delete(l.members, r.Address)
		}
	}
	for k, i := range l.items {
		if i.Expired(l.now) {
			l.removeItem(k, i)
		}
	}
}
