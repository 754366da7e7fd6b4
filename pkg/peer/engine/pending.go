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

// pendingStep is a step without a result. Its fields are guarded by the lock of pendingSteps.
type pendingStep struct {
	step      *enginepb.Step
	key       key
	reply     chan reply // reply has a buffer of one, so that sending the only reply never blocks.
	call      *stepCall  // call is nil until the step is sent.
	abandoned bool       // abandoned means that the step's caller has stopped waiting.
}

// stepCall is one POST /v1/steps request.
type stepCall struct {
	steps       []*pendingStep
	outstanding int // outstanding is the number of steps in the call that are still pending.
	cancel      context.CancelFunc
}

// pendingSteps holds the steps without a result, queued and sent ones.
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

// add returns false if a step with the same key is already pending.
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

// countMatches compares the number of positions. On the first stage of a prefill only the engine knows it, and
// the result of a step that was not run has none.
func countMatches(s *enginepb.Step, r *enginepb.StepResult) bool {
	if r.GetStatus() != enginepb.StepStatus_STEP_STATUS_OK || s.GetCount() == 0 {
		return true
	}
	return s.GetCount() == r.GetCount()
}

// complete removes a step and sends it its reply. The lock must be held.
func (s *pendingSteps) complete(p *pendingStep, r reply) {
	s.remove(p)
	p.reply <- r
}

// remove removes a step. Its call is cancelled when none of the call's steps is pending any more. The lock must be
// held.
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

// abandon removes a step whose caller has stopped waiting. It returns whether the step was sent and whether a
// reply came first.
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
