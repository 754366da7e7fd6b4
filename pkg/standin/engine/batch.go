package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// prefillCostRatio is the time of a prefill position relative to that of a decode position. It is
// below 1 since the positions of a prefill run in parallel.
const prefillCostRatio = 0.125

// pendingStep is a step that is queued or runs.
type pendingStep struct {
	ctx    context.Context
	step   *enginepb.Step
	result chan<- *enginepb.StepResult
	cached int
}

func (s *Server) enqueue(w *pendingStep) {
	s.mu.Lock()
	if len(s.queue) >= s.options.maxQueue {
		s.mu.Unlock()
		w.result <- newResult(w.step, enginepb.StepStatus_STEP_STATUS_OVERLOADED, "the queue is full")
		return
	}
	at, _ := slices.BinarySearchFunc(s.queue, w.step.Priority+1, func(q *pendingStep, p uint32) int {
		return int(q.step.Priority) - int(p)
	})
	s.queue = slices.Insert(s.queue, at, w)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runBatches runs batches one after another until the engine is closed.
func (s *Server) runBatches() {
	for {
		select {
		case <-s.closed:
			return
		case <-s.wake:
		}
		s.nextDue = time.Now()
		for s.runNextBatch() {
		}
	}
}

// runNextBatch runs the next batch and reports whether there was one.
func (s *Server) runNextBatch() bool {
	s.waitUnfrozen()
	batch, took, restarts := s.nextBatch()
	if len(batch) == 0 {
		return false
	}
	s.sleepUntilDue(took)
	s.waitUnfrozen()
	if s.crashOnMarker(batch, restarts) {
		s.Kill()
		return true
	}
	s.executeBatch(batch, restarts)
	return true
}

// maxCatchUp bounds the wake-up delays of the host that later iterations make up for.
const maxCatchUp = 50 * time.Millisecond

// sleepUntilDue sleeps until the iteration is due at the accelerator's rate. The time counts from when
// the last iteration was due, so that late wake-ups on a busy host don't lower the rate.
func (s *Server) sleepUntilDue(took time.Duration) {
	if earliest := time.Now().Add(-maxCatchUp); s.nextDue.Before(earliest) {
		s.nextDue = earliest
	}
	s.nextDue = s.nextDue.Add(took)
	time.Sleep(time.Until(s.nextDue))
}

// nextBatch removes the steps of the next iteration from the queue. It returns them with the time that
// they take and the number of restarts, since steps from before a restart must not run after it.
func (s *Server) nextBatch() ([]*pendingStep, time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, func(w *pendingStep) bool { return w.ctx.Err() != nil })
	n := min(len(s.queue), s.options.maxBatch)
	batch := slices.Clone(s.queue[:n])
	s.queue = s.queue[n:]
	s.running = n
	var took time.Duration
	layers := 0
	for _, w := range batch {
		took += s.stepDuration(w)
		layers = max(layers, int(w.step.EndLayer)-int(w.step.FirstLayer))
	}
	took += time.Duration(layers) * s.options.accelerator.PerLayer
	s.stepTime = (7*s.stepTime + took) / 8
	return batch, took, s.restarts
}

func (s *Server) stepDuration(w *pendingStep) time.Duration {
	layers := time.Duration(w.step.EndLayer - w.step.FirstLayer)
	perPosition := layers * s.options.accelerator.PerPosition
	positions := positionCount(w.step)
	if positions == 1 {
		return perPosition
	}
	w.cached = s.prefixes.lookup(w.step)
	return time.Duration(float64(max(positions-w.cached, 1)) * prefillCostRatio * float64(perPosition))
}

func positionCount(step *enginepb.Step) int {
	if step.Count > 0 {
		return int(step.Count)
	}
	return len(Tokenise(step.Prompt)) + len(step.Tokens)
}

// crashOnMarker reports whether the batch has a prompt with CrashMarker, and records that prompt.
func (s *Server) crashOnMarker(batch []*pendingStep, restarts int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range batch {
		if s.restarts == restarts && s.alive && strings.Contains(w.step.Prompt, CrashMarker) {
			s.crashPrompts = append(s.crashPrompts, w.step.Prompt)
			return true
		}
	}
	return false
}

func (s *Server) executeBatch(batch []*pendingStep, restarts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = 0
	if !s.alive || s.restarts != restarts {
		return
	}
	for _, w := range batch {
		w.result <- s.execute(w)
	}
}

// execute runs one step, or refuses it without running anything.
func (s *Server) execute(w *pendingStep) *enginepb.StepResult {
	step := w.step
	first, end := int(step.FirstLayer), int(step.EndLayer)
	if step.Model != s.weights.model || !s.weights.layers.Contains(layer.Range{First: first, End: end}) || end <= first {
		return newResult(step, enginepb.StepStatus_STEP_STATUS_WRONG_LAYERS, "the engine holds "+s.weights.layers.String()+" of "+s.weights.model)
	}
	if s.leaving && step.Position == 0 {
		s.refusalTimes = append(s.refusalTimes, time.Now())
		return newResult(step, enginepb.StepStatus_STEP_STATUS_LEAVING, "the engine is leaving")
	}
	entry := s.kv.entry(keyOf(step), layer.Range{First: first, End: end}, step.Position == 0)
	if entry == nil || entry.positions != int(step.Position) {
		return newResult(step, enginepb.StepStatus_STEP_STATUS_MISSING_KV, "the KV cache does not end at the step's position")
	}
	inputs, message := stepInputs(step)
	if message != "" {
		return newResult(step, enginepb.StepStatus_STEP_STATUS_FAILED, message)
	}
	outputs := runLayers(entry.states, first, inputs)
	entry.positions += len(inputs)
	s.prefixes.store(step)
	if step.Position == 0 {
		s.prefillStats.Positions += len(inputs)
		s.prefillStats.Cached += min(w.cached, len(inputs))
	}
	s.record(step, len(inputs))
	return s.output(w, outputs)
}

func (s *Server) output(w *pendingStep, outputs []uint64) *enginepb.StepResult {
	result := newResult(w.step, enginepb.StepStatus_STEP_STATUS_OK, "")
	result.Count = uint32(len(outputs))
	result.CachedPositions = uint32(w.cached)
	if int(w.step.EndLayer) < s.options.modelLayers {
		result.Activations = encodeUint64s(outputs)
		return result
	}
	result.Token, result.End = sample(w.step.Model, outputs[len(outputs)-1])
	if !result.End {
		result.Text = TokenText(result.Token)
	}
	return result
}

// stepInputs returns the input activations of the step's first layer, or a message that says why there are none.
func stepInputs(step *enginepb.Step) ([]uint64, string) {
	if step.FirstLayer > 0 {
		inputs, ok := decodeUint64s(step.Activations)
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

func newResult(step *enginepb.Step, status enginepb.StepStatus, message string) *enginepb.StepResult {
	return &enginepb.StepResult{
		Request: step.Request, Generation: step.Generation, Position: step.Position, Count: step.Count,
		FirstLayer: step.FirstLayer, EndLayer: step.EndLayer, Status: status, Message: message,
	}
}
