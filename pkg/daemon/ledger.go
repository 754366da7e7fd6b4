package daemon

import (
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/quarantine"
	"github.com/cuminroute/cuminroute/pkg/stream"
	"github.com/cuminroute/cuminroute/pkg/target"
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

// Check implements stream.Ledger.
func (l *ledger) Check(fingerprint uint64, now time.Time) stream.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return stream.Verdict(l.state.Check(fingerprint, now))
}

// Progress implements stream.Ledger.
func (l *ledger) Progress(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Progress(request)
}

// Completed implements stream.Ledger.
func (l *ledger) Completed(fingerprint uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Completed(fingerprint)
}

// forbidden returns the targets on which the content may not be started now.
func (l *ledger) forbidden(request string, fingerprint uint64, targets []target.Target, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for _, t := range targets {
		if t.Kind == target.Engine && !l.state.MayRun(request, fingerprint, t.Name, now) {
			names = append(names, t.Name)
		}
	}
	return names
}

// Alive implements stream.Ledger.
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
