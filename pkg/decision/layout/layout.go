// Package layout decides which layers of a model each target holds.
//
// It weighs replicas against memory for requests: each layer that a target holds takes memory that requests could
// use, and each replica lets the model outlive the loss of a target. It answers the load of a fleet whose targets
// come, crash and leave one by one: the plan changes in small steps, each of which fills the range that is held
// least, first in the target's own data centre, so that whole walks exist within a data centre and the loss of one
// leaves the others serving. A target that serves is moved only to restore a layer that nothing else can hold.
//
// Usage:
//
//	planner := layout.New(engine)
//	for _, order := range planner.Plan(targets) {
//		... // Order the target to hold order.Layers.
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
	// roomSteps is the number of shares of the engine's capacity that are tried as memory for requests.
	roomSteps = 9
	// leastRoom is the fewest steps of room for which a data centre takes more layers than others to hold them all.
	leastRoom = 4
	// roomUnit is the difference between two of them.
	roomUnit = 0.1
	// homeWeight is how much more a replica in the same data centre counts than one elsewhere.
	homeWeight = 2.0
)

// replicaGoals are the numbers of replicas wanted, in the order in which they are tried. Three let each layer
// outlive a loss while another holder restarts.
var replicaGoals = []float64{3, 2, 1.2}

// Assignment tells a target to hold layers.
type Assignment struct {
	Target target.Target
	Layers layer.Range
}

// Planner plans the layers of one model.
type Planner struct {
	engine *catalogue.Engine
}

// New returns a planner for a model.
func New(engine *catalogue.Engine) *Planner {
	return &Planner{engine: engine}
}

// LayersPerTarget returns the number of layers that a target of each accelerator should hold: the fewest that leave the
// engine's capacity free for requests, or more layers and less room where the fleet has too few targets.
func (p *Planner) LayersPerTarget(targets []target.Target) map[string]int {
	counts := make(map[string]int)
	for _, t := range targets {
		if t.AcceptsRequests() {
			counts[t.Accelerator]++
		}
	}
	for _, goal := range replicaGoals {
		for step := roomSteps; step > 0; step-- {
			sizes := p.sizesAt(counts, float64(step)*roomUnit)
			if p.replicas(counts, sizes) >= goal {
				return sizes
			}
		}
	}
	return p.sizesAt(counts, roomUnit/2)
}

// sizesAt leaves room for a share of the engine's capacity on each target.
func (p *Planner) sizesAt(counts map[string]int, room float64) map[string]int {
	sizes := make(map[string]int, len(counts))
	perLayer := float64(p.engine.LayerBytes) + room*float64(p.engine.KVCapacity)*float64(p.engine.KVBytesPerToken)/float64(p.engine.Layers)
	for kind := range counts {
		n := int(float64(p.engine.Accelerators[kind].MemoryBytes) / perLayer)
		sizes[kind] = min(n, p.engine.MaxLayers(kind))
	}
	return sizes
}

func (p *Planner) replicas(counts, sizes map[string]int) float64 {
	total := 0
	for kind, n := range counts {
		total += n * sizes[kind]
	}
	return float64(total) / float64(p.engine.Layers)
}

// Plan returns the orders that bring the targets closer to the plan. The layers of a target are those that it holds
// or was last ordered to hold. Returning counts the targets of each data centre that were lost a moment ago and may
// come back: layers are not dealt out anew there, since the returning target takes its old place.
func (p *Planner) Plan(targets []target.Target, returning map[string]int) []Assignment {
	global := p.LayersPerTarget(targets)
	cover := newCoverage(p.engine.Layers)
	centres := make(map[string]*centre)
	for _, t := range targets {
		if !t.AcceptsRequests() {
			continue
		}
		c := centres[t.DataCentre]
		if c == nil {
			c = &centre{name: t.DataCentre, home: cover.home(t.DataCentre)}
			centres[t.DataCentre] = c
		}
		if t.Layers.Valid() {
			cover.add(t.DataCentre, t.Layers, 1)
			c.placed = append(c.placed, t)
		} else {
			c.empty = append(c.empty, t)
		}
	}
	var orders []Assignment
	for _, name := range slices.Sorted(maps.Keys(centres)) {
		c := centres[name]
		c.sizes = p.centreSizes(c, global)
		c.whole = c.capacity() >= p.engine.Layers
		orders = append(orders, p.fill(c, cover)...)
	}
	for _, name := range slices.Sorted(maps.Keys(centres)) {
		c := centres[name]
		if _, open := firstHole(c.home); !open || !c.whole {
			continue
		}
		moved := p.move(c, cover)
		if len(moved) == 0 && returning[name] == 0 {
			moved = p.deal(c)
		}
		orders = append(orders, moved...)
	}
	if len(orders) == 0 {
		orders = p.rescue(centres, cover)
	}
	return orders
}

// centre is what is known of a data centre's targets.
type centre struct {
	name   string
	placed []target.Target
	empty  []target.Target
	sizes  map[string]int // sizes are the layers of a target, by accelerator.
	whole  bool           // whole means that the targets can hold all layers together.
	home   []int          // home counts the holders of each layer.
}

// capacity is the number of layers that the targets hold together.
func (c *centre) capacity() int {
	total := 0
	for _, list := range [][]target.Target{c.placed, c.empty} {
		for _, t := range list {
			total += c.sizes[t.Accelerator]
		}
	}
	return total
}

// centreSizes returns the sizes of a data centre: those of the fleet, or larger ones where these would let it hold all
// layers.
func (p *Planner) centreSizes(c *centre, global map[string]int) map[string]int {
	c.sizes = global
	if c.capacity() >= p.engine.Layers {
		return global
	}
	counts := make(map[string]int)
	for _, list := range [][]target.Target{c.placed, c.empty} {
		for _, t := range list {
			counts[t.Accelerator]++
		}
	}
	for step := roomSteps; step >= leastRoom; step-- {
		sizes := p.sizesAt(counts, float64(step)*roomUnit)
		if c.sizes = sizes; c.capacity() >= p.engine.Layers {
			return sizes
		}
	}
	return global
}

// fill places the targets without layers: the larger ones first, each at the first layer that its data centre lacks.
func (p *Planner) fill(c *centre, cover *coverage) []Assignment {
	slices.SortFunc(c.empty, func(a, b target.Target) int {
		return cmp.Or(cmp.Compare(c.sizes[b.Accelerator], c.sizes[a.Accelerator]), cmp.Compare(a.Name, b.Name))
	})
	var orders []Assignment
	for _, t := range c.empty {
		size := c.sizes[t.Accelerator]
		if size == 0 {
			continue
		}
		layers := cover.weakest(c.name, size)
		if hole, open := firstHole(c.home); open && c.whole {
			layers = cover.over(c.home, hole, size)
		}
		cover.add(c.name, layers, 1)
		orders = append(orders, Assignment{Target: t, Layers: layers})
	}
	return orders
}

// move closes the first hole of a data centre with a target whose layers others there hold as well.
func (p *Planner) move(c *centre, cover *coverage) []Assignment {
	hole, _ := firstHole(c.home)
	best, found := c.dispensable(holeLength(c.home, hole), c.home)
	if !found {
		return nil
	}
	layers := cover.over(c.home, hole, c.sizes[best.Accelerator])
	cover.add(c.name, best.Layers, -1)
	cover.add(c.name, layers, 1)
	return []Assignment{{Target: best, Layers: layers}}
}

// dispensable returns a target all of whose layers have other holders: the one whose size fits a hole best.
func (c *centre) dispensable(hole int, counts []int) (target.Target, bool) {
	var best target.Target
	bestMisfit, found := 0, false
	for _, t := range c.placed {
		misfit := c.sizes[t.Accelerator] - hole
		if misfit < 0 {
			misfit = -2 * misfit // A hole that stays open is worse than layers held twice.
		}
		if spare(counts, t.Layers) > 0 && (!found || misfit < bestMisfit) {
			best, bestMisfit, found = t, misfit, true
		}
	}
	return best, found
}

// deal closes the holes of a data centre by dealing its layers out anew, in the order in which its targets hold them,
// so that each gives up and loads as little as possible.
func (p *Planner) deal(c *centre) []Assignment {
	placed := slices.Clone(c.placed)
	slices.SortFunc(placed, func(a, b target.Target) int {
		return cmp.Or(cmp.Compare(a.Layers.First, b.Layers.First), cmp.Compare(a.Layers.End, b.Layers.End), cmp.Compare(a.Name, b.Name))
	})
	spareLayers := -p.engine.Layers
	for _, t := range placed {
		spareLayers += c.sizes[t.Accelerator]
	}
	var orders []Assignment
	next := 0
	for _, t := range placed {
		size := c.sizes[t.Accelerator]
		if size == 0 {
			continue
		}
		first := max(min(next, p.engine.Layers-size), 0)
		if overlap := min(t.Layers.First, first); next-overlap <= spareLayers && overlap < first && t.Layers.End-overlap <= size {
			// What overlaps the one before costs nothing while there are layers to spare.
			first = overlap
			spareLayers -= next - overlap
		}
		layers := layer.Range{First: first, End: first + size}
		next = max(next, layers.End)
		if layers != t.Layers {
			orders = append(orders, Assignment{Target: t, Layers: layers})
		}
	}
	return orders
}

// rescue moves one target, from any data centre, to a layer that no target holds at all.
func (p *Planner) rescue(centres map[string]*centre, cover *coverage) []Assignment {
	hole, open := firstHole(cover.all)
	if !open {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(centres)) {
		c := centres[name]
		if best, found := c.dispensable(holeLength(cover.all, hole), cover.all); found {
			return []Assignment{{Target: best, Layers: cover.over(cover.all, hole, c.sizes[best.Accelerator])}}
		}
	}
	return nil
}

// coverage counts the holders of each layer.
type coverage struct {
	all     []int
	centres map[string][]int
}

func newCoverage(layers int) *coverage {
	return &coverage{all: make([]int, layers), centres: make(map[string][]int)}
}

func (c *coverage) add(centre string, r layer.Range, n int) {
	home := c.home(centre)
	for l := r.First; l < min(r.End, len(c.all)); l++ {
		c.all[l] += n
		home[l] += n
	}
}

func (c *coverage) home(centre string) []int {
	home := c.centres[centre]
	if home == nil {
		home = make([]int, len(c.all))
		c.centres[centre] = home
	}
	return home
}

// weakest returns the range of that size whose layers gain most from one more holder in the data centre.
func (c *coverage) weakest(centre string, size int) layer.Range {
	home := c.home(centre)
	gains := make([]float64, len(c.all))
	for l := range c.all {
		held := 1 + homeWeight*float64(home[l]) + float64(c.all[l])
		gains[l] = 1 / (held * held)
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

// over returns the range of that size that covers a hole from its first layer on. What is left beyond the hole lies on
// the side that is held less.
func (c *coverage) over(counts []int, hole, size int) layer.Range {
	end := hole + holeLength(counts, hole)
	first := min(hole, len(counts)-size)
	if end-hole < size && end < len(counts) && hole > 0 && counts[hole-1] < counts[end] {
		first = max(end-size, 0)
	}
	first = max(first, 0)
	return layer.Range{First: first, End: min(first+size, len(counts))}
}

// firstHole returns the first layer without a holder.
func firstHole(counts []int) (int, bool) {
	for l, n := range counts {
		if n == 0 {
			return l, true
		}
	}
	return 0, false
}

// holeLength is the number of layers without a holder from one on.
func holeLength(counts []int, from int) int {
	end := from
	for end < len(counts) && counts[end] == 0 {
		end++
	}
	return end - from
}

// spare is the least number of other holders of any of the layers.
func spare(counts []int, r layer.Range) int {
	least := math.MaxInt
	for l := r.First; l < min(r.End, len(counts)); l++ {
		least = min(least, counts[l]-1)
	}
	return least
}
