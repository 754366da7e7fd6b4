// Package retry implements a retry budget, which bounds the load that retries add, and an
// exponential backoff with jitter.
//
// Each key (a workspace or a target) has a token bucket. The bucket is refilled by the key's requests
// and at a minimum rate, so that a key with few requests may retry too. A full outage therefore
// amplifies the load by a factor of at most 1.1, plus the retries of the minimum rate.
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
	// defaultRatio is the number of retries that each request adds to the budget.
	defaultRatio = 0.1
	// defaultMinRate is the number of retries per second that a key may always make.
	defaultMinRate = 3.0
	// defaultBurst bounds the bucket, so that a long time without retries does not allow a retry storm.
	defaultBurst = 10.0
	// idleTimeout is the time after which an unused key is removed. At the default rate the key's bucket is
	// full by then.
	idleTimeout = time.Minute

	// backoffBase is the longest delay before the first retry, backoffCap the longest before any retry.
	// The cap keeps retries within usual deadlines.
	backoffBase = 25 * time.Millisecond
	backoffCap  = time.Second
)

// bucket is the token bucket of one key. Each retry takes one token.
type bucket struct {
	tokens float64
	filled time.Time // filled is when the bucket was last refilled.
}

// Budget holds a token bucket for each key.
type Budget struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	swept   time.Time // swept is when idle keys were last removed.
	ratio   float64
	minRate float64
	burst   float64
	initial float64 // initial is the number of tokens of a new bucket; negative means the tokens of one second.
}

// Option configures a budget.
type Option func(*Budget)

// WithRatio sets the number of retries that each request adds to the budget.
func WithRatio(ratio float64) Option {
	return func(b *Budget) { b.ratio = ratio }
}

// WithMinRate sets the number of retries per second that a key may always make.
func WithMinRate(perSecond float64) Option {
	return func(b *Budget) { b.minRate = perSecond }
}

// WithInitial sets the number of retries that a new key may make at once. The default is that of one second.
func WithInitial(retries float64) Option {
	return func(b *Budget) { b.initial = retries }
}

// New returns a budget without keys.
func New(options ...Option) *Budget {
	b := &Budget{buckets: map[string]*bucket{}, ratio: defaultRatio, minRate: defaultMinRate, burst: defaultBurst, initial: -1}
	for _, o := range options {
		o(b)
	}
	return b
}

// SetMinRate changes the number of retries per second that a key may always make, and the size of
// each key's bucket.
func (b *Budget) SetMinRate(perSecond, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.minRate, b.burst = perSecond, burst
}

// RecordRequest records the first attempt of a request, which adds a tenth of a retry by default.
func (b *Budget) RecordRequest(key string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.bucket(key, now)
	entry.tokens = min(b.burst, entry.tokens+b.ratio)
}

// Allow reports whether the key may make a retry now, and takes a token if so.
func (b *Budget) Allow(key string, now time.Time) bool {
	return b.AllowAll(now, key)
}

// AllowAll reports whether every key, such as a workspace and a target, may make a retry now. It
// takes a token from all of their buckets or from none.
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

// Len returns the number of keys with a bucket.
func (b *Budget) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.buckets)
}

// bucket returns the key's bucket after refilling it up to now. It creates a missing bucket and, once per
// idleTimeout, removes idle keys.
func (b *Budget) bucket(key string, now time.Time) *bucket {
	b.sweep(now)
	entry, ok := b.buckets[key]
	if !ok {
		entry = &bucket{tokens: b.initialTokens(), filled: now}
		b.buckets[key] = entry
	}
	if elapsed := now.Sub(entry.filled); elapsed > 0 {
		entry.tokens = min(b.burst, entry.tokens+elapsed.Seconds()*b.minRate)
		entry.filled = now
	}
	return entry
}

// initialTokens returns the tokens of a new bucket.
func (b *Budget) initialTokens() float64 {
	if b.initial < 0 {
		return b.minRate
	}
	return b.initial
}

// sweep removes idle keys once per idleTimeout, so that memory is bounded by the keys in use.
func (b *Budget) sweep(now time.Time) {
	if now.Sub(b.swept) < idleTimeout {
		return
	}
	b.swept = now
	for key, entry := range b.buckets {
		if now.Sub(entry.filled) >= idleTimeout {
			delete(b.buckets, key)
		}
	}
}

// Backoff returns the delay before a retry: a random time up to a bound that doubles with each
// attempt, which is 1 for the first retry. Full jitter spreads the retries of requests that failed
// together. The function random must return a number in [0, n), as rand.Int64N does.
func Backoff(attempt int, random func(n int64) int64) time.Duration {
	bound := backoffBase
	for i := 1; i < attempt && bound < backoffCap; i++ {
		bound *= 2
	}
	return time.Duration(random(int64(min(bound, backoffCap)) + 1))
}
