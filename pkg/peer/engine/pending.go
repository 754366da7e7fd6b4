package engine

import (
	"context"
	"sync"

	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// key identifies a step. A result belongs to the pending step with the same key.
type key struct {
	request    string
	generation uint32
	position   uint32
	first, end uint32
}

func keyOfStep(s *enginepb.Step) key {
	return key{s.GetRequest(), s.GetGeneration(), s.GetPosition(), s.GetFirstLayer(), s.GetEndLayer()}
}

func keyOfResult(r *enginepb.StepResult) key {
	return key{r.GetRequest(), r.GetGeneration(), r.GetPosition(), r.GetFirstLayer(), r.GetEndLayer()}
}

type reply struct {
	result *enginepb.StepResult
	err    error
}

// pendingStep is a step that is queued or waits for its result. The lock of pendingSteps guards its fields.
type pendingStep struct {
	step      *enginepb.Step
	key       key
	reply     chan reply // reply has a buffer of one, so that sending the only reply never blocks.
	call      *stepCall  // call is nil until the step is sent.
	abandoned bool       // abandoned means that Client.Step has stopped waiting for the result.
}

// stepCall is one POST /v1/steps request.
type stepCall struct {
	steps       []*pendingStep
	outstanding int // outstanding is the number of steps in the call that are still pending.
	cancel      context.CancelFunc
}

// pendingSteps holds the steps without a result, both queued and sent.
type pendingSteps struct {
	mu    sync.Mutex
	byKey map[key]*pendingStep
}

func newPendingSteps() *pendingSteps {
	return &pendingSteps{byKey: map[key]*pendingStep{}}
}

func (s *pendingSteps) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byKey)
}

// add adds a step. It returns false if a step with the same key is already pending.
func (s *pendingSteps) add(step *enginepb.Step) (*pendingStep, bool) {
	added := &pendingStep{step: step, key: keyOfStep(step), reply: make(chan reply, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.byKey[added.key]; found {
		return nil, false
	}
	s.byKey[added.key] = added
	return added, true
}

// startCall creates a call for the steps that have not been abandoned and marks them as sent. It returns nil if
// no step remains.
func (s *pendingSteps) startCall(steps []*pendingStep, cancel context.CancelFunc) *stepCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &stepCall{cancel: cancel}
	for _, p := range steps {
		if p.abandoned {
			continue
		}
		p.call = c
		c.steps = append(c.steps, p)
	}
	c.outstanding = len(c.steps)
	if c.outstanding == 0 {
		return nil
	}
	return c
}

// deliver completes the step that a result belongs to. It returns false if no such step is pending.
func (s *pendingSteps) deliver(r *enginepb.StepResult) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.byKey[keyOfResult(r)]
	if !ok || p.call == nil || !countMatches(p.step, r) {
		return false
	}
	s.complete(p, reply{result: r})
	return true
}

// countMatches reports whether a result has as many positions as its step. It accepts every number for the first
// stage of a prefill, where only the engine knows the number, and for a step that was not run, whose result has none.
func countMatches(s *enginepb.Step, r *enginepb.StepResult) bool {
	if r.GetStatus() != enginepb.StepStatus_STEP_STATUS_OK || s.GetCount() == 0 {
		return true
	}
	return s.GetCount() == r.GetCount()
}

// complete removes a step and sends r on the step's reply channel. The lock must be held.
func (s *pendingSteps) complete(p *pendingStep, r reply) {
	s.remove(p)
	p.reply <- r
}

// remove removes a step, and cancels the step's call if that has no other pending step. The lock must be held.
func (s *pendingSteps) remove(p *pendingStep) {
	delete(s.byKey, p.key)
	if p.call == nil {
		return
	}
	p.call.outstanding--
	if p.call.outstanding == 0 {
		p.call.cancel()
	}
}

// abandon removes a step that Client.Step has stopped waiting for. It returns whether the step was sent, and whether
// the reply arrived before abandon, which then removes nothing.
func (s *pendingSteps) abandon(p *pendingStep) (sent, replied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey[p.key] != p {
		return p.call != nil, true
	}
	p.abandoned = true
	s.remove(p)
	return p.call != nil, false
}

// fail completes the pending steps of a call with err.
func (s *pendingSteps) fail(c *stepCall, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range c.steps {
		if s.byKey[p.key] == p {
			s.complete(p, reply{err: err})
		}
	}
}

func (s *pendingSteps) failAll(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.byKey {
		s.complete(p, reply{err: err})
	}
}
