// Package decayingcount counts events so that older ones count less: each decays exponentially with its age. Decisions use it to smooth
// rates and fractions.
//
// Usage:
//
//	var count decayingcount.Count
//	count.Add(4*time.Second, now)
//	perSecond := count.Value(4*time.Second, now) / 4
package decayingcount

import (
	"math"
	"time"
)

// Count is a number of events. The time constant must be the same in all calls: an event of that long ago counts 1/e. Its zero value has
// no events. It is not safe for concurrent use.
type Count struct {
	number float64
	at     time.Time // at is the time of number.
}

// Add counts an event.
func (c *Count) Add(constant time.Duration, now time.Time) {
	c.number, c.at = c.Value(constant, now)+1, now
}

// Value returns the number of events, each with its weight.
func (c *Count) Value(constant time.Duration, now time.Time) float64 {
	return c.number * math.Exp(-max(now.Sub(c.at), 0).Seconds()/constant.Seconds())
}
