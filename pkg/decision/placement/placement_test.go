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

// newTargets returns n targets of 4 kinds in 3 data centres.
func newTargets(n int) []placement.Target {
	var targets []placement.Target
	for i := range n {
		target := kinds[i%len(kinds)]
		target.Name = fmt.Sprintf("w%04d", i)
		target.DataCentre = fmt.Sprint("dc", i/len(kinds)%3)
		targets = append(targets, target)
	}
	return targets
}

var darning = placement.Model{Name: "darning", Layers: 64, LayerBytes: 2 * gib, LayerCost: 1, ActivationBytes: 16384}

// TestPlan guards against ranges that exceed a target's memory, against a plan above the bound,
// and against a plan far below it.
func TestPlan(t *testing.T) {
	second := placement.Model{Name: "coal", Layers: 48, LayerBytes: gib, LayerCost: 2, ActivationBytes: 8192, TokenFraction: 2}
	tests := []struct {
		name    string
		targets []placement.Target
		models  []placement.Model
		limit   string
		atLeast float64 // atLeast is the fraction of the bound that the plan has to reach.
	}{
		{"fleet", newTargets(40), []placement.Model{darning}, placement.LimitedByCompute, 0.85},
		{"two models", newTargets(80), []placement.Model{darning, second}, placement.LimitedByCompute, 0.7},
		{"slow links", withLink(newTargets(40), 1e6), []placement.Model{darning}, placement.LimitedByLink, 0.5},
		{"too little memory", newTargets(3), []placement.Model{darning}, placement.LimitedByMemory, 0},
		{"no targets", nil, []placement.Model{darning}, placement.LimitedByNothing, 0},
		{"large fleet", newTargets(7000), []placement.Model{darning, second}, placement.LimitedByCompute, 0.9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Now()
			plan := placement.New().Plan(test.targets, test.models)
			t.Logf("plan %.1f tokens/s, bound %.1f, limited by %s, ratio %.3f, computed in %v",
				plan.Throughput, plan.Bound, plan.LimitedBy, plan.Throughput/max(plan.Bound, 1e-9), time.Since(start).Round(time.Millisecond))
			qt.Check(t, plan.LimitedBy, qt.Equals, test.limit)
			qt.Check(t, plan.Throughput <= plan.Bound*1.000001, qt.IsTrue)
			qt.Check(t, plan.Throughput >= plan.Bound*test.atLeast, qt.IsTrue)
			checkDataCentres(t, test.targets, plan)
		})
	}
}

// checkDataCentres checks that each range with several targets has them in several data centres.
func checkDataCentres(t *testing.T, targets []placement.Target, plan placement.Plan) {
	centres := map[string]string{}
	for _, target := range targets {
		centres[target.Name] = target.DataCentre
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
		qt.Check(t, n == 1 || len(spread[key]) > 1, qt.IsTrue, qt.Commentf("all %d targets of %s are in one data centre", n, key))
	}
}

func withLink(targets []placement.Target, link float64) []placement.Target {
	for i := range targets {
		targets[i].Link = link
	}
	return targets
}

// TestBound guards against a bound that some placement exceeds. The oracle tries every assignment
// of ranges to three small targets.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := placement.Model{Name: "m", Layers: 3, LayerBytes: 1, LayerCost: rapid.Float64Range(0.5, 2).Draw(t, "cost"), ActivationBytes: 1}
		var targets []placement.Target
		for i := range 3 {
			targets = append(targets, placement.Target{
				Name: fmt.Sprint(i), Memory: int64(rapid.IntRange(1, 4).Draw(t, "memory")),
				Rate: rapid.Float64Range(1, 8).Draw(t, "rate"), Link: rapid.Float64Range(0.2, 8).Draw(t, "link"),
			})
		}
		plan := placement.New().Plan(targets, []placement.Model{model})
		best := bestThroughput(targets, model, nil)
		if best > plan.Bound+1e-9 {
			t.Fatalf("a schedule reaches %v, the bound is %v", best, plan.Bound)
		}
		if plan.Throughput > best+1e-9 {
			t.Fatalf("the plan claims %v, the best schedule reaches %v", plan.Throughput, best)
		}
	})
}

// bestThroughput returns the throughput of the best assignment of the remaining targets, where each may
// hold any range that fits, or none.
func bestThroughput(left []placement.Target, m placement.Model, held []heldRange) float64 {
	if len(left) == 0 {
		return minCut(held, m.Layers)
	}
	best := bestThroughput(left[1:], m, held)
	for first := range m.Layers {
		for end := first + 1; end <= m.Layers && int64(end-first) <= left[0].Memory; end++ {
			rate := left[0].Rate / (m.LayerCost * float64(end-first))
			if end-first < m.Layers {
				rate = min(rate, left[0].Link)
			}
			next := append(held[:len(held):len(held)], heldRange{layer.Range{First: first, End: end}, rate})
			best = max(best, bestThroughput(left[1:], m, next))
		}
	}
	return best
}

type heldRange struct {
	layers layer.Range
	rate   float64
}

// minCut returns the maximum flow as the minimum cut: the least sum of rates that leave a set of
// boundaries, over every set that contains 0 and not the last.
func minCut(held []heldRange, layers int) float64 {
	least := -1.0
	for set := range 1 << layers { // Bit i-1 means that boundary i is on the source side.
		sourceSide := func(boundary int) bool {
			return boundary == 0 || (boundary < layers && set&(1<<(boundary-1)) != 0)
		}
		cut := 0.0
		for _, p := range held {
			if sourceSide(p.layers.First) && !sourceSide(p.layers.End) {
				cut += p.rate
			}
		}
		if least < 0 || cut < least {
			least = cut
		}
	}
	return least
}

// TestScheduleLoads guards against loads beyond the weight store's rate, and against a schedule that
// leaves layers without a target longer than needed.
func TestScheduleLoads(t *testing.T) {
	planner, targets, models := placement.New(), newTargets(40), []placement.Model{darning}
	plan := planner.Plan(targets, models)
	const storeRate = 1e9
	loads := planner.ScheduleLoads(plan, nil, targets, models, storeRate)
	qt.Assert(t, loads, qt.HasLen, len(plan.Assignments))
	var firstTokens, half time.Duration
	for i, l := range loads {
		within := int64(0) // within is the least number of bytes that the store sends until this load ends.
		for _, other := range loads[:i+1] {
			within += other.Bytes
		}
		qt.Assert(t, float64(within) <= storeRate*l.End.Seconds()*1.000001, qt.IsTrue)
		qt.Assert(t, i == 0 || l.Throughput >= loads[i-1].Throughput, qt.IsTrue)
		if firstTokens == 0 && l.Throughput > 0 {
			firstTokens = l.End
		}
		if half == 0 && l.Throughput >= plan.Throughput/2 {
			half = l.End
		}
	}
	last := loads[len(loads)-1]
	t.Logf("first tokens after %v, half of the throughput after %v, all after %v", firstTokens, half, last.End)
	qt.Check(t, last.Throughput > plan.Throughput*0.999, qt.IsTrue)
	qt.Check(t, firstTokens < last.End/4, qt.IsTrue)
	qt.Check(t, half < last.End/2, qt.IsTrue)
}

// TestRepair guards against a failure of targets that leaves a gap, and against a repair that moves
// most of the fleet.
func TestRepair(t *testing.T) {
	planner, targets, models := placement.New(), newTargets(40), []placement.Model{darning}
	plan := planner.Plan(targets, models)
	failed := plan.Assignments[0].Layers // Every target of one range fails.
	var left []placement.Target
	var kept []placement.Assignment
	for _, a := range plan.Assignments {
		if a.Layers != failed {
			kept = append(kept, a)
			left = append(left, targets[indexOf(targets, a.Target)])
		}
	}
	fresh := planner.Plan(left, models)
	repaired, moved := planner.Repair(plan, left, models)
	loads := planner.ScheduleLoads(repaired, kept, left, models, 1e9)
	t.Logf("%d of %d targets left; %d moved; plan %.1f, repaired %.1f, replanned %.1f, bound %.1f tokens/s; first load ends after %v",
		len(left), len(targets), len(moved), plan.Throughput, repaired.Throughput, fresh.Throughput, repaired.Bound, loads[0].End)
	qt.Check(t, len(loads), qt.Equals, len(moved))
	qt.Check(t, repaired.Throughput > 0.8*fresh.Throughput, qt.IsTrue)
	qt.Check(t, repaired.Throughput <= repaired.Bound, qt.IsTrue)
	qt.Check(t, len(moved) < len(left)/3, qt.IsTrue)
	joined, added := planner.Repair(repaired, targets, models)
	qt.Check(t, joined.Throughput > repaired.Throughput, qt.IsTrue)
	qt.Check(t, len(added) >= len(targets)-len(left), qt.IsTrue)
}

func indexOf(targets []placement.Target, name string) int {
	for i, target := range targets {
		if target.Name == name {
			return i
		}
	}
	return -1
}
