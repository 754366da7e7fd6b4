// Package verdict shares what instances find out about requests that crash their targets.
//
// It keeps a quarantine.Ledger and tells the other instances of its suspects and verdicts, before the caller of such a
// request can send it again there. Both front doors use it.
//
// Usage:
//
//	ledger := verdict.New(func(items []membership.Item) { _ = node.Broadcast(items) })
//	node.OnItem(func(i membership.Item) { ... ledger.Add(q, time.Now()) })
//	ledger.Start(id, fingerprint, target)
//	ledger.Crash(target, now)
//	if ledger.Check(fingerprint, now) == quarantine.Quarantined { ... }
package verdict

import (
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/quarantine"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// holdLife is how long other instances hold the suspects of a crash here. It covers the retries of a
// suspect, after which its content is free or quarantined.
const holdLife = 5 * time.Second

// Ledger is a quarantine ledger that tells the other instances of each verdict. It is safe for concurrent use.
type Ledger struct {
	state *quarantine.Ledger
	tell  func([]membership.Item) // tell sends items to the other instances without waiting.

	mu       sync.Mutex
	reported map[uint64]time.Time // reported are the quarantines that the other instances know.
	held     map[uint64]time.Time // held are the contents that the others hold because of this instance.
}

// New returns an empty ledger. Tell sends items to the other instances without waiting.
func New(tell func([]membership.Item)) *Ledger {
	return &Ledger{state: quarantine.New(), tell: tell, reported: make(map[uint64]time.Time), held: make(map[uint64]time.Time)}
}

// Start notes that a request is sent to a target.
func (l *Ledger) Start(request string, fingerprint uint64, target string) {
	l.state.Start(request, fingerprint, target)
}

// Finish notes that it no longer runs there. It must follow Crash.
func (l *Ledger) Finish(request, target string) {
	l.state.Finish(request, target)
}

// Crash notes that a target crashed. The other instances hold the suspects from now on: the caller of a
// crashing request may send it again there before this instance has a verdict.
func (l *Ledger) Crash(target string, now time.Time) {
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

func (l *Ledger) hold(fingerprint uint64, now time.Time) membership.Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[fingerprint] = now.Add(holdLife)
	return membership.Quarantine{Fingerprint: fingerprint, Until: now.Add(holdLife), Held: true}
}

// Check returns what is known of a content. The other instances are told of a new verdict before the caller
// is, who may send the request again there.
func (l *Ledger) Check(fingerprint uint64, now time.Time) quarantine.Verdict {
	verdict := l.state.Check(fingerprint, now)
	if verdict == quarantine.Quarantined {
		l.Announce(now)
	}
	return verdict
}

// Announce tells the other instances what they do not know yet.
func (l *Ledger) Announce(now time.Time) {
	if items := l.fresh(now); len(items) > 0 {
		l.tell(items)
	}
}

// Progress notes that a request has come through its whole route, which clears it.
func (l *Ledger) Progress(request string) {
	l.state.Progress(request)
}

// Completed notes that a request with the content was answered in full.
func (l *Ledger) Completed(fingerprint uint64) {
	l.state.Completed(fingerprint)
}

// MayRun reports whether the content may be started on a target now.
func (l *Ledger) MayRun(request string, fingerprint uint64, target string, now time.Time) bool {
	return l.state.MayRun(request, fingerprint, target, now)
}

// Forbidden returns the targets on which the content may not be started now.
func (l *Ledger) Forbidden(request string, fingerprint uint64, targets []target.Target, now time.Time) []string {
	var names []string
	for _, t := range targets {
		if t.Kind == target.Engine && !l.MayRun(request, fingerprint, t.Name, now) {
			names = append(names, t.Name)
		}
	}
	return names
}

// Alive notes that a target answered something.
func (l *Ledger) Alive(target string) {
	l.state.Alive(target)
}

// Add takes what another instance found. What this instance examines itself is not held here.
func (l *Ledger) Add(q membership.Quarantine, now time.Time) {
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

// Entries returns the quarantines in force.
func (l *Ledger) Entries(now time.Time) []quarantine.Entry {
	return l.state.List(now)
}

// fresh returns the quarantines and holds that the other instances do not know yet.
func (l *Ledger) fresh(now time.Time) []membership.Item {
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
