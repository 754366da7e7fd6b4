package stream

import (
	"context"
	"fmt"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// runStep runs one step on one stage within its deadline and checks the answer.
func (g *generation) runStep(ctx context.Context, stage int, step *enginepb.Step) (*enginepb.StepResult, error) {
	runner, name := g.answer.runner, g.route[stage].Name
	times := runner.deadlines.of(name)
	size := g.prefillSize()
	limit := times.decodeDeadline()
	if isPrefill(step) {
		limit = times.prefillDeadline(size)
	}
	began, cost := runner.now(), g.cost(step)
	runner.router.Sent(name, cost, began)
	bounded, cancel := context.WithTimeoutCause(ctx, limit, errFrozen)
	result, err := g.stages[stage].Step(bounded, step)
	cause := context.Cause(bounded)
	cancel()

	now := runner.now()
	took := now.Sub(began)
	if err == nil || cause == errFrozen {
		observe(times, step, took, size)
	}
	g.note(stage, result, err)
	if err != nil {
		return nil, g.failedStep(ctx, stage, cost, cause, err)
	}
	runner.router.Finished(name, cost, took, now)
	if f := g.check(stage, step, result); f != nil {
		return nil, f
	}
	return result, nil
}

func observe(times *observed, step *enginepb.Step, took time.Duration, size int) {
	if isPrefill(step) {
		times.observePrefill(took, size)
		return
	}
	times.observeDecode(took)
}

// isPrefill reports whether the step starts a generation, whatever its stage.
func isPrefill(step *enginepb.Step) bool {
	return step.GetPosition() == 0
}

// prefillSize is the size in bytes of what a prefill computes. A token counts as 4 bytes of text.
func (g *generation) prefillSize() int {
	return len(g.answer.req.Prompt) + 4*len(g.answer.tokens)
}

// cost estimates the positions of a step.
func (g *generation) cost(step *enginepb.Step) float64 {
	if step.GetCount() > 0 {
		return float64(step.GetCount())
	}
	return max(1, float64(g.prefillSize())/4)
}

// note records how far the request got.
func (g *generation) note(stage int, result *enginepb.StepResult, err error) {
	switch {
	case err != nil && refusal.OutcomeOf(err) == outcome.NotRun:
		return
	case err != nil:
		g.sent[stage] = true
		g.answer.reach(perhaps)
	case provesNotRun(result.GetStatus()):
		return
	default:
		g.sent[stage] = true
		g.answer.reach(ran)
	}
}

func provesNotRun(s enginepb.StepStatus) bool {
	switch s {
	case enginepb.StepStatus_STEP_STATUS_MISSING_KV, enginepb.StepStatus_STEP_STATUS_WRONG_LAYERS,
		enginepb.StepStatus_STEP_STATUS_OVERLOADED, enginepb.StepStatus_STEP_STATUS_LEAVING:
		return true
	default:
		return false
	}
}

// failedStep tells apart a caller that has left, a frozen stage and a dead one.
func (g *generation) failedStep(ctx context.Context, stage int, cost float64, cause, err error) error {
	runner, name := g.answer.runner, g.route[stage].Name
	if ctx.Err() != nil {
		runner.router.Finished(name, cost, 0, runner.now())
		return err
	}
	runner.router.Failed(name, runner.now())
	if cause == errFrozen {
		return g.fault(stage, frozen, err)
	}
	if g.sent[stage] {
		return g.fault(stage, crashed, err)
	}
	return g.fault(stage, unreachable, err)
}

// check compares an answer with its step. A mismatch would mean a skipped or repeated layer or another caller's token, so the
// check is always on and its violation ends the generation.
func (g *generation) check(stage int, step *enginepb.Step, r *enginepb.StepResult) error {
	if mismatch := mismatchOf(step, r); mismatch != "" {
		return g.violation(stage, mismatch, r)
	}
	if r.GetStatus() == enginepb.StepStatus_STEP_STATUS_OK {
		return nil
	}
	return g.fault(stage, kindOf(r.GetStatus()), fmt.Errorf("%s: %s", r.GetStatus(), r.GetMessage()))
}

// violation logs an answer that breaks an invariant, counts it and returns the fault that ends the generation.
func (g *generation) violation(stage int, mismatch string, r *enginepb.StepResult) error {
	runner := g.answer.runner
	runner.counters.violated.Inc(1)
	runner.logger.Error().Str("Invariant", "StepMatchesAnswer").Str("Mismatch", mismatch).Str("Target", g.route[stage].Name).
		Str("Request", g.answer.req.ID).Uint32("Generation", g.number).Int("TokensSent", len(g.answer.tokens)).
		Stringer("Answer", withoutActivations(r)).Msg("an engine's answer does not match its step")
	return g.fault(stage, mismatched, fmt.Errorf("the answer differs in its %s", mismatch))
}

// withoutActivations keeps log lines short.
func withoutActivations(r *enginepb.StepResult) *enginepb.StepResult {
	return &enginepb.StepResult{
		Request: r.GetRequest(), Generation: r.GetGeneration(), Position: r.GetPosition(), Count: r.GetCount(),
		FirstLayer: r.GetFirstLayer(), EndLayer: r.GetEndLayer(), Status: r.GetStatus(), Token: r.GetToken(),
	}
}

// mismatchOf names the first field in which the answer differs from its step, "" where there is none.
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
