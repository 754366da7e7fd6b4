package fleetsize_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/fleetsize"
)

// TestHighest guards against an instance that takes itself for one of few because it has lost members for a moment, and against
// a number that counts for good.
func TestHighest(t *testing.T) {
	start := time.Unix(1000, 0)
	r := fleetsize.New(start)
	qt.Assert(t, r.Highest(start), qt.Equals, 1)
	r.Observe(18, start)
	r.Observe(1, start.Add(10*time.Second))
	qt.Assert(t, r.Highest(start.Add(20*time.Second)), qt.Equals, 18)
	qt.Assert(t, r.Highest(start.Add(36*time.Second)), qt.Equals, 1)
}
