package placement

import (
	"cmp"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

const (
	// minGain is the throughput ratio at which moving a target pays off, since a move costs a load of weights.
	minGain = 1.01
	// maxMoves bounds the work of one repair. The next repair makes any further moves.
	maxMoves = 64
)

// Repair adapts a plan to the targets that remain or have joined, with few moves: targets keep
// their ranges unless a move raises the throughput or fills a gap. It returns the new plan and those
// of its assignments that the old plan did not have. If the old plan's ranges no longer give every
// model a complete path, it computes a new plan.
func (p *Planner) Repair(plan Plan, targets []Target, models []Model) (Plan, []Assignment) {
	r := &repairer{targets: targetsByName(targets), ranges: map[string][]layer.Range{}}
	for _, a := range plan.Assignments {
		if !slices.Contains(r.ranges[a.Model], a.Layers) {
			r.ranges[a.Model] = append(r.ranges[a.Model], a.Layers)
		}
		if _, remains := r.targets[a.Target]; remains {
			r.assignments = append(r.assignments, a)
		}
	}
	r.assignUnassigned(targets, models)
	best, flow := slices.Clone(r.assignments), r.totalFlow(models)
	for range maxMoves {
		if !r.applyBestMove(models) {
			break
		}
		if now := r.totalFlow(models); now > flow {
			best, flow = slices.Clone(r.assignments), now
		}
	}
	r.assignments = best // Reverts moves after which the flow did not rise.
	repaired := Plan{Assignments: r.assignments, Throughput: throughput(r.assignments, targets, models)}
	repaired.Bound, repaired.LimitedBy = bound(targets, models)
	if repaired.Throughput == 0 {
		repaired = p.Plan(targets, models)
	}
	moved := slices.DeleteFunc(slices.Clone(repaired.Assignments), func(a Assignment) bool { return slices.Contains(plan.Assignments, a) })
	return repaired, moved
}

// repairer is the state of one Repair call.
type repairer struct {
	targets     map[string]Target
	ranges      map[string][]layer.Range
	assignments []Assignment
}

// totalFlow returns the sum of the flows of all models. Moves stay within a model, so no model loses
// flow to another.
func (r *repairer) totalFlow(models []Model) float64 {
	sum := 0.0
	for _, m := range models {
		sum += r.rangeRates(m).maxFlow(m.Layers)
	}
	return sum
}

// score is the objective of a repair: first the flow of a model, then the rates of its weak ranges,
// since several ranges may limit the flow together and one move can't raise all of them.
type score struct {
	flow    float64
	support float64 // support is the sum of the ranges' rates, each capped at the target rate.
}

// exceeds reports whether v has a flow higher by minGain, or higher support at nearly the same flow.
func (v score) exceeds(old score, targetRate float64) bool {
	if v.flow > old.flow*minGain+1e-9 {
		return true
	}
	return v.flow >= old.flow*0.999 && v.support > old.support+(minGain-1)*targetRate
}

// score returns the score of the rates of a model's ranges. Rates above targetRate add no support.
func (r *repairer) score(rates rangeRates, m Model, targetRate float64) score {
	v := score{flow: rates.maxFlow(m.Layers)}
	for _, held := range r.ranges[m.Name] {
		v.support += min(rates[held], targetRate)
	}
	return v
}

// targetRate returns the rate that each range should reach next: 1.1 times the current flow, but at
// least a tenth of the mean rate of the ranges, for a model without flow.
func (r *repairer) targetRate(rates rangeRates, m Model) float64 {
	sum := 0.0
	for _, held := range r.ranges[m.Name] {
		sum += rates[held]
	}
	return max(1.1*rates.maxFlow(m.Layers), 0.1*sum/float64(max(1, len(r.ranges[m.Name]))))
}

// rangeRates returns the sum of the token rates of the current assignments for each range of the model.
func (r *repairer) rangeRates(m Model) rangeRates {
	rates := rangeRates{}
	for _, a := range r.assignments {
		if a.Model == m.Name {
			rates[a.Layers] += tokenRate(r.targets[a.Target], m, a.Layers.Len())
		}
	}
	return rates
}

// assignUnassigned assigns to each target without an assignment the range that fits into its memory
// and has the lowest rate relative to its model's token fraction.
func (r *repairer) assignUnassigned(targets []Target, models []Model) {
	assigned := map[string]bool{}
	for _, a := range r.assignments {
		assigned[a.Target] = true
	}
	fractions := tokenFractions(models)
	for _, t := range targets {
		if assigned[t.Name] {
			continue
		}
		var best *Assignment
		least := 0.0
		for i, m := range models {
			rates := r.rangeRates(m)
			for _, candidate := range r.ranges[m.Name] {
				rate := rates[candidate] / fractions[i]
				if candidate.Len() <= maxLayers(t, m) && (best == nil || rate < least) {
					best, least = &Assignment{Target: t.Name, Model: m.Name, Layers: candidate}, rate
				}
			}
		}
		if best != nil {
			r.assignments = append(r.assignments, *best)
		}
	}
}

// applyBestMove applies the best single move of the first model that a move improves, and reports
// whether there was one.
func (r *repairer) applyBestMove(models []Model) bool {
	for _, m := range models {
		rates := r.rangeRates(m)
		targetRate := r.targetRate(rates, m)
		best, at, to := r.score(rates, m, targetRate), -1, layer.Range{}
		for _, i := range r.movable(m) {
			for _, candidate := range r.ranges[m.Name] {
				if v, ok := r.tryMove(rates, m, i, candidate, targetRate); ok && v.exceeds(best, targetRate) {
					best, at, to = v, i, candidate
				}
			}
		}
		if at >= 0 {
			r.assignments[at].Layers = to
			return true
		}
	}
	return false
}

// movable returns the indexes of the assignments of the slowest and the fastest target of each range
// of the model.
func (r *repairer) movable(m Model) []int {
	var indexes []int
	for i, a := range r.assignments {
		if a.Model == m.Name {
			indexes = append(indexes, i)
		}
	}
	slices.SortStableFunc(indexes, func(a, b int) int {
		x, y := r.assignments[a], r.assignments[b]
		return cmp.Or(cmp.Compare(x.Layers.First, y.Layers.First), cmp.Compare(x.Layers.End, y.Layers.End),
			cmp.Compare(r.targets[x.Target].Rate, r.targets[y.Target].Rate))
	})
	var ends []int
	for at, i := range indexes {
		first := at == 0 || r.assignments[indexes[at-1]].Layers != r.assignments[i].Layers
		last := at == len(indexes)-1 || r.assignments[indexes[at+1]].Layers != r.assignments[i].Layers
		if first || last {
			ends = append(ends, i)
		}
	}
	return ends
}

// tryMove returns the score after moving one target to another range, and false if the move is not
// possible.
func (r *repairer) tryMove(rates rangeRates, m Model, index int, to layer.Range, targetRate float64) (score, bool) {
	a := r.assignments[index]
	t := r.targets[a.Target]
	if to == a.Layers || to.Len() > maxLayers(t, m) {
		return score{}, false
	}
	moved := rangeRates{}
	for held, rate := range rates {
		moved[held] = rate
	}
	moved[a.Layers] -= tokenRate(t, m, a.Layers.Len())
	moved[to] += tokenRate(t, m, to.Len())
	return r.score(moved, m, targetRate), true
}
