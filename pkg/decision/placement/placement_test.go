package placement_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/layer"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

const gib = 1 << 30

var kinds = []placement.Target{
	{Accelerator: "k80", Memory: 12 * gib, Rate: 500, Link: 10e6},
	{Accelerator: "t4", Memory: 16 * gib, Rate: 1000, Link: 100e6},
	{Accelerator: "l4", Memory: 24 * gib, Rate: 2000, Link: 300e6},
	{Accelerator: "l40", Memory: 48 * gib, Rate: 4000, Link: 1000e6},
}

// mixed returns n workers of 4 kinds in 3 data centres.
func mixed(n int) []placement.Target {
	var workers []placement.Target
	for i := range n {
		w := kinds[i%len(kinds)]
		w.Name = fmt.Sprintf("w%04d", i)
		w.DataCentre = fmt.Sprint("dc", i/len(kinds)%3)
		workers = append(workers, w)
	}
	return workers
}

var darning = placement.Model{Name: "darning", Layers: 64, LayerBytes: 2 * gib, LayerCost: 1, ActivationBytes: 16384}

// TestPlan guards against ranges that exceed a worker's memory, against a plan above the bound,
// and against a plan far below it.
func TestPlan(t *testing.T) {
	second := placement.Model{Name: "coal", Layers: 48, LayerBytes: gib, LayerCost: 2, ActivationBytes: 8192, TokenFraction: 2}
	tests := []struct {
		name    string
		workers []placement.Target
		models  []placement.Model
		limit   string
		atLeast float64 // atLeast is the part of the bound that the plan reaches.
	}{
		{"fleet", mixed(40), []placement.Model{darning}, placement.LimitedByCompute, 0.85},
		{"two models", mixed(80), []placement.Model{darning, second}, placement.LimitedByCompute, 0.7},
		{"slow links", slowed(mixed(40), 1e6), []placement.Model{darning}, placement.LimitedByLink, 0.5},
		{"too little memory", mixed(3), []placement.Model{darning}, placement.LimitedByMemory, 0},
		{"no workers", nil, []placement.Model{darning}, placement.LimitedByNothing, 0},
		{"large fleet", mixed(7000), []placement.Model{darning, second}, placement.LimitedByCompute, 0.9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Now()
			plan := placement.New().Plan(test.workers, test.models)
			t.Logf("plan %.1f tokens/s, bound %.1f, limited by %s, part %.3f, made in %v",
				plan.Throughput, plan.Bound, plan.LimitedBy, plan.Throughput/max(plan.Bound, 1e-9), time.Since(start).Round(time.Millisecond))
			qt.Check(t, plan.LimitedBy, qt.Equals, test.limit)
			qt.Check(t, plan.Throughput <= plan.Bound*1.000001, qt.IsTrue)
			qt.Check(t, plan.Throughput >= plan.Bound*test.atLeast, qt.IsTrue)
			checkCentres(t, test.workers, plan)
		})
	}
}

// checkCentres checks that each range with several workers has them in several data centres.
func checkCentres(t *testing.T, workers []placement.Target, plan placement.Plan) {
	centres := map[string]string{}
	for _, w := range workers {
		centres[w.Name] = w.DataCentre
	}
	count, spread := map[string]int{}, map[string]map[string]bool{}
	for _, a := range plan.Assignments {
		key := a.Model + a.Layers.String()
		count[key]++
		if spread[key] == nil {
			spread[key] = map[string]bool{}
		}
		spread[key][centres[a.Target]] = true
	}
	for key, n := range count {
		qt.Check(t, n == 1 || len(spread[key]) > 1, qt.IsTrue, qt.Commentf("all %d workers of %s are in one data centre", n, key))
	}
}

func slowed(workers []placement.Target, link float64) []placement.Target {
	for i := range workers {
		workers[i].Link = link
	}
	return workers
}

// TestBound guards against a bound that some schedule exceeds. The oracle tries every assignment
// of ranges to three small workers.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := placement.Model{Name: "m", Layers: 3, LayerBytes: 1, LayerCost: rapid.Float64Range(0.5, 2).Draw(t, "cost"), ActivationBytes: 1}
		var workers []placement.Target
		for i := range 3 {
			workers = append(workers, placement.Target{
				Name: fmt.Sprint(i), Memory: int64(rapid.IntRange(1, 4).Draw(t, "memory")),
				Rate: rapid.Float64Range(1, 8).Draw(t, "rate"), Link: rapid.Float64Range(0.2, 8).Draw(t, "link"),
			})
		}
		plan := placement.New().Plan(workers, []placement.Model{model})
		best := bestOf(workers, model, nil)
		if best > plan.Bound+1e-9 {
			t.Fatalf("a schedule reaches %v, the bound is %v", best, plan.Bound)
		}
		if plan.Throughput > best+1e-9 {
			t.Fatalf("the plan claims %v, the best schedule reaches %v", plan.Throughput, best)
		}
	})
}

// bestOf returns the throughput of the best assignment of the workers left, where each may hold any
// range that fits, or none.
func bestOf(left []placement.Target, m placement.Model, held []placed) float64 {
	if len(left) == 0 {
		return bestFlow(held, m.Layers)
	}
	best := bestOf(left[1:], m, held)
	for first := range m.Layers {
		for end := first + 1; end <= m.Layers && int64(end-first) <= left[0].Memory; end++ {
			rate := left[0].Rate / (m.LayerCost * float64(end-first))
			if end-first < m.Layers {
				rate = min(rate, left[0].Link)
			}
			next := append(held[:len(held):len(held)], placed{layer.Range{First: first, End: end}, rate})
			best = max(best, bestOf(left[1:], m, next))
		}
	}
	return best
}

type placed struct {
	layers layer.Range
	rate   float64
}

// bestFlow returns the smallest cut: over every set of boundaries that holds 0 and not the last,
// the sum of the rates that leave it.
func bestFlow(held []placed, layers int) float64 {
	least := -1.0
	for set := range 1 << layers { // Bit i-1 says that boundary i is on the near side.
		near := func(boundary int) bool {
			return boundary == 0 || (boundary < layers && set&(1<<(boundary-1)) != 0)
		}
		cut := 0.0
		for _, p := range held {
			if near(p.layers.First) && !near(p.layers.End) {
				cut += p.rate
			}
		}
		if least < 0 || cut < least {
			least = cut
		}
	}
	return least
}

// TestReload guards against loads beyond the weight store's rate, and against an order that
// leaves layers without a worker longer than needed.
func TestReload(t *testing.T) {
	planner, workers, models := placement.New(), mixed(40), []placement.Model{darning}
	plan := planner.Plan(workers, models)
	const storeRate = 1e9
	loads := planner.ScheduleLoads(plan, nil, workers, models, storeRate)
	qt.Assert(t, loads, qt.HasLen, len(plan.Assignments))
	var opened, half time.Duration
	for i, l := range loads {
		within := int64(0) // within is what the store sends until this load ends, at least.
		for _, other := range loads[:i+1] {
			within += other.Bytes
		}
		qt.Assert(t, float64(within) <= storeRate*l.End.Seconds()*1.000001, qt.IsTrue)
		qt.Assert(t, i == 0 || l.Throughput >= loads[i-1].Throughput, qt.IsTrue)
		if opened == 0 && l.Throughput > 0 {
			opened = l.End
		}
		if half == 0 && l.Throughput >= plan.Throughput/2 {
			half = l.End
		}
	}
	last := loads[len(loads)-1]
	t.Logf("first tokens after %v, half of the throughput after %v, all after %v", opened, half, last.End)
	qt.Check(t, last.Throughput > plan.Throughput*0.999, qt.IsTrue)
	qt.Check(t, opened < last.End/4, qt.IsTrue)
	qt.Check(t, half < last.End/2, qt.IsTrue)
}

// TestRepair guards against a loss that leaves a range without a worker, and against a repair that
// moves most of the fleet.
func TestRepair(t *testing.T) {
	planner, workers, models := placement.New(), mixed(40), []placement.Model{darning}
	plan := planner.Plan(workers, models)
	lost := plan.Assignments[0].Layers // Every worker of one range is lost.
	var left []placement.Target
	var kept []placement.Assignment
	for _, a := range plan.Assignments {
		if a.Layers != lost {
			kept = append(kept, a)
			left = append(left, workers[indexOf(workers, a.Target)])
		}
	}
	fresh := planner.Plan(left, models)
	repaired, moved := planner.Repair(plan, left, models)
	loads := planner.ScheduleLoads(repaired, kept, left, models, 1e9)
	t.Logf("%d of %d workers left; %d moved; plan %.1f, repaired %.1f, made anew %.1f, bound %.1f tokens/s; first gain after %v",
		len(left), len(workers), len(moved), plan.Throughput, repaired.Throughput, fresh.Throughput, repaired.Bound, loads[0].End)
	qt.Check(t, len(loads), qt.Equals, len(moved))
	qt.Check(t, repaired.Throughput > 0.8*fresh.Throughput, qt.IsTrue)
	qt.Check(t, repaired.Throughput <= repaired.Bound, qt.IsTrue)
	qt.Check(t, len(moved) < len(left)/3, qt.IsTrue)
	joined, added := planner.Repair(repaired, workers, models)
	qt.Check(t, joined.Throughput > repaired.Throughput, qt.IsTrue)
	qt.Check(t, len(added) >= len(workers)-len(left), qt.IsTrue)
}

func indexOf(workers []placement.Target, name string) int {
	for i, w := range workers {
		if w.Name == name {
			return i
		}
	}
	return -1
}
