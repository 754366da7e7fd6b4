package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// BenchmarkChange measures the cost of one changed entry, with the path finder that the next request needs.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 1000, 7000} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			cache := newTestCache()
			row := func(i int, number uint64) Row {
				first := int(number) % 3 // No n is a multiple of 3, so that each row differs from the one that it replaces.
				t := target.Target{Service: "model", State: target.Live, Address: netip.MustParseAddrPort("10.0.0.1:80"), Layers: layer.Range{First: first, End: first + 1}}
				return Row{Name: fmt.Sprint("w", i), Value: []byte(encode(t)), Revision: at(number)}
			}
			initial := Change{Full: true}
			for i := range n {
				initial.Rows = append(initial.Rows, row(i, uint64(i+2)))
			}
			cache.applyTargets(initial, 0, epoch)
			engine := cache.Snapshot().Catalogue.Service("model").Engine
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				cache.applyTargets(Change{Rows: []Row{row(i%n, uint64(n+i+2))}}, 0, epoch)
				cache.Snapshot().Targets["model"].PathFinder(engine)
			}
		})
	}
}

// BenchmarkRemoteLoads measures the cost of one status update with loads, when 300 instances, as in a large fleet, have
// sent their loads recently.
func BenchmarkRemoteLoads(b *testing.B) {
	stats := targetstats.New()
	loads := make(map[uint64]targetstats.Load)
	for i := range maxLoads {
		loads[targetstats.TargetHash(fmt.Sprint("w", i))] = targetstats.Load{KVCells: 100, Streams: 1}
	}
	for i := 0; b.Loop(); i++ {
		stats.SetRemoteLoads(fmt.Sprint("i", i%300), loads, epoch.Add(time.Duration(i)*10*time.Millisecond))
	}
}
