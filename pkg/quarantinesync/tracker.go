// Package quarantinesync shares what instances find out about requests that crash their targets.
//
// It keeps a quarantine.Ledger and tells the other instances of its suspects and verdicts, before the caller of such a
// request can send it again there. Both front doors use it.
//
// Usage:
//
//	tracker := quarantinesync.New(func(items []membership.Item) { _ = node.Broadcast(items) })
//	node.OnItem(func(i membership.Item) { ... tracker.AddRemote(q, time.Now()) })
//	tracker.RequestStarted(id, fingerprint, target)
//	tracker.TargetCrashed(target, now)
//	if tracker.Check(fingerprint, now) == quarantine.Quarantined { ... }
package quarantinesync

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

// Tracker is a quarantine ledger that tells the other instances of each verdict. It is safe for concurrent use.
type Tracker struct {
	state *quarantine.Detector
	tell  func([]membership.Item) // tell sends items to the other instances without waiting.

	mu       sync.Mutex
	reported map[uint64]time.Time // reported are the quarantines that the other instances know.
	held     map[uint64]time.Time // held are the contents that the others hold because of this instance.
}

// New returns an empty ledger. Tell sends items to the other instances without waiting.
func New(tell func([]membership.Item)) *Tracker {
	return &Tracker{state: quarantine.New(), tell: tell, reported: make(map[uint64]time.Time), held: make(map[uint64]time.Time)}
}

// RequestStarted notes that a request is sent to a target.
func (l *Tracker) RequestStarted(request string, fingerprint uint64, target string) {
	l.state.RequestStarted(request, fingerprint, target)
}

// RequestFinished notes that it no longer runs there. It must follow Crash.
func (l *Tracker) RequestFinished(request, target string) {
	l.state.RequestFinished(request, target)
}

// TargetCrashed notes that a target crashed. The other instances hold the suspects from now on: the caller of a
// crashing request may send it again there before this instance has a verdict.
func (l *Tracker) TargetCrashed(target string, now time.Time) {
	var items []membership.Item
	for _, s := range l.state.TargetCrashed(target, now) {
		if s.Verdict != quarantine.Free {
			items = append(items, l.hold(s.Fingerprint, now))
		}
	}
	items = append(items, l.fresh(now)...)
	if len(items) > 0 {
		l.tell(items)
	}
}

func (l *Tracker) hold(fingerprint uint64, now time.Time) membership.Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[fingerprint] = now.Add(holdLife)
	return membership.Quarantine{Fingerprint: fingerprint, Until: now.Add(holdLife), Held: true}
}

// Check returns what is known of a content. The other instances are told of a new verdict before the caller
// is, who may send the request again there.
func (l *Tracker) Check(fingerprint uint64, now time.Time) quarantine.Verdict {
	verdict := l.state.Check(fingerprint, now)
	if verdict == quarantine.Quarantined {
		l.BroadcastNew(now)
	}
	return verdict
}

// BroadcastNew tells the other instances what they do not know yet.
func (l *Tracker) BroadcastNew(now time.Time) {
	if items := l.fresh(now); len(items) > 0 {
		l.tell(items)
	}
}

// RequestProgressed notes that a request has come through its whole route, which clears it.
func (l *Tracker) RequestProgressed(request string) {
	l.state.RequestProgressed(request)
}

// RequestCompleted notes that a request with the content was answered in full.
func (l *Tracker) RequestCompleted(fingerprint uint64) {
	l.state.RequestCompleted(fingerprint)
}

// MayRun reports whether the content may be started on a target now.
func (l *Tracker) MayRun(request string, fingerprint uint64, target string, now time.Time) bool {
	return l.state.MayRun(request, fingerprint, target, now)
}

// ExcludedTargets returns the targets on which the content may not be started now.
func (l *Tracker) ExcludedTargets(request string, fingerprint uint64, targets []target.Target, now time.Time) []string {
	var names []string
	for _, t := range targets {
		if t.Kind == target.Engine && !l.MayRun(request, fingerprint, t.Name, now) {
			names = append(names, t.Name)
		}
	}
	return names
}

// TargetResponded notes that a target answered something.
func (l *Tracker) TargetResponded(target string) {
	l.state.TargetResponded(target)
}

// AddRemote takes what another instance found. What this instance examines itself is not held here.
func (l *Tracker) AddRemote(q membership.Quarantine, now time.Time) {
	if !q.Held {
		l.state.AddQuarantined(q.Fingerprint, q.Until)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.reported[q.Fingerprint] = q.Until
		return
	}
	l.mu.Lock()
	own := l.held[q.Fingerprint].After(now)
	l.mu.Unlock()
	if !own {
		l.state.AddHeld(q.Fingerprint, q.Until)
	}
}

// Entries returns the quarantines in force.
func (l *Tracker) Entries(now time.Time) []quarantine.Entry {
	return l.state.QuarantinedEntries(now)
}

// fresh returns the quarantines and holds that the other instances do not know yet.
func (l *Tracker) fresh(now time.Time) []membership.Item {
	quarantined, holding := l.state.QuarantinedEntries(now), l.state.HeldEntries(now)
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
