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

// startTime is the wall time of the virtual time 0, for packages that take wall times.
var startTime = time.Unix(1_700_000_000, 0)

// policyInput is the information that an instance has when it chooses a path.
type policyInput struct {
	finder  *path.Finder
	tracker *targetstats.Tracker
	random  *rand.Rand
	now     time.Time
	choices *int // choices points to the counter of the policy RoundRobin.
	targets []*target.Target
}

// policy chooses a path for a request.
type policy func(in policyInput, req path.Request) (path.Path, error)

// policies are the routing policies by name. Predicted is the one of production instances.
var policies = map[string]policy{
	"Predicted": predicted,
	"Random": stageByStage(func(in policyInput, candidates []*target.Target) *target.Target {
		return candidates[in.random.IntN(len(candidates))]
	}),
	"RoundRobin": stageByStage(func(in policyInput, candidates []*target.Target) *target.Target {
		*in.choices++
		return candidates[*in.choices%len(candidates)]
	}),
	"LeastOutstanding": stageByStage(func(in policyInput, candidates []*target.Target) *target.Target {
		offset := in.random.IntN(len(candidates)) // A random first candidate breaks ties.
		best := candidates[offset]
		for i := range candidates {
			t := candidates[(offset+i)%len(candidates)]
			if in.tracker.Load(t.Name).Streams < in.tracker.Load(best.Name).Streams {
				best = t
			}
		}
		return best
	}),
}

func policyNames() []string { return slices.Sorted(maps.Keys(policies)) }

// predicted chooses the path with the lowest estimated time.
func predicted(in policyInput, req path.Request) (path.Path, error) {
	req.Loads = in.tracker.Loads(in.finder.Targets(), in.now)
	return in.finder.Find(in.random, req)
}

// stageByStage returns a policy that builds a path with pick, which chooses each target from those that hold the next
// layer.
func stageByStage(pick func(in policyInput, candidates []*target.Target) *target.Target) policy {
	return func(in policyInput, req path.Request) (path.Path, error) {
		var p path.Path
		for next := req.From; next < req.To; {
			var candidates []*target.Target
			for _, t := range in.targets {
				if t.Layers.First <= next && next < t.Layers.End && (req.Excluded == nil || !req.Excluded(t.Name)) && !p.Contains(t.Name) {
					candidates = append(candidates, t)
				}
			}
			if len(candidates) == 0 {
				return nil, path.Uncovered.New("no target holds layer %d", next)
			}
			t := pick(in, candidates)
			end := min(t.Layers.End, req.To)
			p = append(p, path.Stage{Target: *t, Layers: layer.Range{First: next, End: end}})
			next = end
		}
		return p, nil
	}
}
