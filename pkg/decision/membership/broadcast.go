package membership

import (
	"math/bits"
	"net/netip"
	"time"
)

// newsKey identifies a member record, or an item if kind is set.
type newsKey struct {
	address netip.AddrPort
	kind    ItemKind
	key     string
}

// news is one queued update. The content is looked up when it is sent, so it is always current.
type news struct {
	key  newsKey
	sent int
	at   time.Time
}

// queue holds updates by the number of times they were sent.
type queue struct {
	current map[newsKey]*news
	levels  [][]*news
}

func newQueue() queue {
	return queue{current: map[newsKey]*news{}}
}

// add queues an update and replaces the one with the same key.
func (q *queue) add(k newsKey, now time.Time) {
	n := &news{key: k, at: now}
	q.current[k] = n
	q.push(n)
}

func (q *queue) push(n *news) {
	for len(q.levels) <= n.sent {
		q.levels = append(q.levels, nil)
	}
	q.levels[n.sent] = append(q.levels[n.sent], n)
}

// pop returns the newest of the least sent updates at or above a level, or nil.
func (q *queue) pop(level int) *news {
	for l := level; l < len(q.levels); l++ {
		for len(q.levels[l]) > 0 {
			last := len(q.levels[l]) - 1
			n := q.levels[l][last]
			q.levels[l] = q.levels[l][:last]
			if q.current[n.key] == n {
				return n
			}
		}
	}
	return nil
}

// fresh reports whether an update was never sent.
func (q *queue) fresh() bool {
	n := q.pop(0)
	if n == nil {
		return false
	}
	q.push(n)
	return n.sent == 0
}

// transmissions is how often an update is sent. Each member sending news to k·log2(n) random others
// leaves n·exp(-k·log2(n)) without it; with k = 1 that is 0.02 of 2,700 members. Small clusters get
// at least 6.
func transmissions(members int) int {
	return max(6, bits.Len(uint(members)))
}

// announce queues an update and asks for it to be sent with the next tick.
func (t *MemberList) announce(k newsKey) {
	t.news.add(k, t.now)
	t.pushes = fanout
}

// fillNews adds queued updates to a packet until it is full.
func (t *MemberList) fillNews(p *Packet) {
	space := MaxPacketBytes - p.Size()
	limit := transmissions(len(t.live) + 1)
	var sent []*news
	for {
		n := t.news.pop(0)
		if n == nil {
			break
		}
		size := t.addEntry(p, n.key, space)
		if size > space {
			t.news.push(n)
			break
		}
		space -= size
		n.sent++
		sent = append(sent, n)
	}
	for _, n := range sent {
		if n.sent >= limit || t.now.Sub(n.at) > newsLife {
			delete(t.news.current, n.key)
			continue
		}
		t.news.push(n)
	}
}

// addEntry adds what the key stands for if it fits, and returns its size. The size is 0 if it is
// no longer known.
func (t *MemberList) addEntry(p *Packet, k newsKey, space int) int {
	if k.kind != "" {
		i, ok := t.items[k]
		if !ok {
			return 0
		}
		if i.Size() <= space {
			p.Items = append(p.Items, i)
		}
		return i.Size()
	}
	r, ok := t.members[k.address]
	if !ok {
		return 0
	}
	if r.Size() <= space {
		p.Members = append(p.Members, r.Member)
	}
	return r.Size()
}

// tickNews sends news to a few members without waiting for the next probe, within the budget.
func (t *MemberList) tickNews() {
	if t.pushes == 0 {
		return
	}
	for _, r := range t.pick(t.pushes, nil) {
		if !t.newsBudget.allow(t.now, MaxPacketBytes) {
			return
		}
		p := t.compose(Gossip, r.Address)
		t.newsBudget.spend(p.Size())
		t.send(p)
		t.pushes--
	}
	t.pushes = 0
	if t.news.fresh() {
		t.pushes = fanout
	}
}

// budget is a token bucket of bytes.
type budget struct {
	rate, burst, left float64
	at                time.Time
}

// allow reports whether n bytes may be sent.
func (b *budget) allow(now time.Time, n int) bool {
	b.left = min(b.burst, b.left+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	return b.left >= float64(n)
}

func (b *budget) spend(n int) {
	b.left -= float64(n)
}
