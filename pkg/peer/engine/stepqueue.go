package engine

import (
	"context"
	"runtime"
	"sync"
)

// stepQueue holds the steps of one kind that are not sent yet, and limits the calls in flight for them.
type stepQueue struct {
	mu     sync.Mutex
	queued []*pendingStep
	wake   chan struct{} // wake holds at most one signal that steps are queued.
	slots  chan struct{}
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

// acquire waits for a free call slot. It returns false if ctx ends first.
func (q *stepQueue) acquire(ctx context.Context) bool {
	select {
	case q.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (q *stepQueue) release() {
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
		if !q.acquire(c.ctx) {
			return
		}
		// Streams whose results arrived in one batch submit their next steps at almost the same time. Yielding
		// once lets these steps join this call.
		runtime.Gosched()
		c.sendQueued(q)
	}
}

func (c *Client) sendQueued(q *stepQueue) {
	ctx, cancel := context.WithCancel(c.ctx)
	call := c.pending.startCall(q.takeAll(), cancel)
	if call == nil {
		cancel()
		q.release()
		return
	}
	c.goroutines.Go(func() {
		defer q.release()
		defer cancel()
		c.runCall(ctx, call)
	})
}
