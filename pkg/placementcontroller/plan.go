package placementcontroller

import (
	"context"
	"fmt"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
)

// Plan returns the placement, its bound and what limits it. Where the placement is managed, it is
// the desired one in the table; otherwise, and while the table does not answer, it is what the
// engines report.
func (k *Controller) Plan(ctx context.Context) placement.Plan {
	c := k.fleet.Configuration()
	listed, targets := k.fleet.Targets(), k.targets(c)
	plan := boundOf(c, listed, targets)
	plan.Assignments = reported(listed)
	if !c.HeadOffice.Placement.Managed {
		return plan
	}
	if d, revision, err := readDocument(ctx, k.table); err == nil && revision > 0 {
		plan.Assignments = d.assignments()
	}
	return plan
}

// boundOf says why there is no bound where the configuration lacks what it follows from.
func boundOf(c *configuration.Configuration, listed, targets []rollout.TargetState) placement.Plan {
	if len(c.HeadOffice.Accelerators) == 0 {
		return placement.Plan{LimitedBy: "not computed: the configuration names no accelerators"}
	}
	var workers []placement.Target
	for _, t := range targets {
		if t.Available {
			workers = append(workers, t.Target)
		}
	}
	plan := placement.New().Plan(workers, goalOf(c).Models)
	if unknown := len(listed) - len(targets); unknown > 0 {
		plan.LimitedBy += fmt.Sprintf("; %d targets have accelerators that the configuration does not name", unknown)
	}
	return plan
}

func reported(targets []rollout.TargetState) []placement.Assignment {
	var plan []placement.Assignment
	for _, t := range targets {
		if held := t.Reported; held.Layers.Valid() {
			plan = append(plan, placement.Assignment{Target: t.Target.Name, Model: held.Model, Layers: held.Layers})
		}
	}
	slices.SortFunc(plan, func(a, b placement.Assignment) int {
		return byName(placement.Target{Name: a.Target}, placement.Target{Name: b.Target})
	})
	return plan
}
