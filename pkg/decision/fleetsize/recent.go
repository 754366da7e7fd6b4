// Package fleetsize keeps the highest number of live instances that was seen lately.
//
// The number of instances is uncertain when it matters most: an overloaded or partitioned instance loses members that are
// alive, and would then take too large a part of what the fleet shares. Members that are lost by mistake are back within a few
// seconds.
//
// A Recent is safe for concurrent use.
//
// Usage:
//
//	size := fleetsize.New(now)
//	size.Observe(146, now)
//	part := total / float64(size.Highest(now))
package fleetsize

import (
	"sync"
	"time"
)

const (
	// memory is how long a number counts.
	memory = 30 * time.Second
	// bucketTime is the resolution of the memory.
	bucketTime = 5 * time.Second
)

// Recent holds the numbers of instances that were seen lately.
type Recent struct {
	startedAt time.Time

	mu      sync.Mutex
	highest map[int64]int // highest holds the highest number seen in each bucketTime.
}

// New returns the memory of an instance that has started now and knows no others.
func New(now time.Time) *Recent {
	return &Recent{startedAt: now, highest: make(map[int64]int)}
}

// Observe records the number of live instances, this one included.
func (r *Recent) Observe(n int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	bucket := r.bucket(now)
	r.highest[bucket] = max(r.highest[bucket], n)
	for b := range r.highest {
		if b < bucket-int64(memory/bucketTime) {
			delete(r.highest, b)
		}
	}
}

// Highest returns the highest number that was observed lately, and at least 1.
func (r *Recent) Highest(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.bucket(now) - int64(memory/bucketTime)
	highest := 1
	for bucket, n := range r.highest {
		if bucket >= oldest {
			highest = max(highest, n)
		}
	}
	return highest
}

// bucket returns the number of the bucketTime that contains now.
func (r *Recent) bucket(now time.Time) int64 {
	return int64(now.Sub(r.startedAt) / bucketTime)
}
