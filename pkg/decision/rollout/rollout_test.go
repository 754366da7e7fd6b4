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

// world is a fleet of engines that load what they are ordered to, on a driven clock.
type world struct {
	t       *testing.T
	now     time.Time
	targets []rollout.TargetState
	busy    map[string]time.Time // busy is until when a target reports running steps.
	loading map[string]time.Time
	ordered map[string]time.Time
	drained map[string]time.Time
	goal    rollout.Spec
	kept    []placement.Assignment
	rollout *rollout.Rollout
	outage  int // outage counts the seconds in which no version of the model was whole.
	loads   []time.Time
}

func newWorld(t *testing.T, replicas int) *world {
	w := &world{
		t: t, now: time.Date(2026, 3, 3, 8, 0, 0, 0, time.UTC), rollout: rollout.New(),
		busy: map[string]time.Time{}, loading: map[string]time.Time{}, ordered: map[string]time.Time{}, drained: map[string]time.Time{},
		goal: rollout.Spec{
			Models:   []placement.Model{{Name: "darning", Layers: layers, LayerBytes: layerBytes, LayerCost: 1}},
			Versions: map[string]string{"darning": "1"}, LoadRate: loadRate,
		},
	}
	for n := range 2 * replicas {
		half := layer.Range{First: n % 2 * 6, End: n%2*6 + 6}
		w.targets = append(w.targets, w.target(n, half))
	}
	return w
}

func (w *world) target(n int, held layer.Range) rollout.TargetState {
	return rollout.TargetState{
		Target: placement.Target{Name: fmt.Sprintf("w%d", n), Memory: 6 * layerBytes, Rate: 1}, Available: true, ReportRequestedAt: w.now,
		Reported: reconcile.Reported{State: reconcile.State{Model: "darning", Version: "1", Layers: held, Role: "Decode"}},
	}
}

// second lets one second pass: reports, one step of the rollout, and the engines' reaction to orders.
func (w *world) second() rollout.Actions {
	w.now = w.now.Add(time.Second)
	for i := range w.targets {
		target := &w.targets[i]
		target.ReportRequestedAt, target.PendingSteps = w.now, 0
		if w.now.Before(w.busy[target.Target.Name]) {
			target.PendingSteps = 1
		}
	}
	w.kept = rollout.Plan(w.kept, w.targets, w.goal).Assignments
	step := w.rollout.Advance(w.now, w.kept, w.targets, w.goal)
	drains := map[string]bool{}
	for _, name := range step.Drain {
		drains[name] = true
		if w.drained[name].IsZero() {
			w.drained[name] = w.now
		}
	}
	held := map[string][]layer.Range{}
	for i := range w.targets {
		w.react(&w.targets[i], step)
		if r := w.targets[i].Reported; !drains[w.targets[i].Target.Name] && w.targets[i].Available {
			held[r.Version] = append(held[r.Version], r.Layers)
		}
	}
	if !rollout.Covers(held["1"], layers) && !rollout.Covers(held["2"], layers) {
		w.outage++
	}
	return step
}

func (w *world) react(target *rollout.TargetState, step rollout.Actions) {
	name := target.Target.Name
	want, ordered := step.Desired[name]
	if until := w.loading[name]; !until.IsZero() && !w.now.Before(until) {
		delete(w.loading, name)
		target.Reported.Layers = want.Layers
	}
	if !ordered || w.loading[name].After(w.now) || target.Reported.Equal(want) {
		return
	}
	if target.Reported.Layers.Valid() {
		qt.Assert(w.t, w.drained[name].IsZero(), qt.IsFalse, qt.Commentf("%s was ordered without a drain", name))
		if w.now.Before(w.busy[name]) {
			qt.Assert(w.t, w.now.Sub(w.drained[name]) >= rollout.DefaultDrainTimeout, qt.IsTrue, qt.Commentf("%s was ordered while it ran steps", name))
		}
	}
	target.Reported.State, target.Reported.Layers = want, layer.Range{}
	w.loading[name] = w.now.Add(3 * time.Second)
	w.loads = append(w.loads, w.now)
}

// TestRollout guards against an order for a target that still runs steps, a model that is taken out
// of service while others could serve it, loads beyond the weight store's rate, and a plan that is
// never reached.
func TestRollout(t *testing.T) {
	tests := []struct {
		name     string
		replicas int
		change   func(*world)
		outage   int // outage is the longest time without a whole version, in seconds.
		loads    int
		limit    int
	}{
		{"nothing to do", 2, func(*world) {}, 0, 0, 1},
		{"new version", 2, func(w *world) { w.goal.Versions = map[string]string{"darning": "2"} }, 0, 4, 60},
		{"new version while every target is busy", 2, func(w *world) {
			w.goal.Versions = map[string]string{"darning": "2"}
			for _, target := range w.targets {
				w.busy[target.Target.Name] = w.now.Add(100 * time.Second)
			}
		}, 0, 4, 300},
		{"new version without spare targets", 1, func(w *world) { w.goal.Versions = map[string]string{"darning": "2"} }, 20, 2, 30},
		{"lost target with a replica", 2, func(w *world) { w.targets[0].Available = false }, 0, 0, 1},
		{"both replicas of a range lost", 3, func(w *world) {
			for _, n := range []int{0, 2, 4} {
				w.targets[n].Available = false
			}
		}, 15, 1, 30},
		{"new version while one target alone holds a range", 4, func(w *world) {
			w.goal.Versions = map[string]string{"darning": "2"}
			for _, n := range []int{2, 4, 6} {
				w.targets[n].Available = false
			}
		}, 0, 5, 100},
		{"new target", 1, func(w *world) { w.targets = append(w.targets, w.target(2, layer.Range{})) }, 0, 1, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, test.replicas)
			w.second()
			qt.Assert(t, w.loads, qt.HasLen, 0)
			test.change(w)
			took := 0
			for step := w.second(); len(step.OutOfSync) > 0; step = w.second() {
				took++
				qt.Assert(t, took < test.limit, qt.IsTrue, qt.Commentf("waiting: %v, drained: %v", step.OutOfSync, step.Drain))
			}
			qt.Assert(t, w.second().Drain, qt.HasLen, 0)
			qt.Assert(t, w.loads, qt.HasLen, test.loads)
			qt.Assert(t, w.outage <= test.outage, qt.IsTrue, qt.Commentf("%d s without a whole model", w.outage))
			for i := 1; i < len(w.loads); i++ {
				qt.Assert(t, w.loads[i].Sub(w.loads[i-1]) >= 3*time.Second, qt.IsTrue, qt.Commentf("%v", w.loads))
			}
		})
	}
}

// TestShareOfModel guards against a change that takes most targets of one model at once because the
// fleet as a whole is large.
func TestShareOfModel(t *testing.T) {
	w := newWorld(t, 8)
	w.goal.Models = append(w.goal.Models, placement.Model{Name: "sewing", Layers: layers, LayerBytes: layerBytes, LayerCost: 1})
	w.goal.Versions = map[string]string{"darning": "1", "sewing": "2"}
	for i := range 8 {
		w.targets[i].Reported.Model = "sewing"
	}
	plan := rollout.Plan(nil, w.targets, w.goal).Assignments
	w.rollout.Advance(w.now, plan, w.targets, w.goal)
	step := w.rollout.Advance(w.now.Add(time.Minute), plan, w.targets, w.goal)
	qt.Assert(t, step.OutOfSync, qt.HasLen, 8)
	qt.Assert(t, step.Drain, qt.HasLen, 2)
}

// TestServing guards against a route of mixed versions where one version is whole, and against a
// switch to a new version before it has as many targets as the old one.
func TestServing(t *testing.T) {
	held := func(version string, first, end int) rollout.HeldLayers {
		return rollout.HeldLayers{Version: version, Layers: layer.Range{First: first, End: end}}
	}
	tests := []struct {
		name string
		held []rollout.HeldLayers
		want string
	}{
		{"nothing is whole", []rollout.HeldLayers{held("1", 0, 6), held("2", 6, 12)}, "2"},
		{"the old version is whole", []rollout.HeldLayers{held("1", 0, 6), held("1", 6, 12), held("2", 6, 12)}, "1"},
		{"both are whole, the old one has more", []rollout.HeldLayers{held("1", 0, 6), held("1", 6, 12), held("1", 0, 12), held("2", 0, 12)}, "1"},
		{"both are equal", []rollout.HeldLayers{held("1", 0, 12), held("2", 0, 12)}, "2"},
		{"an unwanted one is whole", []rollout.HeldLayers{held("1", 0, 12), held("0", 0, 12), held("2", 0, 6)}, "0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, rollout.ServingVersion(test.held, layers, "2"), qt.Equals, test.want)
		})
	}
}
