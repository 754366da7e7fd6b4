package engine

import (
	"context"
	"runtime"
	"sync"
)

// stepQueue holds the prefills or the decode steps that are not sent yet, and limits the calls in flight for them.
type stepQueue struct {
	mu     sync.Mutex
	queued []*pendingStep
	wake   chan struct{} // wake holds at most one signal that steps are queued.
	slots  chan struct{} // slots holds one element for each call in flight; its capacity is the limit.
}

func newStepQueue(inFlight int) *stepQueue {
	return &stepQueue{wake: make(chan struct{}, 1), slots: make(chan struct{}, inFlight)}
}

func (q *stepQueue) submit(p *pendingStep) {
	q.mu.Lock()
	q.queued = append(q.queued, p)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all queued steps.
func (q *stepQueue) takeAll() []*pendingStep {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.queued
	q.queued = nil
	return taken
}

// acquireSlot waits until another call may be in flight. It returns false if ctx ends first.
func (q *stepQueue) acquireSlot(ctx context.Context) bool {
	select {
	case q.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (q *stepQueue) releaseSlot() {
	<-q.slots
}

// sendLoop is the sender goroutine of a queue. It ends when the client is closed.
func (c *Client) sendLoop(q *stepQueue) {
	for {
		select {
		case <-q.wake:
		case <-c.ctx.Done():
			return
		}
		if !q.acquireSlot(c.ctx) {
			return
		}
		// Streams whose results arrived in one batch submit their next steps at almost the same time. Yielding
		// once lets these steps join this call.
		runtime.Gosched()
		c.sendQueued(q)
	}
}

// sendQueued sends the queued steps in one call, and releases the slot when the call ends.
func (c *Client) sendQueued(q *stepQueue) {
	ctx, cancel := context.WithCancel(c.ctx)
	call := c.pending.startCall(q.takeAll(), cancel)
	if call == nil {
		cancel()
		q.releaseSlot()
		return
	}
	c.goroutines.Go(func() {
		defer q.releaseSlot()
		defer cancel()
		c.runCall(ctx, call)
	})
}
