package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminroute/cuminroute/pkg/target"
)

// Picker chooses routes. Its methods are safe for concurrent use.
type Picker struct {
	policy  Policy
	current atomic.Pointer[snapshot] // current is the snapshot that Pick reads.

	mu      sync.Mutex // mu serialises changes of the target list.
	targets []target.Target
	leaving map[string]time.Time // leaving maps each target that announced that it is leaving to the time of the announcement.
}

// NewPicker returns a picker without targets.
func NewPicker(options ...Option) *Picker {
	p := &Picker{policy: EstimatedFinish, leaving: map[string]time.Time{}}
	for _, option := range options {
		option(p)
	}
	p.current.Store(newSnapshot(nil, &snapshot{}))
	return p
}

// SetTargets replaces the list of targets. The load of targets that remain is kept.
func (p *Picker) SetTargets(targets []target.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = append([]target.Target(nil), targets...)
	p.pruneLeaving()
	p.rebuild()
}

// pruneLeaving drops the announcements of targets that are no longer listed.
func (p *Picker) pruneLeaving() {
	listed := make(map[string]bool, len(p.targets))
	for _, t := range p.targets {
		listed[t.Name] = true
	}
	for name := range p.leaving {
		if !listed[name] {
			delete(p.leaving, name)
		}
	}
}

// rebuild replaces the current snapshot. The caller must hold mu.
func (p *Picker) rebuild() {
	view := make([]target.Target, 0, len(p.targets))
	for _, t := range p.targets {
		if _, leaves := p.leaving[t.Name]; leaves {
			t.State = target.Leaving
		}
		view = append(view, t)
	}
	p.current.Store(newSnapshot(view, p.current.Load()))
}

// MarkLeaving excludes a target from all later routes, after the target announced in a response that it is leaving.
// The exclusion lasts until the target is no longer listed, or until a report that was measured after the announcement
// does not say that the target is leaving, because the target was restarted.
func (p *Picker) MarkLeaving(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.leaving[name]
	p.leaving[name] = now
	if !known {
		p.rebuild()
	}
}

// clearLeaving drops an announcement that is older than a report.
func (p *Picker) clearLeaving(name string, measured time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	announced, known := p.leaving[name]
	if known && measured.After(announced) {
		delete(p.leaving, name)
		p.rebuild()
	}
}

// UpdateReport updates a target's load from its report, and whether the target is leaving. Reports of unknown targets
// are ignored.
func (p *Picker) UpdateReport(name string, r Report, now time.Time) {
	e, ok := p.current.Load().entries[name]
	if !ok {
		return
	}
	e.load.applyReport(r, now)
	switch {
	case r.Leaving:
		p.MarkLeaving(name, now)
	case !e.target.AcceptsRequests():
		p.clearLeaving(name, r.Measured)
	}
}

// UpdatePrefix records whether a target has a prompt prefix in its cache.
func (p *Picker) UpdatePrefix(name string, hash uint64, held bool) {
	e, ok := p.current.Load().entries[name]
	if !ok || e.group == nil {
		return
	}
	if held {
		e.group.stats.prefixes.add(hash, name)
		return
	}
	e.group.stats.prefixes.remove(hash, name)
}

// RequestSent records that work was sent to a target. The cost is in steps.
func (p *Picker) RequestSent(name string, cost float64, now time.Time) {
	if e, ok := p.current.Load().entries[name]; ok {
		e.load.addOutstanding(cost, now)
		e.addGroupOutstanding(cost)
	}
}

// RequestFinished records that a target completed work of the given cost, and how long this took from sending the work
// to receiving its result.
func (p *Picker) RequestFinished(name string, cost float64, took time.Duration, now time.Time) {
	e, ok := p.current.Load().entries[name]
	if !ok {
		return
	}
	e.load.removeOutstanding(cost, now)
	e.addGroupOutstanding(-cost)
	unit := e.load.recordResponse(cost, took, now)
	if e.group != nil {
		e.group.updateUnitTime(unit, now)
	}
}

// TargetFailed records that a target failed or timed out. Its outstanding work is reset.
func (p *Picker) TargetFailed(name string, now time.Time) {
	if e, ok := p.current.Load().entries[name]; ok {
		e.load.recordFailure(now)
	}
}

// RequestAbandoned records that no result of the work is expected, for instance because it was cancelled. The
// estimate of the speed of the target does not change.
func (p *Picker) RequestAbandoned(name string, cost float64, now time.Time) {
	if e, ok := p.current.Load().entries[name]; ok {
		e.load.removeOutstanding(cost, now)
		e.addGroupOutstanding(-cost)
	}
}

// ReleaseExclusive releases the targets of the route that an exclusive request had reserved.
func (p *Picker) ReleaseExclusive(r Route) {
	for _, s := range r.Stages {
		if e, ok := p.current.Load().entries[s.Name]; ok {
			e.load.exclusiveUntil.Store(0)
		}
	}
}

// addGroupOutstanding adds a cost to the outstanding work of the target's group.
func (e *entry) addGroupOutstanding(cost float64) {
	if e.group != nil {
		e.group.stats.outstanding.add(cost)
	}
}
