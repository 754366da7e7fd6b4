package placementcontroller

import (
	"context"
	"fmt"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
)

// Plan returns the placement, its throughput bound and what limits it. If the placement is managed, it
// is the desired placement from the table; otherwise, and while the table does not answer, it is the
// placement that the targets report.
func (c *Controller) Plan(ctx context.Context) placement.Plan {
	cfg := c.fleet.Configuration()
	listed, targets := c.fleet.Targets(), c.placeableTargets(cfg)
	plan := throughputBound(cfg, listed, targets)
	plan.Assignments = reportedAssignments(listed)
	if !cfg.HeadOffice.Placement.Managed {
		return plan
	}
	if d, revision, err := readRow(ctx, c.table); err == nil && revision > 0 {
		plan.Assignments = d.assignments()
	}
	return plan
}

// throughputBound returns a plan whose bound and LimitedBy are computed for the available targets, or a
// plan whose LimitedBy says why the configuration does not allow a bound to be computed. The assignments
// of the plan are not those that are stored or reported.
func throughputBound(cfg *configuration.Configuration, listed, targets []rollout.TargetState) placement.Plan {
	if len(cfg.HeadOffice.Accelerators) == 0 {
		return placement.Plan{LimitedBy: "not computed: the configuration names no accelerators"}
	}
	var placementTargets []placement.Target
	for _, t := range targets {
		if t.Available {
			placementTargets = append(placementTargets, t.Target)
		}
	}
	plan := placement.New().Plan(placementTargets, newSpec(cfg).Models)
	if unknown := len(listed) - len(targets); unknown > 0 {
		plan.LimitedBy += fmt.Sprintf("; %d targets have accelerators that the configuration does not name", unknown)
	}
	return plan
}

func reportedAssignments(targets []rollout.TargetState) []placement.Assignment {
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
