package decayingcount_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/decayingcount"
)

// TestCount guards against a rate that is not that of the events, and against a count that rises when the clock goes back.
func TestCount(t *testing.T) {
	const constant, perSecond = 4 * time.Second, 50
	var c decayingcount.Count
	now := time.Unix(1000, 0)
	qt.Assert(t, c.Value(constant, now), qt.Equals, 0.0)
	for range 60 * perSecond {
		now = now.Add(time.Second / perSecond)
		c.Add(constant, now)
	}
	value := c.Value(constant, now)
	qt.Check(t, math.Abs(value/constant.Seconds()-perSecond) < 0.02*perSecond, qt.IsTrue, qt.Commentf("%v", value))
	qt.Check(t, math.Abs(c.Value(constant, now.Add(constant))-value/math.E) < 1e-9, qt.IsTrue)
	qt.Check(t, c.Value(constant, now.Add(-time.Hour)), qt.Equals, value)
}
