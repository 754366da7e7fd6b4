package instance_test

import (
	"testing"
	"time"
)

// BenchmarkPartition partitions two regions for three minutes and reports how long their members take to merge, and
// the traffic meanwhile.
func BenchmarkPartition(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		c := newCluster(b, 5)
		c.head = 1
		c.startAll(n)
		c.run(20 * time.Second)
		c.partitioned = func(a, b *process) bool { return a.region() != b.region() }
		b.ReportMetric(c.measurePartition(3*time.Minute).Seconds(), "part-s")
		c.partitioned = func(_, _ *process) bool { return false }
		c.head++
		for _, p := range c.processes {
			p.bytes = 0
		}
		start := c.at
		b.ReportMetric(c.runUntil(30*time.Second, "all have the new version", c.allRunning(c.hasNewestVersion)).Seconds(), "version-s")
		c.runUntil(10*time.Minute, "the regions have merged", c.converged)
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

// measurePartition runs the cluster and returns when the regions were fully partitioned for the first time.
func (c *cluster) measurePartition(d time.Duration) time.Duration {
	start, took := c.at, d
	for c.at-start < d {
		c.run(time.Second)
		if took == d && c.fullyPartitioned() {
			took = c.at - start
		}
	}
	return took
}

// fullyPartitioned reports whether no process lists a process of the other region as live.
func (c *cluster) fullyPartitioned() bool {
	var count [2]int
	for _, p := range c.processes {
		count[p.region()]++
	}
	return c.allRunning(func(p *process) bool { return p.memberList.LiveCount() == count[p.region()] })()
}

// BenchmarkStart starts all instances at once with three random seeds each, and reports when
// all know each other and when all have a configuration.
func BenchmarkStart(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		c := newCluster(b, 6)
		c.head = 1
		for i := range n {
			c.start(i, address(c.rand.IntN(n)), address(c.rand.IntN(n)), address(c.rand.IntN(n)))
		}
		ready := c.runUntil(time.Minute, "all have a configuration", c.allRunning(c.hasNewestVersion))
		b.ReportMetric(ready.Seconds(), "ready-s")
		c.runUntil(5*time.Minute, "all know each other", c.converged)
		b.ReportMetric(c.at.Seconds(), "joined-s")
		b.ReportMetric(float64(c.storeReads), "table-gets")
		bytes := 0
		for _, p := range c.processes {
			bytes += p.bytes
		}
		b.ReportMetric(float64(bytes)/float64(n)/c.at.Seconds(), "gossip-B/s")
	})
}
