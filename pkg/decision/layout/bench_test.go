package layout_test

import (
	"fmt"
	"testing"

	"github.com/cuminroute/cuminroute/pkg/decision/layout"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// BenchmarkPlan measures Plan for a fleet that already matches the plan.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{1, 3, 26, 184} {
		var targets []target.Target
		for i := range n {
			for _, w := range applyPlans(b, fleet(), nil) {
				w.Name = fmt.Sprint(w.Name, "-", i)
				targets = append(targets, w)
			}
		}
		b.Run(fmt.Sprint("targets=", len(targets)), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				layout.New(engine()).Plan(targets, nil)
			}
		})
	}
}
