package memorylimit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/memorylimit"
)

// TestLimit guards against a limit that leaves most of the memory unused after many refusals, or stays low after them.
func TestLimit(t *testing.T) {
	now := time.Unix(1700000000, 0)
	l := memorylimit.New()
	qt.Assert(t, l.Utilization(now), qt.Equals, 1.0)
	l.Refused(now)
	qt.Assert(t, l.Utilization(now) < 1, qt.IsTrue)
	for range 100 {
		l.Refused(now)
	}
	qt.Assert(t, l.Utilization(now) >= 0.7, qt.IsTrue)
	qt.Assert(t, l.Utilization(now.Add(time.Minute)), qt.Equals, 1.0)
}
