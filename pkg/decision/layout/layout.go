// Package layout decides which layers of a model each target holds.
//
// A holder of a layer is a target that holds it, and each holder has one replica of the layer. A gap is a sequence of
// layers without a holder, either in one data centre or in the fleet.
//
// The plan weighs replicas against KV cache: each layer that a target holds takes memory that requests could use, and
// each replica lets the model survive the loss of a target. Targets join, crash and leave one at a time, so the plan
// changes in small steps. Each step covers the layers with the fewest replicas, first in the target's own data centre,
// so that complete paths exist within a data centre and the loss of one data centre leaves the others serving. A target
// that serves is reassigned only to close a gap in its data centre or in the fleet.
//
// Usage:
//
//	planner := layout.New(engine)
//	for _, a := range planner.Plan(targets, nil) {
//		... // Make a.Target load a.Layers.
//	}
package layout

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// reserveSteps is the number of KV cache reserves that are tried. A reserve is the memory that a target keeps free
	// for the KV cache of its layers.
	reserveSteps = 9
	// minLocalReserveSteps is the smallest reserve with which the targets of a data centre hold more layers each than
	// the rest of the fleet, so that the data centre covers the model on its own.
	minLocalReserveSteps = 4
	// reserveStep is the difference between two reserves, as a fraction of the engine's KV capacity.
	reserveStep = 0.1
	// localReplicaWeight is the weight of a replica in the same data centre relative to one elsewhere.
	localReplicaWeight = 2.0
)

// replicaGoals are the wanted numbers of replicas of the model, in the order in which they are tried. With three, each
// layer survives the loss of a holder while another one restarts.
var replicaGoals = []float64{3, 2, 1.2}

// Assignment is the layer range that a target is to hold.
type Assignment struct {
	Target target.Target
	Layers layer.Range
}

// Planner plans the layers of one model.
type Planner struct {
	engine *catalogue.Engine
	wanted map[string]float64 // wanted holds the wanted numbers of replicas of the data centres that are to have spares.
}

// Option configures a Planner.
type Option func(*Planner)

// WithReplicas sets the numbers of replicas that data centres should hold. Further targets stay without layers, as spares, unless a layer has no
// holder. Without this option, and in other data centres, all targets get layers.
func WithReplicas(wanted map[string]float64) Option {
	return func(p *Planner) { p.wanted = wanted }
}

// New returns a planner for a model.
func New(engine *catalogue.Engine, options ...Option) *Planner {
	p := &Planner{engine: engine}
	for _, o := range options {
		o(p)
	}
	return p
}

// LayersPerTarget returns the number of layers that a target of each accelerator should hold. For each of replicaGoals
// in order, it tries the reserves from the largest to the smallest, and returns the first result with which the fleet
// holds that many replicas. In a small fleet, the targets therefore hold more layers each and reserve less memory for
// the KV cache. A fleet that is too small for all goals gets half of the smallest reserve.
func (p *Planner) LayersPerTarget(targets []target.Target) map[string]int {
	counts := make(map[string]int)
	for _, t := range targets {
		if t.AcceptsRequests() {
			counts[t.Accelerator]++
		}
	}
	for _, goal := range replicaGoals {
		for step := reserveSteps; step > 0; step-- {
			sizes := p.sizesFor(counts, float64(step)*reserveStep)
			if p.replicas(counts, sizes) >= goal {
				return sizes
			}
		}
	}
	return p.sizesFor(counts, reserveStep/2)
}

// sizesFor returns the number of layers per target, by accelerator, that leaves memory for that fraction of the engine's
// KV capacity.
func (p *Planner) sizesFor(counts map[string]int, reserve float64) map[string]int {
	sizes := make(map[string]int, len(counts))
	perLayer := float64(p.engine.LayerBytes) + reserve*float64(p.engine.KVCapacity)*float64(p.engine.KVBytesPerToken)/float64(p.engine.Layers)
	for kind := range counts {
		n := int(float64(p.engine.Accelerators[kind].MemoryBytes) / perLayer)
		sizes[kind] = min(n, p.engine.MaxLayers(kind))
	}
	return sizes
}

// replicas returns how many replicas of the model the targets hold together.
func (p *Planner) replicas(counts, sizes map[string]int) float64 {
	total := 0
	for kind, n := range counts {
		total += n * sizes[kind]
	}
	return float64(total) / float64(p.engine.Layers)
}

// Plan returns the next assignments, or none if the targets already match the plan. The Layers of each target must be
// those that the target holds or was last assigned. A target that names layers beyond the model's is left out, since no
// path can use it. The map returning counts, by data centre, the dead targets that may still restart. A data centre with
// such targets is not repartitioned, since a restarted target gets its former layers back.
func (p *Planner) Plan(targets []target.Target, returning map[string]int) []Assignment {
	targets = slices.DeleteFunc(slices.Clone(targets), func(t target.Target) bool { return t.Layers.End > p.engine.Layers })
	global := p.LayersPerTarget(targets)
	cover := newCoverage(p.engine.Layers)
	centres := make(map[string]*dataCentre)
	for _, t := range targets {
		if !t.AcceptsRequests() {
			continue
		}
		c := centres[t.DataCentre]
		if c == nil {
			c = &dataCentre{name: t.DataCentre, replicas: cover.local(t.DataCentre)}
			centres[t.DataCentre] = c
		}
		if t.Layers.Valid() {
			cover.add(t.DataCentre, t.Layers, 1)
			c.assigned = append(c.assigned, t)
		} else {
			c.empty = append(c.empty, t)
		}
	}
	var assignments []Assignment
	for _, name := range slices.Sorted(maps.Keys(centres)) {
		c := centres[name]
		c.sizes = p.localSizes(c, global)
		c.sufficient = c.capacity() >= p.engine.Layers
		assignments = append(assignments, p.fill(c, cover)...)
	}
	for _, name := range slices.Sorted(maps.Keys(centres)) {
		c := centres[name]
		if _, found := firstGap(c.replicas); !found || !c.sufficient {
			continue
		}
		changes := p.closeGap(c, cover)
		if len(changes) == 0 && returning[name] == 0 {
			changes = p.repartition(c)
		}
		assignments = append(assignments, changes...)
	}
	if len(assignments) == 0 {
		assignments = p.restoreCoverage(centres, cover)
	}
	return assignments
}

// dataCentre is the state of one data centre's targets during a plan.
type dataCentre struct {
	name       string
	assigned   []target.Target // assigned are the targets with layers.
	empty      []target.Target // empty are the targets without layers.
	sizes      map[string]int  // sizes is the number of layers per target, by accelerator.
	sufficient bool            // sufficient reports whether the targets can hold all layers together.
	replicas   []int           // replicas counts the local holders of each layer.
}

// capacity is the number of layers that the targets can hold together.
func (c *dataCentre) capacity() int {
	total := 0
	for _, list := range [][]target.Target{c.assigned, c.empty} {
		for _, t := range list {
			total += c.sizes[t.Accelerator]
		}
	}
	return total
}

// held returns the number of replicas of the model that the targets hold together.
func (c *dataCentre) held() float64 {
	total := 0
	for _, n := range c.replicas {
		total += n
	}
	return float64(total) / float64(len(c.replicas))
}

// localSizes returns the number of layers per target in a data centre: that of the fleet, or a larger one with which
// the data centre covers all layers. It overwrites c.sizes with the numbers that it tries.
func (p *Planner) localSizes(c *dataCentre, global map[string]int) map[string]int {
	c.sizes = global
	if c.capacity() >= p.engine.Layers {
		return global
	}
	counts := make(map[string]int)
	for _, list := range [][]target.Target{c.assigned, c.empty} {
		for _, t := range list {
			counts[t.Accelerator]++
		}
	}
	for step := reserveSteps; step >= minLocalReserveSteps; step-- {
		sizes := p.sizesFor(counts, float64(step)*reserveStep)
		if c.sizes = sizes; c.capacity() >= p.engine.Layers {
			return sizes
		}
	}
	return global
}

// fill assigns layers to the targets without layers, the largest target first, and adds them to cover. Each assignment
// starts at the first gap if the data centre can hold all layers, and takes the least replicated layers otherwise.
func (p *Planner) fill(c *dataCentre, cover *coverage) []Assignment {
	slices.SortFunc(c.empty, func(a, b target.Target) int {
		return cmp.Or(cmp.Compare(c.sizes[b.Accelerator], c.sizes[a.Accelerator]), cmp.Compare(a.Name, b.Name))
	})
	var assignments []Assignment
	for _, t := range c.empty {
		size := c.sizes[t.Accelerator]
		if size == 0 {
			continue
		}
		gap, found := firstGap(c.replicas)
		if wanted, limited := p.wanted[c.name]; limited && !found && c.held() >= wanted {
			break // The rest are spares.
		}
		layers := cover.leastReplicated(c.name, size)
		if found && c.sufficient {
			layers = cover.rangeOver(c.replicas, gap, size)
		}
		cover.add(c.name, layers, 1)
		assignments = append(assignments, Assignment{Target: t, Layers: layers})
	}
	return assignments
}

// closeGap reassigns a target whose layers all have other holders in the data centre to the data centre's first gap, and
// updates cover.
func (p *Planner) closeGap(c *dataCentre, cover *coverage) []Assignment {
	gap, _ := firstGap(c.replicas)
	best, found := c.redundant(gapLength(c.replicas, gap), c.replicas)
	if !found {
		return nil
	}
	layers := cover.rangeOver(c.replicas, gap, c.sizes[best.Accelerator])
	cover.add(c.name, best.Layers, -1)
	cover.add(c.name, layers, 1)
	return []Assignment{{Target: best, Layers: layers}}
}

// redundant returns, of the targets whose layers all have other holders, the one whose number of layers is closest to the
// length of a gap. The number of holders of each layer is in counts.
func (c *dataCentre) redundant(length int, counts []int) (target.Target, bool) {
	var best target.Target
	bestMisfit, found := 0, false
	for _, t := range c.assigned {
		misfit := c.sizes[t.Accelerator] - length
		if misfit < 0 {
			misfit = -2 * misfit // Part of the gap stays open, which is worse than holding layers twice.
		}
		if minOtherHolders(counts, t.Layers) > 0 && (!found || misfit < bestMisfit) {
			best, bestMisfit, found = t, misfit, true
		}
	}
	return best, found
}

// repartition closes the gaps of a data centre by dividing all layers into new ranges. The order of the targets by layer
// stays the same, so that each target releases and loads as little as possible.
func (p *Planner) repartition(c *dataCentre) []Assignment {
	ordered := slices.Clone(c.assigned)
	slices.SortFunc(ordered, func(a, b target.Target) int {
		return cmp.Or(cmp.Compare(a.Layers.First, b.Layers.First), cmp.Compare(a.Layers.End, b.Layers.End), cmp.Compare(a.Name, b.Name))
	})
	spareLayers := -p.engine.Layers
	for _, t := range ordered {
		spareLayers += c.sizes[t.Accelerator]
	}
	var assignments []Assignment
	next := 0
	for _, t := range ordered {
		size := c.sizes[t.Accelerator]
		if size == 0 {
			continue
		}
		first := max(min(next, p.engine.Layers-size), 0)
		if overlap := min(t.Layers.First, first); next-overlap <= spareLayers && overlap < first && t.Layers.End-overlap <= size {
			// An overlap with the previous target costs nothing while there is capacity to spare.
			first = overlap
			spareLayers -= next - overlap
		}
		layers := layer.Range{First: first, End: first + size}
		next = max(next, layers.End)
		if layers != t.Layers {
			assignments = append(assignments, Assignment{Target: t, Layers: layers})
		}
	}
	return assignments
}

// restoreCoverage reassigns one redundant target of any data centre to the first gap of the fleet.
func (p *Planner) restoreCoverage(centres map[string]*dataCentre, cover *coverage) []Assignment {
	gap, found := firstGap(cover.all)
	if !found {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(centres)) {
		c := centres[name]
		if best, found := c.redundant(gapLength(cover.all, gap), cover.all); found {
			return []Assignment{{Target: best, Layers: cover.rangeOver(cover.all, gap, c.sizes[best.Accelerator])}}
		}
	}
	return nil
}

// coverage counts the holders of each layer, in the fleet and in each data centre.
type coverage struct {
	all     []int
	centres map[string][]int
}

func newCoverage(layers int) *coverage {
	return &coverage{all: make([]int, layers), centres: make(map[string][]int)}
}

// add adds n to the number of holders of the layers of r in a data centre and in the fleet.
func (c *coverage) add(centre string, r layer.Range, n int) {
	local := c.local(centre)
	for l := r.First; l < min(r.End, len(c.all)); l++ {
		c.all[l] += n
		local[l] += n
	}
}

// local returns the number of holders of each layer in a data centre. It creates the counts of a new data centre.
func (c *coverage) local(centre string) []int {
	local := c.centres[centre]
	if local == nil {
		local = make([]int, len(c.all))
		c.centres[centre] = local
	}
	return local
}

// leastReplicated returns the range of size layers that gain most from one more holder in the data centre.
func (c *coverage) leastReplicated(centre string, size int) layer.Range {
	local := c.local(centre)
	gains := make([]float64, len(c.all))
	for l := range c.all {
		replicas := 1 + localReplicaWeight*float64(local[l]) + float64(c.all[l])
		gains[l] = 1 / (replicas * replicas)
	}
	best, bestGain := 0, -1.0
	for first := 0; first+size <= len(c.all); first++ {
		gain := 0.0
		for l := first; l < first+size; l++ {
			gain += gains[l]
		}
		if gain > bestGain+1e-9 {
			best, bestGain = first, gain
		}
	}
	return layer.Range{First: best, End: best + size}
}

// rangeOver returns a range of size layers that covers the gap from the gap's first layer on. If the range is longer than
// the gap, it extends to the side with fewer holders.
func (c *coverage) rangeOver(counts []int, gap, size int) layer.Range {
	end := gap + gapLength(counts, gap)
	first := min(gap, len(counts)-size)
	if end-gap < size && end < len(counts) && gap > 0 && counts[gap-1] < counts[end] {
		first = max(end-size, 0)
	}
	first = max(first, 0)
	return layer.Range{First: first, End: min(first+size, len(counts))}
}

// firstGap returns the first layer of the first gap, and whether there is a gap.
func firstGap(counts []int) (int, bool) {
	for l, n := range counts {
		if n == 0 {
			return l, true
		}
	}
	return 0, false
}

// gapLength returns the number of consecutive layers without a holder, starting at layer from.
func gapLength(counts []int, from int) int {
	end := from
	for end < len(counts) && counts[end] == 0 {
		end++
	}
	return end - from
}

// minOtherHolders returns the smallest number of holders of a layer of r, not counting one that holds all of them.
func minOtherHolders(counts []int, r layer.Range) int {
	least := math.MaxInt
	for l := r.First; l < min(r.End, len(counts)); l++ {
		least = min(least, counts[l]-1)
	}
	return least
}
