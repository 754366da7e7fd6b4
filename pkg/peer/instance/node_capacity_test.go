package instance_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/peer/instance"
)

// BenchmarkNodes runs 18 nodes with real sockets on loopback for 20 s, and reports the mean CPU time, traffic and
// memory of one node.
func BenchmarkNodes(b *testing.B) {
	const count, seconds = 18, 20
	for range b.N {
		p := &fakeSource{head: 1}
		before := heapBytes()
		nodes := []*instance.Node{}
		registry := metrics.NewRegistry()
		for i := range count {
			n, err := instance.New(b.Context(), instance.Config{
				Fleet: "bench", Name: fmt.Sprint(i), DataCentre: fmt.Sprint(i % 3),
				Address: netip.MustParseAddrPort("127.0.0.1:0"), Seeds: seedsOf(nodes),
			}, instance.WithConfigSource(p), instance.WithConfigApplier(&checkingApplier{t: b}), instance.WithMetrics(registry))
			qt.Assert(b, err, qt.IsNil)
			nodes = append(nodes, n)
		}
		eventually(b, 10*time.Second, "ready", allNodes(nodes, func(v *instance.View) bool { return v.Ready() && len(v.Members) == count }))
		spent, out := cpu(), metrics.GetOrRegisterCounter("Instance.BytesOut", registry).Count()
		time.Sleep(seconds * time.Second)
		out = metrics.GetOrRegisterCounter("Instance.BytesOut", registry).Count() - out
		b.ReportMetric(100*(cpu()-spent).Seconds()/count/seconds, "core-%")
		b.ReportMetric(float64(out)/count/seconds, "payload-B/s")
		b.ReportMetric((heapBytes()-before)/count/1e6, "MB/instance")
		for _, n := range nodes {
			qt.Assert(b, n.Close(), qt.IsNil)
		}
	}
}

// seedsOf returns the address of the first node, if there is one.
func seedsOf(nodes []*instance.Node) []netip.AddrPort {
	if len(nodes) == 0 {
		return nil
	}
	return []netip.AddrPort{nodes[0].Address()}
}
