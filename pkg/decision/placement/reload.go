package placement

import (
	"slices"
	"time"
)

// Load is one assignment to be loaded from the weight store. The times count from the start of reloading.
type Load struct {
	Assignment Assignment
	Bytes      int64
	Start      time.Duration
	End        time.Duration
	Throughput float64 // Throughput is what is possible in tokens/s once the load has ended.
}

// ScheduleLoads orders the loading of the plan's assignments that are not loaded, so that the layers that
// unblock most throughput for their loading time come first. Loads run side by side while the sum
// of their rates stays within storeRate bytes/s, each at its worker's link speed at most. The loads
// are returned in the order in which they end.
func (p *Planner) ScheduleLoads(plan Plan, loaded []Assignment, workers []Target, models []Model, storeRate float64) []Load {
	r := newReloading(plan, loaded, workers, models, storeRate)
	var loads []Load
	for len(r.missing) > 0 {
		for _, a := range r.next() {
			loads = append(loads, Load{Assignment: a, Bytes: r.bytes(a)})
			r.add(a)
		}
	}
	r.schedule(loads)
	r.restart(loads)
	for i := range loads {
		r.add(loads[i].Assignment)
		loads[i].Throughput = r.value()
	}
	return loads
}

// reloading is the state of the ordering.
type reloading struct {
	workers map[string]Target
	models  map[string]Model
	order   []Model
	rates   map[string]flows
	present []Assignment
	missing []Assignment
	store   float64
}

func newReloading(plan Plan, loaded []Assignment, workers []Target, models []Model, storeRate float64) *reloading {
	r := &reloading{
		workers: workersByName(workers),
		models:  map[string]Model{},
		order:   models,
		store:   storeRate,
	}
	for _, m := range models {
		r.models[m.Name] = m
	}
	for _, a := range plan.Assignments {
		if slices.Contains(loaded, a) {
			r.present = append(r.present, a)
			continue
		}
		r.missing = append(r.missing, a)
	}
	r.rates = ratesOf(r.present, workers, models)
	return r
}

func (r *reloading) bytes(a Assignment) int64 {
	return int64(a.Layers.Len()) * r.models[a.Model].LayerBytes
}

// loadRate returns the highest rate in bytes/s at which the assignment can be loaded.
func (r *reloading) loadRate(a Assignment) float64 {
	if link := r.workers[a.Target].Link; link > 0 {
		return min(r.store, link)
	}
	return r.store
}

func (r *reloading) rate(a Assignment) float64 {
	return tokenRate(r.workers[a.Target], r.models[a.Model], a.Layers.Len())
}

func (r *reloading) add(a Assignment) {
	r.rates[a.Model][a.Layers] += r.rate(a)
	r.missing = slices.DeleteFunc(r.missing, func(other Assignment) bool { return other == a })
}

// value returns the throughput over all models of what is loaded: the sum, so that each model
// counts even while another has none.
func (r *reloading) value() float64 {
	sum := 0.0
	for _, m := range r.order {
		sum += r.rates[m.Name].through(m.Layers)
	}
	return sum
}

// next returns what to load next: the assignment with the highest gain or, where no
// single one helps, the set that opens a way through a model.
func (r *reloading) next() []Assignment {
	var best []Assignment
	bestGain := 0.0
	for _, candidate := range r.candidates() {
		if gain := r.gain(candidate); gain > bestGain {
			best, bestGain = candidate, gain
		}
	}
	if best == nil {
		return r.missing[:1:1]
	}
	return best
}

// candidates returns, for each range, its fastest missing assignment, and for each model the set
// of the fastest of every weakest range.
func (r *reloading) candidates() [][]Assignment {
	var candidates [][]Assignment
	for _, m := range r.order {
		fastest := r.fastest(m.Name)
		for _, a := range fastest {
			candidates = append(candidates, []Assignment{a})
		}
		if set := r.opening(m, fastest); len(set) > 1 {
			candidates = append(candidates, set)
		}
	}
	return candidates
}

// fastest returns the fastest missing assignment of each range of the model.
func (r *reloading) fastest(model string) []Assignment {
	var list []Assignment
	for _, a := range r.missing {
		if a.Model != model {
			continue
		}
		i := slices.IndexFunc(list, func(other Assignment) bool { return other.Layers == a.Layers })
		switch {
		case i < 0:
			list = append(list, a)
		case r.rate(a) > r.rate(list[i]):
			list[i] = a
		}
	}
	return list
}

// opening returns the smallest part of list, in bytes, that gives the model a higher flow when
// taken together: all of list, less each assignment that is not needed.
func (r *reloading) opening(m Model, list []Assignment) []Assignment {
	before := r.rates[m.Name].through(m.Layers)
	set := slices.Clone(list)
	slices.SortFunc(set, func(a, b Assignment) int { return int(r.bytes(b) - r.bytes(a)) })
	for _, a := range slices.Clone(set) {
		without := slices.DeleteFunc(slices.Clone(set), func(other Assignment) bool { return other == a })
		if r.flowWith(m, without) > before+1e-9 {
			set = without
		}
	}
	return set
}

// flowWith returns the model's flow with further assignments.
func (r *reloading) flowWith(m Model, more []Assignment) float64 {
	rates := flows{}
	for ranges, rate := range r.rates[m.Name] {
		rates[ranges] = rate
	}
	for _, a := range more {
		rates[a.Layers] += r.rate(a)
	}
	return rates.through(m.Layers)
}

// gain returns the added flow for each second of loading.
func (r *reloading) gain(set []Assignment) float64 {
	m := r.models[set[0].Model]
	total := 0.0
	for _, a := range set {
		total += float64(r.bytes(a)) / r.loadRate(a)
	}
	added := r.flowWith(m, set) - r.rates[m.Name].through(m.Layers)
	if added < 1e-9 {
		return 0
	}
	return added / max(total, 1e-9)
}
