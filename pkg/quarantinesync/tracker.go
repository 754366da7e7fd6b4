// Package quarantinesync shares between instances which requests crash their targets.
//
// A Tracker wraps a quarantine.Detector and broadcasts its suspects and verdicts to the other instances, so that they
// have them before the client of such a request can retry it there. Both HTTP front ends use it.
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

// holdTTL is how long other instances hold the suspects of a crash at this one. It covers the retries of a suspect, after
// which its content is free or quarantined.
const holdTTL = 5 * time.Second

// Tracker attributes crashes of targets to requests and broadcasts each verdict to the other instances. It is safe for
// concurrent use.
type Tracker struct {
	detector  *quarantine.Detector
	broadcast func([]membership.Item) // broadcast sends items to the other instances without blocking.

	mu       sync.Mutex
	reported map[uint64]time.Time // reported holds the expiry of each quarantine that the other instances know, by fingerprint.
	held     map[uint64]time.Time // held holds the expiry of each hold that this instance has asked the others for.
}

// New returns an empty tracker. Broadcast sends items to the other instances and must not block.
func New(broadcast func([]membership.Item)) *Tracker {
	return &Tracker{detector: quarantine.New(), broadcast: broadcast, reported: make(map[uint64]time.Time), held: make(map[uint64]time.Time)}
}

// RequestStarted records that a request is sent to a target.
func (t *Tracker) RequestStarted(request string, fingerprint uint64, target string) {
	t.detector.RequestStarted(request, fingerprint, target)
}

// RequestFinished records that a request no longer runs on a target. After a crash, it must follow TargetCrashed.
func (t *Tracker) RequestFinished(request, target string) {
	t.detector.RequestFinished(request, target)
}

// TargetCrashed records the crash of a target and makes the other instances hold the suspects: the client of a crashing
// request may retry it there before this instance has a verdict.
func (t *Tracker) TargetCrashed(target string, now time.Time) {
	var items []membership.Item
	for _, s := range t.detector.TargetCrashed(target, now) {
		if s.Verdict != quarantine.Free {
			items = append(items, t.hold(s.Fingerprint, now))
		}
	}
	items = append(items, t.unsent(now)...)
	if len(items) > 0 {
		t.broadcast(items)
	}
}

func (t *Tracker) hold(fingerprint uint64, now time.Time) membership.Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held[fingerprint] = now.Add(holdTTL)
	return membership.Quarantine{Fingerprint: fingerprint, Until: now.Add(holdTTL), Held: true}
}

// Check returns the verdict on a request's content. A new quarantine is broadcast before Check returns, since the client
// may retry the request at another instance as soon as it has the response.
func (t *Tracker) Check(fingerprint uint64, now time.Time) quarantine.Verdict {
	verdict := t.detector.Check(fingerprint, now)
	if verdict == quarantine.Quarantined {
		t.BroadcastNew(now)
	}
	return verdict
}

// BroadcastNew broadcasts the quarantines and holds that the other instances do not have yet.
func (t *Tracker) BroadcastNew(now time.Time) {
	if items := t.unsent(now); len(items) > 0 {
		t.broadcast(items)
	}
}

// RequestProgressed records that a request has passed all stages of its path, which clears it of suspicion.
func (t *Tracker) RequestProgressed(request string) {
	t.detector.RequestProgressed(request)
}

// RequestCompleted records that a request with this content got its complete response.
func (t *Tracker) RequestCompleted(fingerprint uint64) {
	t.detector.RequestCompleted(fingerprint)
}

// MayRun reports whether the content may be started on a target now.
func (t *Tracker) MayRun(request string, fingerprint uint64, target string, now time.Time) bool {
	return t.detector.MayRun(request, fingerprint, target, now)
}

// ExcludedTargets returns the names of the engines on which the content may not be started now.
func (t *Tracker) ExcludedTargets(request string, fingerprint uint64, targets []target.Target, now time.Time) []string {
	var names []string
	for _, candidate := range targets {
		if candidate.Kind == target.Engine && !t.MayRun(request, fingerprint, candidate.Name, now) {
			names = append(names, candidate.Name)
		}
	}
	return names
}

// TargetResponded records any response of a target.
func (t *Tracker) TargetResponded(target string) {
	t.detector.TargetResponded(target)
}

// AddRemote applies a quarantine or hold of another instance. Content that this instance is itself examining is not held
// here.
func (t *Tracker) AddRemote(q membership.Quarantine, now time.Time) {
	if !q.Held {
		t.detector.AddQuarantined(q.Fingerprint, q.Until)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.reported[q.Fingerprint] = q.Until
		return
	}
	t.mu.Lock()
	own := t.held[q.Fingerprint].After(now)
	t.mu.Unlock()
	if !own {
		t.detector.AddHeld(q.Fingerprint, q.Until)
	}
}

// Entries returns the quarantines in force.
func (t *Tracker) Entries(now time.Time) []quarantine.Entry {
	return t.detector.QuarantinedEntries(now)
}

// unsent returns the quarantines and holds that the other instances do not have yet, and marks them as sent.
func (t *Tracker) unsent(now time.Time) []membership.Item {
	quarantined, holding := t.detector.QuarantinedEntries(now), t.detector.HeldEntries(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []membership.Item
	for _, e := range quarantined {
		if t.reported[e.Fingerprint].Before(e.Until) {
			t.reported[e.Fingerprint] = e.Until
			found = append(found, membership.Quarantine{Fingerprint: e.Fingerprint, Until: e.Until})
		}
	}
	for _, e := range holding {
		if t.held[e.Fingerprint].Sub(now) < holdTTL/2 {
			t.held[e.Fingerprint] = e.Until
			found = append(found, membership.Quarantine{Fingerprint: e.Fingerprint, Until: e.Until, Held: true})
		}
	}
	dropExpired(t.reported, now)
	dropExpired(t.held, now)
	return found
}

func dropExpired(entries map[uint64]time.Time, now time.Time) {
	for fingerprint, until := range entries {
		if until.Before(now) {
			delete(entries, fingerprint)
		}
	}
}
