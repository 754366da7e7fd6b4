// Package limit adapts the number of requests that may run on a target at once: it grows the
// limit additively while steps stay within their time budget and the limit is in use, and reduces
// it by a factor when they do not.
//
// A Limiter is not safe for concurrent use.
//
// Usage:
//
//	l := limit.New()
//	if l.Acquire() {
//		l.Release(now, took, budget)
//	}
package limit

import "time"

const (
	// Initial is about the batch of a small engine.
	Initial = 16
	// Minimum keeps one request running, so that recovery is noticed.
	Minimum = 1
	// Maximum is above the batch of any known engine.
	Maximum = 4096
	// decrease is the factor after steps beyond their budget.
	decrease = 0.8
	// settle is the time after a decrease in which slow steps do not decrease the limit again:
	// they were started before it.
	settle = 500 * time.Millisecond
)

// Limiter is the limit of one target.
type Limiter struct {
	limit   float64
	running int
	lowered time.Time
}

// New returns a limiter with the initial limit.
func New() *Limiter {
	return &Limiter{limit: Initial}
}

// Limit returns the number of requests that may run at once.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// Running returns the number of requests that run.
func (l *Limiter) Running() int {
	return l.running
}

// Acquire reports whether one more request may run, and counts it if so.
func (l *Limiter) Acquire() bool {
	if l.running >= l.Limit() {
		return false
	}
	l.running++
	return true
}

// Release ends a request whose smoothed step time was took, against a budget.
func (l *Limiter) Release(now time.Time, took, budget time.Duration) {
	l.Observe(now, took, budget)
	l.running = max(0, l.running-1)
}

// Observe takes in the time of one step against its budget.
func (l *Limiter) Observe(now time.Time, took, budget time.Duration) {
	if took > budget {
		l.reduce(now)
		return
	}
	if 2*l.running >= l.Limit() {
		l.limit = min(Maximum, l.limit+1/l.limit)
	}
}

// Failed reduces the limit after a failure or a timeout. The request stays counted until Release or Drop.
func (l *Limiter) Failed(now time.Time) {
	l.reduce(now)
}

// Drop ends a request without an observation, such as one that its caller cancelled.
func (l *Limiter) Drop() {
	l.running = max(0, l.running-1)
}

func (l *Limiter) reduce(now time.Time) {
	if now.Sub(l.lowered) < settle {
		return
	}
	l.lowered = now
	l.limit = max(Minimum, l.limit*decrease)
}
