package instance_test

import (
	"testing"
	"time"
)

// BenchmarkCut cuts two regions for three minutes and reports how long they take to merge, and the
// traffic meanwhile.
func BenchmarkCut(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		c := newCluster(b, 5)
		c.head = 1
		c.startAll(n)
		c.run(20 * time.Second)
		c.cut = func(a, b *process) bool { return a.region() != b.region() }
		b.ReportMetric(c.partFor(3*time.Minute).Seconds(), "part-s")
		c.cut = func(_, _ *process) bool { return false }
		c.head++
		for _, p := range c.processes {
			p.bytes = 0
		}
		start := c.at
		b.ReportMetric(c.runUntil(30*time.Second, "the new version is everywhere", c.everyone(c.current)).Seconds(), "version-s")
		c.runUntil(10*time.Minute, "the sides have merged", c.agreed)
		merge := (c.at - start).Seconds()
		bytes, most := 0, 0
		for _, p := range c.processes {
			bytes += p.bytes
			most = max(most, p.bytes)
		}
		b.ReportMetric(merge, "merge-s")
		b.ReportMetric(float64(bytes)/float64(n)/merge, "gossip-B/s")
		b.ReportMetric(float64(most)/merge, "gossip-most-B/s")
	})
}

// partFor runs the cluster and returns when the sides first had parted.
func (c *cluster) partFor(d time.Duration) time.Duration {
	start, took := c.at, d
	for c.at-start < d {
		c.run(time.Second)
		if took == d && c.parted() {
			took = c.at - start
		}
	}
	return took
}

// parted reports whether no process knows one of the other region.
func (c *cluster) parted() bool {
	var count [2]int
	for _, p := range c.processes {
		count[p.region()]++
	}
	return c.everyone(func(p *process) bool { return p.table.LiveCount() == count[p.region()] })()
}

// BenchmarkStart starts all instances at once with three random seeds each, and reports when
// all know all and when all have a configuration.
func BenchmarkStart(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		c := newCluster(b, 6)
		c.head = 1
		for i := range n {
			c.start(i, address(c.rand.IntN(n)), address(c.rand.IntN(n)), address(c.rand.IntN(n)))
		}
		ready := c.runUntil(time.Minute, "all have a configuration", c.everyone(c.current))
		b.ReportMetric(ready.Seconds(), "ready-s")
		c.runUntil(5*time.Minute, "all know all", c.agreed)
		b.ReportMetric(c.at.Seconds(), "joined-s")
		b.ReportMetric(float64(c.tableGets), "table-gets")
		bytes := 0
		for _, p := range c.processes {
			bytes += p.bytes
		}
		b.ReportMetric(float64(bytes)/float64(n)/c.at.Seconds(), "gossip-B/s")
	})
}
