package path_test

import (
	"fmt"
	"testing"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// BenchmarkFind is the cost of choosing a path, with the finder made before, as for all requests between two changes of the list.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{38, 102, 999, 7000} {
		var holders []*target.Target
		for i := range n {
			first := i * 8 % 80
			holders = append(holders, holder(fmt.Sprint("w", i), fmt.Sprint("dc", i%3), "l4", first, first+8))
		}
		random, finder, loads := source(), path.New(engine(), holders), make([]path.Load, n)
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, err := finder.Find(random, path.Request{To: 80, PromptTokens: 700, OutputTokens: 140, DataCentre: "dc0", Loads: loads}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
