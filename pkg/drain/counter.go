// Package drain counts running requests, so that a graceful shutdown can refuse new requests and wait for
// running ones. An instance that does so is draining.
//
// Usage:
//
//	leave, err := counter.Enter()
//	if err != nil {
//		return err // A refusal with outcome NotRun and a Retry-After time.
//	}
//	defer leave()
//
// On a graceful shutdown:
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

// DefaultRetryAfter is how long a client should wait after a refusal by a draining instance. The load balancer
// sends the retry to another instance, so the wait only needs to cover its readiness poll interval of 1 s.
const DefaultRetryAfter = time.Second

// Counter counts running requests. Its zero value accepts requests.
type Counter struct {
	mu       sync.Mutex
	running  int
	draining bool
	idle     chan struct{} // idle is closed once the counter is draining and no request runs.
}

// Enter registers a request, or refuses it while draining. The caller must call leave when the request has
// ended; further calls have no effect.
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

// EnterDependent registers follow-up work of a request that is still running. Unlike Enter, it also
// accepts work while draining.
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

// Drain starts to refuse new requests.
func (c *Counter) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.closeIfIdle()
}

// DrainIfIdle starts to refuse new requests if none runs, and reports whether it did. No request can enter between the check
// and the start.
func (c *Counter) DrainIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running > 0 {
		return false
	}
	c.draining = true
	c.closeIfIdle()
	return true
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

// Wait returns nil once the counter is draining and no request runs, or the error of ctx if ctx ends first. If
// both hold when Wait is called, it returns nil.
func (c *Counter) Wait(ctx context.Context) error {
	idle := c.idleChan()
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

// idleChan returns a channel that is closed once the counter is draining and no request runs. All waiters share
// one channel.
func (c *Counter) idleChan() <-chan struct{} {
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
