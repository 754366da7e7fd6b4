package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

// cover closes the gaps of every model with few moves. It returns false where the workers that can
// be spared are too few. The search keeps the tiling that needs the fewest moves and fills its gaps
// greedily; where that takes more than one move, it is tried again with each single worker taken
// away first, since that worker may close a wider gap than the ones that its layers border on.
func (r *repairing) cover() bool {
	best := r.clone()
	fewest := math.MaxInt
	if best.coverModels() {
		fewest = best.moved()
	}
	if fewest > 1 {
		for _, w := range r.representatives() {
			trial := r.clone()
			if _, busy := trial.take(w.Name); !busy || !trial.coverModels() {
				continue
			}
			if moved := trial.moved(); moved < fewest {
				best, fewest = trial, moved
			}
		}
	}
	*r = *best
	return fewest < math.MaxInt
}

// moved counts the workers that held layers and hold others, or none, now.
func (r *repairing) moved() int {
	count := 0
	for name, a := range r.kept {
		if r.held[name] != a {
			count++
		}
	}
	return count
}

func (r *repairing) clone() *repairing {
	c := *r
	c.held, c.flow = maps.Clone(r.held), maps.Clone(r.flow)
	c.rates, c.holders, c.ranges = map[string]flows{}, map[string]map[layer.Range]int{}, map[string][]layer.Range{}
	for _, m := range r.models {
		c.rates[m.Name] = maps.Clone(r.rates[m.Name])
		c.holders[m.Name] = maps.Clone(r.holders[m.Name])
		c.ranges[m.Name] = slices.Clone(r.ranges[m.Name])
	}
	return &c
}

func (r *repairing) coverModels() bool {
	for _, m := range r.models {
		if !r.coverModel(m) {
			return false
		}
	}
	return true
}

func (r *repairing) coverModel(m Model) bool {
	if r.through(m) > 0 {
		return true
	}
	needed, gaps := r.cheapestWay(m)
	for _, gap := range gaps {
		filled, ok := r.fill(m, gap, needed)
		if !ok {
			return false
		}
		needed = append(needed, filled...)
	}
	return true
}

// way is the cheapest way found to a layer boundary.
type way struct {
	moves int
	empty int // empty is the number of layers in gaps.
	from  int
	held  bool // held means that the last range of the way is held.
}

func (w way) cheaper(other way) bool {
	return cmp.Or(cmp.Compare(w.moves, other.moves), cmp.Compare(w.empty, other.empty)) < 0
}

// cheapestWay returns the held ranges and the gaps of the tiling of the model that needs the fewest
// workers to be moved.
func (r *repairing) cheapestWay(m Model) (needed, gaps []layer.Range) {
	held := r.rates[m.Name]
	nodes := held.boundaries(m.Layers)
	best := make([]way, len(nodes))
	for to := 1; to < len(nodes); to++ {
		best[to] = way{moves: math.MaxInt}
		for from := range to {
			step := layer.Range{First: nodes[from], End: nodes[to]}
			w := best[from]
			_, w.held = held[step]
			w.from = from
			if !w.held {
				w.moves += r.workersFor(m, step.Len())
				w.empty += step.Len()
			}
			if w.cheaper(best[to]) {
				best[to] = w
			}
		}
	}
	for at := len(nodes) - 1; at > 0; at = best[at].from {
		step := layer.Range{First: nodes[best[at].from], End: nodes[at]}
		if best[at].held {
			needed = append(needed, step)
		} else {
			gaps = append(gaps, step)
		}
	}
	return needed, gaps
}

// workersFor returns how many workers must move to hold the layers, when workers without layers
// are used first and then those with the most room. A gap always costs something, so that held
// ranges are preferred.
func (r *repairing) workersFor(m Model, layers int) int {
	moved, used := 0, 0
	for _, w := range r.byRoom(m) {
		if layers <= 0 {
			break
		}
		layers -= maxLayers(w, m)
		used++
		if _, busy := r.held[w.Name]; busy {
			moved++
		}
	}
	if layers > 0 {
		return 1 << 20 // The workers have too little room, so any other way is better.
	}
	return moved
}

// byRoom returns the workers, those without layers first, and among them those with the most room.
func (r *repairing) byRoom(m Model) []Worker {
	list := slices.Clone(r.workers)
	slices.SortStableFunc(list, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(r.busy(a), r.busy(b)), cmp.Compare(maxLayers(b, m), maxLayers(a, m)))
	})
	return list
}

func (r *repairing) busy(w Worker) int {
	if _, busy := r.held[w.Name]; busy {
		return 1
	}
	return 0
}

// fill gives the layers of a gap to the workers with the most room that can be spared, and returns
// the ranges that they got.
func (r *repairing) fill(m Model, gap layer.Range, needed []layer.Range) ([]layer.Range, bool) {
	var chosen []Worker
	left := gap.Len()
	taken := map[string]bool{}
	for left > 0 {
		w, ok := r.nextMover(m, left, needed, taken)
		if !ok {
			return nil, false
		}
		taken[w.Name] = true
		chosen = append(chosen, w)
		left -= maxLayers(w, m)
		r.take(w.Name)
	}
	ranges := cut(gap, chosen, m)
	for i, layers := range ranges {
		r.assign(Assignment{Worker: chosen[i].Name, Model: m.Name, Layers: layers})
	}
	return ranges, true
}

// nextMover returns the worker to use next for a gap: one without layers if there is one; else, of
// those that can hold all that is left, the one that is missed least; else the one with the most room.
func (r *repairing) nextMover(m Model, left int, needed []layer.Range, taken map[string]bool) (Worker, bool) {
	var best Worker
	bestRoom, bestLoss := 0, math.Inf(1)
	for _, w := range r.byRoom(m) {
		room := min(maxLayers(w, m), left)
		if room == 0 || taken[w.Name] || room < bestRoom || !r.spare(w, m, needed) {
			continue
		}
		if r.busy(w) == 0 {
			return w, true
		}
		if loss := r.loss(w); room > bestRoom || loss < bestLoss {
			best, bestRoom, bestLoss = w, room, loss
		}
	}
	return best, bestRoom > 0
}

// spare reports whether every model that is covered stays covered without the worker, and the
// needed ranges of m stay held.
func (r *repairing) spare(w Worker, m Model, needed []layer.Range) bool {
	a, busy := r.held[w.Name]
	if !busy {
		return true
	}
	if r.holders[a.Model][a.Layers] > 1 {
		return true
	}
	if a.Model == m.Name {
		return !slices.Contains(needed, a.Layers)
	}
	other, _ := r.model(a.Model)
	if r.through(other) == 0 {
		return true
	}
	r.take(w.Name)
	defer r.put(a)
	return r.through(other) > 0
}

// loss returns the worker's part of the rate of its range.
func (r *repairing) loss(w Worker) float64 {
	a := r.held[w.Name]
	return r.rate(a) / r.rates[a.Model][a.Layers]
}

// cut divides a gap among workers, as equally as their room allows. The workers' room together is
// at least the gap.
func cut(gap layer.Range, workers []Worker, m Model) []layer.Range {
	slices.SortStableFunc(workers, func(a, b Worker) int { return cmp.Compare(maxLayers(a, m), maxLayers(b, m)) })
	ranges := make([]layer.Range, len(workers))
	at := gap.First
	for i, w := range workers {
		left := len(workers) - i
		length := min(maxLayers(w, m), (gap.End-at+left-1)/left)
		ranges[i] = layer.Range{First: at, End: at + length}
		at += length
	}
	return ranges
}
