package instance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/configsync"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/peer/instance"
)

// seeded returns a random generator with a fixed seed.
func seeded(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, n)) }

// process is one simulated instance. A restart creates a new process at the same address.
type process struct {
	index          int
	self           membership.Member
	up             bool          // up is set while the process runs
	membersChanged bool          // membersChanged is set if the members changed since the last update of the syncer
	nextUpdate     time.Duration // nextUpdate is the earliest time of the next SetMembers call
	memberList     *membership.MemberList
	syncer         *configsync.Syncer
	bytes          int // bytes counts the bytes sent, with 28 bytes of IP and UDP headers for each packet
	packets        int // packets counts the packets sent
}

// region returns the region of the process: 0 for the data centres 0 to 2, and 1 for 3 and 4.
func (p *process) region() int { return p.index % 5 / 3 }

// event is an event at a simulated time. It runs call if it is set, delivers packet if it is set, and otherwise ticks
// the process in the field to.
type event struct {
	at       time.Duration
	sequence int
	to       *process
	from     netip.AddrPort
	packet   []byte
	call     func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// cluster runs processes in one goroutine on a simulated clock.
type cluster struct {
	t            testing.TB
	rand         *rand.Rand
	elapsed      time.Duration // elapsed is the simulated time since epoch
	lastSequence int
	queue        events
	processes    []*process
	byAddress    map[netip.AddrPort]*process
	lossRate     float64                  // lossRate is the fraction of packets lost
	partitioned  func(a, b *process) bool // partitioned reports whether packets between two processes are lost
	headVersion  uint64                   // headVersion is the latest version in the store
	storeDown    bool                     // storeDown is set during a store outage
	onEvent      func(p *process, e membership.Event)
	propagations map[uint64]*propagation // propagations holds propagations by configuration version
	storeReads   int                     // storeReads counts reads of changes or the whole configuration from the store
	fetchedBytes int                     // fetchedBytes counts bytes of change records and head rows
}

var epoch = time.UnixMilli(1_800_000_000_000)

func (c *cluster) now() time.Time { return epoch.Add(c.elapsed) }

func newCluster(t testing.TB, seed uint64) *cluster {
	return &cluster{
		t: t, rand: seeded(seed), byAddress: map[netip.AddrPort]*process{}, propagations: map[uint64]*propagation{},
		partitioned: func(_, _ *process) bool { return false },
	}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946)
}

// start starts a process at address(i), replacing any process there.
func (c *cluster) start(i int, seeds ...netip.AddrPort) *process {
	p := &process{index: i, up: true, self: membership.Member{
		Name: fmt.Sprintf("entry-%05d", i), DataCentre: fmt.Sprintf("r%d-dc%d", i%5/3, i%5), Address: address(i),
	}}
	var err error
	config := membership.Config{Fleet: "fleet", Self: p.self, Seeds: seeds}
	p.memberList, err = membership.New(config, seeded(c.rand.Uint64()), c.now())
	qt.Assert(c.t, err, qt.IsNil)
	p.self = p.memberList.Self()
	p.syncer = configsync.New(p.self, seeded(c.rand.Uint64()))
	p.syncer.ExpectPeers(len(seeds) > 0)
	if i == len(c.processes) {
		c.processes = append(c.processes, p)
	} else {
		c.processes[i].up = false
		c.processes[i] = p
	}
	c.byAddress[p.self.Address] = p
	c.push(event{at: c.elapsed + c.between(0, membership.TickInterval), to: p})
	return p
}

// startAll starts n processes that know each other. They fetch the configuration once they run.
func (c *cluster) startAll(n int) {
	for i := range n {
		c.start(i)
	}
	var all []membership.Member
	for _, p := range c.processes {
		all = append(all, p.self)
	}
	for i, p := range c.processes {
		k := membership.Packet{Kind: membership.SyncEntries, Fleet: "fleet", From: all[(i+1)%n], Members: all}
		p.memberList.Receive(k.From.Address, k, c.now())
		p.memberList.Events()
		p.syncer.SetMembers(p.memberList.Members())
	}
}

func (c *cluster) push(e event) {
	c.lastSequence++
	e.sequence = c.lastSequence
	heap.Push(&c.queue, e)
}

// after schedules a call after a duration.
func (c *cluster) after(d time.Duration, call func()) { c.push(event{at: c.elapsed + d, call: call}) }

// between returns a random duration from a to less than b.
func (c *cluster) between(a, b time.Duration) time.Duration {
	return a + time.Duration(c.rand.Int64N(int64(b-a)))
}

// run handles the events of the given duration, and advances the simulated clock by it.
func (c *cluster) run(d time.Duration) {
	end := c.elapsed + d
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.elapsed = e.at
		c.handle(e)
	}
	c.elapsed = end
}

// runUntil advances the clock until the condition holds, and returns how long that took. It fails
// the test if the limit is reached first.
func (c *cluster) runUntil(limit time.Duration, what string, holds func() bool) time.Duration {
	start := c.elapsed
	for !holds() {
		if c.elapsed-start >= limit {
			c.t.Fatalf("not within %s: %s", limit, what)
		}
		c.run(50 * time.Millisecond)
	}
	return c.elapsed - start
}

func (c *cluster) handle(e event) {
	switch {
	case e.call != nil:
		e.call()
		return
	case !e.to.up:
		return
	case e.packet == nil:
		c.push(event{at: c.elapsed + membership.TickInterval, to: e.to})
		c.send(e.to, e.to.memberList.Tick(c.now()))
		c.updateMembers(e.to)
		c.runActions(e.to, e.to.syncer.Tick(c.now()))
	default:
		packet, err := instance.Decode(e.packet)
		qt.Assert(c.t, err, qt.IsNil)
		c.send(e.to, e.to.memberList.Receive(e.from, packet, c.now()))
	}
	c.handleEvents(e.to)
}

// updateMembers notifies the syncer of changed members at most once a second, which bounds the cost of the simulation
// when many processes fail or restart at once.
func (c *cluster) updateMembers(p *process) {
	if p.membersChanged && c.elapsed >= p.nextUpdate {
		p.syncer.SetMembers(p.memberList.Members())
		p.membersChanged, p.nextUpdate = false, c.elapsed+time.Second
	}
}

func (c *cluster) handleEvents(p *process) {
	for _, e := range p.memberList.Events() {
		if c.onEvent != nil {
			c.onEvent(p, e)
		}
		if v, ok := e.Item.(membership.ConfigVersion); ok {
			c.runActions(p, p.syncer.VersionAdvertised(e.From, v.Number, c.now()))
		}
		p.membersChanged = p.membersChanged || e.Item == nil
	}
}

const headerBytes = 28 // IP and UDP

// send sends packets of a process. Packets to unreachable processes are lost, and others with probability
// lossRate.
func (c *cluster) send(p *process, packets []membership.Packet) {
	for _, k := range packets {
		b, err := instance.Encode(k)
		qt.Assert(c.t, err, qt.IsNil)
		p.packets++
		p.bytes += len(b) + headerBytes
		to := c.byAddress[k.To]
		if to != nil && c.reachable(p, to) && c.rand.Float64() >= c.lossRate {
			c.push(event{at: c.elapsed + c.latency(p, to), to: to, from: p.self.Address, packet: b})
		}
	}
}

func (c *cluster) reachable(a, b *process) bool { return a.up && b.up && !c.partitioned(a, b) }

func (c *cluster) latency(a, b *process) time.Duration {
	if a.region() != b.region() {
		return c.between(30*time.Millisecond, 40*time.Millisecond)
	}
	return c.between(200*time.Microsecond, 2*time.Millisecond)
}

// forEveryRunning returns a function that reports whether a condition holds for every running process.
func (c *cluster) forEveryRunning(f func(*process) bool) func() bool {
	return func() bool {
		for _, p := range c.processes {
			if p.up && !f(p) {
				return false
			}
		}
		return true
	}
}

func (c *cluster) runningCount() int {
	n := 0
	for _, p := range c.processes {
		if p.up {
			n++
		}
	}
	return n
}

// converged reports whether every running process lists as many live members as there are running processes.
func (c *cluster) converged() bool {
	n := c.runningCount()
	return c.forEveryRunning(func(p *process) bool { return p.memberList.LiveCount() == n })()
}

func (c *cluster) hasNewestVersion(p *process) bool { return p.syncer.Version() == c.headVersion }
