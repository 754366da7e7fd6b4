package daemon

import (
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/quarantine"
	"github.com/cuminroute/cuminroute/pkg/stream"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// holdLife is how long other instances hold the suspects of a crash here. It covers the retries of a
// suspect, after which its content is free or quarantined.
const holdLife = 5 * time.Second

// ledger lets streams use the quarantine ledger, and tells the other instances of each verdict.
type ledger struct {
	state *quarantine.Ledger
	tell  func([]membership.Item) // tell sends items to the other instances without waiting.

	mu       sync.Mutex
	reported map[uint64]time.Time // reported are the quarantines that the other instances know.
	held     map[uint64]time.Time // held are the contents that the others hold because of this instance.
}

func newLedger(tell func([]membership.Item)) *ledger {
	return &ledger{state: quarantine.New(), tell: tell, reported: make(map[uint64]time.Time), held: make(map[uint64]time.Time)}
}

// Start implements stream.Ledger.
func (l *ledger) Start(request string, fingerprint uint64, target string) {
	l.state.Start(request, fingerprint, target)
}

// Finish implements stream.Ledger.
func (l *ledger) Finish(request, target string) {
	l.state.Finish(request, target)
}

// Crash implements stream.Ledger. The other instances hold the suspects from now on: the caller of a
// crashing request may send it again there before this instance has a verdict.
func (l *ledger) Crash(target string, now time.Time) {
	var items []membership.Item
	for _, s := range l.state.Crash(target, now) {
		if s.Verdict != quarantine.Free {
			items = append(items, l.hold(s.Fingerprint, now))
		}
	}
	items = append(items, l.fresh(now)...)
	if len(items) > 0 {
		l.tell(items)
	}
}

func (l *ledger) hold(fingerprint uint64, now time.Time) membership.Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[fingerprint] = now.Add(holdLife)
	return membership.Quarantine{Fingerprint: fingerprint, Until: now.Add(holdLife), Held: true}
}

// Check implements stream.Ledger. The other instances are told of a new verdict before the caller
// is, who may send the request again there.
func (l *ledger) Check(fingerprint uint64, now time.Time) stream.Verdict {
	verdict := l.state.Check(fingerprint, now)
	if verdict == quarantine.Quarantined {
		l.announce(now)
	}
	return stream.Verdict(verdict)
}

// announce tells the other instances what they do not know yet.
func (l *ledger) announce(now time.Time) {
	if items := l.fresh(now); len(items) > 0 {
		l.tell(items)
	}
}

// Progress implements stream.Ledger.
func (l *ledger) Progress(request string) {
	l.state.Progress(request)
}

// Completed implements stream.Ledger.
func (l *ledger) Completed(fingerprint uint64) {
	l.state.Completed(fingerprint)
}

// forbidden returns the targets on which the content may not be started now.
func (l *ledger) forbidden(request string, fingerprint uint64, targets []target.Target, now time.Time) []string {
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
	l.state.Alive(target)
}

// add takes what another instance found. What this instance examines itself is not held here.
func (l *ledger) add(q membership.Quarantine, now time.Time) {
	if !q.Held {
		l.state.Add(q.Fingerprint, q.Until)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.reported[q.Fingerprint] = q.Until
		return
	}
	l.mu.Lock()
	own := l.held[q.Fingerprint].After(now)
	l.mu.Unlock()
	if !own {
		l.state.Hold(q.Fingerprint, q.Until)
	}
}

// entries returns the quarantines in force.
func (l *ledger) entries(now time.Time) []quarantine.Entry {
	return l.state.List(now)
}

// fresh returns the quarantines and holds that the other instances do not know yet.
func (l *ledger) fresh(now time.Time) []membership.Item {
	quarantined, holding := l.state.List(now), l.state.Holding(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []membership.Item
	for _, e := range quarantined {
		if l.reported[e.Fingerprint].Before(e.Until) {
			l.reported[e.Fingerprint] = e.Until
			found = append(found, membership.Quarantine{Fingerprint: e.Fingerprint, Until: e.Until})
		}
	}
	for _, e := range holding {
		if l.held[e.Fingerprint].Sub(now) < holdLife/2 {
			l.held[e.Fingerprint] = e.Until
			found = append(found, membership.Quarantine{Fingerprint: e.Fingerprint, Until: e.Until, Held: true})
		}
	}
	dropExpired(l.reported, now)
	dropExpired(l.held, now)
	return found
}

func dropExpired(entries map[uint64]time.Time, now time.Time) {
	for fingerprint, until := range entries {
		if until.Before(now) {
			delete(entries, fingerprint)
		}
	}
}
