package daemon

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/stream"
	"github.com/cuminroute/cuminroute/pkg/verdict"
)

// ledger lets streams use the ledger of crashes.
type ledger struct {
	*verdict.Ledger
}

// Check implements stream.Ledger.
func (l ledger) Check(fingerprint uint64, now time.Time) stream.Verdict {
	return stream.Verdict(l.Ledger.Check(fingerprint, now))
}
