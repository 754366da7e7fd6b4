package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// affinityBound is the load, as a multiple of the group's mean, up to which the target that holds the
	// prompt's prefix is considered.
	affinityBound = 1.25
	// affinityAllowance lets the target that holds the prefix have one step more in a group that is nearly idle.
	affinityAllowance = 1
	// promptBytesPerStep converts the length of a prompt into the cost of its prefill.
	promptBytesPerStep = 1024
	// sampleAttempts bounds the rejection sampling of a target in proportion to its speed. With rates that differ by
	// a factor of up to eight, 2.4 attempts are needed on average.
	sampleAttempts = 16
	// exclusiveTimeout ends a reservation that ReleaseExclusive did not release.
	exclusiveTimeout = time.Minute
	// exclusiveAttempts bounds the retries when exclusive requests compete for the same targets.
	exclusiveAttempts = 8
	// maxStackBoundaries is the number of layer boundaries up to which Pick keeps its table of choices on the stack.
	maxStackBoundaries = 64
)

// choice is the cheapest known sequence of stages from layer 0 to a layer boundary.
type choice struct {
	cost  float64 // cost is the sum of the stages' costs as returned by choose.
	entry *entry  // entry is the last stage.
	from  int     // from is the index of the boundary at which the last stage starts.
}

// Pick returns the cheapest route for req, and reserves the targets of the route if req is exclusive. The error is a
// *NoRouteError if no permitted targets cover the layers of the model exactly once, or if other exclusive requests
// reserved the chosen targets in each of several attempts.
func (p *Picker) Pick(r *rand.Rand, req Request) (Route, error) {
	s := p.current.Load()
	m, ok := s.models[req.Model]
	if !ok {
		return Route{}, &NoRouteError{Model: req.Model, Layers: req.Layers, Missing: []layer.Range{{First: 0, End: req.Layers}}}
	}
	for range exclusiveAttempts {
		route, err := p.cheapestRoute(r, s, m, &req)
		if err != nil || !req.Exclusive || reserve(s, route, req.Now) {
			return route, err
		}
	}
	return Route{}, m.noRoute(&req)
}

// cheapestRoute finds the cheapest partition of the layers by dynamic programming over layer boundaries. Groups are
// sorted by the start of their range, so the cost of reaching a group's start is final when the group is visited.
func (p *Picker) cheapestRoute(r *rand.Rand, s *snapshot, m *model, req *Request) (Route, error) {
	var fixed [maxStackBoundaries]choice
	best := fixed[:]
	if len(m.boundaries) > maxStackBoundaries {
		best = make([]choice, len(m.boundaries))
	}
	for i := range m.boundaries {
		best[i].cost = math.Inf(1)
	}
	best[0].cost = 0
	for _, g := range m.groups {
		if !g.matches(req) || math.IsInf(best[g.from].cost, 1) {
			continue
		}
		e, cost := p.choose(r, s, g, req)
		if total := best[g.from].cost + cost; e != nil && total < best[g.to].cost {
			best[g.to] = choice{cost: total, entry: e, from: g.from}
		}
	}
	end, ok := slices.BinarySearch(m.boundaries, req.Layers)
	if !ok || math.IsInf(best[end].cost, 1) {
		return Route{}, m.noRoute(req)
	}
	return collectStages(best, end, req.Layers)
}

// collectStages returns the route whose stages lead to the boundary at end.
func collectStages(best []choice, end, layers int) (Route, error) {
	count := 0
	for at := end; at != 0; at = best[at].from {
		count++
	}
	stages := make([]target.Target, count)
	for at := end; at != 0; at = best[at].from {
		count--
		stages[count] = best[at].entry.target
	}
	return New(stages, layers)
}

// matches reports whether the group's range belongs to a model with the number of layers in the request. A group
// without a number of model layers matches any model that is large enough.
func (g *group) matches(req *Request) bool {
	return (g.modelLayers == 0 || g.modelLayers == req.Layers) && g.layers.End <= req.Layers
}

// permits reports whether the request may use the target.
func (req *Request) permits(e *entry) bool {
	if req.Exclusive && e.load.exclusiveUntil.Load() > req.Now.UnixNano() {
		return false
	}
	return len(req.Excluded) == 0 || !slices.Contains(req.Excluded, e.target.Name)
}

// permitted returns the first target at or after the index, cyclically, that the request may use, or nil if there is
// none. It skips only targets that the request excludes and, for an exclusive request, reserved ones.
func (g *group) permitted(start int, req *Request) *entry {
	for i := range g.entries {
		e := g.entries[(start+i)%len(g.entries)]
		if req.permits(e) {
			return e
		}
	}
	return nil
}

// choose returns the target of the group that the policy selects, or nil if the request may use none. The cost of the
// target is its estimated finish time in seconds under EstimatedFinish, and 1 under the other policies.
func (p *Picker) choose(r *rand.Rand, s *snapshot, g *group, req *Request) (*entry, float64) {
	switch p.policy {
	case Random:
		return g.permitted(r.IntN(len(g.entries)), req), 1
	case RoundRobin:
		return g.permitted(int(g.stats.nextIndex.Add(1)%uint64(len(g.entries))), req), 1
	case LeastOutstanding:
		return g.leastOutstanding(r.IntN(len(g.entries)), req), 1
	default:
		return g.earliestFinish(r, s, req)
	}
}

func (g *group) leastOutstanding(start int, req *Request) *entry {
	var least *entry
	for i := range g.entries {
		e := g.entries[(start+i)%len(g.entries)]
		if req.permits(e) && (least == nil || e.load.outstanding.load() < least.load.outstanding.load()) {
			least = e
		}
	}
	return least
}

// earliestFinish returns the target with the earliest estimated finish time, and that time in seconds. The candidates
// are two random targets and the target that holds the prefix.
func (g *group) earliestFinish(r *rand.Rand, s *snapshot, req *Request) (*entry, float64) {
	cost := 1 + float64(req.PromptBytes)/promptBytesPerStep
	first := g.sample(r, req)
	if first == nil {
		return nil, math.Inf(1)
	}
	mean := g.meanUnit()
	best, finish := first, first.load.estimateFinish(cost, mean, req.Now)
	if second := g.sample(r, req); second != first {
		if f := second.load.estimateFinish(cost, mean, req.Now); f < finish {
			best, finish = second, f
		}
	}
	if e := g.prefixHolder(s, req); e != nil {
		if f := e.load.estimateFinish(1, mean, req.Now); f < finish {
			best, finish = e, f
		}
	}
	return best, finish
}

// sample returns a random target, or nil if the request may use none. A target is sampled in proportion to its speed:
// of n targets, the fastest would get at most 2/n of the requests from two uniform candidates, and with rates that
// differ by a factor of up to eight its fraction of the capacity is larger.
func (g *group) sample(r *rand.Rand, req *Request) *entry {
	mean := g.meanUnit()
	fastest := g.fastestUnit(mean, req.Now)
	for range sampleAttempts {
		i := r.IntN(len(g.loads))
		unit := g.loads[i].unitTime(mean, req.Now) + g.loads[i].penalty(req.Now)
		if r.Float64()*unit < fastest && req.permits(g.entries[i]) {
			return g.entries[i]
		}
	}
	return g.permitted(r.IntN(len(g.entries)), req)
}

// prefixHolder returns the target that holds the request's prefix, or nil if no such target is known, or if the target
// is not permitted or is loaded beyond affinityBound.
func (g *group) prefixHolder(s *snapshot, req *Request) *entry {
	if req.PrefixHash == 0 {
		return nil
	}
	e, ok := s.entries[g.stats.prefixes.find(req.PrefixHash)]
	if !ok || e.group != g || !req.permits(e) {
		return nil
	}
	if e.load.outstanding.load() > affinityBound*g.meanOutstanding()+affinityAllowance {
		return nil
	}
	return e
}

// reserve reserves the route's targets for an exclusive request, either all of them or none.
func reserve(s *snapshot, route Route, now time.Time) bool {
	for i, stage := range route.Stages {
		l := s.entries[stage.Name].load
		old := l.exclusiveUntil.Load()
		if old <= now.UnixNano() && l.exclusiveUntil.CompareAndSwap(old, now.Add(exclusiveTimeout).UnixNano()) {
			continue
		}
		for _, held := range route.Stages[:i] {
			s.entries[held.Name].load.exclusiveUntil.Store(0)
		}
		return false
	}
	return true
}

// noRoute returns the error that names the layers that are not available.
func (m *model) noRoute(req *Request) error {
	var held, permitted []layer.Range
	for _, g := range m.groups {
		if !g.matches(req) {
			continue
		}
		held = append(held, g.layers)
		if g.permitted(0, req) != nil {
			permitted = append(permitted, g.layers)
		}
	}
	return &NoRouteError{
		Model:    req.Model,
		Layers:   req.Layers,
		Missing:  uncovered(held, req.Layers),
		Excluded: uncovered(permitted, req.Layers),
	}
}
