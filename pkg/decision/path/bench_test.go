package path_test

import (
	"fmt"
	"testing"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
)

// BenchmarkFind is the cost of choosing a path, with the finder made for it, as each request does.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{38, 102, 999, 7000} {
		var holders []path.Holder
		for i := range n {
			first := i * 8 % 80
			holders = append(holders, holder(fmt.Sprint("w", i), fmt.Sprint("dc", i%3), "l4", first, first+8))
		}
		random := source()
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, err := path.New(engine(), holders).Find(random, path.Request{To: 80, Prompt: 700, Answer: 140, DataCentre: "dc0"}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
