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

// The benchmarks measure the resources that one instance uses for control, in a simulated event loop. Each runs once:
//
//	go test -run xxx -bench 'Steady/n=2700$' -benchtime 1x ./pkg/peer/instance

var sizes = []int{18, 200, 900, 2700}

func bySize(b *testing.B, f func(b *testing.B, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			for range b.N {
				f(b, n)
			}
		})
	}
}

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

// samples are durations of which quantiles are reported.
type samples []time.Duration

func (s samples) report(b *testing.B, unit string) {
	if len(s) == 0 {
		return
	}
	slices.Sort(s)
	b.ReportMetric(s[len(s)/2].Seconds(), unit+"-p50-s")
	b.ReportMetric(s[len(s)*99/100].Seconds(), unit+"-p99-s")
	b.ReportMetric(s[len(s)-1].Seconds(), unit+"-max-s")
}

// churn restarts a random instance at the given interval, gracefully, from three random seeds.
func (c *cluster) churn(every time.Duration) {
	c.after(every, func() {
		p := c.processes[c.rand.IntN(len(c.processes))]
		c.send(p, p.memberList.Leave(c.now()))
		c.after(5*time.Second, func() {
			n := len(c.processes)
			c.start(p.index, address(c.rand.IntN(n)), address(c.rand.IntN(n)), address(c.rand.IntN(n)))
		})
		c.churn(every)
	})
}

// propagation is the propagation of a configuration version to all processes.
type propagation struct {
	start   time.Duration
	wanted  int
	holders map[int]bool // holders contains the indices of the processes that have it or a higher version
	reached *samples
}

// publishVersions publishes a new configuration version at the given interval and records the time to reach all.
func (c *cluster) publishVersions(every time.Duration, reached *samples) {
	c.after(every, func() {
		c.head++
		c.propagations[c.head] = &propagation{start: c.at, wanted: c.runningCount(), holders: map[int]bool{}, reached: reached}
		c.publishVersions(every, reached)
	})
}

// recordVersion records that a process has applied a version.
func (c *cluster) recordVersion(p *process) {
	for v, s := range c.propagations {
		if p.syncer.Version() < v {
			continue
		}
		if s.holders[p.index] = true; len(s.holders) == s.wanted {
			*s.reached = append(*s.reached, c.at-s.start)
			delete(c.propagations, v)
		}
	}
}

// overdueVersions returns the number of versions that have not reached all processes after 6 s.
func (c *cluster) overdueVersions() float64 {
	n := 0.0
	for _, s := range c.propagations {
		if c.at-s.start > 6*time.Second {
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

// BenchmarkSteady reports traffic, CPU time and memory with 1,700 restarts and 16,000 changes a day at
// 2,700 instances, and restarts in proportion at other sizes.
func BenchmarkSteady(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		c := newCluster(b, 1)
		before := heapBytes()
		c.head = 1
		c.startAll(n)
		c.run(20 * time.Second)
		b.ReportMetric((heapBytes()-before)/float64(n)/1e6, "MB/instance")
		c.churn(dailyInterval(1700, n))
		var reached samples
		c.publishVersions(5400*time.Millisecond, &reached)
		c.measure(b, 3*time.Minute)
		reached.report(b, "version")
		b.ReportMetric(c.overdueVersions(), "late-versions")
	})
}

// measure runs the cluster and reports its traffic and CPU time. The CPU time includes that of the
// event loop and the codec.
func (c *cluster) measure(b *testing.B, d time.Duration) {
	for _, p := range c.processes {
		p.bytes, p.packets = 0, 0
	}
	c.fetched = 0
	spent := cpu()
	c.run(d)
	spent = cpu() - spent
	bytes, packets, most := 0, 0, 0
	for _, p := range c.processes {
		bytes += p.bytes
		packets += p.packets
		most = max(most, p.bytes)
	}
	per := float64(len(c.processes)) * d.Seconds()
	b.ReportMetric(float64(bytes)/per, "gossip-B/s")
	b.ReportMetric(float64(most)/d.Seconds(), "gossip-most-B/s")
	b.ReportMetric(float64(c.fetched)/per, "fetch-B/s")
	b.ReportMetric(float64(packets)/per, "packets/s")
	b.ReportMetric(100*spent.Seconds()/per, "core-%")
}

// BenchmarkDetection reports when the other instances declare a killed instance dead, over all pairs.
func BenchmarkDetection(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		c := newCluster(b, 2)
		c.startAll(n)
		c.run(20 * time.Second)
		var first, each samples
		for i := range min(20, n/2) {
			victim, start, told := c.processes[i], c.at, false
			c.onEvent = func(_ *process, e membership.Event) {
				if e.Item != nil || e.Member.Address != victim.self.Address || e.Member.State != membership.Dead {
					return
				}
				if !told {
					first, told = append(first, c.at-start), true
				}
				each = append(each, c.at-start)
			}
			victim.up = false
			c.run(20 * time.Second)
		}
		first.report(b, "first")
		each.report(b, "each")
		b.ReportMetric(float64(len(each))/float64(len(first)), "observers")
	})
}

// BenchmarkLoss reports live members declared dead, counted once for each incarnation, and the
// traffic, under packet loss.
func BenchmarkLoss(b *testing.B) {
	for _, loss := range []float64{0.01, 0.05} {
		b.Run(fmt.Sprintf("loss=%v", loss), func(b *testing.B) {
			bySize(b, func(b *testing.B, n int) {
				c := newCluster(b, 3)
				c.loss = loss
				c.head = 1
				c.startAll(n)
				c.run(20 * time.Second)
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
				var reached samples
				c.publishVersions(5400*time.Millisecond, &reached)
				c.measure(b, 3*time.Minute)
				count := 0
				for _, s := range suspected {
					if s {
						count++
					}
				}
				b.ReportMetric(float64(count), "suspicions")
				b.ReportMetric(float64(len(dead)), "false-deaths")
				reached.report(b, "version")
				b.ReportMetric(c.overdueVersions(), "late-versions")
				b.ReportMetric(c.overdueVersions(), "late-versions")
			})
		})
	}
}

// BenchmarkItem reports the time for a drain to reach all instances.
func BenchmarkItem(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		c := newCluster(b, 4)
		c.startAll(n)
		c.run(20 * time.Second)
		var reached samples
		for i := range 20 {
			start, have := c.at, 0
			drain := membership.Drain{Target: fmt.Sprint(i), At: c.now(), Expires: c.now().Add(time.Hour)}
			c.onEvent = func(_ *process, e membership.Event) {
				if d, ok := e.Item.(membership.Drain); !ok || d.Target != drain.Target {
					return
				}
				if have++; have == n {
					reached = append(reached, c.at-start)
				}
			}
			qt.Assert(b, c.processes[i%n].memberList.Publish(drain), qt.IsNil)
			c.run(15 * time.Second)
		}
		reached.report(b, "item")
		b.ReportMetric(float64(len(reached)), "reached-all")
	})
}
