// Package quarantinesync shares between instances which requests crash their targets.
//
// Package quarantine finds such requests. A request that ran on a crashed target is a suspect. The verdict on the
// content of a request, which is identified by its fingerprint, is Free, Held (it may have crashed a target and must
// not be started again yet) or Quarantined (it crashes targets and is refused).
//
// A Tracker wraps a quarantine.Detector and broadcasts holds and quarantines to the other instances, so that these have
// received them before the client can retry the request there. It also sends the crashes themselves, which a
// crashhistory.History of each instance counts: content that is sent to one instance after another is quarantined after
// few crashes of the fleet. Both HTTP front ends use a Tracker.
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
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/decision/crashhistory"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/quarantine"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// holdTTL is how long other instances hold the suspects of a crash that this instance has seen. It covers the retries
// of a suspect, after which the suspect's content is free or quarantined.
const holdTTL = 5 * time.Second

// Tracker attributes crashes of targets to requests and broadcasts holds and quarantines to the other instances. It is
// safe for concurrent use.
type Tracker struct {
	detector  *quarantine.Detector
	history   *crashhistory.History
	broadcast func([]membership.Item) // broadcast sends items to the other instances without blocking.
	// sendCrash and sendProgress inform the other instances of crashes and progress without blocking.
	sendCrash    func(crashhistory.Report)
	sendProgress func(contents []uint64)
	logger       *log.Logger
	counters     counters

	mu sync.Mutex
	// sharedQuarantines holds the expiry of each quarantine that the other instances have, by fingerprint.
	sharedQuarantines map[uint64]time.Time
	// sharedHolds holds the expiry of each hold that this instance has broadcast, by fingerprint.
	sharedHolds map[uint64]time.Time
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(t *Tracker) { t.logger = l }
}

// WithRegistry sets the metrics registry.
func WithRegistry(r metrics.Registry) Option {
	return func(t *Tracker) { t.counters = newCounters(r) }
}

// WithCrashMessages sets the functions that inform the other instances of a crash under requests of this instance, and of
// progress of requests whose content is suspected by others. They must not block. Without this option the tracker counts
// only the crashes that it sees itself.
func WithCrashMessages(sendCrash func(crashhistory.Report), sendProgress func(contents []uint64)) Option {
	return func(t *Tracker) { t.sendCrash, t.sendProgress = sendCrash, sendProgress }
}

// New returns an empty tracker. broadcast sends items to the other instances and must not block.
func New(broadcast func([]membership.Item), options ...Option) *Tracker {
	t := &Tracker{
		detector: quarantine.New(), history: crashhistory.New(), broadcast: broadcast,
		sendCrash: func(crashhistory.Report) {}, sendProgress: func([]uint64) {},
		logger: &log.Logger{Level: log.PanicLevel}, counters: newCounters(metrics.NewRegistry()),
		sharedQuarantines: make(map[uint64]time.Time), sharedHolds: make(map[uint64]time.Time),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// RequestStarted records that a request is sent to a target. parts are the fingerprints of those parts of its content that
// other requests may share, from the least to the most specific; see quarantine.Part.
func (t *Tracker) RequestStarted(request string, fingerprint uint64, target string, parts ...uint64) {
	t.detector.RequestStarted(request, fingerprint, target, parts...)
}

// RequestFinished records that a request no longer runs on a target. After a crash, it must follow TargetCrashed.
func (t *Tracker) RequestFinished(request, target string) {
	t.detector.RequestFinished(request, target)
}

// TargetCrashed records the crash of a target and makes the other instances hold the suspects: the client of a crashing
// request may retry the request there before this instance has a verdict.
func (t *Tracker) TargetCrashed(target string, now time.Time) {
	var items []membership.Item
	t.reportCrash(target, now)
	suspects := t.detector.TargetCrashed(target, now)
	t.logCrash(target, suspects)
	for _, s := range suspects {
		if s.Verdict != quarantine.Free {
			items = append(items, t.newHold(s.Fingerprint, now))
		}
	}
	items = append(items, t.takeUnsent(now)...)
	if len(items) > 0 {
		t.broadcast(items)
	}
}

// reportCrash adds a crash to the history and informs the other instances of the requests that may have caused it.
func (t *Tracker) reportCrash(target string, now time.Time) {
	report := crashhistory.Report{Target: target, Own: true}
	for _, r := range t.detector.RunsWithoutProgress(target) {
		report.Runs = append(report.Runs, crashhistory.Run{
			Request: xxhash.Sum64String(r.Request), Attempt: xxhash.Sum64String(fmt.Sprint(r.Request, " ", r.Attempt)), Contents: r.Contents,
		})
	}
	innocent := t.history.Add(report, now)
	if report = report.Without(innocent); len(report.Runs) > 0 {
		t.sendCrash(report)
	}
}

// AddReport implements instance.CrashHandler: it adds a crash under requests of another instance. If content of it has just
// made progress at this instance, the others are told.
func (t *Tracker) AddReport(report crashhistory.Report) {
	if innocent := t.history.Add(report, time.Now()); len(innocent) > 0 {
		t.sendProgress(innocent)
	}
}

// AddProgress implements instance.CrashHandler: it clears contents that made progress at another instance.
func (t *Tracker) AddProgress(contents []uint64) {
	t.history.Clear(contents, time.Now())
}

// newHold records a hold as broadcast and returns its item.
func (t *Tracker) newHold(fingerprint uint64, now time.Time) membership.Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sharedHolds[fingerprint] = now.Add(holdTTL)
	return membership.Quarantine{Fingerprint: fingerprint, Until: now.Add(holdTTL), Held: true}
}

// Check returns the verdict on a request's content, which is Quarantined if one of its parts is. Check broadcasts a new
// quarantine before it returns, since the client may retry the request at another instance as soon as the client has the
// response.
func (t *Tracker) Check(fingerprint uint64, now time.Time, parts ...uint64) quarantine.Verdict {
	t.quarantineCauses(now)
	for _, part := range parts {
		if t.detector.IsQuarantined(part, now) {
			return quarantine.Quarantined
		}
	}
	verdict := t.detector.Check(fingerprint, now)
	if verdict == quarantine.Quarantined {
		t.BroadcastNew(now)
	}
	return verdict
}

// quarantineCauses quarantines the contents that the crashes of the fleet show to crash targets. All instances find the same;
// those that have reported a crash under the content broadcast it.
func (t *Tracker) quarantineCauses(now time.Time) {
	causes := t.history.Causes(now)
	for _, c := range causes {
		until := now.Add(quarantine.Duration)
		t.detector.Quarantine(c.Content, until)
		if !c.Own {
			t.markShared(c.Content, until)
		}
	}
	if len(causes) > 0 {
		t.BroadcastNew(now)
	}
}

// markShared records that the other instances have a quarantine.
func (t *Tracker) markShared(fingerprint uint64, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sharedQuarantines[fingerprint].Before(until) {
		t.logVerdict(fingerprint, quarantine.Quarantined, remoteVerdict)
		t.sharedQuarantines[fingerprint] = until
	}
}

// BroadcastNew broadcasts the quarantines and holds that the other instances do not have yet.
func (t *Tracker) BroadcastNew(now time.Time) {
	if items := t.takeUnsent(now); len(items) > 0 {
		t.broadcast(items)
	}
}

// RequestProgressed records that a request has passed all stages of its path, which clears the request of suspicion.
func (t *Tracker) RequestProgressed(request string) {
	contents := t.detector.RequestProgressed(request)
	if cleared := t.history.Progressed(contents, time.Now()); len(cleared) > 0 {
		t.sendProgress(cleared)
	}
}

// RequestCompleted records that a request with this content got its complete response.
func (t *Tracker) RequestCompleted(fingerprint uint64) {
	t.detector.RequestCompleted(fingerprint)
}

// MayRun reports whether a request with this content may be started on a target now.
func (t *Tracker) MayRun(request string, fingerprint uint64, target string, now time.Time) bool {
	return t.detector.MayRun(request, fingerprint, target, now)
}

// ExcludedTargets returns the names of the engines on which a request with this content may not be started now.
func (t *Tracker) ExcludedTargets(request string, fingerprint uint64, targets []target.Target, now time.Time) []string {
	var names []string
	for _, candidate := range targets {
		if candidate.Kind == target.Engine && !t.MayRun(request, fingerprint, candidate.Name, now) {
			names = append(names, candidate.Name)
		}
	}
	return names
}

// TargetResponded records any response of a target, which shows that the target is alive.
func (t *Tracker) TargetResponded(target string) {
	t.detector.TargetResponded(target)
}

// AddRemote applies a quarantine or hold of another instance. A hold is ignored while a hold of this instance for the
// same content has not expired: this instance retries the content itself to reach a verdict.
func (t *Tracker) AddRemote(q membership.Quarantine, now time.Time) {
	if !q.Held {
		t.detector.AddQuarantined(q.Fingerprint, q.Until)
		t.history.AddCause(q.Fingerprint, q.Until, now)
		t.markShared(q.Fingerprint, q.Until)
		return
	}
	t.mu.Lock()
	heldByThis := t.sharedHolds[q.Fingerprint].After(now)
	t.mu.Unlock()
	if !heldByThis {
		t.logVerdict(q.Fingerprint, quarantine.Held, remoteVerdict)
		t.detector.AddHeld(q.Fingerprint, q.Until)
	}
}

// Entries returns the quarantines that have not expired.
func (t *Tracker) Entries(now time.Time) []quarantine.Entry {
	return t.detector.QuarantinedEntries(now)
}

// takeUnsent returns the quarantines and holds that the other instances do not have yet, and the holds that expire
// there within half of holdTTL. It records them as sent and drops expired records.
func (t *Tracker) takeUnsent(now time.Time) []membership.Item {
	quarantined, holding := t.detector.QuarantinedEntries(now), t.detector.HeldEntries(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	var unsent []membership.Item
	for _, e := range quarantined {
		if t.sharedQuarantines[e.Fingerprint].Before(e.Until) {
			t.sharedQuarantines[e.Fingerprint] = e.Until
			t.logVerdict(e.Fingerprint, quarantine.Quarantined, ownVerdict)
			unsent = append(unsent, membership.Quarantine{Fingerprint: e.Fingerprint, Until: e.Until})
		}
	}
	for _, e := range holding {
		if t.sharedHolds[e.Fingerprint].Sub(now) < holdTTL/2 {
			t.sharedHolds[e.Fingerprint] = e.Until
			t.logVerdict(e.Fingerprint, quarantine.Held, ownVerdict)
			unsent = append(unsent, membership.Quarantine{Fingerprint: e.Fingerprint, Until: e.Until, Held: true})
		}
	}
	dropExpired(t.sharedQuarantines, now)
	dropExpired(t.sharedHolds, now)
	return unsent
}

func dropExpired(entries map[uint64]time.Time, now time.Time) {
	for fingerprint, until := range entries {
		if until.Before(now) {
			delete(entries, fingerprint)
		}
	}
}
