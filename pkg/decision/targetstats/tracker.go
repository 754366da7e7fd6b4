// Package targetstats tracks the load and health of targets as one instance sees them: the requests that it sent itself,
// the load that other instances report, and the outcomes of requests.
//
// Many instances share the same targets, so the load that the other instances report is added to the load of this one.
//
// A target may fail or crash while its health check succeeds, so a failed target is ejected: requests avoid it. The
// ejection ends with the target's first successful response, or after a time that doubles with each consecutive failure.
//
// A target that refuses requests without need is ejected too, for longer each time.
//
// A target that refuses a request for lack of capacity is saturated. A saturated target works, so it is not ejected, but
// for saturatedTime its estimated times are multiplied by saturatedSlowdown.
//
// Usage:
//
//	tracker := targetstats.New()
//	release := tracker.Reserve(stages, tokens)
//	defer release()
//	tracker.RecordFailure("w1", now)
//	if tracker.Ejected("w1", now) { ... }
package targetstats

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// baseEjectionTime is how long a target is ejected after its first failure.
	baseEjectionTime = 250 * time.Millisecond
	// maxEjectionTime bounds the ejection time, which doubles with each consecutive failure.
	maxEjectionTime = 4 * time.Second
	// remoteLoadTTL is how long the report of another instance is kept. Expired reports are removed when the next
	// report of any instance arrives.
	remoteLoadTTL = 3 * time.Second
	// saturatedTime is how long a target counts as saturated after a refusal.
	saturatedTime = 150 * time.Millisecond
	// saturatedSlowdown multiplies the estimated times of a saturated target.
	saturatedSlowdown = 6
	// refusalMemory is how long after the end of its ejection a target that refuses again counts as refusing still.
	refusalMemory = 2 * time.Second
	// enoughReports is the number of instances whose loads tell how the targets are used.
	enoughReports = 8
	// latencyWeight is the weight of a new response in the smoothed latency.
	latencyWeight = 0.1
	// failureWeight is the weight of a new outcome in the smoothed failure rate.
	failureWeight = 0.15
)

// Load is the load that running requests put on a target. A KV cell is the KV cache of one token in one layer.
type Load struct {
	KVCells int64 `json:"Cells"`   // KVCells is the size of the KV cache that the requests use: tokens times layers.
	Streams int   `json:"Streams"` // Streams is the number of requests.
}

// stats is the state of one target as this instance sees it.
type stats struct {
	load           Load // load is the load of this instance's requests only.
	ejectedUntil   time.Time
	saturatedUntil time.Time
	deadUntil      time.Time
	refusals       int       // refusals counts the refusals without need in a row.
	refusedUntil   time.Time // refusedUntil is when the ejection for the last of them ends.
	failures       int       // failures counts the failures since the last successful response.
	failureRate    float64   // failureRate is the smoothed ratio of failed requests.
	latency        time.Duration
}

// remoteLoads are the loads that another instance reported.
type remoteLoads struct {
	at    time.Time       // at is when the report was received.
	loads map[uint64]Load // loads holds the load of each target by its TargetHash.
}

// Tracker tracks the load and health of targets. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	targets   map[string]*stats
	remotes   map[string]remoteLoads // remotes holds the latest report of each other instance by its name.
	remoteSum map[uint64]Load        // remoteSum is the sum of all loads in remotes by TargetHash.
	scale     float64                // scale extrapolates remoteSum to the instances without a report.
	instances int                    // instances is the number of live instances, this one included.
	// expectedUntil is until when the loads of others count as unknown if too few have reported them.
	expectedUntil time.Time
}

// New returns a tracker without targets.
func New() *Tracker {
	return &Tracker{
		targets: make(map[string]*stats), remotes: make(map[string]remoteLoads), remoteSum: make(map[uint64]Load), scale: 1,
	}
}

// getOrCreate returns the stats of a target. It creates them if there are none.
func (t *Tracker) getOrCreate(name string) *stats {
	s := t.targets[name]
	if s == nil {
		s = &stats{}
		t.targets[name] = s
	}
	return s
}

// Reserve adds a request with that many tokens to the load of the targets of a path, which is a series of
// stages, until release is called. Further calls of release have no effect.
func (t *Tracker) Reserve(stages path.Path, tokens int) (release func()) {
	t.add(stages, tokens, 1)
	return sync.OnceFunc(func() { t.add(stages, tokens, -1) })
}

// add adds a request to the load of the stages' targets, or subtracts it if sign is -1.
func (t *Tracker) add(stages path.Path, tokens, sign int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, stage := range stages {
		s := t.getOrCreate(stage.Target.Name)
		s.load.KVCells += int64(sign * tokens * max(stage.Layers.Len(), 0))
		s.load.Streams += sign
	}
}

// LocalLoads returns the load of this instance's requests on each target that has any.
func (t *Tracker) LocalLoads() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	local := make(map[string]Load)
	for name, s := range t.targets {
		if s.load.Streams > 0 {
			local[name] = s.load
		}
	}
	return local
}

// TargetHash identifies a target in the loads that instances report to each other.
func TargetHash(name string) uint64 { return xxhash.Sum64String(name) }

// SetInstanceCount sets the number of live instances, this one included. Instances without a report are assumed to have
// the mean load of those with one. The number takes effect with the next call of SetRemoteLoads.
func (t *Tracker) SetInstanceCount(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = n
}

// ExpectReports says that other instances will report their loads soon, as they do after the start of this one. Until enough have, at most
// until the given time, the loads of others are unknown: Loads then presumes that each of them uses the targets as this one does.
func (t *Tracker) ExpectReports(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expectedUntil = until
}

// loadsUnknown reports whether too few other instances have reported their loads since the start. The lock must be held.
func (t *Tracker) loadsUnknown(now time.Time) bool {
	if !now.Before(t.expectedUntil) {
		return false
	}
	enough := enoughReports
	if others := t.instances - 1; others > 0 {
		enough = min(enough, others)
	}
	return len(t.remotes) < enough
}

// SetRemoteLoads stores the loads that another instance reported, by TargetHash, in place of that instance's previous
// report. It also removes all reports older than remoteLoadTTL.
func (t *Tracker) SetRemoteLoads(instance string, loads map[uint64]Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.remotes {
		if name == instance || now.Sub(r.at) > remoteLoadTTL {
			t.addRemote(r, -1)
			delete(t.remotes, name)
		}
	}
	t.remotes[instance] = remoteLoads{at: now, loads: loads}
	t.addRemote(t.remotes[instance], 1)
	t.scale = 1
	if reported := len(t.remotes); reported > 0 && t.instances-1 > reported {
		t.scale = float64(t.instances-1) / float64(reported)
	}
}

// addRemote adds a report to remoteSum, or subtracts it if sign is -1.
func (t *Tracker) addRemote(r remoteLoads, sign int) {
	for hash, load := range r.loads {
		sum := t.remoteSum[hash]
		sum.KVCells += int64(sign) * load.KVCells
		sum.Streams += sign * load.Streams
		if sum == (Load{}) {
			delete(t.remoteSum, hash)
			continue
		}
		t.remoteSum[hash] = sum
	}
}

// Loads returns the load of all instances on each of the targets, in the same order and in the form that
// path.Request takes. Slowdown is set for saturated targets, and Unknown and Presumed while the loads of others are unknown.
func (t *Tracker) Loads(targets []*target.Target, now time.Time) []path.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	unknown := t.loadsUnknown(now)
	silent := int64(max(t.instances-1-len(t.remotes), 0)) // silent counts the instances without a report.
	loads := make([]path.Load, len(targets))
	for i, candidate := range targets {
		load := t.load(candidate.Name)
		loads[i] = path.Load{KVCells: load.KVCells, Streams: load.Streams, Unknown: unknown}
		s := t.targets[candidate.Name]
		if s == nil {
			continue
		}
		if unknown {
			loads[i].Presumed = silent * s.load.KVCells
		}
		if now.Before(s.saturatedUntil) {
			loads[i].Slowdown = saturatedSlowdown
		}
	}
	return loads
}

// Load returns the load of all instances on a target.
func (t *Tracker) Load(name string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load(name)
}

func (t *Tracker) load(name string) Load {
	load := t.remoteSum[TargetHash(name)]
	load.KVCells = int64(t.scale * float64(load.KVCells))
	load.Streams = int(t.scale * float64(load.Streams))
	if s := t.targets[name]; s != nil {
		load.KVCells += s.load.KVCells
		load.Streams += s.load.Streams
	}
	return load
}

// RecordSuccess records a successful response and its latency. The target is no longer ejected or dead.
func (t *Tracker) RecordSuccess(name string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(name)
	s.failures, s.ejectedUntil, s.deadUntil = 0, time.Time{}, time.Time{}
	s.failureRate *= 1 - failureWeight
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
}

// RecordFailure records a failed request and ejects the target for a time that doubles with each consecutive failure.
func (t *Tracker) RecordFailure(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(name)
	s.failureRate += failureWeight * (1 - s.failureRate)
	wait := baseEjectionTime << min(s.failures, 8)
	s.failures++
	if until := now.Add(min(wait, maxEjectionTime)); until.After(s.ejectedUntil) {
		s.ejectedUntil = until
	}
}

// RecordError records an error response of the target. It only raises the failure rate and does not eject the target,
// since some requests fail on every target.
func (t *Tracker) RecordError(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(name)
	s.failureRate += failureWeight * (1 - s.failureRate)
}

// RecordRefusal records that the target refused a request for lack of capacity. The target is saturated for
// saturatedTime.
func (t *Tracker) RecordRefusal(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(name)
	s.saturatedUntil = now.Add(saturatedTime)
}

// RecordNeedlessRefusal records that the target refused a request although it has room, as far as is known: it is leaving, has lost its
// layers, or passes requests on to a target that is dead. It is ejected, twice as long each time that it refuses again soon after.
func (t *Tracker) RecordNeedlessRefusal(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(name)
	if now.Before(s.refusedUntil) {
		return // Requests that were under way together count once.
	}
	if now.Sub(s.refusedUntil) > refusalMemory {
		s.refusals = 0
	}
	s.refusedUntil = now.Add(min(baseEjectionTime<<min(s.refusals, 8), maxEjectionTime))
	s.refusals++
	if s.refusedUntil.After(s.ejectedUntil) {
		s.ejectedUntil = s.refusedUntil
	}
}

// Saturated reports whether the target refused a request less than saturatedTime before now.
func (t *Tracker) Saturated(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[name]
	return s != nil && now.Before(s.saturatedUntil)
}

// MarkDead marks the target as dead until the given time. It never shortens the time of an earlier call.
func (t *Tracker) MarkDead(name string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.getOrCreate(name); until.After(s.deadUntil) {
		s.deadUntil = until
	}
}

// MarkAlive records that a target marked as dead responds again.
func (t *Tracker) MarkAlive(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.getOrCreate(name).deadUntil = time.Time{}
}

// IsDead reports whether the target is marked as dead.
func (t *Tracker) IsDead(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[name]
	return s != nil && now.Before(s.deadUntil)
}

// Ejected reports whether the target is ejected after failures.
func (t *Tracker) Ejected(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[name]
	return s != nil && now.Before(s.ejectedUntil)
}

// Health returns the smoothed latency and failure rate of a target.
func (t *Tracker) Health(name string) (latency time.Duration, failureRate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[name]; s != nil {
		return s.latency, s.failureRate
	}
	return 0, 0
}

// Retain keeps the stats of the known targets and of those that run requests of this instance, and removes all others.
func (t *Tracker) Retain(known func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.targets {
		if s.load.Streams == 0 && !known(name) {
			delete(t.targets, name)
		}
	}
}
