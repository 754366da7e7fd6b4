package engine

import (
	"context"
	"runtime"
	"sync"
)

// lane holds the pending steps of one kind and bounds the calls in flight for them.
type lane struct {
	mu      sync.Mutex
	pending []*waiter
	wake    chan struct{} // wake holds at most one signal that steps are pending.
	slots   chan struct{}
}

func newLane(inFlight int) *lane {
	return &lane{wake: make(chan struct{}, 1), slots: make(chan struct{}, inFlight)}
}

func (l *lane) submit(w *waiter) {
	l.mu.Lock()
	l.pending = append(l.pending, w)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// take returns everything that is pending.
func (l *lane) take() []*waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.pending
	l.pending = nil
	return taken
}

// acquire waits for a free slot and reports false when ctx ends first.
func (l *lane) acquire(ctx context.Context) bool {
	select {
	case l.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *lane) release() {
	<-l.slots
}

// send is the sender goroutine of a lane. It ends with the client.
func (c *Client) send(l *lane) {
	for {
		select {
		case <-l.wake:
		case <-c.ctx.Done():
			return
		}
		if !l.acquire(c.ctx) {
			return
		}
		// Streams whose results came in one batch submit their next steps together. Yielding once lets
		// them join this call.
		runtime.Gosched()
		c.sendPending(l)
	}
}

func (c *Client) sendPending(l *lane) {
	ctx, cancel := context.WithCancel(c.ctx)
	begun := c.waiting.begin(l.take(), cancel)
	if begun == nil {
		cancel()
		l.release()
		return
	}
	c.done.Go(func() {
		defer l.release()
		defer cancel()
		c.run(ctx, begun)
	})
}
