package engine

import (
	"context"
	"sync"

	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// key identifies a step. A result belongs to the step with the same key.
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

// waiter is a step that waits for its result. Its fields are guarded by the lock of waiting.
type waiter struct {
	step  *enginepb.Step
	key   key
	reply chan reply // reply has room for the one reply, so that sending never blocks.
	call  *call      // call is nil until the step is sent.
	left  bool       // left means that nobody waits any more.
}

// call is one POST /v1/steps.
type call struct {
	waiters []*waiter
	open    int // open is the number of steps without a result that somebody waits for.
	cancel  context.CancelFunc
}

// waiting holds the steps that wait for a result.
type waiting struct {
	mu    sync.Mutex
	byKey map[key]*waiter
}

func newWaiting() *waiting {
	return &waiting{byKey: map[key]*waiter{}}
}

func (w *waiting) size() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.byKey)
}

// add returns false where a step with the same key waits already.
func (w *waiting) add(step *enginepb.Step) (*waiter, bool) {
	added := &waiter{step: step, key: keyOfStep(step), reply: make(chan reply, 1)}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, found := w.byKey[added.key]; found {
		return nil, false
	}
	w.byKey[added.key] = added
	return added, true
}

// begin marks the steps that somebody still waits for as sent by a new call and returns the call, nil
// where none is left.
func (w *waiting) begin(pending []*waiter, cancel context.CancelFunc) *call {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &call{cancel: cancel}
	for _, p := range pending {
		if p.left {
			continue
		}
		p.call = c
		c.waiters = append(c.waiters, p)
	}
	c.open = len(c.waiters)
	if c.open == 0 {
		return nil
	}
	return c
}

// deliver hands a result to the step it belongs to, and reports false where no such step waits.
func (w *waiting) deliver(r *enginepb.StepResult) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	found, ok := w.byKey[keyOfResult(r)]
	if !ok || found.call == nil || !countMatches(found.step, r) {
		return false
	}
	w.settle(found, reply{result: r})
	return true
}

// countMatches compares the number of positions. Only the engine knows it on the first stage of a
// prefill, and a step that was not run has none.
func countMatches(s *enginepb.Step, r *enginepb.StepResult) bool {
	if r.GetStatus() != enginepb.StepStatus_STEP_STATUS_OK || s.GetCount() == 0 {
		return true
	}
	return s.GetCount() == r.GetCount()
}

// settle removes a waiter and replies to it. The call ends once nobody waits for its results. The lock is held.
func (w *waiting) settle(settled *waiter, r reply) {
	w.remove(settled)
	settled.reply <- r
}

func (w *waiting) remove(removed *waiter) {
	delete(w.byKey, removed.key)
	if removed.call == nil {
		return
	}
	removed.call.open--
	if removed.call.open == 0 {
		removed.call.cancel()
	}
}

// abandon removes a waiter whose caller has given up. It reports whether the step was sent, and whether
// a reply came first.
func (w *waiting) abandon(left *waiter) (sent, replied bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byKey[left.key] != left {
		return left.call != nil, true
	}
	left.left = true
	w.remove(left)
	return left.call != nil, false
}

// fail replies with err to every step of a call that has no result.
func (w *waiting) fail(c *call, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, failed := range c.waiters {
		if w.byKey[failed.key] == failed {
			w.settle(failed, reply{err: err})
		}
	}
}

func (w *waiting) failAll(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, failed := range w.byKey {
		w.settle(failed, reply{err: err})
	}
}
