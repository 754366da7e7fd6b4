package daemon

import (
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/quarantine"
)

// ledger shares one quarantine ledger between traffic goroutines, and reports each new entry once.
type ledger struct {
	mu       sync.Mutex
	state    *quarantine.Ledger
	reported map[uint64]time.Time
}

func newLedger() *ledger {
	return &ledger{state: quarantine.New(), reported: make(map[uint64]time.Time)}
}

// Start implements stream.Ledger.
func (l *ledger) Start(request string, fingerprint uint64, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Start(request, fingerprint, target)
}

// Finish implements stream.Ledger.
func (l *ledger) Finish(request, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Finish(request, target)
}

// Crash implements stream.Ledger.
func (l *ledger) Crash(target string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Crash(target, now)
}

// Quarantined implements stream.Ledger.
func (l *ledger) Quarantined(fingerprint uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Quarantined(fingerprint, now)
}

// Alive notes that a target answered something.
func (l *ledger) Alive(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Alive(target)
}

// add takes an entry that another instance found.
func (l *ledger) add(e quarantine.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Add(e.Fingerprint, e.Until)
	l.reported[e.Fingerprint] = e.Until
}

// entries returns the entries in force.
func (l *ledger) entries(now time.Time) []quarantine.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.List(now)
}

// fresh returns the entries that were found here and not returned before.
func (l *ledger) fresh(now time.Time) []quarantine.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []quarantine.Entry
	for _, e := range l.state.List(now) {
		if until, known := l.reported[e.Fingerprint]; !known || until.Before(e.Until) {
			l.reported[e.Fingerprint] = e.Until
			found = append(found, e)
		}
	}
	for fingerprint, until := range l.reported {
		if until.Before(now) {
			delete(l.reported, fingerprint)
		}
	}
	return found
}
