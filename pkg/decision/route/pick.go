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
	// affinityBound is the load, as a multiple of the group's mean, up to which the holder of a
	// prefix is considered.
	affinityBound = 1.25
	// affinitySlack lets the holder have one step more in a group that is nearly idle.
	affinitySlack = 1
	// promptBytesPerStep converts the length of a prompt into the cost of its prefill.
	promptBytesPerStep = 1024
	// sampleAttempts bounds the search for a random target in proportion to speed. With rates
	// spread eightfold, 2.4 attempts are needed on average.
	sampleAttempts = 16
	// apartHold ends the hold of an Apart request that was never released.
	apartHold = time.Minute
	// apartAttempts bounds the retries when Apart requests compete for the same targets.
	apartAttempts = 8
	// stackBoundaries is the number of layer boundaries up to which Pick works without allocating.
	stackBoundaries = 64
)

// choice is the best way found to reach a layer boundary.
type choice struct {
	cost  float64
	entry *entry
	from  int
}

// Pick returns the cheapest route for req. The error is a *NoRouteError if no permitted targets
// tile the model's layers.
func (p *Picker) Pick(r *rand.Rand, req Request) (Route, error) {
	s := p.current.Load()
	m, ok := s.models[req.Model]
	if !ok {
		return Route{}, &NoRouteError{Model: req.Model, Layers: req.Layers, Missing: []layer.Range{{First: 0, End: req.Layers}}}
	}
	for range apartAttempts {
		route, err := p.tile(r, s, m, &req)
		if err != nil || !req.Exclusive || hold(s, route, req.Now) {
			return route, err
		}
	}
	return Route{}, m.noRoute(&req)
}

// tile finds the cheapest tiling by dynamic programming over layer boundaries. Groups are sorted
// by the start of their range, so the best way to a start is final when a group is looked at.
func (p *Picker) tile(r *rand.Rand, s *snapshot, m *model, req *Request) (Route, error) {
	var fixed [stackBoundaries]choice
	best := fixed[:]
	if len(m.boundaries) > stackBoundaries {
		best = make([]choice, len(m.boundaries))
	}
	for i := range m.boundaries {
		best[i].cost = math.Inf(1)
	}
	best[0].cost = 0
	for _, g := range m.groups {
		if !g.serves(req) || math.IsInf(best[g.from].cost, 1) {
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
	return follow(best, end, req.Layers)
}

// follow collects the stages that lead to the boundary at end.
func follow(best []choice, end, layers int) (Route, error) {
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

func (g *group) serves(req *Request) bool {
	return (g.modelLayers == 0 || g.modelLayers == req.Layers) && g.layers.End <= req.Layers
}

// permits reports whether the request may use the target.
func (req *Request) permits(e *entry) bool {
	if req.Exclusive && e.load.apart.Load() > req.Now.UnixNano() {
		return false
	}
	return len(req.Excluded) == 0 || !slices.Contains(req.Excluded, e.target.Name)
}

// permitted returns the first target at or after the index that the request may use. The search
// ends after as many steps as there are excluded targets.
func (g *group) permitted(start int, req *Request) *entry {
	for i := range g.entries {
		e := g.entries[(start+i)%len(g.entries)]
		if req.permits(e) {
			return e
		}
	}
	return nil
}

// choose returns the target of the group to use and its cost, nil if the request excludes all.
func (p *Picker) choose(r *rand.Rand, s *snapshot, g *group, req *Request) (*entry, float64) {
	switch p.policy {
	case Random:
		return g.permitted(r.IntN(len(g.entries)), req), 1
	case RoundRobin:
		return g.permitted(int(g.stats.turn.Add(1)%uint64(len(g.entries))), req), 1
	case LeastOutstanding:
		return g.leastOutstanding(r.IntN(len(g.entries)), req), 1
	default:
		return g.earliest(r, s, req)
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

// earliest compares two random targets and the holder of the prefix.
func (g *group) earliest(r *rand.Rand, s *snapshot, req *Request) (*entry, float64) {
	cost := 1 + float64(req.PromptBytes)/promptBytesPerStep
	first := g.sample(r, req)
	if first == nil {
		return nil, math.Inf(1)
	}
	mean := g.meanUnit()
	best, finish := first, first.load.finish(cost, mean, req.Now)
	if second := g.sample(r, req); second != first {
		if f := second.load.finish(cost, mean, req.Now); f < finish {
			best, finish = second, f
		}
	}
	if e := g.prefixHolder(s, req); e != nil {
		if f := e.load.finish(1, mean, req.Now); f < finish {
			best, finish = e, f
		}
	}
	return best, finish
}

// sample returns a random target, nil if the request excludes all. A target is taken with a
// probability in proportion to its speed, because two uniform candidates can't bring a fast target
// more than 2/n of the requests: with rates spread eightfold, its part of the capacity is larger.
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

// prefixHolder returns the target that holds the request's prefix, unless it is loaded beyond the
// bound or excluded.
func (g *group) prefixHolder(s *snapshot, req *Request) *entry {
	if req.PrefixHash == 0 {
		return nil
	}
	e, ok := s.entries[g.stats.prefixes.find(req.PrefixHash)]
	if !ok || e.group != g || !req.permits(e) {
		return nil
	}
	if e.load.outstanding.load() > affinityBound*g.meanOutstanding()+affinitySlack {
		return nil
	}
	return e
}

// hold reserves the route's targets for an Apart request: all of them or none.
func hold(s *snapshot, route Route, now time.Time) bool {
	for i, stage := range route.Stages {
		l := s.entries[stage.Name].load
		old := l.apart.Load()
		if old <= now.UnixNano() && l.apart.CompareAndSwap(old, now.Add(apartHold).UnixNano()) {
			continue
		}
		for _, held := range route.Stages[:i] {
			s.entries[held.Name].load.apart.Store(0)
		}
		return false
	}
	return true
}

// noRoute says which layers are missing.
func (m *model) noRoute(req *Request) error {
	var held, permitted []layer.Range
	for _, g := range m.groups {
		if !g.serves(req) {
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
