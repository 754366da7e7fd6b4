package placementcontroller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/decision/rollout"
)

// runOnce runs one iteration of the control loop. Without the lease, or if the placement is not managed, it
// only discards state that no longer applies.
func (c *Controller) runOnce(ctx context.Context) {
	cfg := c.fleet.Configuration()
	managed := cfg.HeadOffice.Placement.Managed
	c.dispatcher.SetCandidate(managed && c.fleet.Candidate())
	fencingToken, holds := c.dispatcher.FencingToken()
	if !managed {
		if holds {
			c.fleet.SetDraining(nil)
		}
		c.resetState()
		return
	}
	if !holds {
		// The lease may merely have expired. If no other instance acquires it, it is renewed with the same
		// fencing token, and the state remains valid.
		c.outOfSync.Store(&[]string{})
		return
	}
	if fencingToken != c.state.fencingToken {
		c.resetState()
		c.state = leaseState{fencingToken: fencingToken, rollout: rollout.New(c.rolloutOptions...)}
		c.logger.Info().Uint64("Fence", fencingToken).Msg("acquired the lease for assignments to targets")
	}
	if !c.readPlan(ctx) {
		return
	}
	spec, targets := newSpec(cfg), c.placeableTargets(cfg)
	if !c.updatePlan(ctx, targets, spec) {
		return
	}
	actions := c.state.rollout.Advance(time.Now(), c.state.plan, targets, spec)
	c.outOfSync.Store(&actions.OutOfSync)
	c.outOfSyncCount.Update(int64(len(actions.OutOfSync)))
	c.fleet.SetDraining(actions.Drain)
	c.dispatcher.SetDesiredForToken(fencingToken, actions.Desired)
}

// resetState discards the state of the previous lease. Its drains are left to the next holder.
func (c *Controller) resetState() {
	if c.state.fencingToken == 0 {
		return
	}
	c.logger.Info().Uint64("Fence", c.state.fencingToken).Msg("stopped using the lease for assignments to targets")
	c.state = leaseState{}
	c.outOfSync.Store(&[]string{})
	c.outOfSyncCount.Update(0)
	c.dispatcher.SetDesiredForToken(0, nil)
}

// readPlan reads the plan from the row unless the row was already read under this lease, and reports
// whether c.state holds the row's plan.
func (c *Controller) readPlan(ctx context.Context) bool {
	if c.state.rowRead {
		return true
	}
	d, revision, err := readRow(ctx, c.table)
	if err != nil {
		c.countFailure(err, "could not read the placement from the table")
		return false
	}
	c.state.plan, c.state.revision, c.state.rowRead = d.assignments(), revision, true
	c.state.inputsHash = 0
	return true
}

// updatePlan repairs the plan if the targets or the configuration changed, and reports whether the plan
// in c.state may be rolled out. A changed plan may be rolled out once it is stored in the table.
func (c *Controller) updatePlan(ctx context.Context, targets []rollout.TargetState, spec rollout.Spec) bool {
	inputs, enough := hashInputs(targets, spec)
	if !enough || inputs == c.state.inputsHash || !c.allReported() {
		return true
	}
	repaired := rollout.Plan(c.state.plan, targets, spec)
	if repaired.Throughput == 0 {
		c.state.inputsHash = inputs
		c.logger.Warn().Str("LimitedBy", repaired.LimitedBy).Int("Targets", len(targets)).
			Msg("the available targets cannot hold every model; keeping the placement")
		return true
	}
	if slices.Equal(repaired.Assignments, c.state.plan) {
		c.state.inputsHash = inputs
		return true
	}
	revision, err := writeRow(ctx, c.table, c.state.revision, newRowContent(repaired.Assignments))
	if err != nil {
		// Another holder wrote the row, or the answer was lost. Read the row again in the next iteration.
		c.state.rowRead = false
		c.countFailure(err, "could not write the placement to the table")
		return false
	}
	c.recordPlan(repaired)
	c.state.plan, c.state.revision, c.state.inputsHash = repaired.Assignments, revision, inputs
	return true
}

// allReported reports whether each target has reported or is known to be unavailable. A target without a
// report would otherwise count as dead, and its layers would be loaded on other targets.
func (c *Controller) allReported() bool {
	for _, t := range c.fleet.Targets() {
		if t.Available && t.ReportRequestedAt.IsZero() {
			return false
		}
	}
	return true
}

// recordPlan counts the assignments that differ from the current plan, and logs the change.
func (c *Controller) recordPlan(repaired placement.Plan) {
	moves := 0
	for _, a := range repaired.Assignments {
		if !slices.Contains(c.state.plan, a) {
			moves++
		}
	}
	c.moves.Inc(int64(moves))
	c.logger.Info().Int("Moves", moves).Float64("Throughput", repaired.Throughput).Float64("Bound", repaired.Bound).
		Str("LimitedBy", repaired.LimitedBy).Msg("placement changed")
}

// countFailure counts and logs a failed read or write of the row.
func (c *Controller) countFailure(err error, message string) {
	c.failures.Inc(1)
	c.logger.Warn().Err(err).Msg(message)
}

// hashInputs returns a hash of the inputs of a plan, and whether enough targets are available to change
// the plan.
func hashInputs(targets []rollout.TargetState, spec rollout.Spec) (uint64, bool) {
	type input struct {
		Target    placement.Target
		Available bool
	}
	var inputs []input
	available := 0
	for _, t := range targets {
		inputs = append(inputs, input{t.Target, t.Available})
		if t.Available {
			available++
		}
	}
	slices.SortFunc(inputs, func(a, b input) int { return byName(a.Target, b.Target) })
	content, err := json.Marshal([]any{inputs, spec.Models})
	if err != nil {
		// Strings, numbers and booleans can always be encoded.
		panic(err)
	}
	return xxhash.Sum64(content), float64(available) >= minAvailable*float64(len(targets)) && available > 0
}

// placeableTargets returns the targets with the hardware data of their accelerators from the configuration.
// It omits targets whose accelerator the configuration does not name: they get no layers.
func (c *Controller) placeableTargets(cfg *configuration.Configuration) []rollout.TargetState {
	var known []rollout.TargetState
	for _, t := range c.fleet.Targets() {
		a, found := findAccelerator(cfg, t.Target.Accelerator)
		if !found {
			continue
		}
		t.Target.Memory, t.Target.Rate, t.Target.Link = int64(a.MemoryBytes), float64(a.Rate), float64(a.Link)
		known = append(known, t)
	}
	return known
}
