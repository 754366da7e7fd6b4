// Package requestlimit keeps the request limits of targets.
//
// A target in need names in its responses how many requests a second it takes from all instances together. The limit
// holds until a response of the target names none.
//
// A Limiter is safe for concurrent use.
//
// Usage:
//
//	limiter := requestlimit.New()
//	changed := limiter.RecordLimit("w1", 13.7)
//	limiter.RecordNone("w1")
package requestlimit

import "sync"

// Limiter holds the limits of targets.
type Limiter struct {
	mu     sync.Mutex
	limits map[string]float64 // limits holds the requests a second of each limited target.
}

// New returns a limiter without limits.
func New() *Limiter {
	return &Limiter{limits: make(map[string]float64)}
}

// RecordLimit records that a target names a limit, in requests a second. It reports whether the limit is new or has
// changed.
func (l *Limiter) RecordLimit(name string, perSecond float64) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, limited := l.limits[name]
	l.limits[name] = perSecond
	return !limited || before != perSecond
}

// RecordNone records that a target names no limit. It reports whether the target had one.
func (l *Limiter) RecordNone(name string) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.limits[name]
	delete(l.limits, name)
	return limited
}
