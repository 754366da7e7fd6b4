package daemon

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/quarantinesync"
	"github.com/cuminroute/cuminroute/pkg/stream"
)

// ledger lets streams use the ledger of crashes.
type ledger struct {
	*quarantinesync.Tracker
}

// Check implements stream.Ledger.
func (l ledger) Check(fingerprint uint64, now time.Time) stream.Verdict {
	return stream.Verdict(l.Tracker.Check(fingerprint, now))
}
