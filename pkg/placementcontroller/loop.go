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

// turn looks at the fleet once. It does nothing without the lease.
func (k *Controller) turn(ctx context.Context) {
	c := k.fleet.Configuration()
	managed := c.HeadOffice.Placement.Managed
	k.dispatcher.SetCandidate(managed && k.fleet.Candidate())
	fence, holds := k.dispatcher.FencingToken()
	if !managed {
		if holds {
			k.fleet.SetDraining(nil)
		}
		k.leave()
		return
	}
	if !holds {
		// The lease may only have lapsed. If nobody else takes it, it comes back with its number, and
		// what is known stays valid.
		k.waiting.Store(&[]string{})
		return
	}
	if fence != k.state.fence {
		k.leave()
		k.state = holding{fence: fence, rollout: rollout.New(k.rolloutOptions...)}
		k.logger.Info().Uint64("Fence", fence).Msg("this instance gives the orders to engines")
	}
	if !k.read(ctx) {
		return
	}
	goal, targets := goalOf(c), k.targets(c)
	if !k.replan(ctx, targets, goal) {
		return
	}
	step := k.state.rollout.Advance(time.Now(), k.state.plan, targets, goal)
	k.waiting.Store(&step.OutOfSync)
	k.differing.Update(int64(len(step.OutOfSync)))
	k.fleet.SetDraining(step.Drain)
	k.dispatcher.SetDesiredForToken(fence, step.Desired)
}

// leave forgets what was known under a lease. Drains are left to its next holder.
func (k *Controller) leave() {
	if k.state.fence == 0 {
		return
	}
	k.logger.Info().Uint64("Fence", k.state.fence).Msg("the lease for orders is not used any more")
	k.state = holding{}
	k.waiting.Store(&[]string{})
	k.differing.Update(0)
	k.dispatcher.SetDesiredForToken(0, nil)
}

// read reads the row unless it is known under this lease.
func (k *Controller) read(ctx context.Context) bool {
	if k.state.known {
		return true
	}
	d, revision, err := readDocument(ctx, k.table)
	if err != nil {
		k.failed(err, "the placement could not be read")
		return false
	}
	k.state.plan, k.state.revision, k.state.known = d.assignments(), revision, true
	k.state.inputs = 0
	return true
}

// replan repairs the plan if the targets or the configuration changed, and reports whether a plan
// is in force. A changed plan is in force once it is in the table.
func (k *Controller) replan(ctx context.Context, targets []rollout.TargetState, goal rollout.Spec) bool {
	inputs, enough := inputsOf(targets, goal)
	if !enough || inputs == k.state.inputs || !k.heardAll() {
		return true
	}
	repaired := rollout.Plan(k.state.plan, targets, goal)
	if repaired.Throughput == 0 {
		k.state.inputs = inputs
		k.logger.Warn().Str("LimitedBy", repaired.LimitedBy).Int("Targets", len(targets)).
			Msg("the targets that are left cannot hold every model; the placement stays")
		return true
	}
	if slices.Equal(repaired.Assignments, k.state.plan) {
		k.state.inputs = inputs
		return true
	}
	revision, err := writeDocument(ctx, k.table, k.state.revision, documentOf(repaired.Assignments))
	if err != nil {
		// Another holder wrote the row, or the answer was lost: the row decides.
		k.state.known = false
		k.failed(err, "the placement could not be written")
		return false
	}
	k.note(repaired)
	k.state.plan, k.state.revision, k.state.inputs = repaired.Assignments, revision, inputs
	return true
}

// heardAll reports whether each target has reported or is known not to be available. A target that
// was not heard yet would else be taken for lost, and its layers would be loaded elsewhere.
func (k *Controller) heardAll() bool {
	for _, t := range k.fleet.Targets() {
		if t.Available && t.ReportRequestedAt.IsZero() {
			return false
		}
	}
	return true
}

func (k *Controller) note(repaired placement.Plan) {
	moves := 0
	for _, a := range repaired.Assignments {
		if !slices.Contains(k.state.plan, a) {
			moves++
		}
	}
	k.moves.Inc(int64(moves))
	k.logger.Info().Int("Moves", moves).Float64("Throughput", repaired.Throughput).Float64("Bound", repaired.Bound).
		Str("LimitedBy", repaired.LimitedBy).Msg("the placement changed")
}

func (k *Controller) failed(err error, message string) {
	k.failures.Inc(1)
	k.logger.Warn().Err(err).Msg(message)
}

// inputsOf returns a hash of what a plan depends on, and whether enough targets are available to
// change it.
func inputsOf(targets []rollout.TargetState, goal rollout.Spec) (uint64, bool) {
	type input struct {
		Worker    placement.Target
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
	slices.SortFunc(inputs, func(a, b input) int { return byName(a.Worker, b.Worker) })
	content, err := json.Marshal([]any{inputs, goal.Models})
	if err != nil {
		// Names, numbers and flags always encode.
		panic(err)
	}
	return xxhash.Sum64(content), float64(available) >= leastHeard*float64(len(targets)) && available > 0
}

// targets returns the engines with the hardware that the configuration states. An engine of another
// kind is not placed.
func (k *Controller) targets(c *configuration.Configuration) []rollout.TargetState {
	var known []rollout.TargetState
	for _, t := range k.fleet.Targets() {
		a, found := acceleratorOf(c, t.Target.Accelerator)
		if !found {
			continue
		}
		t.Target.Memory, t.Target.Rate, t.Target.Link = int64(a.MemoryBytes), float64(a.Rate), float64(a.Link)
		known = append(known, t)
	}
	return known
}
