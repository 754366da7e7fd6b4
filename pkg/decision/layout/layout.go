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
	// roomUnit is the difference between two of them.
	roomUnit = 0.1
	// homeWeight is how much more a replica in the same data centre counts than one elsewhere.
	homeWeight = 2.0
)

// replicaGoals are the numbers of replicas wanted, in the order in which they are tried. Three let each layer
// outlive a loss while another holder restarts.
var replicaGoals = []float64{3, 2, 1.2}

// Order tells a target to hold layers.
type Order struct {
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

// Sizes returns the number of layers that a target of each accelerator should hold: the fewest that leave the
// engine's capacity free for requests, or more layers and less room where the fleet has too few targets.
func (p *Planner) Sizes(targets []target.Target) map[string]int {
	counts := make(map[string]int)
	for _, t := range targets {
		if t.Accepting() {
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
	perLayer := float64(p.engine.LayerBytes) + room*float64(p.engine.Capacity)*float64(p.engine.CacheBytes)/float64(p.engine.Layers)
	for kind := range counts {
		n := int(float64(p.engine.Accelerators[kind].Bytes) / perLayer)
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
// or was last ordered to hold.
func (p *Planner) Plan(targets []target.Target) []Order {
	sizes := p.Sizes(targets)
	cover := newCoverage(p.engine.Layers)
	var empty []target.Target
	for _, t := range targets {
		switch {
		case !t.Accepting():
		case t.Layers.Valid():
			cover.add(t.DataCentre, t.Layers, 1)
		case sizes[t.Accelerator] > 0:
			empty = append(empty, t)
		}
	}
	slices.SortFunc(empty, func(a, b target.Target) int {
		return cmp.Or(cmp.Compare(sizes[b.Accelerator], sizes[a.Accelerator]), cmp.Compare(a.Name, b.Name))
	})
	var orders []Order
	for _, t := range empty {
		layers := cover.weakest(t.DataCentre, sizes[t.Accelerator])
		cover.add(t.DataCentre, layers, 1)
		orders = append(orders, Order{Target: t, Layers: layers})
	}
	return append(orders, p.restore(targets, sizes, cover)...)
}

// restore moves targets to layers without a holder: one for a layer that no target holds anywhere, and one in each
// data centre that could hold all layers and does not. Only targets whose layers others hold as well are moved, first
// those in the same data centre.
func (p *Planner) restore(targets []target.Target, sizes map[string]int, cover *coverage) []Order {
	var orders []Order
	moved := make(map[string]bool)
	for _, centre := range cover.names() {
		home := cover.centres[centre]
		hole, open := firstHole(home)
		if !open || p.within(targets, sizes, centre) < p.engine.Layers {
			continue
		}
		if o, ok := p.move(targets, sizes, hole, moved, func(t target.Target) int {
			if t.DataCentre != centre {
				return 0
			}
			return spare(home, t.Layers)
		}); ok {
			cover.add(centre, o.Target.Layers, -1)
			cover.add(centre, o.Layers, 1)
			orders = append(orders, o)
		}
	}
	if hole, open := firstHole(cover.all); open {
		o, ok := p.move(targets, sizes, hole, moved, func(t target.Target) int { return spare(cover.all, t.Layers) })
		if ok {
			orders = append(orders, o)
		}
	}
	return orders
}

// within is the number of layers that the targets of a data centre hold together.
func (p *Planner) within(targets []target.Target, sizes map[string]int, centre string) int {
	total := 0
	for _, t := range targets {
		if t.Accepting() && t.DataCentre == centre {
			total += sizes[t.Accelerator]
		}
	}
	return total
}

// move returns the order that moves the most dispensable target to a hole. The function tells how dispensable one is;
// 0 means that it must stay.
func (p *Planner) move(targets []target.Target, sizes map[string]int, hole int, moved map[string]bool, spare func(target.Target) int) (Order, bool) {
	var best Order
	bestSpare := 0
	for _, t := range targets {
		size := sizes[t.Accelerator]
		if !t.Accepting() || !t.Layers.Valid() || size == 0 || moved[t.Name] {
			continue
		}
		if n := spare(t); n > bestSpare {
			first := min(hole, p.engine.Layers-size)
			best, bestSpare = Order{Target: t, Layers: layer.Range{First: first, End: first + size}}, n
		}
	}
	if bestSpare > 0 {
		moved[best.Target.Name] = true
	}
	return best, bestSpare > 0
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

// names returns the data centres in order.
func (c *coverage) names() []string {
	return slices.Sorted(maps.Keys(c.centres))
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

// spare is the least number of other holders of any of the layers.
func spare(counts []int, r layer.Range) int {
	least := math.MaxInt
	for l := r.First; l < min(r.End, len(counts)); l++ {
		least = min(least, counts[l]-1)
	}
	return least
}
