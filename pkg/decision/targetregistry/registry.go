// Package targetregistry decides which targets may be given new work.
//
// It combines four sources: the platform's instance list, which lags; what each target
// reports of itself; drains that operators ordered; and targets that stopped answering. A
// target that says it is leaving is believed over a list that still shows it live.
//
// A Roster is a state machine for one goroutine. It reads no clock and does no I/O.
//
// Usage:
//
//	r := targetregistry.New()
//	r.ObserveList(listed, now)
//	r.ObserveReport("w1", targetregistry.Report{Leaving: true})
//	picker.SetTargets(r.Targets())
package targetregistry

import (
	"slices"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// UnlistedRetention is how long a target that the list no longer shows stays known. It covers a
// list that briefly shows fewer targets after its own restart.
const UnlistedRetention = 30 * time.Second

// TargetReport is what a target says of itself.
type TargetReport struct {
	Leaving     bool
	Model       string
	ModelLayers int
	Layers      layer.Range
	Accelerator string
}

// Registry holds what is known of every target.
type Registry struct {
	entries map[string]*entry
	drained map[string]bool
}

type entry struct {
	listed       target.Target
	lastListed   time.Time
	ownLeaving   bool
	reportedOnce bool
	report       TargetReport
}

// New returns an empty roster.
func New() *Registry {
	return &Registry{entries: make(map[string]*entry), drained: make(map[string]bool)}
}

// UpdateListed takes one answer of the platform's instance list. A target that is missing
// from the answer is Leaving until it is listed again or forgotten.
func (r *Registry) UpdateListed(listed []target.Target, now time.Time) {
	seen := make(map[string]bool, len(listed))
	for _, t := range listed {
		seen[t.Name] = true
		r.observeListed(t, now)
	}
	for name, e := range r.entries {
		if seen[name] {
			continue
		}
		e.listed.State = target.Leaving
		if now.Sub(e.lastListed) > UnlistedRetention {
			delete(r.entries, name)
		}
	}
}

func (r *Registry) observeListed(t target.Target, now time.Time) {
	e, ok := r.entries[t.Name]
	if !ok {
		e = &entry{}
		r.entries[t.Name] = e
	}
	if ok && e.listed.Address != t.Address {
		// A new address is a new process under the old name; what the old one said is void.
		*e = entry{}
	}
	e.listed = t
	e.lastListed = now
}

// UpdateReport takes what a target said of itself. It is ignored for a target that is not known.
func (r *Registry) UpdateReport(name string, report TargetReport) {
	e, ok := r.entries[name]
	if !ok {
		return
	}
	e.reportedOnce = true
	e.report = report
	e.ownLeaving = report.Leaving
}

// MarkLeaving takes a target's own announcement, in any answer, that it is leaving.
func (r *Registry) MarkLeaving(name string) {
	if e, ok := r.entries[name]; ok {
		e.ownLeaving = true
	}
}

// SetDrained replaces the set of targets that operators drain.
func (r *Registry) SetDrained(names []string) {
	r.drained = make(map[string]bool, len(names))
	for _, name := range names {
		r.drained[name] = true
	}
}

// Targets returns every known target with its effective state, ordered by name.
func (r *Registry) Targets() []target.Target {
	targets := make([]target.Target, 0, len(r.entries))
	for _, e := range r.entries {
		targets = append(targets, r.effective(e))
	}
	slices.SortFunc(targets, func(a, b target.Target) int { return strings.Compare(a.Name, b.Name) })
	return targets
}

func (r *Registry) effective(e *entry) target.Target {
	t := e.listed
	if e.ownLeaving || r.drained[t.Name] {
		t.State = target.Leaving
	}
	if e.reportedOnce && e.report.Layers.Valid() {
		// Orders change what an engine holds; its own report is newer than the list.
		t.Model = e.report.Model
		t.ModelLayers = e.report.ModelLayers
		t.Layers = e.report.Layers
		t.Accelerator = e.report.Accelerator
	}
	return t
}
