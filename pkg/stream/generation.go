package stream

import (
	"context"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// generation is the part of an answer that runs on one route.
type generation struct {
	answer *answer
	number uint32
	route  []target.Target
	stages []Stage
	began  time.Time
	sent   []bool // sent tells which stages may hold something of this generation.
	dead   []bool // dead tells which stages need no cancel.
	apart  bool   // apart means that the route is held apart from other suspects.
}

func newGeneration(a *answer, route []target.Target) *generation {
	a.summary.Generations++
	a.runner.counters.generations.Inc(1)
	g := &generation{
		answer: a, number: a.summary.Generations, route: route,
		began: a.runner.now(), sent: make([]bool, len(route)), dead: make([]bool, len(route)),
		apart: a.apart,
	}
	for _, t := range route {
		g.stages = append(g.stages, a.runner.stages(t))
		a.runner.ledger.RequestStarted(a.req.ID, a.req.Fingerprint, t.Name)
	}
	return g
}

// run produces tokens until the answer ends, a stage fails, or ctx ends.
func (g *generation) run(ctx context.Context) error {
	position, count := uint32(0), uint32(0)
	for {
		result, err := g.pass(ctx, position, count)
		if err != nil {
			return err
		}
		if err := g.notePrefill(position, result); err != nil {
			return err
		}
		if result.GetEnd() {
			g.answer.summary.FinishReason = FinishStop
			return nil
		}
		if err := g.answer.accept(result.GetToken(), result.GetText()); err != nil {
			return err
		}
		if len(g.answer.tokens) >= g.answer.req.MaxTokens {
			g.answer.summary.FinishReason = FinishLength
			return nil
		}
		position, count = position+result.GetCount(), 1
	}
}

// notePrefill takes the prompt's size from the answer to a prefill, which also holds the tokens already
// emitted. A later prefill that counts differently did not compute the same text.
func (g *generation) notePrefill(position uint32, prefill *enginepb.StepResult) error {
	if position > 0 {
		return nil
	}
	g.answer.runner.ledger.RequestProgressed(g.answer.req.ID)
	g.answer.apart = false
	g.release()
	size := int(prefill.GetCount()) - len(g.answer.tokens)
	if g.answer.summary.PromptTokens == 0 {
		g.answer.summary.PromptTokens = size
	}
	if size != g.answer.summary.PromptTokens {
		return g.violation(0, "prompt size", prefill)
	}
	return nil
}

// pass runs one step through every stage in order and returns the last stage's result. A count of 0 is
// a prefill.
func (g *generation) pass(ctx context.Context, position, count uint32) (*enginepb.StepResult, error) {
	var result *enginepb.StepResult
	for i := range g.route {
		step := g.step(i, position, count)
		if i == 0 {
			g.fillFirst(step)
		} else {
			step.Activations = result.GetActivations()
		}
		next, err := g.runStep(ctx, i, step)
		if err != nil {
			return nil, err
		}
		result, count = next, next.GetCount()
	}
	return result, nil
}

func (g *generation) step(stage int, position, count uint32) *enginepb.Step {
	req := g.answer.req
	layers := g.route[stage].Layers
	return &enginepb.Step{
		Request: req.ID, Generation: g.number, Position: position, Count: count,
		FirstLayer: uint32(layers.First), EndLayer: uint32(layers.End),
		Priority: uint32(req.Priority.Level()), Model: req.Model,
	}
}

// fillFirst sets what only the first stage gets: the prompt and every token so far, or the newest token.
func (g *generation) fillFirst(step *enginepb.Step) {
	tokens := g.answer.tokens
	if step.GetCount() == 0 {
		step.Prompt = g.answer.req.Prompt
		step.Tokens = append([]uint32(nil), tokens...)
		return
	}
	step.Tokens = []uint32{tokens[len(tokens)-1]}
}

// end frees what the generation holds on its stages, without waiting for them. A crash has been
// reported before.
func (g *generation) end() {
	runner := g.answer.runner
	for i, t := range g.route {
		runner.ledger.RequestFinished(g.answer.req.ID, t.Name)
		if g.sent[i] && !g.dead[i] {
			runner.cancelLater(g.stages[i], g.answer.req.ID, g.number)
		}
	}
	g.release()
}

// release ends the hold on the route's targets. A suspect is cleared by its first step through the whole route, and others
// wait for the targets.
func (g *generation) release() {
	if !g.apart {
		return
	}
	g.apart = false
	g.answer.runner.router.ReleaseExclusive(g.route)
}

// cancelTimeout bounds the wait for a cancel. The engine drops the KV cache of a generation that nobody
// continues by itself.
const cancelTimeout = 2 * time.Second

// cancelLater does not use the context of the answer, which may have ended.
func (r *Runner) cancelLater(s Stage, request string, number uint32) {
	r.cleanUp(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := s.Cancel(ctx, request, number); err != nil {
			r.logger.Debug().Str("Request", request).Uint32("Generation", number).Err(err).Msg("cancel failed")
		}
	})
}
