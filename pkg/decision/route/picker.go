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
	current atomic.Pointer[snapshot]

	mu      sync.Mutex // mu serialises changes of the target list.
	targets []target.Target
	leaving map[string]time.Time // leaving holds when targets announced that they are leaving.
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

// MarkLeaving excludes a target that announced in a response that it is leaving from every later choice. This lasts
// until the target is no longer listed, or until a report that was measured later shows that the target was
// restarted.
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

// UpdateReport updates a target's load from its report. Reports of unknown targets are ignored.
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
		e.addWork(cost)
	}
}

// RequestFinished records that a target completed work of the given cost, and the time from sending it to its result.
func (p *Picker) RequestFinished(name string, cost float64, took time.Duration, now time.Time) {
	e, ok := p.current.Load().entries[name]
	if !ok {
		return
	}
	e.load.removeOutstanding(cost, now)
	e.addWork(-cost)
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
		e.addWork(-cost)
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

func (e *entry) addWork(cost float64) {
	if e.group != nil {
		e.group.stats.work.add(cost)
	}
}
