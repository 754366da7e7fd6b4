// Package drain counts running requests, so that a planned stop can refuse new ones and wait for the others.
//
// Usage:
//
//	leave, err := counter.Enter()
//	if err != nil {
//		return err // NotRun, with the time to come back.
//	}
//	defer leave()
//
// On a planned stop:
//
//	counter.Drain()
//	err := counter.Wait(ctx)
package drain

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// DefaultRetryAfter is how long a client waits after a refusal by a draining instance. The load balancer sends
// the repeat to another instance, so the wait only needs to cover its readiness poll of 1 s.
const DefaultRetryAfter = time.Second

// Counter counts running requests. Its zero value accepts requests.
type Counter struct {
	mu       sync.Mutex
	running  int
	draining bool
	idle     chan struct{} // idle is closed once draining and nothing runs.
}

// Enter counts one request in, or refuses it while draining. Leave must be called when the request has ended;
// calling it again has no effect.
func (c *Counter) Enter() (leave func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return nil, refusal.New(http.StatusServiceUnavailable, "draining", outcome.NotRun,
			"this instance is stopping and accepts no new requests").WithRetryAfter(DefaultRetryAfter)
	}
	c.running++
	return sync.OnceFunc(c.leave), nil
}

// EnterDependent counts in work that follows from a request that still runs, also while draining.
func (c *Counter) EnterDependent() (leave func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running++
	return sync.OnceFunc(c.leave)
}

func (c *Counter) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	c.closeIfIdle()
}

// Drain refuses every new request from now on.
func (c *Counter) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.closeIfIdle()
}

func (c *Counter) closeIfIdle() {
	if c.draining && c.running == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Draining reports whether new requests are refused.
func (c *Counter) Draining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// Running returns the number of requests that run.
func (c *Counter) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// Wait returns nil once the counter is draining and nothing runs, and the error of ctx when that ends first.
func (c *Counter) Wait(ctx context.Context) error {
	idle := c.whenIdle()
	select {
	case <-idle:
		return nil
	default:
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Counter) whenIdle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining && c.running == 0 {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	return c.idle
}
