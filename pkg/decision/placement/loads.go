package placement

import (
	"slices"
	"time"
)

// Load is an assignment to be loaded from the weight store. Start and End are relative to the start of
// the first load.
type Load struct {
	Assignment Assignment
	Bytes      int64
	Start      time.Duration
	End        time.Duration
	Throughput float64 // Throughput is the achievable rate in tokens/s once the load has ended.
}

// ScheduleLoads schedules the loading of the plan's assignments that are not yet loaded. Layers that
// unblock the most throughput relative to their loading time come first. Loads run in parallel while
// the sum of their rates stays within storeRate bytes/s, each at its target's link bandwidth at most.
// The loads are returned in the order in which they end.
func (p *Planner) ScheduleLoads(plan Plan, loaded []Assignment, targets []Target, models []Model, storeRate float64) []Load {
	r := newLoadScheduler(plan, loaded, targets, models, storeRate)
	var loads []Load
	for len(r.missing) > 0 {
		for _, a := range r.nextLoads() {
			loads = append(loads, Load{Assignment: a, Bytes: r.loadBytes(a)})
			r.markLoaded(a)
		}
	}
	r.schedule(loads)
	r.reset(loads)
	for i := range loads {
		r.markLoaded(loads[i].Assignment)
		loads[i].Throughput = r.totalFlow()
	}
	return loads
}

// loadScheduler is the state of one ScheduleLoads call.
type loadScheduler struct {
	targets    map[string]Target
	models     map[string]Model
	modelOrder []Model
	rates      map[string]rangeRates
	present    []Assignment // present are the assignments that are loaded from the start.
	missing    []Assignment // missing are the assignments that are not yet loaded.
	storeRate  float64      // storeRate is the weight store's rate in bytes/s.
}

func newLoadScheduler(plan Plan, loaded []Assignment, targets []Target, models []Model, storeRate float64) *loadScheduler {
	r := &loadScheduler{
		targets:    targetsByName(targets),
		models:     map[string]Model{},
		modelOrder: models,
		storeRate:  storeRate,
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
	r.rates = ratesByModel(r.present, targets, models)
	return r
}

func (r *loadScheduler) loadBytes(a Assignment) int64 {
	return int64(a.Layers.Len()) * r.models[a.Model].LayerBytes
}

// loadRate returns the highest rate in bytes/s at which the assignment can be loaded.
func (r *loadScheduler) loadRate(a Assignment) float64 {
	if link := r.targets[a.Target].Link; link > 0 {
		return min(r.storeRate, link)
	}
	return r.storeRate
}

func (r *loadScheduler) tokenRate(a Assignment) float64 {
	return tokenRate(r.targets[a.Target], r.models[a.Model], a.Layers.Len())
}

func (r *loadScheduler) markLoaded(a Assignment) {
	r.rates[a.Model][a.Layers] += r.tokenRate(a)
	r.missing = slices.DeleteFunc(r.missing, func(other Assignment) bool { return other == a })
}

// totalFlow returns the sum over all models of the throughput of the loaded layers. A sum lets each
// model count even while another has no throughput.
func (r *loadScheduler) totalFlow() float64 {
	sum := 0.0
	for _, m := range r.modelOrder {
		sum += r.rates[m.Name].maxFlow(m.Layers)
	}
	return sum
}

// nextLoads returns the assignments to load next: the single assignment, or the set that completes a path
// through a model, with the highest gain. If no candidate adds flow, it returns the first missing assignment.
func (r *loadScheduler) nextLoads() []Assignment {
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

// candidates returns the fastest missing assignment of each range and, for each model, the smallest
// set of these that adds flow when loaded together.
func (r *loadScheduler) candidates() [][]Assignment {
	var candidates [][]Assignment
	for _, m := range r.modelOrder {
		fastest := r.fastest(m.Name)
		for _, a := range fastest {
			candidates = append(candidates, []Assignment{a})
		}
		if set := r.smallestUnblockingSet(m, fastest); len(set) > 1 {
			candidates = append(candidates, set)
		}
	}
	return candidates
}

// fastest returns the fastest missing assignment of each range of the model.
func (r *loadScheduler) fastest(model string) []Assignment {
	var list []Assignment
	for _, a := range r.missing {
		if a.Model != model {
			continue
		}
		i := slices.IndexFunc(list, func(other Assignment) bool { return other.Layers == a.Layers })
		switch {
		case i < 0:
			list = append(list, a)
		case r.tokenRate(a) > r.tokenRate(list[i]):
			list[i] = a
		}
	}
	return list
}

// smallestUnblockingSet returns a subset of list, small in bytes, that raises the model's flow when
// loaded together. It starts from all of list and drops each assignment that is not needed, largest
// first.
func (r *loadScheduler) smallestUnblockingSet(m Model, list []Assignment) []Assignment {
	before := r.rates[m.Name].maxFlow(m.Layers)
	set := slices.Clone(list)
	slices.SortFunc(set, func(a, b Assignment) int { return int(r.loadBytes(b) - r.loadBytes(a)) })
	for _, a := range slices.Clone(set) {
		without := slices.DeleteFunc(slices.Clone(set), func(other Assignment) bool { return other == a })
		if r.flowWith(m, without) > before+1e-9 {
			set = without
		}
	}
	return set
}

// flowWith returns the model's flow with the additional assignments.
func (r *loadScheduler) flowWith(m Model, more []Assignment) float64 {
	rates := rangeRates{}
	for ranges, rate := range r.rates[m.Name] {
		rates[ranges] = rate
	}
	for _, a := range more {
		rates[a.Layers] += r.tokenRate(a)
	}
	return rates.maxFlow(m.Layers)
}

// gain returns the added flow per second of loading.
func (r *loadScheduler) gain(set []Assignment) float64 {
	m := r.models[set[0].Model]
	total := 0.0
	for _, a := range set {
		total += float64(r.loadBytes(a)) / r.loadRate(a)
	}
	added := r.flowWith(m, set) - r.rates[m.Name].maxFlow(m.Layers)
	if added < 1e-9 {
		return 0
	}
	return added / max(total, 1e-9)
}
