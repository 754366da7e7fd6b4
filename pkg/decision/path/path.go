// Package path chooses the targets that a request passes through, so that every layer of the model runs once and in
// order.
//
// Targets hold contiguous, overlapping ranges of layers. A path consists of stages: a stage is one target and the layers
// that the request runs there. A target that holds layer l may run a stage from l to the end of the target's range,
// where the next stage begins.
//
// The path with the lowest estimated time is found by dynamic programming over layer boundaries and data centres. The
// estimate consists of the steps of the output tokens, the prefill, the transfer between data centres and the KV cache
// utilization of the targets, since memory rather than compute limits the number of concurrent requests. A random
// factor for each target keeps instances with the same information from choosing the same path.
//
// The KV cache is measured in KV cells. A KV cell is the KV cache of one token in one layer.
//
// Usage:
//
//	finder := path.New(engine, targets)
//	loads := ... // One for each of finder.Targets().
//	p, err := finder.Find(random, path.Request{
//		To: engine.Layers, PromptTokens: 700, OutputTokens: 140, DataCentre: "lj-a", Loads: loads,
//	})
package path

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

var (
	namespace = errorx.NewNamespace("path")
	// Uncovered is the type of errors of requests with a layer that none of the allowed targets holds.
	Uncovered = namespace.NewType("uncovered")
	// NoCapacity is the type of errors of requests for which no path has enough free KV cache.
	NoCapacity = namespace.NewType("full")
)

const (
	// linkWeight multiplies the transfer time of a request on the link between two data centres. The link transfers the
	// requests one after another, so each request also waits for those before it.
	linkWeight = 60
	// remoteEntryCost is added, in seconds, for a path whose first target is not in the request's data centre.
	remoteEntryCost = 0.15
)

// Stage is a target and the layers that a request runs on it.
type Stage struct {
	Target target.Target
	Layers layer.Range
}

// Path is a sequence of stages that runs the layers of a model in order.
type Path []Stage

// Complete reports whether the path runs each of the layers once, in order, and no target twice.
func (p Path) Complete(layers int) bool {
	next := 0
	seen := make(map[string]bool, len(p))
	for _, stage := range p {
		if stage.Layers.First != next || !stage.Layers.Valid() || !stage.Target.Layers.Contains(stage.Layers) || seen[stage.Target.Name] {
			return false
		}
		seen[stage.Target.Name] = true
		next = stage.Layers.End
	}
	return next == layers
}

// String returns the stages with their data centres, such as "w1@lj-a[0,16) w2@lj-a[16,80)".
func (p Path) String() string {
	stages := make([]string, len(p))
	for i, stage := range p {
		stages[i] = stage.Target.Name + "@" + stage.Target.DataCentre + stage.Layers.String()
	}
	return strings.Join(stages, " ")
}

// Crossings returns the number of cross-data-centre hops.
func (p Path) Crossings() int {
	n := 0
	for i := 1; i < len(p); i++ {
		if p[i].Target.DataCentre != p[i-1].Target.DataCentre {
			n++
		}
	}
	return n
}

// NewHops calls f with the data centres of each cross-data-centre hop of the path that is not between the same targets of
// the previous path.
func (p Path) NewHops(previous Path, f func(from, to string)) {
	for i := 1; i < len(p); i++ {
		from, to := p[i-1].Target, p[i].Target
		if from.DataCentre != to.DataCentre && !previous.hasHop(from.Name, to.Name) {
			f(from.DataCentre, to.DataCentre)
		}
	}
}

// hasHop reports whether the path passes from one target directly to another.
func (p Path) hasHop(from, to string) bool {
	for i := 1; i < len(p); i++ {
		if p[i-1].Target.Name == from && p[i].Target.Name == to {
			return true
		}
	}
	return false
}

// Contains reports whether the path passes through the target.
func (p Path) Contains(name string) bool {
	for _, stage := range p {
		if stage.Target.Name == name {
			return true
		}
	}
	return false
}

// TargetAt returns the target of the path that has the address, and whether there is one.
func (p Path) TargetAt(address netip.AddrPort) (target.Target, bool) {
	for _, stage := range p {
		if stage.Target.Address == address {
			return stage.Target, true
		}
	}
	return target.Target{}, false
}

// Load is the load that running requests put on a target.
type Load struct {
	KVCells  int64   // KVCells is the KV cache in use: tokens times layers.
	Streams  int     // Streams is the number of requests.
	Slowdown float64 // Slowdown multiplies the target's times; 0 means 1.
	// Unknown is set if the load that other instances put on the target is not known yet. Presumed is then an estimate of the KV cache that it
	// uses, which counts for the cost of the target only, not for the room that it has.
	Unknown  bool
	Presumed int64
}

// Request describes the request for which a path is needed.
type Request struct {
	From, To     int // From and To bound the layers, To exclusive.
	PromptTokens int // PromptTokens is the number of tokens to prefill.
	OutputTokens int // OutputTokens is the expected number of output tokens.
	// DataCentre is the data centre from which the request enters the path. If the finder has no target there, the path
	// may begin in any data centre.
	DataCentre string
	// MaxUtilization is the largest fraction of a target's KV cache that may be in use with the request; 0 means all.
	MaxUtilization float64
	// LinkAllowed reports whether the path may cross the link between two data centres. A nil function allows all.
	LinkAllowed func(from, to string) bool
	// Loads holds the loads of Finder.Targets, in the same order. Targets without an entry count as idle.
	Loads []Load
	// Excluded reports whether the path must not contain the target. A nil function excludes none.
	Excluded func(name string) bool
	// FirstAllowed reports whether the target may run the first stage. A nil function allows all.
	FirstAllowed func(name string) bool
}

// loadsUnknown reports whether the load of a target is not known.
func (q Request) loadsUnknown() bool {
	return slices.ContainsFunc(q.Loads, func(l Load) bool { return l.Unknown })
}

// Finder finds paths among the targets of one model. It is immutable and safe for concurrent use, so all requests can
// share one finder as long as the list of targets stays the same.
type Finder struct {
	engine        *catalogue.Engine
	targets       []*target.Target
	profiles      []profile // profiles holds the profile of each target.
	centres       []string  // centres holds the names of the data centres that have targets.
	centreIndexes []int     // centre holds the index in centres of each target's data centre.
	holders       [][]int   // holders lists, for each layer, the indexes of the targets that hold it.
	begins        []bool    // begins marks the layers at which a stage can begin because another one can end there.
}

// New returns a finder for those of the targets that hold layers of the model and accept requests.
func New(engine *catalogue.Engine, targets []*target.Target) *Finder {
	f := &Finder{engine: engine, holders: make([][]int, engine.Layers), begins: make([]bool, engine.Layers+1)}
	profiles := make(map[profileKey]profile)
	for _, t := range targets {
		if !t.AcceptsRequests() || !t.Layers.Valid() || t.Layers.End > engine.Layers {
			continue
		}
		for l := t.Layers.First; l < t.Layers.End; l++ {
			f.holders[l] = append(f.holders[l], len(f.targets))
		}
		f.begins[t.Layers.End] = true
		f.targets = append(f.targets, t)
		key := profileKey{accelerator: t.Accelerator, layers: t.Layers.Len()}
		if _, known := profiles[key]; !known {
			profiles[key] = newProfile(engine, key)
		}
		f.profiles = append(f.profiles, profiles[key])
		f.centreIndexes = append(f.centreIndexes, f.addCentre(t.DataCentre))
	}
	return f
}

// Targets returns the targets that paths may pass through. The returned list must not be changed.
func (f *Finder) Targets() []*target.Target { return f.targets }

// addCentre returns the index of a data centre in centres. It appends a data centre that is missing.
func (f *Finder) addCentre(name string) int {
	for i, c := range f.centres {
		if c == name {
			return i
		}
	}
	f.centres = append(f.centres, name)
	return len(f.centres) - 1
}

// hop is the best target for a stage that begins at a layer, for a request that comes from a data centre.
type hop struct {
	cost   float64 // cost is the estimated time, in seconds, from the transfer to the target up to the last layer.
	target int     // target is an index in Finder.targets, or -1 if no path continues from here.
}

// Find returns the path with the lowest estimated time. Its error is of type Uncovered or NoCapacity.
func (f *Finder) Find(r *rand.Rand, q Request) (Path, error) {
	estimates := f.estimates(r, q)
	centres := len(f.centres)
	best := make([]hop, (q.To+1)*centres)
	for i := range q.To * centres {
		best[i] = hop{cost: math.Inf(1), target: -1}
	}
	entry, between := f.transferCosts(q)
	for l := q.To - 1; l >= q.From; l-- {
		if l != q.From && !f.begins[l] {
			continue
		}
		transfer := between
		if l == 0 {
			transfer = entry
		}
		for _, i := range f.holders[l] {
			if l == q.From && q.FirstAllowed != nil && !q.FirstAllowed(f.targets[i].Name) {
				continue
			}
			f.relax(best, &estimates[i], transfer, q, l, i)
		}
	}
	return f.trace(best, estimates, q)
}

// relax replaces the best hops at layer l for which a stage on target i is cheaper.
func (f *Finder) relax(best []hop, e *estimate, transfer []float64, q Request, l, i int) {
	centres := len(f.centres)
	end := min(f.targets[i].Layers.End, q.To)
	rest := 0.0
	if end < q.To {
		rest = best[end*centres+f.centreIndexes[i]].cost
	}
	if math.IsInf(rest, 1) {
		return
	}
	cost := e.cost(end-l) + rest
	for from := range centres {
		total := cost + transfer[from*centres+f.centreIndexes[i]]
		if h := &best[l*centres+from]; total < h.cost {
			*h = hop{cost: total, target: i}
		}
	}
}

// transferCosts returns the costs of hops, in seconds, by the source and destination data centre. A hop between layers
// transfers activations; the entry to the first layer transfers only the request and its response.
func (f *Finder) transferCosts(q Request) (entry, between []float64) {
	centres := len(f.centres)
	entry, between = make([]float64, centres*centres), make([]float64, centres*centres)
	weight := 1.0
	if q.loadsUnknown() {
		weight = unknownSpread // A random factor of a target must not be a reason to leave the data centre.
	}
	link := weight * linkWeight * f.engine.TransferTime(q.PromptTokens+q.OutputTokens).Seconds()
	for from := range centres {
		for to := range centres {
			if from == to {
				continue
			}
			entry[from*centres+to] = weight * remoteEntryCost
			between[from*centres+to] = link + f.engine.Delay(f.centres[from], f.centres[to]).Seconds()*float64(q.OutputTokens)
			if q.LinkAllowed != nil && !q.LinkAllowed(f.centres[from], f.centres[to]) {
				between[from*centres+to] = math.Inf(1)
			}
		}
	}
	return entry, between
}

// trace returns the path along the best hops, starting at the request's first layer.
func (f *Finder) trace(best []hop, estimates []estimate, q Request) (Path, error) {
	var p Path
	centres := len(f.centres)
	from := -1
	for i, c := range f.centres {
		if c == q.DataCentre {
			from = i
		}
	}
	for l := q.From; l < q.To; {
		h := f.bestHop(best, l, from, centres)
		if h.target < 0 {
			return nil, f.noPath(estimates, q)
		}
		t := f.targets[h.target]
		end := min(t.Layers.End, q.To)
		p = append(p, Stage{Target: *t, Layers: layer.Range{First: l, End: end}})
		l, from = end, f.centreIndexes[h.target]
	}
	return p, nil
}

// bestHop returns the best hop at a layer for a request that comes from a data centre. If from is -1, the request may
// come from any, since no target is in the request's data centre.
func (f *Finder) bestHop(best []hop, l, from, centres int) hop {
	if from >= 0 {
		return best[l*centres+from]
	}
	found := hop{cost: math.Inf(1), target: -1}
	for c := range centres {
		if h := best[l*centres+c]; h.cost < found.cost {
			found = h
		}
	}
	return found
}

// noPath returns an Uncovered error if no allowed target holds one of the layers, and a NoCapacity error otherwise.
func (f *Finder) noPath(estimates []estimate, q Request) error {
	for l := q.From; l < q.To; l++ {
		held := false
		for _, i := range f.holders[l] {
			held = held || estimates[i].factor > 0
		}
		if !held {
			return Uncovered.New("no target holds layer %d", l)
		}
	}
	return NoCapacity.New("no path over layers %d to %d has KV cache for %d tokens", q.From, q.To, q.PromptTokens+q.OutputTokens)
}
