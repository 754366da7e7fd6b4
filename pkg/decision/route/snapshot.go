package route

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// servicePrefix keeps the names of services distinct from those of models.
const servicePrefix = "service/"

// groupSmoothing is the weight of one response in a group's mean unit time, which covers the responses of all members.
const groupSmoothing = 0.05

// ServiceModel returns the model name for the targets of a plain service. A request for it has one layer.
func ServiceModel(service string) string {
	return servicePrefix + service
}

// entry is one target in a snapshot. Its group is nil if the target does not accept requests.
type entry struct {
	target target.Target
	load   *load
	group  *group
}

// group is the set of targets that hold the same range of the same model and accept new work.
type group struct {
	layers      layer.Range
	modelLayers int
	from, to    int // from and to are the indexes of the range's ends in model.boundaries.
	entries     []*entry
	loads       []*load // loads are the loads of entries, stored separately to keep the memory that sampling reads small.
	stats       *groupStats
}

// groupStats are the totals and averages of a group. Successive snapshots share them.
type groupStats struct {
	outstanding atomicFloat   // outstanding is the sum of the members' outstanding work.
	unitTime    atomicFloat   // unitTime is the smoothed unit time over all members, in seconds.
	fastest     atomicFloat   // fastest is the shortest unit time of any member, in seconds.
	fastestAt   atomic.Int64  // fastestAt is when fastest was observed, in Unix nanoseconds.
	nextIndex   atomic.Uint64 // nextIndex counts the choices of the RoundRobin policy.
	prefixes    prefixes
}

// meanOutstanding returns the mean outstanding work of this instance for each member of the group.
func (g *group) meanOutstanding() float64 {
	return max(0, g.stats.outstanding.load()) / float64(max(1, len(g.entries)))
}

// meanUnit returns the mean unit time of the group in seconds.
func (g *group) meanUnit() float64 {
	if unit := g.stats.unitTime.load(); unit > 0 {
		return unit
	}
	return defaultUnitTime.Seconds()
}

// fastestUnit returns the shortest unit time of the group in seconds. The value decays with age towards the mean, so
// that a fast target that has left does not count for long.
func (g *group) fastestUnit(mean float64, now time.Time) float64 {
	fastest := g.stats.fastest.load()
	if fastest == 0 {
		return mean
	}
	return decayTowards(fastest, mean, now.UnixNano()-g.stats.fastestAt.Load())
}

// updateUnitTime updates the group's mean and shortest unit times from a member's smoothed unit time.
func (g *group) updateUnitTime(unit float64, now time.Time) {
	old := g.stats.unitTime.load()
	if old == 0 {
		old = unit
	}
	mean := old + groupSmoothing*(unit-old)
	g.stats.unitTime.store(mean)
	if g.stats.fastest.load() == 0 || unit <= g.fastestUnit(mean, now) {
		g.stats.fastest.store(unit)
		g.stats.fastestAt.Store(now.UnixNano())
	}
}

// model is the set of groups of one model, sorted by the start of their ranges.
type model struct {
	boundaries []int // boundaries are 0 and the ends of all groups' ranges, sorted and without duplicates.
	groups     []*group
}

// groupKey identifies a group across snapshots.
type groupKey struct {
	model       string
	modelLayers int
	layers      layer.Range
}

// snapshot is an immutable index of the targets by name, model and group. The loads and group statistics that it
// points to change.
type snapshot struct {
	entries map[string]*entry
	models  map[string]*model
	stats   map[groupKey]*groupStats
}

// normalise returns t, with the model fields of a one-layer model if t is a plain service.
func normalise(t target.Target) target.Target {
	if t.Kind == target.Service {
		t.Model = ServiceModel(t.Service)
		t.ModelLayers = 1
		t.Layers = layer.Range{First: 0, End: 1}
	}
	return t
}

// newSnapshot builds a snapshot of targets, and keeps the loads of those that are in old.
func newSnapshot(targets []target.Target, old *snapshot) *snapshot {
	s := &snapshot{
		entries: make(map[string]*entry, len(targets)),
		models:  map[string]*model{},
		stats:   map[groupKey]*groupStats{},
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
			s.addToGroup(e, groups, old)
		}
	}
	for _, m := range s.models {
		m.index()
	}
	sumOutstanding(groups)
	return s
}

// loadOf returns the load of t, or a new one if t is new or was replaced under the same name.
func (s *snapshot) loadOf(t target.Target) *load {
	if e, ok := s.entries[t.Name]; ok && e.target.Address == t.Address && e.target.Layers == t.Layers && e.target.Model == t.Model {
		return e.load
	}
	return newLoad()
}

func (s *snapshot) addToGroup(e *entry, groups map[groupKey]*group, old *snapshot) {
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

// statsOf returns the statistics of the group, or new ones if the snapshot does not have the group.
func (s *snapshot) statsOf(key groupKey) *groupStats {
	if known, ok := s.stats[key]; ok {
		return known
	}
	return &groupStats{}
}

// sumOutstanding recomputes the groups' outstanding work, which removes the drift of concurrent updates.
func sumOutstanding(groups map[groupKey]*group) {
	for _, g := range groups {
		sum := 0.0
		for _, e := range g.entries {
			sum += e.load.outstanding.load()
		}
		g.stats.outstanding.store(sum)
	}
}

// index sorts the groups, collects the layer boundaries and sets the boundary indexes of the groups.
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
