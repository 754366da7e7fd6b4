package path_test

import (
	"fmt"
	"testing"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// BenchmarkFind measures the choice of a path with an existing finder, which requests share until the list of targets
// changes.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{38, 102, 999, 7000} {
		var targets []*target.Target
		for i := range n {
			first := i * 8 % 80
			targets = append(targets, newTarget(fmt.Sprint("w", i), fmt.Sprint("dc", i%3), "l4", first, first+8))
		}
		random, finder, loads := newRand(), path.New(engine(), targets), make([]path.Load, n)
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
