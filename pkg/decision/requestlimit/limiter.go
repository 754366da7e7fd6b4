// Package requestlimit keeps the request limits of targets.
//
// It answers the load of a target in need, which names in its responses how many requests a second it takes from all
// instances together, until a response names no limit. Instances that each send what the limit allows, or that have not had
// a response of the target yet, exceed it by as many times as there are instances.
//
// Instances therefore report the limits that they know to each other, with the demand for each limited target: the requests
// that they would send there without its limit. Each instance gets permits at the rate of its part of the limit, in proportion
// to its demand, and the first one after a random time. Permits expire soon, so that the instances of a large fleet, each of
// which has a permit now and then, do not collect one each and use them all when the demand rises.
//
// A limit has no timeout: a target that takes few requests has few responses to name it in. A target always gets some
// requests, whose responses show whether its limit still holds.
//
// A Limiter is safe for concurrent use.
//
// Usage:
//
//	limiter := requestlimit.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now)
//	changed := limiter.RecordLimit("w1", 13.7, now)
//	limiter.AddReports("10.0.0.2:7340", reports, now)
//	limiter.RecordDemand("w1", now)
//	if limiter.Acquire("w1", now) { ... }
package requestlimit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/fleetsize"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
)

const (
	// minRate is the number of requests a second that the fleet sends to a target whose limit is lower.
	minRate = 0.8
	// minDemand is the demand, in requests a second, that each instance has at least, so that it has a part.
	minDemand = 0.05
	// reportTTL is how long the reports of another instance count. It is short, so that the demand of this instance is compared
	// with that of others at the same time: when the demand of all rises, those with old reports seem to have less.
	reportTTL = 700 * time.Millisecond
	// endedTTL is how long it is reported that a limit has ended.
	endedTTL = 10 * time.Second
)

// Report is what an instance reports about a target's limit to the others.
type Report struct {
	Target    uint64        // Target is the targetstats.TargetHash of the target.
	PerSecond float64       // PerSecond is the limit, in requests a second.
	Ended     bool          // Ended means that the target no longer names a limit.
	Age       time.Duration // Age is the time since the target's response.
	Demand    float64       // Demand is the number of requests a second that the instance would send without the limit.
}

// limit is what an instance knows about a target that names a limit or has named one.
type limit struct {
	perSecond float64
	ended     bool
	namedAt   time.Time // namedAt is when the target's latest response arrived, at any instance.
	demand    demand
	reported  float64 // reported is the demand in the last reports of this instance.
	permits   permits
}

// remoteDemand is the demand that another instance reported.
type remoteDemand struct {
	at        time.Time
	perSecond map[uint64]float64 // perSecond holds the demand for each target by its hash.
}

// Limiter holds the limits of targets and the part of each that this instance may use.
type Limiter struct {
	mu        sync.Mutex
	random    *rand.Rand
	limits    map[uint64]*limit // limits holds the limits by the target's hash.
	remotes   map[string]remoteDemand
	instances *fleetsize.Recent
}

// New returns a limiter without limits, for an instance that has started now and knows no others.
func New(random *rand.Rand, now time.Time) *Limiter {
	return &Limiter{random: random, limits: make(map[uint64]*limit), remotes: make(map[string]remoteDemand), instances: fleetsize.New(now)}
}

// ObserveInstances records the number of live instances, this one included.
func (l *Limiter) ObserveInstances(n int, now time.Time) {
	l.instances.Observe(n, now)
}

// RecordLimit records that a response of a target names a limit, in requests a second. It reports whether the limit is new
// or has changed.
func (l *Limiter) RecordLimit(name string, perSecond float64, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set(targetstats.TargetHash(name), perSecond, false, now, now)
}

// RecordNone records that a response of a target names no limit. It reports whether the target had one.
func (l *Limiter) RecordNone(name string, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.limits) == 0 {
		return false
	}
	hash := targetstats.TargetHash(name)
	if l.limits[hash] == nil {
		return false
	}
	return l.set(hash, 0, true, now, now)
}

// set stores what a target named at a time, unless something later is known. It reports whether the limit has changed. The lock
// must be held.
func (l *Limiter) set(hash uint64, perSecond float64, ended bool, namedAt, now time.Time) (changed bool) {
	known := l.limits[hash]
	if known == nil {
		l.limits[hash] = &limit{perSecond: perSecond, ended: ended, namedAt: namedAt, permits: newPermits(l.random, now)}
		return !ended
	}
	if namedAt.Before(known.namedAt) {
		return false
	}
	changed = known.ended != ended || known.perSecond != perSecond
	if known.ended && !ended {
		known.permits = newPermits(l.random, now)
	}
	known.perSecond, known.ended, known.namedAt = perSecond, ended, namedAt
	return changed
}

// RecordDemand records a request that would be sent to a target without its limit. Each request counts once.
func (l *Limiter) RecordDemand(name string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limited(name); known != nil {
		known.demand.record(now)
	}
}

// Acquire reports whether a request may be sent to a target now, and uses a permit if so.
func (l *Limiter) Acquire(name string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limited(name)
	if known == nil {
		return true
	}
	return known.permits.take(max(known.perSecond, minRate), l.part(targetstats.TargetHash(name), known, now), now)
}

// limited returns the limit of a target, or nil if it has none. The lock must be held.
func (l *Limiter) limited(name string) *limit {
	if len(l.limits) == 0 {
		return nil
	}
	if known := l.limits[targetstats.TargetHash(name)]; known != nil && !known.ended {
		return known
	}
	return nil
}

// part returns the part of a target's limit that this instance may use. The lock must be held.
func (l *Limiter) part(hash uint64, known *limit, now time.Time) float64 {
	reports, others := 0, 0.0
	for _, r := range l.remotes {
		if now.Sub(r.at) <= reportTTL {
			reports++
			others += r.perSecond[hash]
		}
	}
	instances := float64(max(l.instances.Highest(now), reports+1))
	if reports == 0 {
		return 1 / instances
	}
	others *= (instances - 1) / float64(reports)
	return (known.reported + minDemand) / (known.reported + others + minDemand*instances)
}

// PerSecond returns the limit of a target in requests a second, and whether it has one.
func (l *Limiter) PerSecond(name string) (perSecond float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limited(name); known != nil {
		return known.perSecond, true
	}
	return 0, false
}

// Reports returns what this instance reports to the others. It forgets limits that ended longer than endedTTL ago.
func (l *Limiter) Reports(now time.Time) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []Report
	for hash, known := range l.limits {
		age := now.Sub(known.namedAt)
		if known.ended && age > endedTTL {
			delete(l.limits, hash)
			continue
		}
		known.reported = known.demand.rate(now)
		reports = append(reports, Report{Target: hash, PerSecond: known.perSecond, Ended: known.ended, Age: age, Demand: known.reported})
	}
	return reports
}

// AddReports stores the reports of another instance in place of its earlier ones, and removes expired reports.
func (l *Limiter) AddReports(instance string, reports []Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, r := range l.remotes {
		if now.Sub(r.at) > reportTTL {
			delete(l.remotes, name)
		}
	}
	demands := make(map[uint64]float64, len(reports))
	for _, r := range reports {
		demands[r.Target] = r.Demand
		if l.limits[r.Target] != nil || !r.Ended {
			l.set(r.Target, r.PerSecond, r.Ended, now.Add(-r.Age), now)
		}
	}
	l.remotes[instance] = remoteDemand{at: now, perSecond: demands}
}

// Retain forgets the limits of all targets but those whose targetstats.TargetHash is known.
func (l *Limiter) Retain(known func(target uint64) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for hash := range l.limits {
		if !known(hash) {
			delete(l.limits, hash)
		}
	}
}
