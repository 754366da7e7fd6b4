// Package memorylimit decides how much of the KV cache of targets an instance may fill with new requests.
//
// It answers the load of more requests than the targets have memory for. Many instances share the targets and see each
// other's requests late, so that together they fill targets beyond their memory. Targets then refuse requests, which are
// sent again, and preempt running ones. The limit falls with each refusal that an instance gets, and rises slowly without
// refusals, so that all memory is used while the instances' picture of it is right.
//
// A Limit is safe for concurrent use.
//
// Usage:
//
//	limit := memorylimit.New()
//	limit.Refused(now) // A target refused a request for lack of memory.
//	request := path.Request{MaxUtilization: limit.Utilization(now)}
package memorylimit

import (
	"sync"
	"time"
)

const (
	// lowest is the lowest limit, as a fraction of a target's KV cache.
	lowest = 0.75
	// decrease is subtracted from the limit with each refusal.
	decrease = 0.1
	// increaseRate is added to the limit per second.
	increaseRate = 0.005
)

// Limit is the limit of one instance.
type Limit struct {
	mu    sync.Mutex
	value float64
	at    time.Time // at is the time of value.
}

// New returns a limit that allows all memory to be used.
func New() *Limit {
	return &Limit{value: 1}
}

// Refused records that a target refused a request for lack of memory.
func (l *Limit) Refused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = max(lowest, l.current(now)-decrease)
	l.at = now
}

// Utilization returns the fraction of a target's KV cache that new requests may use.
func (l *Limit) Utilization(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current(now)
}

// current returns the limit at a time. The lock must be held.
func (l *Limit) current(now time.Time) float64 {
	return min(1, l.value+increaseRate*max(now.Sub(l.at).Seconds(), 0))
}
