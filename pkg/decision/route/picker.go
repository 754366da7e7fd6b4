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

	mu      sync.Mutex // mu serialises the changes of the target list.
	targets []target.Target
	leaving map[string]time.Time // leaving holds when targets announced it themselves.
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

// SetTargets replaces the list of targets. What is known of the load of a target that stays is kept.
func (p *Picker) SetTargets(targets []target.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = append([]target.Target(nil), targets...)
	p.forgetLeaving()
	p.rebuild()
}

// forgetLeaving drops announcements of targets that are no longer listed.
func (p *Picker) forgetLeaving() {
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

// MarkLeaving takes a target out of every later choice. It is for a target that announces in an
// answer that it is leaving. It holds until the target is no longer listed, or until a report that
// was measured later says otherwise because the target was restarted.
func (p *Picker) MarkLeaving(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.leaving[name]
	p.leaving[name] = now
	if !known {
		p.rebuild()
	}
}

// returned takes back an announcement that is older than a report.
func (p *Picker) returned(name string, measured time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	announced, known := p.leaving[name]
	if known && measured.After(announced) {
		delete(p.leaving, name)
		p.rebuild()
	}
}

// UpdateReport takes in a target's load report. Reports of unknown targets are ignored.
func (p *Picker) UpdateReport(name string, r Report, now time.Time) {
	e, ok := p.current.Load().entries[name]
	if !ok {
		return
	}
	e.load.observeReport(r, now)
	switch {
	case r.Leaving:
		p.MarkLeaving(name, now)
	case !e.target.AcceptsRequests():
		p.returned(name, r.Measured)
	}
}

// UpdatePrefix takes in that a target has, or no longer has, a prompt prefix in its cache.
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

// RequestSent notes that work was sent to a target. The cost is in steps.
func (p *Picker) RequestSent(name string, cost float64, now time.Time) {
	if e, ok := p.current.Load().entries[name]; ok {
		e.load.sent(cost, now)
		e.addWork(cost)
	}
}

// RequestFinished notes that a target answered work of the given cost, and how long it took from
// sending to the answer.
func (p *Picker) RequestFinished(name string, cost float64, took time.Duration, now time.Time) {
	e, ok := p.current.Load().entries[name]
	if !ok {
		return
	}
	e.load.finished(cost, now)
	e.addWork(-cost)
	unit := e.load.observeAnswer(cost, took, now)
	if e.group != nil {
		e.group.observe(unit, now)
	}
}

// TargetFailed notes that a target failed or did not answer in time. All that was outstanding there is
// taken out of its load.
func (p *Picker) TargetFailed(name string, now time.Time) {
	if e, ok := p.current.Load().entries[name]; ok {
		e.load.observeFailure(now)
	}
}

// RequestAbandoned notes that work sent to a target will not be answered, for instance because it was
// cancelled. It says nothing about the target's speed.
func (p *Picker) RequestAbandoned(name string, cost float64, now time.Time) {
	if e, ok := p.current.Load().entries[name]; ok {
		e.load.finished(cost, now)
		e.addWork(-cost)
	}
}

// ReleaseExclusive ends the hold of an Apart request on the targets of its route.
func (p *Picker) ReleaseExclusive(r Route) {
	for _, s := range r.Stages {
		if e, ok := p.current.Load().entries[s.Name]; ok {
			e.load.apart.Store(0)
		}
	}
}

func (e *entry) addWork(cost float64) {
	if e.group != nil {
		e.group.stats.work.add(cost)
	}
}
