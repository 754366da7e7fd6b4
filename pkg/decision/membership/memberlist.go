package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// record is the table's knowledge of another member.
type record struct {
	Member
	hash  uint64    // hash of the address
	since time.Time // since is when the state was entered
	index int       // index is the position in Table.live or Table.gone
	load  LoadReport

	suspicion *suspicion // suspicion is set while the state is Suspect
}

// Event tells the driver of a change. Item is nil if the change concerns Member.
type Event struct {
	Member Member
	Item   Item
	From   netip.AddrPort // From is the member that told, and is not set for local conclusions.
}

// MemberList is the member table of one instance. It must be made by New.
type MemberList struct {
	fleet   string
	self    Member
	hash    uint64 // hash of the own address
	seeds   []netip.AddrPort
	rand    *rand.Rand
	now     time.Time
	version ConfigVersion
	load    LoadReport

	members  map[netip.AddrPort]*record
	live     []*record // live lists the live members
	gone     []*record // gone lists dead and departed members until they are forgotten
	suspects []*record
	items    map[newsKey]Item
	digest   [DigestBuckets]uint32
	sorted   []Member // sorted caches Members and is nil after a change

	news       queue
	pushes     int    // pushes counts the packets to send with news before the next probe
	broadcasts budget // broadcasts counts the items sent to all members at once.
	newsBudget,
	syncBudget budget

	probes   prober
	verifier verifier
	relays   []relay // relays lists the probes made for others, oldest first
	nextSequence,
	refused uint64
	nextSync, nextSeed, nextDead, nextForget time.Time

	lastTick time.Time
	syncWait time.Duration // syncWait is the present time between comparisons

	out    []Packet
	events []Event
}

// New returns a table that knows only itself. Its incarnation is the present time in milliseconds,
// which is higher than any that an earlier process at the same address used.
func New(c Config, r *rand.Rand, now time.Time) (*MemberList, error) {
	c.Self.State = Alive
	c.Self.Incarnation = uint64(max(now.UnixMilli(), 1))
	if err := c.Self.Validate(); err != nil {
		return nil, err
	}
	if err := checkText("fleet", c.Fleet, MaxNameBytes); err != nil {
		return nil, err
	}
	t := &MemberList{
		fleet: c.Fleet, self: c.Self, hash: hashAddress(c.Self.Address), rand: r, now: now,
		members: map[netip.AddrPort]*record{}, items: map[newsKey]Item{},
		verifier:   verifier{claims: map[netip.AddrPort]*claim{}},
		news:       newQueue(),
		newsBudget: budget{rate: newsRate, burst: newsBurst, left: newsBurst, at: now},
		broadcasts: budget{rate: broadcastRate, burst: broadcastBurst, left: broadcastBurst},
		syncBudget: budget{rate: syncRate, burst: syncBurst, left: syncBurst, at: now},
		nextForget: now.Add(time.Second),
	}
	t.SetSeeds(c.Seeds)
	t.toggle(t.hash, t.self.sum(t.hash))
	return t, nil
}

// SetSeeds replaces the addresses that are tried to find members. They may be stale or empty.
func (t *MemberList) SetSeeds(seeds []netip.AddrPort) {
	t.seeds = slices.Clone(seeds)
}

// Self returns the table's own member record.
func (t *MemberList) Self() Member {
	return t.self
}

// Members returns the live members, itself included, in the order of their addresses. The caller
// must not change the result.
func (t *MemberList) Members() []Member {
	if t.sorted != nil {
		return t.sorted
	}
	t.sorted = make([]Member, 0, len(t.live)+1)
	if t.self.State.Live() {
		t.sorted = append(t.sorted, t.self)
	}
	for _, r := range t.live {
		t.sorted = append(t.sorted, r.Member)
	}
	slices.SortFunc(t.sorted, compareAddress)
	return t.sorted
}

// LiveCount returns the number of live members, itself included, without making a list.
func (t *MemberList) LiveCount() int {
	if t.self.State.Live() {
		return len(t.live) + 1
	}
	return len(t.live)
}

// DeadOrLeft returns the dead and departed members that are not forgotten yet.
func (t *MemberList) DeadOrLeft() []Member {
	all := make([]Member, 0, len(t.gone))
	for _, r := range t.gone {
		all = append(all, r.Member)
	}
	slices.SortFunc(all, compareAddress)
	return all
}

func compareAddress(a, b Member) int {
	return a.Address.Compare(b.Address)
}

// Items returns the drains and quarantines in force, in no particular order.
func (t *MemberList) Items() []Item {
	all := make([]Item, 0, len(t.items))
	for _, i := range t.items {
		if !i.Expired(t.now) {
			all = append(all, i)
		}
	}
	return all
}

// LoadReports returns the load shares heard from live members within the last minute.
func (t *MemberList) LoadReports() []LoadReport {
	var all []LoadReport
	for _, r := range t.live {
		if !r.load.At.IsZero() && !r.load.Expired(t.now) {
			all = append(all, r.load)
		}
	}
	return all
}

// Refused returns the number of packets that were refused as malformed or of another fleet.
func (t *MemberList) Refused() uint64 {
	return t.refused
}

// HealthScore returns the local health score: 0 if probes are answered, up to 8 if this member itself
// seems to be cut off or slow.
func (t *MemberList) HealthScore() int {
	return t.probes.health
}

// Events returns the changes since the last call.
func (t *MemberList) Events() []Event {
	e := t.events
	t.events = nil
	return e
}

// Tick advances time and returns the packets to send. Call it at least every TickInterval.
func (t *MemberList) Tick(now time.Time) []Packet {
	t.now = now
	if t.self.State == Left {
		return nil
	}
	t.excuseStall()
	t.expireSuspicions()
	t.expireRelays()
	t.tickProbe()
	t.tickVerify()
	t.tickSeeds()
	t.tickDead()
	t.tickSync()
	t.tickNews()
	t.tickForget()
	return t.take()
}

// Leave announces the departure. The table answers probes afterwards, but starts nothing.
func (t *MemberList) Leave(now time.Time) []Packet {
	t.now = now
	if t.self.State == Left {
		return nil
	}
	t.toggle(t.hash, t.self.sum(t.hash))
	t.self.State = Left
	t.sorted = nil
	for _, r := range t.pick(leaveFanout, nil) {
		t.send(t.compose(Gossip, r.Address))
	}
	return t.take()
}

func (t *MemberList) send(p Packet) {
	t.out = append(t.out, p)
}

func (t *MemberList) take() []Packet {
	out := t.out
	t.out = nil
	return out
}

// pick returns up to n distinct random live members other than skip.
func (t *MemberList) pick(n int, skip *record) []*record {
	var picked []*record
	for attempt := 0; attempt < 4*n && len(picked) < n && len(t.live) > 0; attempt++ {
		r := t.live[t.rand.IntN(len(t.live))]
		if r != skip && !slices.Contains(picked, r) {
			picked = append(picked, r)
		}
	}
	return picked
}
