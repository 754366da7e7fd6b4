// Package limit adapts the number of requests that may run on a target at once: it grows the
// limit additively while steps stay within their time budget and the limit is in use, and reduces
// it by a factor when they do not.
//
// A Limiter reads no clock and is safe for concurrent use.
//
// Usage:
//
//	l := limit.New()
//	if l.Acquire() {
//		defer l.Release()
//		l.Observe(now, took, budget) // for each step
//	}
package limit

import (
	"sync"
	"time"
)

const (
	// Initial is about the batch of a small engine.
	Initial = 16
	// Minimum keeps one request running, so that recovery is noticed.
	Minimum = 1
	// Maximum is above the batch of any known engine.
	Maximum = 4096
	// decrease is the factor after steps beyond their budget.
	decrease = 0.8
	// settleSteps is the time after a decrease, in steps, in which slow steps do not decrease the
	// limit again: they were started before it.
	settleSteps = 2
	// careful is the part of the last limit that was too high, from which the limit grows at
	// carefulGrowth. Growing at full speed up to it, a quarter of all steps are above their budget.
	careful       = 0.9
	carefulGrowth = 0.1
	// forget is the time without a decrease after which that limit no longer counts.
	forget = 5 * time.Second
)

// Limiter is the limit of one target.
type Limiter struct {
	mu      sync.Mutex
	limit   float64
	ceiling float64   // ceiling is the last limit that was too high.
	settled time.Time // settled is until when slow steps are ignored.
	running int
	lowered time.Time
}

// New returns a limiter with the initial limit.
func New() *Limiter {
	return &Limiter{limit: Initial}
}

// Limit returns the number of requests that may run at once.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// Running returns the number of requests that run.
func (l *Limiter) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// Acquire reports whether one more request may run, and counts it if so.
func (l *Limiter) Acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= int(l.limit) {
		return false
	}
	l.running++
	return true
}

// Release ends a request.
func (l *Limiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = max(0, l.running-1)
}

// Observe takes in the time of one step against its budget. The limit grows only while at least
// half of it is in use, since an idle target tells nothing about a higher limit.
func (l *Limiter) Observe(now time.Time, took, budget time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if took > budget {
		l.reduce(now, took)
		return
	}
	if 2*l.running >= int(l.limit) {
		l.limit = min(Maximum, l.limit+l.growth(now)/l.limit)
	}
}

// growth returns the increase for one round of steps.
func (l *Limiter) growth(now time.Time) float64 {
	if l.limit >= careful*l.ceiling && now.Sub(l.lowered) < forget {
		return carefulGrowth
	}
	return 1
}

// Failed reduces the limit after a failure, a timeout or an answer that the target is overloaded.
// Took is the time after which it was noticed.
func (l *Limiter) Failed(now time.Time, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reduce(now, took)
}

func (l *Limiter) reduce(now time.Time, took time.Duration) {
	if now.Before(l.settled) {
		return
	}
	l.lowered = now
	l.settled = now.Add(settleSteps * took)
	l.ceiling = l.limit
	l.limit = max(Minimum, l.limit*decrease)
}
