package membership

import (
	"math/bits"
	"net/netip"
	"time"
)

// updateKey identifies a member record, or an item if kind is set.
type updateKey struct {
	address netip.AddrPort
	kind    ItemKind
	key     string
}

// update is one queued update. It has only the key: the record or item is looked up when a packet is built, so the
// packet contains the newest one.
type update struct {
	key      updateKey
	sent     int // sent counts the packets that contained the update
	queuedAt time.Time
}

// updateQueue groups updates by the number of times they were sent. An update in levels that is not the newest one
// with its key is skipped when it is popped.
type updateQueue struct {
	newest map[updateKey]*update
	levels [][]*update // levels[n] lists the updates that were sent n times, oldest first
}

func newUpdateQueue() updateQueue {
	return updateQueue{newest: map[updateKey]*update{}}
}

// add enqueues an update and replaces the one with the same key.
func (q *updateQueue) add(k updateKey, now time.Time) {
	u := &update{key: k, queuedAt: now}
	q.newest[k] = u
	q.push(u)
}

func (q *updateQueue) push(u *update) {
	for len(q.levels) <= u.sent {
		q.levels = append(q.levels, nil)
	}
	q.levels[u.sent] = append(q.levels[u.sent], u)
}

// pop removes and returns an update with the lowest number of transmissions at or above a level, or returns nil if
// there is none. Of several, it takes the one queued last.
func (q *updateQueue) pop(level int) *update {
	for l := level; l < len(q.levels); l++ {
		for len(q.levels[l]) > 0 {
			last := len(q.levels[l]) - 1
			u := q.levels[l][last]
			q.levels[l] = q.levels[l][:last]
			if q.newest[u.key] == u {
				return u
			}
		}
	}
	return nil
}

// hasUnsent reports whether the queue contains an update that was never sent. It drops replaced updates from levels.
func (q *updateQueue) hasUnsent() bool {
	u := q.pop(0)
	if u == nil {
		return false
	}
	q.push(u)
	return u.sent == 0
}

// transmissions is how often an update is sent. If each member sends an update to k·log2(n) random members,
// n·exp(-k·log2(n)) members miss it; with k = 1 that is 0.02 of 2,700 members. Small clusters use
// at least 6.
func transmissions(members int) int {
	return max(6, bits.Len(uint(members)))
}

// enqueueUpdate queues an update and schedules gossip packets for the next tick.
func (l *MemberList) enqueueUpdate(k updateKey) {
	l.updates.add(k, l.now)
	l.pendingGossip = fanout
}

// fillUpdates adds queued updates to a packet until it is full.
func (l *MemberList) fillUpdates(p *Packet) {
	space := MaxPacketBytes - p.Size()
	limit := transmissions(len(l.live) + 1)
	var sent []*update
	for {
		u := l.updates.pop(0)
		if u == nil {
			break
		}
		size := l.appendEntry(p, u.key, space)
		if size > space {
			l.updates.push(u)
			break
		}
		space -= size
		u.sent++
		sent = append(sent, u)
	}
	for _, u := range sent {
		if u.sent >= limit || l.now.Sub(u.queuedAt) > updateTTL {
			delete(l.updates.newest, u.key)
			continue
		}
		l.updates.push(u)
	}
}

// appendEntry appends the record or item with the key if it fits, and returns its size. The size is 0 if the key
// is no longer known.
func (l *MemberList) appendEntry(p *Packet, k updateKey, space int) int {
	if k.kind != "" {
		i, ok := l.items[k]
		if !ok {
			return 0
		}
		if i.Size() <= space {
			p.Items = append(p.Items, i)
		}
		return i.Size()
	}
	r, ok := l.members[k.address]
	if !ok {
		return 0
	}
	if r.Size() <= space {
		p.Members = append(p.Members, r.Member)
	}
	return r.Size()
}

// tickGossip sends updates to a few members without waiting for the next probe, within the byte budget.
func (l *MemberList) tickGossip() {
	if l.pendingGossip == 0 {
		return
	}
	for _, r := range l.randomLive(l.pendingGossip, nil) {
		if !l.gossipBudget.allow(l.now, MaxPacketBytes) {
			return
		}
		p := l.newPacket(Gossip, r.Address)
		l.gossipBudget.spend(p.Size())
		l.send(p)
		l.pendingGossip--
	}
	l.pendingGossip = 0
	if l.updates.hasUnsent() {
		l.pendingGossip = fanout
	}
}

// tokenBucket limits the rate of sent bytes, or of broadcasts.
type tokenBucket struct {
	rate, burst, tokens float64 // rate is in tokens per second; burst bounds tokens
	refilled            time.Time
}

// allow refills the bucket and reports whether n tokens are available.
func (b *tokenBucket) allow(now time.Time, n int) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilled).Seconds())
	b.refilled = now
	return b.tokens >= float64(n)
}

func (b *tokenBucket) spend(n int) {
	b.tokens -= float64(n)
}
