package route_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/route"
)

var policies = []route.Policy{route.EstimatedFinish, route.LeastOutstanding, route.RoundRobin, route.Random}

// standardSimulation has 18 instances with partial views, load reports delayed by 2 s and target rates that differ by
// a factor of up to eight.
func standardSimulation() simulation {
	return simulation{
		instances: 18, perGroup: 20, groups: 2, utilisation: 0.85, slowestRate: 5,
		lag: 2 * time.Second, length: 20 * time.Second, deadline: time.Second,
	}
}

// TestPolicies guards against a default policy that serves fewer requests in time than simpler ones, and against
// herding on delayed reports.
func TestPolicies(t *testing.T) {
	best := standardSimulation().run(route.EstimatedFinish, 7)
	t.Logf("%-16s goodput %.4f, p95 %v, offered %d", route.EstimatedFinish, best.goodput(), best.p95, best.offered)
	qt.Check(t, best.goodput() > 0.95, qt.IsTrue)
	for _, p := range policies[1:] {
		other := standardSimulation().run(p, 7)
		t.Logf("%-16s goodput %.4f, p95 %v", p, other.goodput(), other.p95)
		qt.Check(t, best.goodput() >= other.goodput(), qt.IsTrue, qt.Commentf("%s serves more in time", p))
		qt.Check(t, best.p95 <= other.p95, qt.IsTrue, qt.Commentf("%s is faster", p))
	}
}

// TestSlowLink guards against sending work to a target behind a link that is a hundred times slower than a step,
// although it is the fastest by its own report.
func TestSlowLink(t *testing.T) {
	s := standardSimulation()
	s.utilisation = 0.6
	s.slowLink = 2500 * time.Millisecond
	r := s.run(route.EstimatedFinish, 7)
	fraction := float64(r.byTarget["g0-19"]) / float64(r.offered)
	t.Logf("fraction of the slow link %.4f, goodput %.4f, p95 %v", fraction, r.goodput(), r.p95)
	qt.Check(t, fraction < 0.02, qt.IsTrue)
	qt.Check(t, r.goodput() > 0.95, qt.IsTrue)
}

// TestPickAllocations guards against allocations of Pick that grow with the number of targets.
func TestPickAllocations(t *testing.T) {
	for _, n := range []int{40, 7000} {
		picker, r := warmPicker(n), random()
		allocations := testing.AllocsPerRun(100, func() {
			if _, err := picker.Pick(r, request(epoch)); err != nil {
				t.Fatal(err)
			}
		})
		qt.Check(t, allocations, qt.Equals, 1.0, qt.Commentf("%d targets", n))
	}
}

// warmPicker returns a picker that has observed responses of n targets in 4 groups.
func warmPicker(n int) *route.Picker {
	picker := route.NewPicker()
	list := targets(4, n/4)
	picker.SetTargets(list)
	for i, t := range list {
		picker.RequestSent(t.Name, 1, epoch)
		picker.RequestSent(t.Name, 1, epoch)
		picker.RequestFinished(t.Name, 1, time.Duration(10+i%10*7)*time.Millisecond, epoch)
	}
	return picker
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{40, 400, 2000, 7000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			picker, r := warmPicker(n), random()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := picker.Pick(r, request(epoch)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
