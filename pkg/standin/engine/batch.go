package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// prefillShare is the time of one position of a prefill relative to one of a decode step:
// the positions of a prefill run in parallel.
const prefillShare = 0.125

// work is a step that waits or runs.
type work struct {
	ctx    context.Context
	step   *enginepb.Step
	result chan<- *enginepb.StepResult
	cached int
}

func (s *Server) enqueue(w *work) {
	s.mu.Lock()
	if len(s.queue) >= s.options.maxQueue {
		s.mu.Unlock()
		w.result <- answer(w.step, enginepb.StepStatus_STEP_STATUS_OVERLOADED, "the queue is full")
		return
	}
	at, _ := slices.BinarySearchFunc(s.queue, w.step.Priority+1, func(q *work, p uint32) int {
		return int(q.step.Priority) - int(p)
	})
	s.queue = slices.Insert(s.queue, at, w)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// iterate runs one batch after the other until the engine is closed.
func (s *Server) iterate() {
	for {
		select {
		case <-s.closed:
			return
		case <-s.wake:
		}
		s.due = time.Now()
		for s.iteration() {
		}
	}
}

// iteration runs one batch and reports whether there was one.
func (s *Server) iteration() bool {
	s.waitThawed()
	batch, took, life := s.nextBatch()
	if len(batch) == 0 {
		return false
	}
	s.sleepUntilDue(took)
	s.waitThawed()
	if s.crashes(batch, life) {
		s.Kill()
		return true
	}
	s.runBatch(batch, life)
	return true
}

// maxLag bounds the delays of the machine that busy iterations make up for.
const maxLag = 50 * time.Millisecond

// sleepUntilDue ends an iteration at the time it is due by the accelerator's rate, counted from
// when the last one was due: a late wake-up on a busy machine doesn't lower the rate.
func (s *Server) sleepUntilDue(took time.Duration) {
	if earliest := time.Now().Add(-maxLag); s.due.Before(earliest) {
		s.due = earliest
	}
	s.due = s.due.Add(took)
	time.Sleep(time.Until(s.due))
}

// nextBatch takes the steps of the next iteration off the queue. Life numbers the engine's
// restarts: a restarted engine doesn't run steps taken before.
func (s *Server) nextBatch() ([]*work, time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, func(w *work) bool { return w.ctx.Err() != nil })
	n := min(len(s.queue), s.options.maxBatch)
	batch := slices.Clone(s.queue[:n])
	s.queue = s.queue[n:]
	s.running = n
	var took time.Duration
	layers := 0
	for _, w := range batch {
		took += s.duration(w)
		layers = max(layers, int(w.step.EndLayer)-int(w.step.FirstLayer))
	}
	took += time.Duration(layers) * s.options.accelerator.PerLayer
	s.stepTime = (7*s.stepTime + took) / 8
	return batch, took, s.life
}

func (s *Server) duration(w *work) time.Duration {
	layers := time.Duration(w.step.EndLayer - w.step.FirstLayer)
	perPosition := layers * s.options.accelerator.PerPosition
	positions := positionsOf(w.step)
	if positions == 1 {
		return perPosition
	}
	w.cached = s.prefixes.lookup(w.step)
	return time.Duration(float64(max(positions-w.cached, 1)) * prefillShare * float64(perPosition))
}

func positionsOf(step *enginepb.Step) int {
	if step.Count > 0 {
		return int(step.Count)
	}
	return len(Tokenise(step.Prompt)) + len(step.Tokens)
}

// crashes reports whether the batch holds a request that crashes the engine.
func (s *Server) crashes(batch []*work, life int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range batch {
		if s.life == life && s.alive && strings.Contains(w.step.Prompt, CrashMarker) {
			s.crashed = append(s.crashed, w.step.Prompt)
			return true
		}
	}
	return false
}

func (s *Server) runBatch(batch []*work, life int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = 0
	if !s.alive || s.life != life {
		return
	}
	for _, w := range batch {
		w.result <- s.run(w)
	}
}

// run executes one step, or refuses it and runs nothing.
func (s *Server) run(w *work) *enginepb.StepResult {
	step := w.step
	first, end := int(step.FirstLayer), int(step.EndLayer)
	if step.Model != s.held.model || !s.held.layers.Contains(layer.Range{First: first, End: end}) || end <= first {
		return answer(step, enginepb.StepStatus_STEP_STATUS_WRONG_LAYERS, "the engine holds "+s.held.layers.String()+" of "+s.held.model)
	}
	if s.leaving && step.Position == 0 {
		s.refused = append(s.refused, time.Now())
		return answer(step, enginepb.StepStatus_STEP_STATUS_LEAVING, "the engine is leaving")
	}
	entry := s.kv.entry(keyOf(step), layer.Range{First: first, End: end}, step.Position == 0)
	if entry == nil || entry.positions != int(step.Position) {
		return answer(step, enginepb.StepStatus_STEP_STATUS_MISSING_KV, "the KV cache does not end at the step's position")
	}
	inputs, message := inputsOf(step)
	if message != "" {
		return answer(step, enginepb.StepStatus_STEP_STATUS_FAILED, message)
	}
	outputs := runLayers(entry.states, first, inputs)
	entry.positions += len(inputs)
	s.prefixes.store(step)
	if step.Position == 0 {
		s.prefilled.Positions += len(inputs)
		s.prefilled.Cached += min(w.cached, len(inputs))
	}
	s.record(step, len(inputs))
	return s.output(w, outputs)
}

func (s *Server) output(w *work, outputs []uint64) *enginepb.StepResult {
	result := answer(w.step, enginepb.StepStatus_STEP_STATUS_OK, "")
	result.Count = uint32(len(outputs))
	result.CachedPositions = uint32(w.cached)
	if int(w.step.EndLayer) < s.options.modelLayers {
		result.Activations = encode(outputs)
		return result
	}
	result.Token, result.End = sample(w.step.Model, outputs[len(outputs)-1])
	if !result.End {
		result.Text = TokenText(result.Token)
	}
	return result
}

// inputsOf returns the activations that enter the step's first layer, or why there are none.
func inputsOf(step *enginepb.Step) ([]uint64, string) {
	if step.FirstLayer > 0 {
		inputs, ok := decode(step.Activations)
		if !ok || len(inputs) == 0 || len(inputs) != int(step.Count) {
			return nil, "the activations do not match the count"
		}
		return inputs, ""
	}
	tokens := step.Tokens
	if step.Position == 0 {
		tokens = append(Tokenise(step.Prompt), step.Tokens...)
	}
	if len(tokens) == 0 || (step.Count > 0 && len(tokens) != int(step.Count)) {
		return nil, "the tokens do not match the count"
	}
	return embed(step.Model, tokens), ""
}

func (s *Server) record(step *enginepb.Step, count int) {
	if !s.options.recording {
		return
	}
	s.executions = append(s.executions, Execution{
		Target: s.options.name, Prompt: step.Prompt, Request: step.Request, Generation: step.Generation,
		Position: int(step.Position), Count: count,
		Layers: layer.Range{First: int(step.FirstLayer), End: int(step.EndLayer)}, At: time.Now(),
	})
}

func answer(step *enginepb.Step, status enginepb.StepStatus, message string) *enginepb.StepResult {
	return &enginepb.StepResult{
		Request: step.Request, Generation: step.Generation, Position: step.Position, Count: step.Count,
		FirstLayer: step.FirstLayer, EndLayer: step.EndLayer, Status: status, Message: message,
	}
}
