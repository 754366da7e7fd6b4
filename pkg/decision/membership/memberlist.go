package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// record is the member record of another member, with its position in the lists and its load.
type record struct {
	Member
	hash       uint64    // hash is the hash of the address
	stateSince time.Time // stateSince is when the record got its state
	index      int       // index is the position in MemberList.live or MemberList.deadOrLeft
	load       LoadReport

	suspicion *suspicion // suspicion is set while the state is Suspect
}

// Event is a change of a member record, or a new item. Item is nil if Member has changed.
type Event struct {
	Member Member
	Item   Item
	From   netip.AddrPort // From is the sender of the update, or this instance for a local change.
}

// MemberList is the member list of one instance. It must be created by New.
type MemberList struct {
	fleet   string
	self    Member
	hash    uint64 // hash is the hash of this member's own address
	seeds   []netip.AddrPort
	rand    *rand.Rand
	now     time.Time // now is the time of the last call
	version ConfigVersion
	load    LoadReport

	members    map[netip.AddrPort]*record
	live       []*record             // live lists the records of other members that are Alive or Suspect
	deadOrLeft []*record             // deadOrLeft lists tombstones until they are purged
	suspects   []*record             // suspects lists the records in state Suspect
	items      map[updateKey]Item    // items contains the drains and quarantines
	digest     [DigestBuckets]uint32 // digest is described in sync.go
	sortedLive []Member              // sortedLive caches the result of Members; it is nil after a change

	updates       updateQueue
	pendingGossip int         // pendingGossip counts the Gossip packets to send on the next ticks
	broadcasts    tokenBucket // broadcasts limits the broadcasts to all members
	gossipBudget,
	syncBudget tokenBucket

	probes         prober
	verifier       verifier
	indirectProbes []indirectProbe // indirectProbes lists the probes made as a relay, oldest first
	nextSequence,
	refused uint64 // refused counts packets; see Refused
	nextSync, nextSeed, nextDead, nextPurge time.Time

	lastTick  time.Time
	syncDelay time.Duration // syncDelay is the current time between digest comparisons

	pendingPackets []Packet
	events         []Event
}

// New returns a list that contains only this instance. The instance's incarnation number is the current time in
// milliseconds, which is higher than any that an earlier process at the same address used.
func New(c Config, r *rand.Rand, now time.Time) (*MemberList, error) {
	c.Self.State = Alive
	c.Self.Incarnation = uint64(max(now.UnixMilli(), 1))
	if err := c.Self.Validate(); err != nil {
		return nil, err
	}
	if err := validateString("fleet", c.Fleet, MaxNameBytes); err != nil {
		return nil, err
	}
	l := &MemberList{
		fleet: c.Fleet, self: c.Self, hash: hashAddress(c.Self.Address), rand: r, now: now,
		members: map[netip.AddrPort]*record{}, items: map[updateKey]Item{},
		verifier:     verifier{reports: map[netip.AddrPort]*deathReport{}},
		updates:      newUpdateQueue(),
		gossipBudget: tokenBucket{rate: gossipRate, burst: gossipBurst, tokens: gossipBurst, refilled: now},
		broadcasts:   tokenBucket{rate: broadcastRate, burst: broadcastBurst, tokens: broadcastBurst},
		syncBudget:   tokenBucket{rate: syncRate, burst: syncBurst, tokens: syncBurst, refilled: now},
		nextPurge:    now.Add(time.Second),
	}
	l.SetSeeds(c.Seeds)
	l.toggleDigest(l.hash, l.self.sum(l.hash))
	return l, nil
}

// SetSeeds replaces the addresses that are used to find members. The list may be outdated or empty.
func (l *MemberList) SetSeeds(seeds []netip.AddrPort) {
	l.seeds = slices.Clone(seeds)
}

// Self returns this instance's own member record.
func (l *MemberList) Self() Member {
	return l.self
}

// Members returns the live members, this instance included, in the order of their addresses. The caller
// must not change the result.
func (l *MemberList) Members() []Member {
	if l.sortedLive != nil {
		return l.sortedLive
	}
	l.sortedLive = make([]Member, 0, len(l.live)+1)
	if l.self.State.Live() {
		l.sortedLive = append(l.sortedLive, l.self)
	}
	for _, r := range l.live {
		l.sortedLive = append(l.sortedLive, r.Member)
	}
	slices.SortFunc(l.sortedLive, compareAddress)
	return l.sortedLive
}

// LiveCount returns the number of live members, this instance included, without building a list.
func (l *MemberList) LiveCount() int {
	if l.self.State.Live() {
		return len(l.live) + 1
	}
	return len(l.live)
}

// DeadOrLeft returns the tombstones: the dead and departed members that are not removed yet.
func (l *MemberList) DeadOrLeft() []Member {
	all := make([]Member, 0, len(l.deadOrLeft))
	for _, r := range l.deadOrLeft {
		all = append(all, r.Member)
	}
	slices.SortFunc(all, compareAddress)
	return all
}

func compareAddress(a, b Member) int {
	return a.Address.Compare(b.Address)
}

// Items returns the unexpired drains and quarantines, in no particular order.
func (l *MemberList) Items() []Item {
	all := make([]Item, 0, len(l.items))
	for _, i := range l.items {
		if !i.Expired(l.now) {
			all = append(all, i)
		}
	}
	return all
}

// LoadReports returns the load reports received from live members within the last minute.
func (l *MemberList) LoadReports() []LoadReport {
	var all []LoadReport
	for _, r := range l.live {
		if !r.load.At.IsZero() && !r.load.Expired(l.now) {
			all = append(all, r.load)
		}
	}
	return all
}

// Refused returns the number of packets that were refused because they were malformed or from another fleet.
func (l *MemberList) Refused() uint64 {
	return l.refused
}

// HealthScore returns the local health score: 0 if probes by this member are answered, up to 8 if this member
// itself seems to be partitioned or slow.
func (l *MemberList) HealthScore() int {
	return l.probes.healthScore
}

// Events returns the changes since the last call, and removes them from the list of changes.
func (l *MemberList) Events() []Event {
	e := l.events
	l.events = nil
	return e
}

// Tick advances time and returns the packets to send. Call it at least every TickInterval.
func (l *MemberList) Tick(now time.Time) []Packet {
	l.now = now
	if l.self.State == Left {
		return nil
	}
	l.extendDeadlines()
	l.expireSuspicions()
	l.expireIndirectProbes()
	l.tickProbe()
	l.tickVerify()
	l.tickSeeds()
	l.tickDead()
	l.tickSync()
	l.tickGossip()
	l.tickPurge()
	return l.takePackets()
}

// Leave returns packets that announce the departure of this instance. Afterwards, Receive still answers probes,
// but Tick does nothing.
func (l *MemberList) Leave(now time.Time) []Packet {
	l.now = now
	if l.self.State == Left {
		return nil
	}
	l.toggleDigest(l.hash, l.self.sum(l.hash))
	l.self.State = Left
	l.sortedLive = nil
	for _, r := range l.randomLive(leaveFanout, nil) {
		l.send(l.newPacket(Gossip, r.Address))
	}
	return l.takePackets()
}

func (l *MemberList) send(p Packet) {
	l.pendingPackets = append(l.pendingPackets, p)
}

// takePackets returns the packets queued by send, and clears the queue.
func (l *MemberList) takePackets() []Packet {
	out := l.pendingPackets
	l.pendingPackets = nil
	return out
}

// randomLive returns up to n distinct random live members other than skip. It may return fewer than exist, since
// the number of random draws is bounded.
func (l *MemberList) randomLive(n int, skip *record) []*record {
	var picked []*record
	for attempt := 0; attempt < 4*n && len(picked) < n && len(l.live) > 0; attempt++ {
		r := l.live[l.rand.IntN(len(l.live))]
		if r != skip && !slices.Contains(picked, r) {
			picked = append(picked, r)
		}
	}
	return picked
}
