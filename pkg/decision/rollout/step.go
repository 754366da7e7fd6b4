package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
)

func byWorker(a, b placement.Assignment) int {
	return cmp.Compare(a.Target, b.Target)
}

// turn is one call of Step.
type turn struct {
	*Rollout
	now     time.Time
	goal    Spec
	targets map[string]TargetState
	settled []placement.Assignment
	pending []placement.Assignment
	step    Actions
}

// Advance returns what to do now to bring the targets to the plan.
func (r *Rollout) Advance(now time.Time, plan []placement.Assignment, targets []TargetState, goal Spec) Actions {
	if r.started.IsZero() {
		r.started = now
	}
	t := &turn{
		Rollout: r, now: now, goal: goal, targets: map[string]TargetState{},
		step: Actions{Desired: map[string]reconcile.State{}},
	}
	for _, target := range targets {
		if target.Available {
			t.targets[target.Target.Name] = target
		}
	}
	t.compare(plan)
	t.forget()
	order := t.loads(plan)
	t.begin(order)
	t.release(order)
	t.step.Drain = slices.Sorted(maps.Keys(r.changes))
	return t.step
}

// desired returns what the target is to hold. Adapters and roles are not planned and stay.
func (t *turn) desired(a placement.Assignment) reconcile.State {
	reported := t.targets[a.Target].Reported
	return reconcile.State{
		Model: a.Model, Version: t.goal.Versions[a.Model], Layers: a.Layers, Adapters: reported.Adapters, Role: reported.Role,
	}
}

// compare divides the assignments of available targets into settled and pending ones.
func (t *turn) compare(plan []placement.Assignment) {
	for _, a := range plan {
		target, available := t.targets[a.Target]
		if !available || target.ReportRequestedAt.IsZero() {
			continue
		}
		if target.Reported.Equal(t.desired(a)) {
			t.settled = append(t.settled, a)
			t.step.Desired[a.Target] = t.desired(a)
			continue
		}
		t.pending = append(t.pending, a)
		t.step.OutOfSync = append(t.step.OutOfSync, a.Target)
	}
}

// forget ends the changes of targets that are settled or lost, and starts those anew whose aim changed.
func (t *turn) forget() {
	wanted := map[string]placement.Assignment{}
	for _, a := range t.pending {
		wanted[a.Target] = a
	}
	for name, c := range t.changes {
		a, pending := wanted[name]
		if !pending {
			delete(t.changes, name)
			t.ended[name] = t.now
			continue
		}
		if version := t.goal.Versions[a.Model]; c.want != a || c.version != version {
			c.want, c.version, c.released = a, version, false
		}
	}
}

// loads returns the pending assignments in the order in which they are to be loaded. The order is
// kept until there is an assignment that it lacks: 300 loads among 7,000 targets take seconds to order.
func (t *turn) loads(plan []placement.Assignment) []placement.Load {
	pending := map[placement.Assignment]bool{}
	for _, a := range t.pending {
		pending[a] = true
	}
	t.order = slices.DeleteFunc(t.order, func(l placement.Load) bool { return !pending[l.Assignment] })
	if len(t.order) < len(pending) {
		t.order = t.reload(plan)
	}
	return t.order
}

func (t *turn) reload(plan []placement.Assignment) []placement.Load {
	var workers []placement.Target
	present := placement.Plan{}
	for _, a := range plan {
		if target, available := t.targets[a.Target]; available && !target.ReportRequestedAt.IsZero() {
			workers = append(workers, target.Target)
			present.Assignments = append(present.Assignments, a)
		}
	}
	return placement.New().ScheduleLoads(present, t.settled, workers, t.goal.Models, t.goal.LoadRate)
}

// begin drains further targets as far as the others serve without them.
func (t *turn) begin(order []placement.Load) {
	if t.now.Sub(t.started) < t.notice {
		// What an earlier holder changed last is not known here, and may not have reached every instance.
		return
	}
	all := t.limit(len(t.targets))
	held, changing := t.byModel()
	for _, load := range order {
		name := load.Assignment.Target
		model := t.targets[name].Reported.Model
		if _, begun := t.changes[name]; begun || len(t.changes) >= all || changing[model] >= t.limit(held[model]) {
			continue
		}
		if t.servedWithout(name) {
			t.start(load.Assignment)
			changing[model]++
		}
	}
	if len(t.changes) == 0 && len(order) > 0 && t.quiet() {
		// No target can be spared. Without this one the plan would never be reached.
		t.start(order[0].Assignment)
	}
}

// limit returns how many of n targets may change at one time.
func (t *turn) limit(n int) int {
	return max(1, int(t.share*float64(n)))
}

// byModel counts the targets that hold or load layers of each model, and those of them that change.
func (t *turn) byModel() (held, changing map[string]int) {
	held, changing = map[string]int{}, map[string]int{}
	for name, target := range t.targets {
		held[target.Reported.Model]++
		if t.changes[name] != nil {
			changing[target.Reported.Model]++
		}
	}
	return held, changing
}

// quiet reports whether every instance knows of all changes that have ended.
func (t *turn) quiet() bool {
	for name := range t.ended {
		if !t.known(name) {
			return false
		}
	}
	return true
}

// known reports whether every instance knows what the target holds.
func (t *turn) known(name string) bool {
	ended, changed := t.ended[name]
	return !changed || t.now.Sub(ended) >= t.notice
}

func (t *turn) start(a placement.Assignment) {
	t.changes[a.Target] = &change{want: a, version: t.goal.Versions[a.Model], began: t.now}
}

// release lets the orders of drained targets go, spaced by the weight store's rate.
func (t *turn) release(order []placement.Load) {
	for _, load := range order {
		name := load.Assignment.Target
		c := t.changes[name]
		if c == nil {
			continue
		}
		if !c.released && t.drained(c, t.targets[name]) && !t.now.Before(t.nextLoad) {
			c.released = true
			t.nextLoad = t.now.Add(load.End - load.Start)
		}
		if c.released {
			t.step.Desired[name] = t.desired(load.Assignment)
		}
	}
}

// drained reports whether the target's layers may change now.
func (t *turn) drained(c *change, target TargetState) bool {
	if !target.Reported.Layers.Valid() {
		return true
	}
	if target.ReportRequestedAt.After(c.asked) && target.ReportRequestedAt.Sub(c.began) >= t.notice {
		c.asked = target.ReportRequestedAt
		c.idle++
		if target.PendingSteps > 0 {
			c.idle = 0
		}
	}
	return c.idle >= idleReports || t.now.Sub(c.began) >= t.drainLimit
}
