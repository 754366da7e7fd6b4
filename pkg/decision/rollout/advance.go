package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
)

func byTarget(a, b placement.Assignment) int {
	return cmp.Compare(a.Target, b.Target)
}

// iteration is the state of one call of Advance.
type iteration struct {
	*Rollout
	now       time.Time
	spec      Spec
	targets   map[string]TargetState
	inSync    []placement.Assignment
	outOfSync []placement.Assignment
	actions   Actions
}

// Advance returns the actions that are due now for the targets to reach the plan, and records the drains
// that it starts and the assignments that it releases.
func (r *Rollout) Advance(now time.Time, plan []placement.Assignment, targets []TargetState, spec Spec) Actions {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	t := &iteration{
		Rollout: r, now: now, spec: spec, targets: map[string]TargetState{},
		actions: Actions{Desired: map[string]reconcile.State{}},
	}
	for _, target := range targets {
		if target.Available {
			t.targets[target.Target.Name] = target
		}
	}
	t.classify(plan)
	t.updateChanges()
	loads := t.orderedLoads(plan)
	t.startDrains(loads)
	t.releaseLoads(loads)
	t.actions.Drain = slices.Sorted(maps.Keys(r.changes))
	return t.actions
}

// desired returns the desired state of the assignment's target. Adapters and roles are not planned and
// stay as reported.
func (t *iteration) desired(a placement.Assignment) reconcile.State {
	reported := t.targets[a.Target].Reported
	return reconcile.State{
		Model: a.Model, Version: t.spec.Versions[a.Model], Layers: a.Layers, Adapters: reported.Adapters, Role: reported.Role,
	}
}

// classify divides the assignments of available targets into those in sync and those out of sync.
func (t *iteration) classify(plan []placement.Assignment) {
	for _, a := range plan {
		target, available := t.targets[a.Target]
		if !available || target.ReportRequestedAt.IsZero() {
			continue
		}
		if target.Reported.Equal(t.desired(a)) {
			t.inSync = append(t.inSync, a)
			t.actions.Desired[a.Target] = t.desired(a)
			continue
		}
		t.outOfSync = append(t.outOfSync, a)
		t.actions.OutOfSync = append(t.actions.OutOfSync, a.Target)
	}
}

// updateChanges ends the changes of targets that are in sync or not available any more, and takes
// back the release of those whose desired state has changed.
func (t *iteration) updateChanges() {
	assignments := map[string]placement.Assignment{}
	for _, a := range t.outOfSync {
		assignments[a.Target] = a
	}
	for name, c := range t.changes {
		a, pending := assignments[name]
		if !pending {
			delete(t.changes, name)
			t.endedAt[name] = t.now
			continue
		}
		if version := t.spec.Versions[a.Model]; c.assignment != a || c.version != version {
			c.assignment, c.version, c.released = a, version, false
		}
	}
}

// orderedLoads returns the loads of the assignments out of sync in the order in which they are to run. The order is
// kept in scheduledLoads and reused until it lacks an assignment, since scheduling 300 loads among 7,000 targets takes
// seconds.
func (t *iteration) orderedLoads(plan []placement.Assignment) []placement.Load {
	pending := map[placement.Assignment]bool{}
	for _, a := range t.outOfSync {
		pending[a] = true
	}
	t.scheduledLoads = slices.DeleteFunc(t.scheduledLoads, func(l placement.Load) bool { return !pending[l.Assignment] })
	if len(t.scheduledLoads) < len(pending) {
		t.scheduledLoads = t.scheduleLoads(plan)
	}
	return t.scheduledLoads
}

// scheduleLoads computes the load order of the plan's assignments that are out of sync.
func (t *iteration) scheduleLoads(plan []placement.Assignment) []placement.Load {
	var placementTargets []placement.Target
	present := placement.Plan{}
	for _, a := range plan {
		if target, available := t.targets[a.Target]; available && !target.ReportRequestedAt.IsZero() {
			placementTargets = append(placementTargets, target.Target)
			present.Assignments = append(present.Assignments, a)
		}
	}
	return placement.New().ScheduleLoads(present, t.inSync, placementTargets, t.spec.Models, t.spec.LoadRate)
}

// startDrains starts to drain targets without which the others still serve every model.
func (t *iteration) startDrains(loads []placement.Load) {
	if t.now.Sub(t.startedAt) < t.propagationDelay {
		// The last changes of an earlier lease holder are not known here, and may not have reached every
		// instance.
		return
	}
	all := t.maxChanges(len(t.targets))
	held, changing := t.countByModel()
	for _, load := range loads {
		name := load.Assignment.Target
		model := t.targets[name].Reported.Model
		if _, begun := t.changes[name]; begun || len(t.changes) >= all || changing[model] >= t.maxChanges(held[model]) {
			continue
		}
		if t.servedWithout(name) {
			t.startDrain(load.Assignment)
			changing[model]++
		}
	}
	if len(t.changes) == 0 && len(loads) > 0 && t.allPropagated() {
		// No target can be spared. The plan could never be reached unless one is drained anyway.
		t.startDrain(loads[0].Assignment)
	}
}

// maxChanges returns how many of n targets may change at one time, at least 1.
func (t *iteration) maxChanges(n int) int {
	return max(1, int(t.maxUnavailable*float64(n)))
}

// countByModel returns the number of targets that hold or load layers of each model, and the number of
// them that are changing.
func (t *iteration) countByModel() (held, changing map[string]int) {
	held, changing = map[string]int{}, map[string]int{}
	for name, target := range t.targets {
		held[target.Reported.Model]++
		if t.changes[name] != nil {
			changing[target.Reported.Model]++
		}
	}
	return held, changing
}

// allPropagated reports whether the propagation delay has passed since the end of every change.
func (t *iteration) allPropagated() bool {
	for name := range t.endedAt {
		if !t.propagated(name) {
			return false
		}
	}
	return true
}

// propagated reports whether every instance has received the layers of the target, that is, whether the
// propagation delay has passed since the target's last change.
func (t *iteration) propagated(name string) bool {
	ended, changed := t.endedAt[name]
	return !changed || t.now.Sub(ended) >= t.propagationDelay
}

func (t *iteration) startDrain(a placement.Assignment) {
	t.changes[a.Target] = &change{assignment: a, version: t.spec.Versions[a.Model], startedAt: t.now}
}

// releaseLoads releases the assignments of drained targets, spaced by the scheduled loading times,
// which respect the weight store's rate.
func (t *iteration) releaseLoads(loads []placement.Load) {
	for _, load := range loads {
		name := load.Assignment.Target
		c := t.changes[name]
		if c == nil {
			continue
		}
		if !c.released && t.isDrained(c, t.targets[name]) && !t.now.Before(t.nextLoadAt) {
			c.released = true
			t.nextLoadAt = t.now.Add(load.End - load.Start)
		}
		if c.released {
			t.actions.Desired[name] = t.desired(load.Assignment)
		}
	}
}

// isDrained reports whether the target's layers may change now: the target holds none, it is idle, or
// the drain timeout has passed. It also counts the newest report in c.idleCount.
func (t *iteration) isDrained(c *change, target TargetState) bool {
	if !target.Reported.Layers.Valid() {
		return true
	}
	if target.ReportRequestedAt.After(c.reportRequestedAt) && target.ReportRequestedAt.Sub(c.startedAt) >= t.propagationDelay {
		c.reportRequestedAt = target.ReportRequestedAt
		c.idleCount++
		if target.PendingSteps > 0 {
			c.idleCount = 0
		}
	}
	return c.idleCount >= minIdleReports || t.now.Sub(c.startedAt) >= t.drainTimeout
}
