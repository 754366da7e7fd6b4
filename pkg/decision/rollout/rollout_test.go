package rollout_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
	"github.com/cuminroute/cuminroute/pkg/layer"
)

const (
	layers     = 12
	layerBytes = 10
	loadRate   = 20 // loadRate makes the load of 6 layers take 3 s.
)

// simulation is a fleet of engines that load what they are assigned, on a simulated clock.
type simulation struct {
	t             *testing.T
	now           time.Time
	targets       []rollout.TargetState
	busy          map[string]time.Time // busy is the time until which a target reports running steps.
	loading       map[string]time.Time // loading is the time at which a target's current load ends.
	assigned      map[string]time.Time
	drained       map[string]time.Time // drained is the time at which a target's first drain started.
	spec          rollout.Spec
	kept          []placement.Assignment
	rollout       *rollout.Rollout
	outageSeconds int         // outageSeconds is the number of seconds in which no version of the model was complete.
	loads         []time.Time // loads are the times at which loads started.
}

func newSimulation(t *testing.T, replicas int) *simulation {
	s := &simulation{
		t: t, now: time.Date(2026, 3, 3, 8, 0, 0, 0, time.UTC), rollout: rollout.New(),
		busy: map[string]time.Time{}, loading: map[string]time.Time{}, assigned: map[string]time.Time{}, drained: map[string]time.Time{},
		spec: rollout.Spec{
			Models:   []placement.Model{{Name: "darning", Layers: layers, LayerBytes: layerBytes, LayerCost: 1}},
			Versions: map[string]string{"darning": "1"}, LoadRate: loadRate,
		},
	}
	for n := range 2 * replicas {
		half := layer.Range{First: n % 2 * 6, End: n%2*6 + 6}
		s.targets = append(s.targets, s.newTarget(n, half))
	}
	return s
}

func (s *simulation) newTarget(n int, held layer.Range) rollout.TargetState {
	return rollout.TargetState{
		Target: placement.Target{Name: fmt.Sprintf("w%d", n), Memory: 6 * layerBytes, Rate: 1}, Available: true, ReportRequestedAt: s.now,
		Reported: reconcile.Reported{State: reconcile.State{Model: "darning", Version: "1", Layers: held, Role: "Decode"}},
	}
}

// advanceSecond simulates one second: reports, one call of Advance, and the engines' reaction to assignments.
func (s *simulation) advanceSecond() rollout.Actions {
	s.now = s.now.Add(time.Second)
	for i := range s.targets {
		target := &s.targets[i]
		target.ReportRequestedAt, target.PendingSteps = s.now, 0
		if s.now.Before(s.busy[target.Target.Name]) {
			target.PendingSteps = 1
		}
	}
	s.kept = rollout.Plan(s.kept, s.targets, s.spec).Assignments
	actions := s.rollout.Advance(s.now, s.kept, s.targets, s.spec)
	drains := map[string]bool{}
	for _, name := range actions.Drain {
		drains[name] = true
		if s.drained[name].IsZero() {
			s.drained[name] = s.now
		}
	}
	held := map[string][]layer.Range{}
	for i := range s.targets {
		s.applyDesired(&s.targets[i], actions)
		if r := s.targets[i].Reported; !drains[s.targets[i].Target.Name] && s.targets[i].Available {
			held[r.Version] = append(held[r.Version], r.Layers)
		}
	}
	if !rollout.Covers(held["1"], layers) && !rollout.Covers(held["2"], layers) {
		s.outageSeconds++
	}
	return actions
}

func (s *simulation) applyDesired(target *rollout.TargetState, actions rollout.Actions) {
	name := target.Target.Name
	want, assigned := actions.Desired[name]
	if until := s.loading[name]; !until.IsZero() && !s.now.Before(until) {
		delete(s.loading, name)
		target.Reported.Layers = want.Layers
	}
	if !assigned || s.loading[name].After(s.now) || target.Reported.Equal(want) {
		return
	}
	if target.Reported.Layers.Valid() {
		qt.Assert(s.t, s.drained[name].IsZero(), qt.IsFalse, qt.Commentf("%s got an assignment without a drain", name))
		if s.now.Before(s.busy[name]) {
			qt.Assert(s.t, s.now.Sub(s.drained[name]) >= rollout.DefaultDrainTimeout, qt.IsTrue, qt.Commentf("%s got an assignment while it ran steps", name))
		}
	}
	target.Reported.State, target.Reported.Layers = want, layer.Range{}
	s.loading[name] = s.now.Add(3 * time.Second)
	s.loads = append(s.loads, s.now)
}

// TestRollout guards against an assignment to a target that still runs steps, a model that is taken out
// of service while others could serve it, loads beyond the weight store's rate, and a plan that is
// never reached.
func TestRollout(t *testing.T) {
	tests := []struct {
		name     string
		replicas int
		change   func(*simulation)
		outage   int // outage is the longest time without a complete version, in seconds.
		loads    int // loads is the number of loads until all targets are in sync.
		limit    int // limit bounds the seconds until all targets are in sync.
	}{
		{"nothing to do", 2, func(*simulation) {}, 0, 0, 1},
		{"new version", 2, func(s *simulation) { s.spec.Versions = map[string]string{"darning": "2"} }, 0, 4, 60},
		{"new version while every target is busy", 2, func(s *simulation) {
			s.spec.Versions = map[string]string{"darning": "2"}
			for _, target := range s.targets {
				s.busy[target.Target.Name] = s.now.Add(100 * time.Second)
			}
		}, 0, 4, 300},
		{"new version without spare targets", 1, func(s *simulation) { s.spec.Versions = map[string]string{"darning": "2"} }, 20, 2, 30},
		{"dead target with a replica", 2, func(s *simulation) { s.targets[0].Available = false }, 0, 0, 1},
		{"every replica of a range dead", 3, func(s *simulation) {
			for _, n := range []int{0, 2, 4} {
				s.targets[n].Available = false
			}
		}, 15, 1, 30},
		{"new version while one target alone holds a range", 4, func(s *simulation) {
			s.spec.Versions = map[string]string{"darning": "2"}
			for _, n := range []int{2, 4, 6} {
				s.targets[n].Available = false
			}
		}, 0, 5, 100},
		{"new target", 1, func(s *simulation) { s.targets = append(s.targets, s.newTarget(2, layer.Range{})) }, 0, 1, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(t, test.replicas)
			s.advanceSecond()
			qt.Assert(t, s.loads, qt.HasLen, 0)
			test.change(s)
			took := 0
			for actions := s.advanceSecond(); len(actions.OutOfSync) > 0; actions = s.advanceSecond() {
				took++
				qt.Assert(t, took < test.limit, qt.IsTrue, qt.Commentf("out of sync: %v, draining: %v", actions.OutOfSync, actions.Drain))
			}
			qt.Assert(t, s.advanceSecond().Drain, qt.HasLen, 0)
			qt.Assert(t, s.loads, qt.HasLen, test.loads)
			qt.Assert(t, s.outageSeconds <= test.outage, qt.IsTrue, qt.Commentf("%d s without a complete model", s.outageSeconds))
			for i := 1; i < len(s.loads); i++ {
				qt.Assert(t, s.loads[i].Sub(s.loads[i-1]) >= 3*time.Second, qt.IsTrue, qt.Commentf("%v", s.loads))
			}
		})
	}
}

// TestMaxUnavailablePerModel guards against a rolling update that changes most targets of one model at
// the same time because the fleet in total is large.
func TestMaxUnavailablePerModel(t *testing.T) {
	s := newSimulation(t, 8)
	s.spec.Models = append(s.spec.Models, placement.Model{Name: "sewing", Layers: layers, LayerBytes: layerBytes, LayerCost: 1})
	s.spec.Versions = map[string]string{"darning": "1", "sewing": "2"}
	for i := range 8 {
		s.targets[i].Reported.Model = "sewing"
	}
	plan := rollout.Plan(nil, s.targets, s.spec).Assignments
	s.rollout.Advance(s.now, plan, s.targets, s.spec)
	actions := s.rollout.Advance(s.now.Add(time.Minute), plan, s.targets, s.spec)
	qt.Assert(t, actions.OutOfSync, qt.HasLen, 8)
	qt.Assert(t, actions.Drain, qt.HasLen, 2)
}

// TestServingVersion guards against a route of mixed versions where one version is complete, and against
// a switch to a new version before it has as many targets as the old one.
func TestServingVersion(t *testing.T) {
	held := func(version string, first, end int) rollout.HeldLayers {
		return rollout.HeldLayers{Version: version, Layers: layer.Range{First: first, End: end}}
	}
	tests := []struct {
		name string
		held []rollout.HeldLayers
		want string
	}{
		{"no version is complete", []rollout.HeldLayers{held("1", 0, 6), held("2", 6, 12)}, "2"},
		{"the old version is complete", []rollout.HeldLayers{held("1", 0, 6), held("1", 6, 12), held("2", 6, 12)}, "1"},
		{"both are complete, the old one has more targets", []rollout.HeldLayers{held("1", 0, 6), held("1", 6, 12), held("1", 0, 12), held("2", 0, 12)}, "1"},
		{"both are complete with equal numbers of targets", []rollout.HeldLayers{held("1", 0, 12), held("2", 0, 12)}, "2"},
		{"only undesired versions are complete", []rollout.HeldLayers{held("1", 0, 12), held("0", 0, 12), held("2", 0, 6)}, "0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, rollout.ServingVersion(test.held, layers, "2"), qt.Equals, test.want)
		})
	}
}
