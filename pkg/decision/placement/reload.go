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

// Reload orders the loading of the plan's assignments that are not loaded, so that the layers that
// unblock most throughput for the bytes come first. Loads follow each other, since the weight store
// limits the sum of their rates to storeRate bytes/s.
func (p *Planner) Reload(plan Plan, loaded []Assignment, workers []Worker, models []Model, storeRate float64) []Load {
	r := newReloading(plan, loaded, workers, models)
	var loads []Load
	clock := time.Duration(0)
	for len(r.missing) > 0 {
		for _, a := range r.next() {
			load := Load{Assignment: a, Bytes: r.bytes(a), Start: clock}
			clock += r.duration(a, storeRate)
			load.End = clock
			r.add(a)
			load.Throughput = r.value()
			loads = append(loads, load)
		}
	}
	return loads
}

// reloading is the state of the ordering.
type reloading struct {
	workers map[string]Worker
	models  map[string]Model
	order   []Model
	shares  []float64
	rates   map[string]flows
	missing []Assignment
}

func newReloading(plan Plan, loaded []Assignment, workers []Worker, models []Model) *reloading {
	r := &reloading{
		workers: workersByName(workers),
		models:  map[string]Model{},
		order:   models,
		shares:  shares(models),
	}
	for _, m := range models {
		r.models[m.Name] = m
	}
	var present []Assignment
	for _, a := range plan.Assignments {
		if slices.Contains(loaded, a) {
			present = append(present, a)
			continue
		}
		r.missing = append(r.missing, a)
	}
	r.rates = ratesOf(present, workers, models)
	return r
}

func (r *reloading) bytes(a Assignment) int64 {
	return int64(a.Layers.Len()) * r.models[a.Model].LayerBytes
}

func (r *reloading) duration(a Assignment, storeRate float64) time.Duration {
	if link := r.workers[a.Worker].Link; link > 0 {
		storeRate = min(storeRate, link)
	}
	return time.Duration(float64(r.bytes(a)) / storeRate * float64(time.Second))
}

func (r *reloading) rate(a Assignment) float64 {
	return tokenRate(r.workers[a.Worker], r.models[a.Model], a.Layers.Len())
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

// next returns what to load next: the assignment with the highest gain for its bytes or, where no
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

// gain returns the added flow per byte.
func (r *reloading) gain(set []Assignment) float64 {
	m := r.models[set[0].Model]
	total := int64(0)
	for _, a := range set {
		total += r.bytes(a)
	}
	added := r.flowWith(m, set) - r.rates[m.Name].through(m.Layers)
	if added < 1e-9 {
		return 0
	}
	return added / float64(max(1, total))
}
