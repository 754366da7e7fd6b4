package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

const (
	// wantedShare is the part of a fresh plan's throughput up to which Repair moves workers that
	// hold layers. Each move costs a load and the KV caches of the worker.
	wantedShare = 0.9
	// replanShare is the part below which a repaired plan is given up for a fresh one: single moves
	// can get stuck far from the best, for example after most of the hardware was replaced.
	replanShare = 0.5
	// leastGain is the relative gain in throughput that a move must bring.
	leastGain = 0.01
)

// Move gives a worker other layers.
type Move struct {
	Worker string
	From   Assignment // From has no worker if the worker held nothing that can be kept.
	To     Assignment
}

// Repair returns a plan for the workers that are left and those that joined, and the moves that
// lead to it. Assignments of the old plan stay, apart from the fewest moves that close the gaps in
// each model and then bring the throughput to 90% of a fresh plan's.
func (p *Planner) Repair(old Plan, workers []Worker, models []Model) (Plan, []Move) {
	fresh := p.Plan(workers, models)
	r := newRepairing(old, workers, models)
	if len(r.held) == 0 || !r.cover() {
		return fresh, r.moves(fresh.Assignments)
	}
	r.placeFree()
	r.raise(fresh.Throughput * wantedShare)
	if r.throughput() < fresh.Throughput*replanShare {
		return fresh, r.moves(fresh.Assignments)
	}
	assignments := r.assignments()
	return Plan{Assignments: assignments, Throughput: r.throughput(), Bound: fresh.Bound, LimitedBy: fresh.LimitedBy}, r.moves(assignments)
}

// unequal returns a plan whose ranges differ in length with the workers' room. It serves where no
// tier of equal ranges covers a model.
func unequal(workers []Worker, models []Model) []Assignment {
	r := newRepairing(Plan{}, workers, models)
	if !r.cover() {
		return nil
	}
	r.placeFree()
	return r.assignments()
}

// repairing is the state of one repair.
type repairing struct {
	workers []Worker // workers are sorted by rate, highest first, then by name.
	models  []Model
	kept    map[string]Assignment // kept is what could be kept of the old plan.
	held    map[string]Assignment // held is the plan in the making.
	rates   map[string]flows      // rates are the token rates of held, kept up to date by put and take.
	holders map[string]map[layer.Range]int
	flow    map[string]float64 // flow holds the flows through the models that did not change since they were computed.
	ranges  map[string][]layer.Range
	byName  map[string]Worker
}

func newRepairing(old Plan, workers []Worker, models []Model) *repairing {
	r := &repairing{
		workers: slices.Clone(workers), models: models,
		kept: map[string]Assignment{}, held: map[string]Assignment{}, ranges: map[string][]layer.Range{},
		rates: map[string]flows{}, holders: map[string]map[layer.Range]int{}, flow: map[string]float64{},
		byName: workersByName(workers),
	}
	for _, m := range models {
		r.rates[m.Name], r.holders[m.Name] = flows{}, map[layer.Range]int{}
	}
	slices.SortFunc(r.workers, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	for _, a := range old.Assignments {
		w, known := r.byName[a.Worker]
		m, placed := r.model(a.Model)
		if !placed || !a.Layers.Valid() || a.Layers.End > m.Layers {
			continue
		}
		r.addRange(a)
		if known && a.Layers.Len() <= maxLayers(w, m) {
			r.kept[a.Worker] = a
			r.put(a)
		}
	}
	return r
}

func (r *repairing) model(name string) (Model, bool) {
	i := slices.IndexFunc(r.models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return r.models[i], true
}

func (r *repairing) addRange(a Assignment) {
	if !slices.Contains(r.ranges[a.Model], a.Layers) {
		r.ranges[a.Model] = append(r.ranges[a.Model], a.Layers)
	}
}

func (r *repairing) assign(a Assignment) {
	r.put(a)
	r.addRange(a)
}

// put replaces what the worker holds.
func (r *repairing) put(a Assignment) {
	r.take(a.Worker)
	delete(r.flow, a.Model)
	r.held[a.Worker] = a
	r.holders[a.Model][a.Layers]++
	r.rates[a.Model][a.Layers] += r.rate(a)
}

// take takes the worker's layers away and returns them.
func (r *repairing) take(worker string) (Assignment, bool) {
	a, busy := r.held[worker]
	if !busy {
		return a, false
	}
	delete(r.held, worker)
	delete(r.flow, a.Model)
	r.holders[a.Model][a.Layers]--
	r.rates[a.Model][a.Layers] -= r.rate(a)
	if r.holders[a.Model][a.Layers] == 0 {
		delete(r.rates[a.Model], a.Layers)
	}
	return a, true
}

func (r *repairing) rate(a Assignment) float64 {
	m, _ := r.model(a.Model)
	return tokenRate(r.byName[a.Worker], m, a.Layers.Len())
}

// assignments returns the plan in the making, in the order of workers.
func (r *repairing) assignments() []Assignment {
	list := make([]Assignment, 0, len(r.held))
	for _, w := range r.workers {
		if a, ok := r.held[w.Name]; ok {
			list = append(list, a)
		}
	}
	return list
}

func (r *repairing) throughput() float64 {
	_, least := r.bottleneck()
	return least
}

// bottleneck returns the model with the least flow for its share, and the throughput that it allows.
func (r *repairing) bottleneck() (Model, float64) {
	least, model := math.Inf(1), Model{}
	for i, share := range shares(r.models) {
		if value := r.through(r.models[i]) / share; value < least {
			least, model = value, r.models[i]
		}
	}
	return model, least
}

func (r *repairing) through(m Model) float64 {
	value, known := r.flow[m.Name]
	if !known {
		value = r.rates[m.Name].through(m.Layers)
		r.flow[m.Name] = value
	}
	return value
}

// moves compares assignments with what could be kept.
func (r *repairing) moves(assignments []Assignment) []Move {
	var moves []Move
	for _, a := range assignments {
		if from := r.kept[a.Worker]; from != a {
			moves = append(moves, Move{Worker: a.Worker, From: from, To: a})
		}
	}
	return moves
}

// placeFree gives each worker without layers the range that raises the throughput most or, where
// none does, the range with the least rate for its model's share.
func (r *repairing) placeFree() {
	for _, w := range r.workers {
		if _, busy := r.held[w.Name]; busy {
			continue
		}
		if a, _ := r.bestFor(w, r.models); a.Worker != "" {
			r.assign(a)
		}
	}
}

// bestFor returns the best assignment of the worker to one of the models, and the throughput with it.
func (r *repairing) bestFor(w Worker, models []Model) (best Assignment, value float64) {
	before, had := r.take(w.Name)
	least := 0.0
	for _, m := range models {
		for _, layers := range r.ranges[m.Name] {
			if layers.Len() > maxLayers(w, m) {
				continue
			}
			a := Assignment{Worker: w.Name, Model: m.Name, Layers: layers}
			rate := r.rates[m.Name][layers] / shareOf(m)
			r.put(a)
			with := r.throughput()
			r.take(w.Name)
			if best.Worker == "" || with > value*(1+leastGain) || with > value*(1-leastGain) && rate < least {
				best, value, least = a, with, rate
			}
		}
	}
	if had {
		r.put(before)
	}
	return best, value
}

// raise moves one worker after the other, each time the one that gains most, until the throughput
// is as wanted or no move gains.
func (r *repairing) raise(wanted float64) {
	for range r.workers {
		// Only a move to the model that limits the throughput can raise it.
		limiting, now := r.bottleneck()
		if now >= wanted {
			return
		}
		var best Assignment
		value := now * (1 + leastGain)
		for _, w := range r.representatives() {
			if a, with := r.bestFor(w, []Model{limiting}); with > value {
				best, value = a, with
			}
		}
		if best.Worker == "" {
			return
		}
		r.assign(best)
	}
}

// representatives returns one of the workers of each hardware that hold the same layers, since
// moving any of them has the same effect.
func (r *repairing) representatives() []Worker {
	type class struct {
		memory     int64
		rate, link float64
		held       Assignment
	}
	seen := map[class]bool{}
	var list []Worker
	for _, w := range r.workers {
		held := r.held[w.Name]
		held.Worker = ""
		c := class{w.Memory, w.Rate, w.Link, held}
		if !seen[c] {
			seen[c] = true
			list = append(list, w)
		}
	}
	return list
}
