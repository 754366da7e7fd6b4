package instance_test

import (
	"flag"
	"net/netip"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// TestMain sets the seed and the number of checks of the property tests. The flags -rapid.seed and -rapid.checks
// override these, for a longer search.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "20")
	flag.Parse()
	os.Exit(m.Run())
}

// TestJoin guards against instances that do not find each other if only some of their seeds are live, or if their
// seed list is empty at first.
func TestJoin(t *testing.T) {
	c := newCluster(t, 1)
	c.headVersion = 1
	for i := range 40 {
		c.start(i, address(900), address(0), address(901))
	}
	late := c.start(40)
	c.runUntil(10*time.Second, "all but one know each other", c.forEveryRunning(func(p *process) bool {
		return p == late || p.memberList.LiveCount() == 40
	}))
	late.memberList.SetSeeds([]netip.AddrPort{address(7)})
	c.runUntil(5*time.Second, "all know each other", c.converged)
	c.runUntil(6*time.Second, "all have the version", c.forEveryRunning(c.hasNewestVersion))
}

// TestFailures guards against live members declared dead under packet loss, dead members not detected, and
// restarted members not accepted at their old address.
func TestFailures(t *testing.T) {
	c := newCluster(t, 2)
	c.lossRate = 0.05
	c.startAll(30)
	c.onEvent = func(p *process, e membership.Event) {
		if e.Item == nil && e.Member.State == membership.Dead && c.byAddress[e.Member.Address].up {
			t.Errorf("%s declares %s dead", p.self.Name, e.Member.Name)
		}
	}
	c.run(2 * time.Minute)
	c.processes[3].up = false
	c.runUntil(20*time.Second, "the killed instance is detected", c.converged)
	c.start(3, address(5))
	c.runUntil(10*time.Second, "the restarted instance is accepted", c.converged)
	c.send(c.processes[4], c.processes[4].memberList.Leave(c.now()))
	c.run(10 * time.Millisecond)
	c.processes[4].up = false
	c.runUntil(3*time.Second, "the departure is known", c.converged)
}

// TestPause guards against an instance that is paused while it suspects others, and that declares them dead when it
// resumes, although it could not receive their answers while it was paused.
func TestPause(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll(20)
	c.run(10 * time.Second)
	paused, suspects := c.processes[3], 0
	c.onEvent = func(p *process, e membership.Event) {
		if p != paused || e.Item != nil {
			return
		}
		if e.Member.State == membership.Suspect {
			suspects++
		}
		if e.Member.State == membership.Dead {
			t.Errorf("%s declares %s dead", p.self.Name, e.Member.Name)
		}
	}
	c.partitioned = func(a, b *process) bool { return a == paused || b == paused }
	c.runUntil(20*time.Second, "it suspects another", func() bool { return suspects > 0 })
	paused.up = false
	c.partitioned = func(_, _ *process) bool { return false }
	c.run(30 * time.Second)
	paused.up = true
	c.push(event{at: c.elapsed, to: paused})
	c.runUntil(10*time.Second, "the paused instance is back", c.converged)
}

// TestPartition guards against two regions that declared each other dead in a network partition and do not merge again.
// The instances have no seeds. It also guards against deaths recorded on one side that supersede live members of the
// other, and against older versions that supersede newer ones.
func TestPartition(t *testing.T) {
	c := newCluster(t, 3)
	c.headVersion = 1
	c.startAll(20)
	c.run(5 * time.Second)
	c.partitioned = func(a, b *process) bool { return a.region() != b.region() }
	c.runUntil(time.Minute, "each region lists only itself", c.forEveryRunning(func(p *process) bool {
		return p.memberList.LiveCount() == map[int]int{0: 12, 1: 8}[p.region()]
	}))
	c.run(3 * time.Minute)
	c.partitioned = func(_, _ *process) bool { return false }
	c.headVersion++
	c.runUntil(6*time.Second, "all have the new version", c.forEveryRunning(c.hasNewestVersion))
	c.runUntil(30*time.Second, "the regions have merged", c.converged)
	c.run(time.Minute)
	qt.Assert(t, c.converged(), qt.IsTrue)
}

// TestItems guards against drains and quarantines that do not reach all instances, and against a cancelled drain
// that becomes active again because an instance did not receive the cancellation during a partition.
func TestItems(t *testing.T) {
	c := newCluster(t, 4)
	c.startAll(30)
	c.run(time.Second)
	isolated := c.processes[9]
	drain := membership.Drain{Target: "w1", At: c.now(), Expires: c.now().Add(time.Hour)}
	qt.Assert(t, c.processes[0].memberList.Publish(drain), qt.IsNil)
	qt.Assert(t, c.processes[1].memberList.Publish(membership.Quarantine{Fingerprint: 7, Until: c.now().Add(time.Minute)}), qt.IsNil)
	has := func(n int) func(*process) bool {
		return func(p *process) bool { return len(p.memberList.Items()) == n }
	}
	c.runUntil(3*time.Second, "all have both items", c.forEveryRunning(has(2)))
	c.partitioned = func(a, b *process) bool { return a == isolated || b == isolated }
	drain.At, drain.Cancelled = c.now(), true
	qt.Assert(t, c.processes[2].memberList.Publish(drain), qt.IsNil)
	c.run(time.Minute)
	c.partitioned = func(_, _ *process) bool { return false }
	c.runUntil(40*time.Second, "all have the cancellation and the quarantine has expired", c.forEveryRunning(func(p *process) bool {
		items := p.memberList.Items()
		return len(items) == 1 && items[0].(membership.Drain).Cancelled
	}))
}

// TestVersions guards against a version that decreases or skips a change, and against instances that do
// not have the newest version 6 s after partitions, loss, restarts and store outages have ended, or
// do not agree on the members a minute later.
func TestVersions(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := newCluster(t, rapid.Uint64().Draw(r, "seed"))
		c.headVersion = 1
		c.startAll(rapid.IntRange(2, 25).Draw(r, "instances"))
		c.run(2 * time.Second)
		for range rapid.IntRange(1, 8).Draw(r, "steps") {
			c.injectFault(r)
			c.run(time.Duration(rapid.IntRange(100, 15000).Draw(r, "ms")) * time.Millisecond)
		}
		c.partitioned, c.lossRate, c.storeDown = func(_, _ *process) bool { return false }, 0, false
		c.headVersion++
		c.runUntil(6*time.Second, "all have the newest version", c.forEveryRunning(c.hasNewestVersion))
		c.runUntil(time.Minute, "all know exactly the running instances", c.converged)
	})
}

// injectFault makes one random change to the configuration, the network, the store or the processes.
func (c *cluster) injectFault(r *rapid.T) {
	switch rapid.SampledFrom([]string{"change", "partition", "heal", "loss", "store", "restart", "kill"}).Draw(r, "what") {
	case "change":
		c.headVersion += uint64(rapid.IntRange(1, 3).Draw(r, "changes"))
	case "partition":
		modulus := rapid.IntRange(2, 4).Draw(r, "parts")
		c.partitioned = func(a, b *process) bool { return a.index%modulus != b.index%modulus }
	case "heal":
		c.partitioned = func(_, _ *process) bool { return false }
	case "loss":
		c.lossRate = rapid.Float64Range(0, 0.2).Draw(r, "loss")
	case "store":
		c.storeDown = !c.storeDown
	case "kill":
		c.processes[rapid.IntRange(1, len(c.processes)-1).Draw(r, "instance")].up = false
	case "restart":
		c.start(rapid.IntRange(0, len(c.processes)-1).Draw(r, "instance"), address(0), address(1))
	}
}
