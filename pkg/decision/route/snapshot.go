package route

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// servicePrefix keeps the names of services apart from those of models.
const servicePrefix = "service/"

// groupSmoothing is the weight of one answer in a group's mean, which has the answers of all members.
const groupSmoothing = 0.05

// ServiceModel returns the model name under which the targets of a plain service are picked. Such
// a request has one layer.
func ServiceModel(service string) string {
	return servicePrefix + service
}

// entry is one target in a snapshot.
type entry struct {
	target target.Target
	load   *load
	group  *group
}

// group is the set of targets that hold one range of one model and accept new work.
type group struct {
	layers      layer.Range
	modelLayers int
	from, to    int // from and to are the indexes of the range's ends in model.boundaries.
	entries     []*entry
	loads       []*load // loads are those of entries, so that sampling touches no more memory than it needs.
	stats       *stats
}

// stats are the running totals of a group. They outlive snapshots.
type stats struct {
	work     float        // work is the sum of the members' outstanding work.
	unit     float        // unit is the smoothed time for a unit of cost over all members.
	fastest  float        // fastest is the least time for a unit of cost of a member.
	seen     atomic.Int64 // seen is when fastest was observed, in Unix nanoseconds.
	turn     atomic.Uint64
	prefixes prefixes
}

// meanOutstanding returns the mean of this instance's outstanding work over the members.
func (g *group) meanOutstanding() float64 {
	return max(0, g.stats.work.load()) / float64(max(1, len(g.entries)))
}

func (g *group) meanUnit() float64 {
	if unit := g.stats.unit.load(); unit > 0 {
		return unit
	}
	return defaultUnitTime.Seconds()
}

// fastestUnit returns the least time for a unit of cost, drawn towards the mean with age so that
// a fast target that has left is forgotten.
func (g *group) fastestUnit(mean float64, now time.Time) float64 {
	fastest := g.stats.fastest.load()
	if fastest == 0 {
		return mean
	}
	return drawn(fastest, mean, now.UnixNano()-g.stats.seen.Load())
}

// observe takes in a member's smoothed time for a unit of cost.
func (g *group) observe(unit float64, now time.Time) {
	old := g.stats.unit.load()
	if old == 0 {
		old = unit
	}
	mean := old + groupSmoothing*(unit-old)
	g.stats.unit.store(mean)
	if g.stats.fastest.load() == 0 || unit <= g.fastestUnit(mean, now) {
		g.stats.fastest.store(unit)
		g.stats.seen.Store(now.UnixNano())
	}
}

// model is the set of groups of one model, sorted by the start of their ranges.
type model struct {
	boundaries []int
	groups     []*group
}

// groupKey names a group across snapshots.
type groupKey struct {
	model       string
	modelLayers int
	layers      layer.Range
}

// snapshot is an immutable view of the targets.
type snapshot struct {
	entries map[string]*entry
	models  map[string]*model
	stats   map[groupKey]*stats
}

func normalise(t target.Target) target.Target {
	if t.Kind == target.Service {
		t.Model = ServiceModel(t.Service)
		t.ModelLayers = 1
		t.Layers = layer.Range{First: 0, End: 1}
	}
	return t
}

// newSnapshot builds the view of targets, and takes over the load of those that old knows.
func newSnapshot(targets []target.Target, old *snapshot) *snapshot {
	s := &snapshot{
		entries: make(map[string]*entry, len(targets)),
		models:  map[string]*model{},
		stats:   map[groupKey]*stats{},
	}
	groups := map[groupKey]*group{}
	for _, t := range targets {
		t = normalise(t)
		if !t.Layers.Valid() {
			continue
		}
		e := &entry{target: t, load: old.loadOf(t)}
		s.entries[t.Name] = e
		if t.AcceptsRequests() {
			s.join(e, groups, old)
		}
	}
	for _, m := range s.models {
		m.index()
	}
	sumWork(groups)
	return s
}

// loadOf returns the load of t, a new one if t is new or was replaced under the same name.
func (s *snapshot) loadOf(t target.Target) *load {
	if e, ok := s.entries[t.Name]; ok && e.target.Address == t.Address && e.target.Layers == t.Layers && e.target.Model == t.Model {
		return e.load
	}
	return newLoad()
}

func (s *snapshot) join(e *entry, groups map[groupKey]*group, old *snapshot) {
	key := groupKey{e.target.Model, e.target.ModelLayers, e.target.Layers}
	g, ok := groups[key]
	if !ok {
		g = &group{layers: key.layers, modelLayers: key.modelLayers, stats: old.statsOf(key)}
		groups[key] = g
		s.stats[key] = g.stats
		m, ok := s.models[key.model]
		if !ok {
			m = &model{}
			s.models[key.model] = m
		}
		m.groups = append(m.groups, g)
	}
	e.group = g
	g.entries = append(g.entries, e)
	g.loads = append(g.loads, e.load)
}

func (s *snapshot) statsOf(key groupKey) *stats {
	if known, ok := s.stats[key]; ok {
		return known
	}
	return &stats{}
}

// sumWork sets the groups' totals anew, which removes the drift of concurrent updates.
func sumWork(groups map[groupKey]*group) {
	for _, g := range groups {
		sum := 0.0
		for _, e := range g.entries {
			sum += e.load.outstanding.load()
		}
		g.stats.work.store(sum)
	}
}

// index sorts the groups and numbers the layer boundaries.
func (m *model) index() {
	slices.SortFunc(m.groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.layers.First, b.layers.First), cmp.Compare(a.layers.End, b.layers.End))
	})
	m.boundaries = append(m.boundaries, 0)
	for _, g := range m.groups {
		m.boundaries = append(m.boundaries, g.layers.First, g.layers.End)
	}
	slices.Sort(m.boundaries)
	m.boundaries = slices.Compact(m.boundaries)
	for _, g := range m.groups {
		g.from, _ = slices.BinarySearch(m.boundaries, g.layers.First)
		g.to, _ = slices.BinarySearch(m.boundaries, g.layers.End)
	}
}
