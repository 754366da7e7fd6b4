package instance_test

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// The benchmarks measure the resources that one instance uses for membership and configuration synchronization, in a
// simulated event loop. The following command runs one of them once:
//
//	go test -run xxx -bench 'Steady/n=2700$' -benchtime 1x ./pkg/peer/instance

var sizes = []int{18, 200, 900, 2700}

// bySize runs a benchmark for each number of instances in sizes.
func bySize(b *testing.B, f func(b *testing.B, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			for range b.N {
				f(b, n)
			}
		})
	}
}

// cpu returns the CPU time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// durations contains the measurements of one quantity, of which report computes quantiles.
type durations []time.Duration

// report sorts the durations and reports their median, 99th percentile and maximum.
func (d durations) report(b *testing.B, unit string) {
	if len(d) == 0 {
		return
	}
	slices.Sort(d)
	b.ReportMetric(d[len(d)/2].Seconds(), unit+"-p50-s")
	b.ReportMetric(d[len(d)*99/100].Seconds(), unit+"-p99-s")
	b.ReportMetric(d[len(d)-1].Seconds(), unit+"-max-s")
}

// restartInstances gracefully restarts a random instance at each interval, with three random instances as seed
// addresses. The instance leaves 5 s before it is started again.
func (c *cluster) restartInstances(every time.Duration) {
	c.after(every, func() {
		p := c.processes[c.rand.IntN(len(c.processes))]
		c.send(p, p.memberList.Leave(c.now()))
		c.after(5*time.Second, func() {
			n := len(c.processes)
			c.start(p.index, address(c.rand.IntN(n)), address(c.rand.IntN(n)), address(c.rand.IntN(n)))
		})
		c.restartInstances(every)
	})
}

// propagation records which processes have a configuration version, until all of them have it.
type propagation struct {
	start            time.Duration
	runningAtStart   int
	holders          map[int]bool // holders contains the indices of the processes that have the version or a higher one
	propagationTimes *durations
}

// publishVersions publishes a new configuration version at each interval, and appends the time until all processes have
// it to propagationTimes.
func (c *cluster) publishVersions(every time.Duration, propagationTimes *durations) {
	c.after(every, func() {
		c.headVersion++
		c.propagations[c.headVersion] = &propagation{
			start: c.elapsed, runningAtStart: c.runningCount(), holders: map[int]bool{}, propagationTimes: propagationTimes,
		}
		c.publishVersions(every, propagationTimes)
	})
}

// recordVersion records that a process has applied a version, and ends the propagations that are complete.
func (c *cluster) recordVersion(p *process) {
	for version, propagation := range c.propagations {
		if p.syncer.Version() < version {
			continue
		}
		if propagation.holders[p.index] = true; len(propagation.holders) == propagation.runningAtStart {
			*propagation.propagationTimes = append(*propagation.propagationTimes, c.elapsed-propagation.start)
			delete(c.propagations, version)
		}
	}
}

// overdueVersions returns the number of versions that have not reached all processes although they were published more
// than 6 s ago.
func (c *cluster) overdueVersions() float64 {
	n := 0.0
	for _, p := range c.propagations {
		if c.elapsed-p.start > 6*time.Second {
			n++
		}
	}
	return n
}

// dailyInterval returns the interval of an event that occurs perDay times a day at 2,700 instances, scaled to n
// instances.
func dailyInterval(perDay float64, n int) time.Duration {
	return time.Duration(float64(24*time.Hour) / perDay * 2700 / float64(n))
}

// BenchmarkSteady reports traffic, CPU time, memory and the propagation of versions with 1,700 restarts a day at
// 2,700 instances and 16,000 changes a day. At other sizes, the restart rate is proportional to the size and the
// change rate is the same.
func BenchmarkSteady(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		c := newCluster(b, 1)
		before := heapBytes()
		c.headVersion = 1
		c.startAll(n)
		c.run(20 * time.Second)
		b.ReportMetric((heapBytes()-before)/float64(n)/1e6, "MB/instance")
		c.restartInstances(dailyInterval(1700, n))
		var propagationTimes durations
		c.publishVersions(5400*time.Millisecond, &propagationTimes)
		c.measure(b, 3*time.Minute)
		propagationTimes.report(b, "version")
		b.ReportMetric(c.overdueVersions(), "late-versions")
	})
}

// measure runs the cluster and reports its traffic and CPU time. The CPU time includes that of the
// event loop, and of encoding and decoding packets.
func (c *cluster) measure(b *testing.B, d time.Duration) {
	for _, p := range c.processes {
		p.bytes, p.packets = 0, 0
	}
	c.fetchedBytes = 0
	spent := cpu()
	c.run(d)
	spent = cpu() - spent
	bytes, packets, most := 0, 0, 0
	for _, p := range c.processes {
		bytes += p.bytes
		packets += p.packets
		most = max(most, p.bytes)
	}
	instanceSeconds := float64(len(c.processes)) * d.Seconds()
	b.ReportMetric(float64(bytes)/instanceSeconds, "gossip-B/s")
	b.ReportMetric(float64(most)/d.Seconds(), "gossip-most-B/s")
	b.ReportMetric(float64(c.fetchedBytes)/instanceSeconds, "fetch-B/s")
	b.ReportMetric(float64(packets)/instanceSeconds, "packets/s")
	b.ReportMetric(100*spent.Seconds()/instanceSeconds, "core-%")
}

// BenchmarkDetection kills up to 20 instances one after the other. It reports the time until the first other instance
// declares the killed one dead, and the time until each other instance does or receives this.
func BenchmarkDetection(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		c := newCluster(b, 2)
		c.startAll(n)
		c.run(20 * time.Second)
		var first, each durations
		for i := range min(20, n/2) {
			victim, start, detected := c.processes[i], c.elapsed, false
			c.onEvent = func(_ *process, e membership.Event) {
				if e.Item != nil || e.Member.Address != victim.self.Address || e.Member.State != membership.Dead {
					return
				}
				if !detected {
					first, detected = append(first, c.elapsed-start), true
				}
				each = append(each, c.elapsed-start)
			}
			victim.up = false
			c.run(20 * time.Second)
		}
		first.report(b, "first")
		each.report(b, "each")
		b.ReportMetric(float64(len(each))/float64(len(first)), "observers")
	})
}

// BenchmarkLoss reports live members that are suspected or declared dead, counted once for each incarnation, the
// traffic, and the propagation of versions including late ones, under packet loss.
func BenchmarkLoss(b *testing.B) {
	for _, loss := range []float64{0.01, 0.05} {
		b.Run(fmt.Sprintf("loss=%v", loss), func(b *testing.B) {
			bySize(b, func(b *testing.B, n int) {
				c := newCluster(b, 3)
				c.lossRate = loss
				c.headVersion = 1
				c.startAll(n)
				c.run(20 * time.Second)
				// suspected has an entry for each record that caused an event, which is true if the state was Suspect.
				suspected, dead := map[membership.Member]bool{}, map[membership.Member]bool{}
				c.onEvent = func(_ *process, e membership.Event) {
					if e.Item != nil {
						return
					}
					suspected[e.Member] = suspected[e.Member] || e.Member.State == membership.Suspect
					if e.Member.State == membership.Dead {
						dead[e.Member] = true
					}
				}
				var propagationTimes durations
				c.publishVersions(5400*time.Millisecond, &propagationTimes)
				c.measure(b, 3*time.Minute)
				count := 0
				for _, wasSuspect := range suspected {
					if wasSuspect {
						count++
					}
				}
				b.ReportMetric(float64(count), "suspicions")
				b.ReportMetric(float64(len(dead)), "false-deaths")
				propagationTimes.report(b, "version")
				b.ReportMetric(c.overdueVersions(), "late-versions")
				b.ReportMetric(c.overdueVersions(), "late-versions")
			})
		})
	}
}

// BenchmarkDrainPropagation reports the time for a drain to reach all instances.
func BenchmarkDrainPropagation(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		c := newCluster(b, 4)
		c.startAll(n)
		c.run(20 * time.Second)
		var propagationTimes durations
		for i := range 20 {
			start, have := c.elapsed, 0
			drain := membership.Drain{Target: fmt.Sprint(i), At: c.now(), Expires: c.now().Add(time.Hour)}
			c.onEvent = func(_ *process, e membership.Event) {
				if d, ok := e.Item.(membership.Drain); !ok || d.Target != drain.Target {
					return
				}
				if have++; have == n {
					propagationTimes = append(propagationTimes, c.elapsed-start)
				}
			}
			qt.Assert(b, c.processes[i%n].memberList.Publish(drain), qt.IsNil)
			c.run(15 * time.Second)
		}
		propagationTimes.report(b, "item")
		b.ReportMetric(float64(len(propagationTimes)), "reached-all")
	})
}
