// Package targetregistry decides which targets may be given new work.
//
// It combines four sources: the platform's instance list, which lags; the reports of the targets
// themselves; drains that operators requested; and targets that stopped answering. If a target reports that it
// is leaving, this takes precedence over a list that still shows it as live.
//
// A Registry is a state machine for one goroutine. It reads no clock and does no I/O.
//
// Usage:
//
//	r := targetregistry.New()
//	r.UpdateListed(listed, now)
//	r.UpdateReport("w1", targetregistry.TargetReport{Leaving: true})
//	picker.SetTargets(r.Targets())
package targetregistry

import (
	"slices"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// UnlistedRetention is how long a target that is missing from the instance list is kept. It covers a
// list that briefly shows fewer targets after its own restart.
const UnlistedRetention = 30 * time.Second

// TargetReport is the state that a target reports of itself.
type TargetReport struct {
	Leaving     bool
	Model       string
	ModelLayers int
	Layers      layer.Range
	Accelerator string
}

// Registry contains the known state of every target.
type Registry struct {
	entries map[string]*entry
	drained map[string]bool
}

type entry struct {
	listed          target.Target
	lastListed      time.Time
	reportedLeaving bool
	reported        bool
	report          TargetReport
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{entries: make(map[string]*entry), drained: make(map[string]bool)}
}

// UpdateListed applies one response of the platform's instance list. A target that is missing
// from the response is Leaving until it is listed again or removed.
func (r *Registry) UpdateListed(listed []target.Target, now time.Time) {
	seen := make(map[string]bool, len(listed))
	for _, t := range listed {
		seen[t.Name] = true
		r.updateEntry(t, now)
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

func (r *Registry) updateEntry(t target.Target, now time.Time) {
	e, ok := r.entries[t.Name]
	if !ok {
		e = &entry{}
		r.entries[t.Name] = e
	}
	if ok && e.listed.Address != t.Address {
		// A new address means a new process with the same name, so the old one's report no longer applies.
		*e = entry{}
	}
	e.listed = t
	e.lastListed = now
}

// UpdateReport records a target's report. It is ignored for an unknown target.
func (r *Registry) UpdateReport(name string, report TargetReport) {
	e, ok := r.entries[name]
	if !ok {
		return
	}
	e.reported = true
	e.report = report
	e.reportedLeaving = report.Leaving
}

// MarkLeaving records that a target announced, in any response, that it is leaving.
func (r *Registry) MarkLeaving(name string) {
	if e, ok := r.entries[name]; ok {
		e.reportedLeaving = true
	}
}

// SetDrained replaces the set of targets that operators are draining.
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
	if e.reportedLeaving || r.drained[t.Name] {
		t.State = target.Leaving
	}
	if e.reported && e.report.Layers.Valid() {
		// Assignments change the layers that an engine holds, and its own report is newer than the list.
		t.Model = e.report.Model
		t.ModelLayers = e.report.ModelLayers
		t.Layers = e.report.Layers
		t.Accelerator = e.report.Accelerator
	}
	return t
}
