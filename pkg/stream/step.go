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

// attempt is one step on one stage.
type attempt struct {
	generation *generation
	stage      int
	step       *enginepb.Step
	times      *observed
	size       int // size is that of the prompt and the tokens so far, in bytes.
	cost       float64
	began      time.Time
}

// runStep runs one step on one stage within its deadline and checks the answer.
func (g *generation) runStep(ctx context.Context, stage int, step *enginepb.Step) (*enginepb.StepResult, error) {
	runner, name := g.answer.runner, g.route[stage].Name
	a := &attempt{
		generation: g, stage: stage, step: step, times: runner.deadlines.of(name),
		size: g.prefillSize(), cost: g.cost(step), began: runner.now(),
	}
	runner.router.RequestSent(name, a.cost, a.began)
	result, cause, err := a.call(ctx)
	g.note(stage, result, err)
	if err != nil {
		return nil, a.failed(ctx, cause, err)
	}
	a.answered(result)
	return result, g.check(stage, step, result)
}

// call returns the cause errFrozen where the step's deadline passed.
func (a *attempt) call(ctx context.Context) (result *enginepb.StepResult, cause, err error) {
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := a.watch(func() { cancel(errFrozen) })
	defer w.stop()
	result, err = a.generation.stages[a.stage].Step(bounded, a.step)
	return result, context.Cause(bounded), err
}

func (a *attempt) watch(frozen func()) *watch {
	probe := func() { a.generation.answer.runner.probe(a.generation.stages[a.stage], a.times) }
	if isPrefill(a.step) {
		return newWatch(a.times, a.times.prefillDeadline(a.size), prefillCap(a.size), probe, frozen)
	}
	return newWatch(a.times, a.times.decodeDeadline(), latency.MaxDeadline, probe, frozen)
}

// observe adds the time of a step. A step that ran into its deadline counts with its deadline, so that
// a target that is slow but alive gets a longer one.
func (a *attempt) observe(now time.Time) {
	if isPrefill(a.step) {
		a.times.observePrefill(now.Sub(a.began), a.size)
		return
	}
	a.times.observeDecode(now.Sub(a.began))
}

// answered takes in an answer of the target. Only a step that ran says how fast the target is.
func (a *attempt) answered(result *enginepb.StepResult) {
	runner, name := a.generation.answer.runner, a.generation.route[a.stage].Name
	now := runner.now()
	a.times.answered()
	runner.ledger.TargetResponded(name)
	if result.GetStatus() != enginepb.StepStatus_STEP_STATUS_OK {
		runner.router.RequestAbandoned(name, a.cost, now)
		return
	}
	a.observe(now)
	runner.router.RequestFinished(name, a.cost, now.Sub(a.began), now)
}

// failed tells apart a caller that has left, a frozen stage and a dead one.
func (a *attempt) failed(ctx context.Context, cause, err error) error {
	g, runner := a.generation, a.generation.answer.runner
	name, now := g.route[a.stage].Name, runner.now()
	runner.router.RequestAbandoned(name, a.cost, now)
	if ctx.Err() != nil {
		return err
	}
	runner.router.TargetFailed(name, now)
	if cause == errFrozen {
		a.observe(now)
		err = fmt.Errorf("no answer for %v, and none to other streams for %v: %w",
			now.Sub(a.began), now.Sub(a.times.latestSign()), errFrozen)
		return g.faultWith(a.stage, frozen, err, time.Since(a.times.latestSign()) >= latency.MinDeadline)
	}
	g.dead[a.stage] = true
	if g.sent[a.stage] {
		return g.faultWith(a.stage, crashed, err, true)
	}
	return g.faultWith(a.stage, unreachable, err, true)
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

// check compares an answer with its step. A mismatch would mean a skipped or repeated layer or another
// caller's token, so the check is always on and its violation ends the generation.
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
