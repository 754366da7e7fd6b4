package experiment

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// epoch is the wall time of the virtual time 0, for parts of the product that take wall times.
var epoch = time.Unix(1_700_000_000, 0)

// knowledge is what an instance knows when it chooses a path.
type knowledge struct {
	finder  *path.Finder
	meter   *targetstats.Tracker
	random  *rand.Rand
	now     time.Time
	turn    *int // turn counts the choices of the instance.
	targets []*target.Target
}

// policy chooses a path.
type policy func(k knowledge, q path.Request) (path.Path, error)

// policies are the ways to choose paths, by name. Predicted is the product's.
var policies = map[string]policy{
	"Predicted": predicted,
	"Random": walk(func(k knowledge, holders []*target.Target) *target.Target {
		return holders[k.random.IntN(len(holders))]
	}),
	"RoundRobin": walk(func(k knowledge, holders []*target.Target) *target.Target {
		*k.turn++
		return holders[*k.turn%len(holders)]
	}),
	"LeastOutstanding": walk(func(k knowledge, holders []*target.Target) *target.Target {
		offset := k.random.IntN(len(holders)) // Breaks ties at random.
		best := holders[offset]
		for i := range holders {
			t := holders[(offset+i)%len(holders)]
			if k.meter.Load(t.Name).Streams < k.meter.Load(best.Name).Streams {
				best = t
			}
		}
		return best
	}),
}

func policyNames() []string { return slices.Sorted(maps.Keys(policies)) }

// predicted finds the path with the least estimated time.
func predicted(k knowledge, q path.Request) (path.Path, error) {
	q.Loads = k.meter.Loads(k.finder.Targets(), k.now)
	return k.finder.Find(k.random, q)
}

// walk chooses one target after the other among those that hold the next layer.
func walk(choose func(k knowledge, holders []*target.Target) *target.Target) policy {
	return func(k knowledge, q path.Request) (path.Path, error) {
		var p path.Path
		for next := q.From; next < q.To; {
			var holders []*target.Target
			for _, t := range k.targets {
				if t.Layers.First <= next && next < t.Layers.End && (q.Excluded == nil || !q.Excluded(t.Name)) && !p.Contains(t.Name) {
					holders = append(holders, t)
				}
			}
			if len(holders) == 0 {
				return nil, path.Uncovered.New("no target holds layer %d", next)
			}
			t := choose(k, holders)
			end := min(t.Layers.End, q.To)
			p = append(p, path.Stage{Target: *t, Layers: layer.Range{First: next, End: end}})
			next = end
		}
		return p, nil
	}
}
