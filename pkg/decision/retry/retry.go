// Package retry bounds how much load retries add, and spreads them in time.
//
// Each key (a workspace or a target) has a token bucket that fills with its requests and, so that
// a quiet key may retry too, with time. A full outage therefore amplifies the load by at most 1.1
// plus the minimum rate.
//
// A Budget is safe for concurrent use.
//
// Usage:
//
//	budget := retry.New()
//	budget.RecordRequest("workspace-1", now)
//	if budget.AllowAll(now, "workspace-1", "target-7") {
//		delay := retry.Backoff(attempt, rand.Int64N)
//	}
package retry

import (
	"sync"
	"time"
)

const (
	// defaultRatio is the number of retries that one request pays for.
	defaultRatio = 0.1
	// defaultRate is the number of retries per second that a key may always make.
	defaultRate = 3.0
	// defaultBurst bounds the retries saved up, so that a long quiet time does not pay for a storm.
	defaultBurst = 10.0
	// idle is the time after which an unused key is forgotten; its bucket is full by then.
	idle = time.Minute

	// backoffBase and backoffCap bound the delay before a retry. The cap keeps retries within
	// usual deadlines.
	backoffBase = 25 * time.Millisecond
	backoffCap  = time.Second
)

// bucket holds the retries that one key may make.
type bucket struct {
	tokens float64
	filled time.Time
}

// Budget holds a token bucket for each key.
type Budget struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	swept   time.Time
	ratio   float64
	rate    float64
	burst   float64
}

// Option changes a budget.
type Option func(*Budget)

// WithRatio sets the number of retries that one request pays for.
func WithRatio(ratio float64) Option {
	return func(b *Budget) { b.ratio = ratio }
}

// WithMinRate sets the number of retries per second that a key may always make.
func WithMinRate(perSecond float64) Option {
	return func(b *Budget) { b.rate = perSecond }
}

// New returns a budget without keys.
func New(options ...Option) *Budget {
	b := &Budget{buckets: map[string]*bucket{}, ratio: defaultRatio, rate: defaultRate, burst: defaultBurst}
	for _, o := range options {
		o(b)
	}
	return b
}

// SetMinRate changes the number of retries per second that a key may always make, and how many it saves up.
func (b *Budget) SetMinRate(perSecond, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate, b.burst = perSecond, burst
}

// Request notes a first attempt, which pays for a tenth of a retry.
func (b *Budget) RecordRequest(key string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(key, now)
	k.tokens = min(b.burst, k.tokens+b.ratio)
}

// Allow reports whether the key may make a retry now, and takes it out of the budget if so.
func (b *Budget) Allow(key string, now time.Time) bool {
	return b.AllowAll(now, key)
}

// AllowAll reports whether every key, such as a workspace and a target, may make a retry now. It
// takes the retry out of the budgets of all of them or of none.
func (b *Budget) AllowAll(now time.Time, keys ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		if b.bucket(key, now).tokens < 1 {
			return false
		}
	}
	for _, key := range keys {
		b.bucket(key, now).tokens--
	}
	return true
}

// Len returns the number of keys that are kept.
func (b *Budget) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.buckets)
}

// bucket returns the key's bucket, filled up to now.
func (b *Budget) bucket(key string, now time.Time) *bucket {
	b.sweep(now)
	k, ok := b.buckets[key]
	if !ok {
		k = &bucket{tokens: b.rate, filled: now} // It starts with one second of the rate.
		b.buckets[key] = k
	}
	if passed := now.Sub(k.filled); passed > 0 {
		k.tokens = min(b.burst, k.tokens+passed.Seconds()*b.rate)
		k.filled = now
	}
	return k
}

// sweep forgets idle keys once for each idle period, so that memory is bounded by the keys in use.
func (b *Budget) sweep(now time.Time) {
	if now.Sub(b.swept) < idle {
		return
	}
	b.swept = now
	for key, k := range b.buckets {
		if now.Sub(k.filled) >= idle {
			delete(b.buckets, key)
		}
	}
}

// Backoff returns the delay before the retry of that number (1 for the first): a random time up
// to an exponentially growing bound. Full jitter spreads retries of requests that failed together.
// Random returns a number in [0, n), as rand.Int64N does.
func Backoff(attempt int, random func(n int64) int64) time.Duration {
	bound := backoffBase
	for i := 1; i < attempt && bound < backoffCap; i++ {
		bound *= 2
	}
	return time.Duration(random(int64(min(bound, backoffCap)) + 1))
}
