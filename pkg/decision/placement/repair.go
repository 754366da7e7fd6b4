package placement

import (
	"cmp"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

const (
	// leastGain is the gain in throughput for which a worker is moved: a move costs a load.
	leastGain = 1.01
	// maxMoves bounds the work of one repair. What remains to be gained is left to the next one.
	maxMoves = 64
)

// Repair adapts a plan to the workers that remain or have joined, with few moves: workers keep
// their ranges unless a move raises the throughput or fills a range that no worker holds. It
// returns the new plan and those of its assignments that the old plan did not have. Where the old
// plan's ranges cannot carry a model any more, the plan is made anew.
func (p *Planner) Repair(plan Plan, workers []Target, models []Model) (Plan, []Assignment) {
	r := &repair{workers: workersByName(workers), ranges: map[string][]layer.Range{}}
	for _, a := range plan.Assignments {
		if !slices.Contains(r.ranges[a.Model], a.Layers) {
			r.ranges[a.Model] = append(r.ranges[a.Model], a.Layers)
		}
		if _, remains := r.workers[a.Target]; remains {
			r.held = append(r.held, a)
		}
	}
	r.place(workers, models)
	best, flow := slices.Clone(r.held), r.flow(models)
	for range maxMoves {
		if !r.improve(models) {
			break
		}
		if now := r.flow(models); now > flow {
			best, flow = slices.Clone(r.held), now
		}
	}
	r.held = best // Moves that only prepared for a gain that did not come are taken back.
	repaired := Plan{Assignments: r.held, Throughput: throughput(r.held, workers, models)}
	repaired.Bound, repaired.LimitedBy = bound(workers, models)
	if repaired.Throughput == 0 {
		repaired = p.Plan(workers, models)
	}
	moved := slices.DeleteFunc(slices.Clone(repaired.Assignments), func(a Assignment) bool { return slices.Contains(plan.Assignments, a) })
	return repaired, moved
}

// repair is the state of a repair.
type repair struct {
	workers map[string]Target
	ranges  map[string][]layer.Range
	held    []Assignment
}

// flow returns the sum of the flows of all models. Moves stay within a model, so none loses.
func (r *repair) flow(models []Model) float64 {
	sum := 0.0
	for _, m := range models {
		sum += r.rates(m).through(m.Layers)
	}
	return sum
}

// value is what a repair raises: first the flow of a model, then the support of its weakest ranges,
// since several ranges may limit the flow together and one move can't help all of them.
type value struct {
	flow    float64
	support float64
}

func (v value) beats(old value, target float64) bool {
	if v.flow > old.flow*leastGain+1e-9 {
		return true
	}
	return v.flow >= old.flow*0.999 && v.support > old.support+(leastGain-1)*target
}

// valueOf values the rates of a model's ranges. Rates above the target give no further support.
func (r *repair) valueOf(rates flows, m Model, target float64) value {
	v := value{flow: rates.through(m.Layers)}
	for _, held := range r.ranges[m.Name] {
		v.support += min(rates[held], target)
	}
	return v
}

// targetOf returns the rate that each range should have next: a little more than the present flow,
// and a part of the mean where there is none.
func (r *repair) targetOf(rates flows, m Model) float64 {
	sum := 0.0
	for _, held := range r.ranges[m.Name] {
		sum += rates[held]
	}
	return max(1.1*rates.through(m.Layers), 0.1*sum/float64(max(1, len(r.ranges[m.Name]))))
}

func (r *repair) rates(m Model) flows {
	rates := flows{}
	for _, a := range r.held {
		if a.Model == m.Name {
			rates[a.Layers] += tokenRate(r.workers[a.Target], m, a.Layers.Len())
		}
	}
	return rates
}

// place gives each worker without an assignment the range with the least rate that fits, in the
// model with the least throughput for its share.
func (r *repair) place(workers []Target, models []Model) {
	assigned := map[string]bool{}
	for _, a := range r.held {
		assigned[a.Target] = true
	}
	shares := shares(models)
	for _, w := range workers {
		if assigned[w.Name] {
			continue
		}
		var best *Assignment
		least := 0.0
		for i, m := range models {
			rates := r.rates(m)
			for _, candidate := range r.ranges[m.Name] {
				rate := rates[candidate] / shares[i]
				if candidate.Len() <= maxLayers(w, m) && (best == nil || rate < least) {
					best, least = &Assignment{Target: w.Name, Model: m.Name, Layers: candidate}, rate
				}
			}
		}
		if best != nil {
			r.held = append(r.held, *best)
		}
	}
}

// improve makes the best single move within a model, and reports whether there was one.
func (r *repair) improve(models []Model) bool {
	for _, m := range models {
		rates := r.rates(m)
		target := r.targetOf(rates, m)
		best, at, to := r.valueOf(rates, m, target), -1, layer.Range{}
		for _, i := range r.movable(m) {
			for _, candidate := range r.ranges[m.Name] {
				if v, ok := r.tryMove(rates, m, i, candidate, target); ok && v.beats(best, target) {
					best, at, to = v, i, candidate
				}
			}
		}
		if at >= 0 {
			r.held[at].Layers = to
			return true
		}
	}
	return false
}

// movable returns the indexes of the slowest and the fastest worker of each range of the model.
func (r *repair) movable(m Model) []int {
	var indexes []int
	for i, a := range r.held {
		if a.Model == m.Name {
			indexes = append(indexes, i)
		}
	}
	slices.SortStableFunc(indexes, func(a, b int) int {
		x, y := r.held[a], r.held[b]
		return cmp.Or(cmp.Compare(x.Layers.First, y.Layers.First), cmp.Compare(x.Layers.End, y.Layers.End),
			cmp.Compare(r.workers[x.Target].Rate, r.workers[y.Target].Rate))
	})
	var ends []int
	for at, i := range indexes {
		first := at == 0 || r.held[indexes[at-1]].Layers != r.held[i].Layers
		last := at == len(indexes)-1 || r.held[indexes[at+1]].Layers != r.held[i].Layers
		if first || last {
			ends = append(ends, i)
		}
	}
	return ends
}

// tryMove returns the value after the move of one worker to another range.
func (r *repair) tryMove(rates flows, m Model, index int, to layer.Range, target float64) (value, bool) {
	a := r.held[index]
	w := r.workers[a.Target]
	if to == a.Layers || to.Len() > maxLayers(w, m) {
		return value{}, false
	}
	moved := flows{}
	for held, rate := range rates {
		moved[held] = rate
	}
	moved[a.Layers] -= tokenRate(w, m, a.Layers.Len())
	moved[to] += tokenRate(w, m, to.Len())
	return r.valueOf(moved, m, target), true
}
