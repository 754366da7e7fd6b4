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

// Error names the reason and when to come back.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the request was refused: %s; retry after %s", e.Decision.Reason, e.Decision.RetryAfter)
}

// Controller lets traffic goroutines wait for admission. It is safe for concurrent use.
type Controller struct {
	mu      sync.Mutex
	queue   *Queue
	now     func() time.Time
	waiters map[string]chan Decision
}

// NewController returns a gate in front of queue, which only the gate may use from then on.
func NewController(queue *Queue, now func() time.Time) *Controller {
	return &Controller{queue: queue, now: now, waiters: map[string]chan Decision{}}
}

// Acquire waits until the request may run. The error is a *RefusedError if the request was refused,
// or that of ctx. After a nil error, release must be called once the request has ended; further
// calls of it do nothing.
func (g *Controller) Acquire(ctx context.Context, t Request) (release func(), err error) {
	decision, decided := g.submit(t)
	if decision.Verdict == Queued {
		select {
		case decision = <-decided:
		case <-ctx.Done():
			g.cancel(t.ID)
			return nil, ctx.Err()
		}
	}
	if decision.Verdict == Refused {
		return nil, &RefusedError{Decision: decision}
	}
	return sync.OnceFunc(func() { g.done(t.ID) }), nil
}

// Tick refuses queued requests that can no longer meet their deadline, and admits others if
// capacity is free.
func (g *Controller) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(now)
}

// SetCapacity sets the cost that may run at once.
func (g *Controller) SetCapacity(now time.Time, capacity float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetCapacity(now, capacity)
	g.deliver(now)
}

// Queued returns the number of queued requests.
func (g *Controller) Queued() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Queued()
}

func (g *Controller) submit(t Request) (Decision, <-chan Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	decision := g.queue.Submit(now, t)
	if decision.Verdict != Queued {
		return decision, nil
	}
	decided := make(chan Decision, 1)
	g.waiters[t.ID] = decided
	g.deliver(now)
	return decision, decided
}

func (g *Controller) done(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.queue.Done(now, id)
	g.deliver(now)
}

// cancel withdraws a request, which may have been admitted in the meantime.
func (g *Controller) cancel(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	delete(g.waiters, id)
	g.queue.Cancel(now, id)
	g.deliver(now)
}

// deliver hands new decisions to the goroutines that wait for them. The channels are buffered, so
// this does not block.
func (g *Controller) deliver(now time.Time) {
	for _, d := range g.queue.Tick(now) {
		if decided, ok := g.waiters[d.ID]; ok {
			delete(g.waiters, d.ID)
			decided <- d
		}
	}
}
