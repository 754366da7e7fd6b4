package stream

import (
	"context"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// generation is the part of a response that is generated on one route.
type generation struct {
	response  *response
	number    uint32
	route     []target.Target
	stages    []Stage
	startedAt time.Time
	sent      []bool // sent tells which stages may have received a step, and so may hold a KV cache of this generation.
	dead      []bool // dead tells which stages broke their connection, and so need no cancellation.
	exclusive bool   // exclusive means that the route is reserved for this request, which is a suspect of a crash.
}

// newGeneration starts a generation on the route and reports to the crash tracker that the request runs there.
func newGeneration(r *response, route []target.Target) *generation {
	r.summary.Generations++
	r.runner.counters.generations.Inc(1)
	g := &generation{
		response: r, number: r.summary.Generations, route: route,
		startedAt: r.runner.now(), sent: make([]bool, len(route)), dead: make([]bool, len(route)),
		exclusive: r.exclusive,
	}
	for _, t := range route {
		g.stages = append(g.stages, r.runner.stages(t))
		r.runner.crashTracker.RequestStarted(r.req.ID, r.req.Fingerprint, t.Name, r.req.Parts...)
	}
	return g
}

// run generates and emits tokens until the response ends, a stage or emit fails, or ctx ends.
func (g *generation) run(ctx context.Context) error {
	position, count := uint32(0), uint32(0)
	for {
		result, err := g.runStages(ctx, position, count)
		if err != nil {
			return err
		}
		if err := g.recordPrefill(position, result); err != nil {
			return err
		}
		if result.GetEnd() {
			g.response.summary.FinishReason = FinishStop
			return nil
		}
		if err := g.response.emitToken(result.GetToken(), result.GetText()); err != nil {
			return err
		}
		if len(g.response.tokens) >= g.response.req.MaxTokens {
			g.response.summary.FinishReason = FinishLength
			return nil
		}
		position, count = position+result.GetCount(), 1
	}
}

// recordPrefill reports a prefill that passed the whole route to the crash tracker, and releases an exclusive route. It
// takes the number of prompt tokens from the result, whose count also covers the tokens already emitted. A later prefill
// with another number of prompt tokens did not compute the same text. For a decode step, recordPrefill does nothing.
func (g *generation) recordPrefill(position uint32, prefill *enginepb.StepResult) error {
	if position > 0 {
		return nil
	}
	g.response.runner.crashTracker.RequestProgressed(g.response.req.ID)
	g.response.exclusive = false
	g.releaseExclusive()
	size := int(prefill.GetCount()) - len(g.response.tokens)
	if g.response.summary.PromptTokens == 0 {
		g.response.summary.PromptTokens = size
	}
	if size != g.response.summary.PromptTokens {
		return g.mismatchFailure(0, "prompt size", prefill)
	}
	return nil
}

// runStages runs one step through every stage in order and returns the last stage's result. A count of 0 means a
// prefill.
func (g *generation) runStages(ctx context.Context, position, count uint32) (*enginepb.StepResult, error) {
	var result *enginepb.StepResult
	for i := range g.route {
		step := g.newStep(i, position, count)
		if i == 0 {
			g.setFirstStageInput(step)
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

// newStep returns the step for a stage, without input.
func (g *generation) newStep(stage int, position, count uint32) *enginepb.Step {
	req := g.response.req
	layers := g.route[stage].Layers
	return &enginepb.Step{
		Request: req.ID, Generation: g.number, Position: position, Count: count,
		FirstLayer: uint32(layers.First), EndLayer: uint32(layers.End),
		Priority: uint32(req.Priority.Level()), Model: req.Model,
	}
}

// setFirstStageInput sets the input that only the first stage receives: the prompt and all emitted tokens for a
// prefill, or the newest token for a decode step.
func (g *generation) setFirstStageInput(step *enginepb.Step) {
	tokens := g.response.tokens
	if step.GetCount() == 0 {
		step.Prompt = g.response.req.Prompt
		step.Tokens = append([]uint32(nil), tokens...)
		return
	}
	step.Tokens = []uint32{tokens[len(tokens)-1]}
}

// end frees the KV cache of the generation on its stages, without waiting for them, and releases an exclusive route. A
// crash must have been reported to the crash tracker before.
func (g *generation) end() {
	runner := g.response.runner
	for i, t := range g.route {
		runner.crashTracker.RequestFinished(g.response.req.ID, t.Name)
		if g.sent[i] && !g.dead[i] {
			runner.cancelLater(g.stages[i], g.response.req.ID, g.number)
		}
	}
	g.releaseExclusive()
}

// releaseExclusive releases the targets of the route if they are reserved. It is called after the first step through
// the whole route, which clears a suspect, since other suspects wait for the targets.
func (g *generation) releaseExclusive() {
	if !g.exclusive {
		return
	}
	g.exclusive = false
	g.response.runner.router.ReleaseExclusive(g.route)
}

// cancelTimeout bounds the wait for a cancellation. If the cancellation fails, the engine itself drops the KV cache of
// a generation that does not continue.
const cancelTimeout = 2 * time.Second

// cancelLater cancels a generation in the background. The context of the response is not used, since it may have
// ended.
func (r *Runner) cancelLater(s Stage, request string, number uint32) {
	r.cleanUpAsync(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := s.Cancel(ctx, request, number); err != nil {
			r.logger.Debug().Str("Request", request).Uint32("Generation", number).Err(err).Msg("cancelling a generation failed")
		}
	})
}
