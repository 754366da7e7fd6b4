package admission

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// RefusedError reports that a request was refused and did not run.
type RefusedError struct {
	Decision Decision
}

// Error returns the reason and the delay before a retry.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the request was refused: %s; retry after %s", e.Decision.Reason, e.Decision.RetryAfter)
}

// Controller blocks requests until they are admitted. It is safe for concurrent use.
type Controller struct {
	mu      sync.Mutex
	queue   *Queue
	now     func() time.Time
	waiters map[string]chan Decision // waiters are the channels of the blocked Acquire calls, by request ID.
}

// NewController returns a controller for queue that reads the time from now. Only the controller may use the queue
// from then on.
func NewController(queue *Queue, now func() time.Time) *Controller {
	return &Controller{queue: queue, now: now, waiters: map[string]chan Decision{}}
}

// Acquire blocks until the request may run. The error is a *RefusedError if the request was refused, or the error of
// ctx. After a nil error, release must be called once the request has ended; further calls of release do nothing.
func (c *Controller) Acquire(ctx context.Context, r Request) (release func(), err error) {
	decision, decided := c.submit(r)
	if decision.Verdict == Queued {
		select {
		case decision = <-decided:
		case <-ctx.Done():
			c.cancel(r.ID)
			return nil, ctx.Err()
		}
	}
	if decision.Verdict == Refused {
		return nil, &RefusedError{Decision: decision}
	}
	return sync.OnceFunc(func() { c.done(r.ID) }), nil
}

// Tick refuses queued requests that can no longer meet their deadline, and admits others if capacity is free.
func (c *Controller) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliver(now)
}

// SetCapacity sets the total cost that may run concurrently, and delivers the decisions that follow from the change.
func (c *Controller) SetCapacity(now time.Time, capacity float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.SetCapacity(now, capacity)
	c.deliver(now)
}

// Queued returns the number of queued requests.
func (c *Controller) Queued() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Queued()
}

// submit passes a request to the queue. If the request is queued, the channel will receive the final decision.
func (c *Controller) submit(r Request) (Decision, <-chan Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	decision := c.queue.Submit(now, r)
	if decision.Verdict != Queued {
		return decision, nil
	}
	decided := make(chan Decision, 1)
	c.waiters[r.ID] = decided
	c.deliver(now)
	return decision, decided
}

func (c *Controller) done(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.queue.Done(now, id)
	c.deliver(now)
}

// cancel withdraws a request whose Acquire call ended early. The queue may already have admitted the request.
func (c *Controller) cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	delete(c.waiters, id)
	c.queue.Cancel(now, id)
	c.deliver(now)
}

// deliver advances the queue to now and passes its decisions to the waiting goroutines. The channels are buffered, so
// deliver does not block.
func (c *Controller) deliver(now time.Time) {
	for _, d := range c.queue.Tick(now) {
		if decided, ok := c.waiters[d.ID]; ok {
			delete(c.waiters, d.ID)
			decided <- d
		}
	}
}
