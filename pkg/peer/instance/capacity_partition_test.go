package instance_test

import (
	"testing"
	"time"
)

// BenchmarkPartition partitions two regions for three minutes. It reports the time until the regions list only their
// own members, and after the partition has healed, the time until all instances have a new version, the time until the
// regions have merged, and the traffic until then.
func BenchmarkPartition(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		c := newCluster(b, 5)
		c.headVersion = 1
		c.startAll(n)
		c.run(20 * time.Second)
		c.partitioned = func(a, b *process) bool { return a.region() != b.region() }
		b.ReportMetric(c.measurePartition(3*time.Minute).Seconds(), "part-s")
		c.partitioned = func(_, _ *process) bool { return false }
		c.headVersion++
		for _, p := range c.processes {
			p.bytes = 0
		}
		start := c.elapsed
		propagation := c.runUntil(30*time.Second, "all have the new version", c.forEveryRunning(c.hasNewestVersion))
		b.ReportMetric(propagation.Seconds(), "version-s")
		c.runUntil(10*time.Minute, "the regions have merged", c.converged)
		merge := (c.elapsed - start).Seconds()
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

// measurePartition runs the cluster for a duration and returns the time until the regions were fully partitioned, or
// the duration if they never were.
func (c *cluster) measurePartition(d time.Duration) time.Duration {
	start, partitionTime := c.elapsed, d
	for c.elapsed-start < d {
		c.run(time.Second)
		if partitionTime == d && c.fullyPartitioned() {
			partitionTime = c.elapsed - start
		}
	}
	return partitionTime
}

// fullyPartitioned reports whether every process lists as many live members as its own region has processes.
func (c *cluster) fullyPartitioned() bool {
	var count [2]int
	for _, p := range c.processes {
		count[p.region()]++
	}
	return c.forEveryRunning(func(p *process) bool { return p.memberList.LiveCount() == count[p.region()] })()
}

// BenchmarkStart starts all instances at once with three random instances as seed addresses each. It reports when all
// have a configuration, when all know each other, and the traffic until then.
func BenchmarkStart(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		c := newCluster(b, 6)
		c.headVersion = 1
		for i := range n {
			c.start(i, address(c.rand.IntN(n)), address(c.rand.IntN(n)), address(c.rand.IntN(n)))
		}
		ready := c.runUntil(time.Minute, "all have a configuration", c.forEveryRunning(c.hasNewestVersion))
		b.ReportMetric(ready.Seconds(), "ready-s")
		c.runUntil(5*time.Minute, "all know each other", c.converged)
		b.ReportMetric(c.elapsed.Seconds(), "joined-s")
		b.ReportMetric(float64(c.storeReads), "table-gets")
		bytes := 0
		for _, p := range c.processes {
			bytes += p.bytes
		}
		b.ReportMetric(float64(bytes)/float64(n)/c.elapsed.Seconds(), "gossip-B/s")
	})
}
