package stream

import (
	"context"
	"fmt"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/latency"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// attempt is the call of one step on one stage.
type attempt struct {
	generation  *generation
	stage       int
	step        *enginepb.Step
	times       *targetTimes
	prefillSize int     // prefillSize is the size of the prompt and the tokens so far, in bytes.
	cost        float64 // cost is the estimated number of positions.
	startedAt   time.Time
}

// runStep runs one step on one stage within its deadline and checks the result.
func (g *generation) runStep(ctx context.Context, stage int, step *enginepb.Step) (*enginepb.StepResult, error) {
	runner, name := g.response.runner, g.route[stage].Name
	a := &attempt{
		generation: g, stage: stage, step: step, times: runner.stepTimes.forTarget(name),
		prefillSize: g.prefillSize(), cost: g.cost(step), startedAt: runner.now(),
	}
	runner.router.RequestSent(name, a.cost, a.startedAt)
	result, cause, err := a.call(ctx)
	g.recordProgress(stage, result, err)
	if err != nil {
		return nil, a.stepError(ctx, cause, err)
	}
	a.recordResult(result)
	return result, g.checkResult(stage, step, result)
}

// call sends the step to the stage and waits for the result. The cause is errFrozen if the watchdog ended the call.
func (a *attempt) call(ctx context.Context) (result *enginepb.StepResult, cause, err error) {
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := a.startWatchdog(func() { cancel(errFrozen) })
	defer w.stop()
	result, err = a.generation.stages[a.stage].Step(bounded, a.step)
	return result, context.Cause(bounded), err
}

// startWatchdog starts a watchdog with the deadlines of the step, which calls frozen if the target counts as frozen.
func (a *attempt) startWatchdog(frozen func()) *watchdog {
	probe := func() { a.generation.response.runner.probe(a.generation.stages[a.stage], a.times) }
	if isPrefill(a.step) {
		return newWatchdog(a.times, a.times.prefillDeadline(a.prefillSize), maxPrefillDeadline(a.prefillSize), probe, frozen)
	}
	return newWatchdog(a.times, a.times.decodeDeadline(), latency.MaxDeadline, probe, frozen)
}

// observeTime records the duration of a step. If the deadline passed, the time until then is recorded, so
// that a target that is slow but alive gets a longer deadline.
func (a *attempt) observeTime(now time.Time) {
	if isPrefill(a.step) {
		a.times.observePrefill(now.Sub(a.startedAt), a.prefillSize)
		return
	}
	a.times.observeDecode(now.Sub(a.startedAt))
}

// recordResult records a result of the target with the router, the crash tracker and the step times. Only a step that
// ran is a sample of the speed of the target.
func (a *attempt) recordResult(result *enginepb.StepResult) {
	runner, name := a.generation.response.runner, a.generation.route[a.stage].Name
	now := runner.now()
	a.times.recordResponse()
	runner.crashTracker.TargetResponded(name)
	if result.GetStatus() != enginepb.StepStatus_STEP_STATUS_OK {
		runner.router.RequestAbandoned(name, a.cost, now)
		return
	}
	a.observeTime(now)
	runner.router.RequestFinished(name, a.cost, now.Sub(a.startedAt), now)
}

// stepError converts the error of a call and reports it to the router. If ctx has ended, it returns the error
// unchanged. Otherwise it returns the failure of a frozen, crashed or unreachable stage.
func (a *attempt) stepError(ctx context.Context, cause, err error) error {
	g, runner := a.generation, a.generation.response.runner
	name, now := g.route[a.stage].Name, runner.now()
	runner.router.RequestAbandoned(name, a.cost, now)
	if ctx.Err() != nil {
		return err
	}
	runner.router.TargetFailed(name, now)
	if cause == errFrozen {
		a.observeTime(now)
		err = fmt.Errorf("no result for %v, and no response to other streams for %v: %w",
			now.Sub(a.startedAt), now.Sub(a.times.lastResponseAt()), errFrozen)
		return g.failureWith(a.stage, frozen, err, time.Since(a.times.lastResponseAt()) >= latency.MinDeadline)
	}
	g.dead[a.stage] = true
	if g.sent[a.stage] {
		return g.failureWith(a.stage, crashed, err, true)
	}
	return g.failureWith(a.stage, unreachable, err, true)
}

// isPrefill reports whether the step is the first of its generation on a stage.
func isPrefill(step *enginepb.Step) bool {
	return step.GetPosition() == 0
}

// prefillSize returns the size in bytes of the input of a prefill. A token counts as 4 bytes of text.
func (g *generation) prefillSize() int {
	return len(g.response.req.Prompt) + 4*len(g.response.tokens)
}

// cost estimates the number of positions of a step.
func (g *generation) cost(step *enginepb.Step) float64 {
	if step.GetCount() > 0 {
		return float64(step.GetCount())
	}
	return max(1, float64(g.prefillSize())/4)
}

// recordProgress records how far the request got on a stage, from the result or the error of a step.
func (g *generation) recordProgress(stage int, result *enginepb.StepResult, err error) {
	switch {
	case err != nil && refusal.OutcomeOf(err) == outcome.NotRun:
		return
	case err != nil:
		g.sent[stage] = true
		g.response.raiseProgress(maybeReached)
	case notRun(result.GetStatus()):
		return
	default:
		g.sent[stage] = true
		g.response.raiseProgress(executed)
	}
}

// notRun reports whether the status means that the step did not run.
func notRun(s enginepb.StepStatus) bool {
	switch s {
	case enginepb.StepStatus_STEP_STATUS_MISSING_KV, enginepb.StepStatus_STEP_STATUS_WRONG_LAYERS,
		enginepb.StepStatus_STEP_STATUS_OVERLOADED, enginepb.StepStatus_STEP_STATUS_LEAVING:
		return true
	default:
		return false
	}
}

// checkResult returns the failure of a result that does not match its step, or whose status is not OK. A mismatch would
// mean a skipped or repeated layer or another client's token, so the check is always on and a mismatch ends the
// generation.
func (g *generation) checkResult(stage int, step *enginepb.Step, r *enginepb.StepResult) error {
	if mismatch := mismatchOf(step, r); mismatch != "" {
		return g.mismatchFailure(stage, mismatch, r)
	}
	if r.GetStatus() == enginepb.StepStatus_STEP_STATUS_OK {
		return nil
	}
	return g.failure(stage, failureKindOf(r.GetStatus()), fmt.Errorf("%s: %s", r.GetStatus(), r.GetMessage()))
}

// mismatchFailure logs and counts a result that violates an invariant, and returns the failure that ends the
// generation.
func (g *generation) mismatchFailure(stage int, mismatch string, r *enginepb.StepResult) error {
	runner := g.response.runner
	runner.counters.invariantsBroken.Inc(1)
	runner.logger.Error().Str("Invariant", "StepMatchesAnswer").Str("Mismatch", mismatch).Str("Target", g.route[stage].Name).
		Str("Request", g.response.req.ID).Uint32("Generation", g.number).Int("TokensSent", len(g.response.tokens)).
		Stringer("Answer", withoutActivations(r)).Msg("an engine's result does not match its step")
	return g.failure(stage, mismatched, fmt.Errorf("the result differs from the step in its %s", mismatch))
}

// withoutActivations copies the fields of a result that are logged, which leaves out the activations.
func withoutActivations(r *enginepb.StepResult) *enginepb.StepResult {
	return &enginepb.StepResult{
		Request: r.GetRequest(), Generation: r.GetGeneration(), Position: r.GetPosition(), Count: r.GetCount(),
		FirstLayer: r.GetFirstLayer(), EndLayer: r.GetEndLayer(), Status: r.GetStatus(), Token: r.GetToken(),
	}
}

// mismatchOf names the first field in which the result differs from its step, or "" if all fields match.
func mismatchOf(step *enginepb.Step, r *enginepb.StepResult) string {
	switch {
	case r.GetRequest() != step.GetRequest():
		return "request"
	case r.GetGeneration() != step.GetGeneration():
		return "generation"
	case r.GetPosition() != step.GetPosition():
		return "position"
	case r.GetFirstLayer() != step.GetFirstLayer() || r.GetEndLayer() != step.GetEndLayer():
		return "layer range"
	case r.GetStatus() != enginepb.StepStatus_STEP_STATUS_OK:
		return ""
	case r.GetCount() == 0 || step.GetCount() != 0 && r.GetCount() != step.GetCount():
		return "count"
	default:
		return ""
	}
}
