// Package path chooses the targets that a request passes through, so that every layer of the model runs once and in
// order.
//
// Targets hold contiguous, overlapping ranges of layers. A path is a walk: from layer p any target that holds p may
// run the layers up to the end of its range. The walk with the least estimated time is found by dynamic programming
// over layer boundaries and data centres. The estimate counts the passes of each token, the reading of the prompt,
// the way between data centres, and how full a target's memory is, since memory rather than arithmetic limits the
// requests that run at once. A random factor on each target keeps instances that know the same from choosing the
// same path.
//
// Usage:
//
//	finder := path.New(engine, targets)
//	loads := ... // of each of finder.Targets()
//	p, err := finder.Find(random, path.Request{To: engine.Layers, Prompt: 700, Answer: 140, DataCentre: "lj-a", Loads: loads})
package path

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

var (
	namespace = errorx.NewNamespace("path")
	// Uncovered is the type of errors of requests for which a layer has no holder.
	Uncovered = namespace.NewType("uncovered")
	// NoCapacity is the type of errors of requests for which no walk has room.
	NoCapacity = namespace.NewType("full")
)

const (
	// pipeWeight multiplies the time that a request takes the pipe between two data centres. All requests share it,
	// one after another, so that each waits for those before it.
	pipeWeight = 60
	// entryCost is added, in seconds, for a path that begins in another data centre.
	entryCost = 0.15
)

// Stage is a target and the layers that a request runs on it.
type Stage struct {
	Target target.Target
	Layers layer.Range
}

// Path is a walk over the layers of a model.
type Path []Stage

// Complete reports whether the path runs each of the layers once, in order, and no target twice.
func (p Path) Complete(layers int) bool {
	next := 0
	seen := make(map[string]bool, len(p))
	for _, part := range p {
		if part.Layers.First != next || !part.Layers.Valid() || !part.Target.Layers.Contains(part.Layers) || seen[part.Target.Name] {
			return false
		}
		seen[part.Target.Name] = true
		next = part.Layers.End
	}
	return next == layers
}

// String returns the parts with their data centres, such as "w1@lj-a[0,16) w2@lj-a[16,80)".
func (p Path) String() string {
	parts := make([]string, len(p))
	for i, part := range p {
		parts[i] = part.Target.Name + "@" + part.Target.DataCentre + part.Layers.String()
	}
	return strings.Join(parts, " ")
}

// Crossings counts the changes of data centre on the way.
func (p Path) Crossings() int {
	n := 0
	for i := 1; i < len(p); i++ {
		if p[i].Target.DataCentre != p[i-1].Target.DataCentre {
			n++
		}
	}
	return n
}

// Contains reports whether the path passes through the target.
func (p Path) Contains(name string) bool {
	for _, part := range p {
		if part.Target.Name == name {
			return true
		}
	}
	return false
}

// TargetAt returns the target with the address.
func (p Path) TargetAt(address netip.AddrPort) (target.Target, bool) {
	for _, part := range p {
		if part.Target.Address == address {
			return part.Target, true
		}
	}
	return target.Target{}, false
}

// Load is what is known of the load of a target.
type Load struct {
	KVCells  int64   // Cells is the memory in use, in tokens times layers.
	Streams  int     // Streams counts the requests that pass through the target.
	Slowdown float64 // Slow multiplies the target's times; 0 means 1.
}

// Request is what a path is wanted for.
type Request struct {
	From, To     int // From and To bound the layers, To exclusive.
	PromptTokens int // Prompt is the number of tokens to read first.
	OutputTokens int // Answer is the expected number of answer tokens.
	DataCentre   string
	Loads        []Load // Loads are those of the finder's targets, in their order; none means idle targets.
	Excluded     func(name string) bool
	// FirstAllowed restricts the targets of the first part, if it is set.
	FirstAllowed func(name string) bool
}

// Finder finds paths among the targets of one model. It is immutable and safe for concurrent use: a list of targets needs
// one finder, however many requests come.
type Finder struct {
	engine  *catalogue.Engine
	targets []*target.Target
	speeds  []speed // speeds are those of the targets.
	centres []string
	centre  []int   // centre is the index of each target's data centre.
	at      [][]int // at lists the targets that hold each layer.
	begins  []bool  // begins marks the layers at which a part can begin, since another can end before it.
}

// New returns a finder for the targets that hold layers and accept work.
func New(engine *catalogue.Engine, targets []*target.Target) *Finder {
	f := &Finder{engine: engine, at: make([][]int, engine.Layers), begins: make([]bool, engine.Layers+1)}
	speeds := make(map[shape]speed)
	for _, t := range targets {
		if !t.AcceptsRequests() || !t.Layers.Valid() || t.Layers.End > engine.Layers {
			continue
		}
		for l := t.Layers.First; l < t.Layers.End; l++ {
			f.at[l] = append(f.at[l], len(f.targets))
		}
		f.begins[t.Layers.End] = true
		f.targets = append(f.targets, t)
		of := shape{accelerator: t.Accelerator, layers: t.Layers.Len()}
		if _, known := speeds[of]; !known {
			speeds[of] = speedOf(engine, of)
		}
		f.speeds = append(f.speeds, speeds[of])
		f.centre = append(f.centre, f.centreOf(t.DataCentre))
	}
	return f
}

// Targets returns the targets that paths may pass through. The caller does not change the list.
func (f *Finder) Targets() []*target.Target { return f.targets }

func (f *Finder) centreOf(name string) int {
	for i, c := range f.centres {
		if c == name {
			return i
		}
	}
	f.centres = append(f.centres, name)
	return len(f.centres) - 1
}

// step is the best continuation from a layer, for a request that comes from a data centre.
type step struct {
	cost   float64
	target int
}

// Find returns the path with the least estimated time.
func (f *Finder) Find(r *rand.Rand, q Request) (Path, error) {
	estimates := f.estimates(r, q)
	centres := len(f.centres)
	best := make([]step, (q.To+1)*centres)
	for i := range q.To * centres {
		best[i] = step{cost: math.Inf(1), target: -1}
	}
	entry, between := f.ways(q)
	for l := q.To - 1; l >= q.From; l-- {
		if l != q.From && !f.begins[l] {
			continue
		}
		ways := between
		if l == 0 {
			ways = entry
		}
		for _, i := range f.at[l] {
			if l == q.From && q.FirstAllowed != nil && !q.FirstAllowed(f.targets[i].Name) {
				continue
			}
			f.extend(best, &estimates[i], ways, q, l, i)
		}
	}
	return f.walk(best, estimates, q)
}

// extend tries to go on from layer l with a target.
func (f *Finder) extend(best []step, e *estimate, ways []float64, q Request, l, i int) {
	centres := len(f.centres)
	end := min(f.targets[i].Layers.End, q.To)
	rest := 0.0
	if end < q.To {
		rest = best[end*centres+f.centre[i]].cost
	}
	if math.IsInf(rest, 1) {
		return
	}
	cost := e.cost(end-l) + rest
	for from := range centres {
		total := cost + ways[from*centres+f.centre[i]]
		if at := &best[l*centres+from]; total < at.cost {
			*at = step{cost: total, target: i}
		}
	}
}

// ways returns the costs of the ways between the data centres. Activations take those between layers; the entry to the
// first layer is taken by the request and its answer only.
func (f *Finder) ways(q Request) (entry, between []float64) {
	centres := len(f.centres)
	entry, between = make([]float64, centres*centres), make([]float64, centres*centres)
	pipe := pipeWeight * f.engine.TransferTime(q.PromptTokens+q.OutputTokens).Seconds()
	for from := range centres {
		for to := range centres {
			if from != to {
				entry[from*centres+to] = entryCost
				between[from*centres+to] = pipe + f.engine.Delay(f.centres[from], f.centres[to]).Seconds()*float64(q.OutputTokens)
			}
		}
	}
	return entry, between
}

// walk follows the best steps from the first layer.
func (f *Finder) walk(best []step, estimates []estimate, q Request) (Path, error) {
	var p Path
	centres := len(f.centres)
	from := -1
	for i, c := range f.centres {
		if c == q.DataCentre {
			from = i
		}
	}
	for l := q.From; l < q.To; {
		s := f.first(best, l, from, centres)
		if s.target < 0 {
			return nil, f.missing(estimates, q)
		}
		t := f.targets[s.target]
		end := min(t.Layers.End, q.To)
		p = append(p, Stage{Target: *t, Layers: layer.Range{First: l, End: end}})
		l, from = end, f.centre[s.target]
	}
	return p, nil
}

// first returns the best step from a layer; an unknown data centre counts as any.
func (f *Finder) first(best []step, l, from, centres int) step {
	if from >= 0 {
		return best[l*centres+from]
	}
	found := step{cost: math.Inf(1), target: -1}
	for c := range centres {
		if s := best[l*centres+c]; s.cost < found.cost {
			found = s
		}
	}
	return found
}

// missing tells a layer without a holder from a lack of room.
func (f *Finder) missing(estimates []estimate, q Request) error {
	for l := q.From; l < q.To; l++ {
		held := false
		for _, i := range f.at[l] {
			held = held || estimates[i].factor > 0
		}
		if !held {
			return Uncovered.New("no target holds layer %d", l)
		}
	}
	return NoCapacity.New("no path over layers %d to %d has room for %d tokens", q.From, q.To, q.PromptTokens+q.OutputTokens)
}
