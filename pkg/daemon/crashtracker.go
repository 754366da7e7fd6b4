package daemon

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/quarantinesync"
	"github.com/cuminroute/cuminroute/pkg/stream"
)

// crashTracker adapts a quarantinesync.Tracker to the stream package.
type crashTracker struct {
	*quarantinesync.Tracker
}

// Check implements stream.CrashTracker.
func (t crashTracker) Check(fingerprint uint64, now time.Time, parts ...uint64) stream.Verdict {
	return stream.Verdict(t.Tracker.Check(fingerprint, now, parts...))
}
