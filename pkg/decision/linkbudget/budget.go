// Package linkbudget bounds the activations that one instance sends between data centres.
//
// It answers the load of a fleet that loses targets or memory in one data centre: paths then leave the data centre, and
// the activations of a prompt occupy the link between two data centres for tens of milliseconds. Transfers on a link run
// one after another. When more are started than the link can carry, all streams that cross it stall, hold the memory of
// all their targets, and force further requests to cross. The queue on the link then outlasts the failure.
//
// Each instance may use an equal part of a link, by the number of instances in the two data centres. The part needs no
// messages between instances and holds at any delay of what they know about each other. Streams that their clients have
// begun to receive may use the part in advance, so that they are resumed before new requests are started.
//
// A Budget is safe for concurrent use.
//
// Usage:
//
//	budget := linkbudget.New()
//	budget.SetInstances(map[string]int{"lj-a": 4, "lj-b": 4})
//	if budget.Allows("lj-a", "lj-b", started, now) { ... }
//	budget.Take("lj-a", "lj-b", engine.TransferTime(tokens), now)
package linkbudget

import (
	"sync"
	"time"
)

const (
	// maxUtilization is the fraction of a link's bandwidth that all instances together may use. The rest is for the tokens
	// of the answers, and for instances that count too few others.
	maxUtilization = 0.8
	// burstTime is the time whose part may be used at once.
	burstTime = time.Second
	// startedAdvance is how long in advance streams that have started may use the part.
	startedAdvance = 2 * time.Second
)

// link identifies the link between two data centres, for transfers in both directions.
type link struct {
	a, b string
}

// newLink returns the link between two data centres, in whatever order they are given.
func newLink(a, b string) link {
	return link{a: min(a, b), b: max(a, b)}
}

// Budget holds the parts of the links that one instance may use.
type Budget struct {
	mu        sync.Mutex
	start     time.Time
	instances map[string]int // instances holds the number of instances in each data centre.
	// busyUntil holds when the transfers of this instance on each link would end, as the time since start, if the instance
	// sent them at the rate of its part.
	busyUntil map[link]time.Duration
}

// New returns a budget for the only instance of a fleet.
func New() *Budget {
	return &Budget{instances: make(map[string]int), busyUntil: make(map[link]time.Duration)}
}

// SetInstances sets the number of instances in each data centre, this one included.
func (b *Budget) SetInstances(counts map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = counts
}

// Allows reports whether a transfer between two data centres may be started now. started means that it belongs to a
// stream that its client has begun to receive.
func (b *Budget) Allows(from, to string, started bool, now time.Time) bool {
	limit := burstTime
	if started {
		limit += startedAdvance
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.busyUntil[newLink(from, to)]-b.sinceStart(now) < limit
}

// Take records a transfer that occupies the whole link for a time.
func (b *Budget) Take(from, to string, occupied time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := newLink(from, to)
	sharers := max(b.instances[l.a]+b.instances[l.b], 1)
	inPart := time.Duration(float64(occupied) * float64(sharers) / maxUtilization)
	b.busyUntil[l] = max(b.busyUntil[l], b.sinceStart(now)) + inPart
}

// sinceStart returns the time since the first call. The lock must be held.
func (b *Budget) sinceStart(now time.Time) time.Duration {
	if b.start.IsZero() {
		b.start = now
	}
	return now.Sub(b.start)
}
