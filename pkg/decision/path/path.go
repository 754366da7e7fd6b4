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
//	finder := path.New(engine, holders)
//	p, err := finder.Find(random, path.Request{To: engine.Layers, Prompt: 700, Answer: 140, DataCentre: "lj-a"})
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
	// Full is the type of errors of requests for which no walk has room.
	Full = namespace.NewType("full")
)

const (
	// pipeWeight multiplies the time that a request takes the pipe between two data centres. All requests share it,
	// one after another, so that each waits for those before it.
	pipeWeight = 60
	// waitFactor is the time that a token waits at each target, in steps over all of the target's layers.
	waitFactor = 1.5
	// entryCost is added, in seconds, for a path that begins in another data centre.
	entryCost = 0.15
	// spreadFactor is how far the random factor of a target lies from 1.
	spreadFactor = 0.15
	// fullShare is the share of a target's memory up to which it takes requests, counted with their whole answers. A
	// request needs half of its answer's memory on average.
	fullShare = 1.0
	// noRoom is the memory share from which a target is avoided.
	noRoom = 0.6
	// pressure is the weight of the memory share above noRoom.
	pressure = 12.0
)

// Part is a target and the layers that a request runs on it.
type Part struct {
	Target target.Target
	Layers layer.Range
}

// Path is a walk over the layers of a model.
type Path []Part

// Whole reports whether the path runs each of the layers once, in order, and no target twice.
func (p Path) Whole(layers int) bool {
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

// Passes reports whether the path passes through the target.
func (p Path) Passes(name string) bool {
	for _, part := range p {
		if part.Target.Name == name {
			return true
		}
	}
	return false
}

// At returns the target with the address.
func (p Path) At(address netip.AddrPort) (target.Target, bool) {
	for _, part := range p {
		if part.Target.Address == address {
			return part.Target, true
		}
	}
	return target.Target{}, false
}

// Holder is a target with what is known of its load.
type Holder struct {
	Target  target.Target
	Cells   int64   // Cells is the memory in use, in tokens times layers.
	Streams int     // Streams counts the requests that pass through the target.
	Slow    float64 // Slow multiplies the target's times; 0 means 1.
}

// Request is what a path is wanted for.
type Request struct {
	From, To   int // From and To bound the layers, To exclusive.
	Prompt     int // Prompt is the number of tokens to read first.
	Answer     int // Answer is the expected number of answer tokens.
	DataCentre string
	Avoid      func(name string) bool
	// Start restricts the targets of the first part, if it is set.
	Start func(name string) bool
}

// Finder finds paths among the holders of one model. It is immutable and safe for concurrent use.
type Finder struct {
	engine  *catalogue.Engine
	holders []Holder
	centres []string
	centre  []int   // centre is the index of each holder's data centre.
	at      [][]int // at lists the holders of each layer.
}

// New returns a finder for the targets that hold layers and accept work.
func New(engine *catalogue.Engine, holders []Holder) *Finder {
	f := &Finder{engine: engine, at: make([][]int, engine.Layers)}
	for _, h := range holders {
		if !h.Target.Accepting() || !h.Target.Layers.Valid() || h.Target.Layers.End > engine.Layers {
			continue
		}
		for l := h.Target.Layers.First; l < h.Target.Layers.End; l++ {
			f.at[l] = append(f.at[l], len(f.holders))
		}
		f.holders = append(f.holders, h)
		f.centre = append(f.centre, f.centreOf(h.Target.DataCentre))
	}
	return f
}

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
	holder int
}

// Find returns the path with the least estimated time.
func (f *Finder) Find(r *rand.Rand, q Request) (Path, error) {
	factors := f.factors(r, q.Avoid)
	centres := len(f.centres)
	best := make([]step, (q.To+1)*centres)
	for i := range q.To * centres {
		best[i] = step{cost: math.Inf(1), holder: -1}
	}
	for l := q.To - 1; l >= q.From; l-- {
		for _, i := range f.at[l] {
			f.extend(best, factors, q, l, i)
		}
	}
	return f.walk(best, factors, q)
}

// factors draws the random factor of each holder; 0 marks those to avoid.
func (f *Finder) factors(r *rand.Rand, avoid func(string) bool) []float64 {
	factors := make([]float64, len(f.holders))
	for i := range f.holders {
		if avoid != nil && avoid(f.holders[i].Target.Name) {
			continue
		}
		factors[i] = 1 - spreadFactor + 2*spreadFactor*r.Float64()
	}
	return factors
}

// extend tries to go on from layer l with a holder.
func (f *Finder) extend(best []step, factors []float64, q Request, l, i int) {
	if factors[i] == 0 || l == q.From && q.Start != nil && !q.Start(f.holders[i].Target.Name) {
		return
	}
	centres := len(f.centres)
	end := min(f.holders[i].Target.Layers.End, q.To)
	rest := 0.0
	if end < q.To {
		rest = best[end*centres+f.centre[i]].cost
	}
	if math.IsInf(rest, 1) {
		return
	}
	cost := f.cost(i, layer.Range{First: l, End: end}, q)*factors[i] + rest
	for from := range centres {
		total := cost + f.way(from, f.centre[i], l, q)
		if at := &best[l*centres+from]; total < at.cost {
			*at = step{cost: total, holder: i}
		}
	}
}

// way is the cost of the way between two data centres before a layer. Activations take it, but for the way to the
// first layer, which only the request and its answer take.
func (f *Finder) way(from, to, l int, q Request) float64 {
	if from == to {
		return 0
	}
	if l == 0 {
		return entryCost
	}
	pipe := f.engine.TransferTime(q.Prompt + q.Answer).Seconds()
	return pipeWeight*pipe + f.engine.Delay(f.centres[from], f.centres[to]).Seconds()*float64(q.Answer)
}

// cost estimates the time, in seconds, that a request spends on a holder's layers.
func (f *Finder) cost(i int, layers layer.Range, q Request) float64 {
	h := &f.holders[i]
	kind := h.Target.Accelerator
	share := float64(layers.Len()) / float64(f.engine.Layers)
	pass := f.engine.StepTime(kind, layers).Seconds() +
		float64(h.Streams)*f.engine.PerSequence.Seconds()*f.engine.Accelerators[kind].StepFactor*share
	read := f.engine.ReadTime(kind, layers, q.Prompt).Seconds()
	// A token waits for the pass that is under way, which may run all of the holder's layers.
	wait := waitFactor * f.engine.StepTime(kind, h.Target.Layers).Seconds()
	cost := (pass+wait)*float64(q.Answer) + read*(1+float64(h.Streams))
	if h.Slow > 1 {
		cost *= h.Slow
	}
	total := f.engine.Cells(kind, h.Target.Layers.Len())
	need := int64(q.Prompt+q.Answer) * int64(layers.Len())
	if total <= 0 || float64(h.Cells+need) > fullShare*float64(total) {
		return math.Inf(1)
	}
	fill := float64(h.Cells+need) / float64(total)
	return cost * (1 + fill + pressure*max(fill-noRoom, 0))
}

// walk follows the best steps from the first layer.
func (f *Finder) walk(best []step, factors []float64, q Request) (Path, error) {
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
		if s.holder < 0 {
			return nil, f.missing(factors, q)
		}
		h := f.holders[s.holder]
		end := min(h.Target.Layers.End, q.To)
		p = append(p, Part{Target: h.Target, Layers: layer.Range{First: l, End: end}})
		l, from = end, f.centre[s.holder]
	}
	return p, nil
}

// first returns the best step from a layer; an unknown data centre counts as any.
func (f *Finder) first(best []step, l, from, centres int) step {
	if from >= 0 {
		return best[l*centres+from]
	}
	found := step{cost: math.Inf(1), holder: -1}
	for c := range centres {
		if s := best[l*centres+c]; s.cost < found.cost {
			found = s
		}
	}
	return found
}

// missing tells a layer without a holder from a lack of room.
func (f *Finder) missing(factors []float64, q Request) error {
	for l := q.From; l < q.To; l++ {
		held := false
		for _, i := range f.at[l] {
			held = held || factors[i] > 0
		}
		if !held {
			return Uncovered.New("no target holds layer %d", l)
		}
	}
	return Full.New("no path over layers %d to %d has room for %d tokens", q.From, q.To, q.Prompt+q.Answer)
}
