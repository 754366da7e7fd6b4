// Package targetregistry decides which targets may be given new requests.
//
// A Registry combines four sources: the platform's target list, which shows changes late; the reports of the
// targets; responses in which a target announces that it is leaving; and drains that operators requested. A
// target is Leaving, which means that it may be given no new requests, if any source says so, even if the list
// still shows the target as live. A target that is missing from the list is Leaving until it is removed.
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

// UnlistedRetention is how long a target that is missing from the target list is kept. It allows for a list that
// shows fewer targets for a short time after the platform's service that provides it was restarted.
const UnlistedRetention = 30 * time.Second

// TargetReport is the state that a target reports of itself.
type TargetReport struct {
	Leaving     bool
	Model       string
	ModelLayers int
	Layers      layer.Range
	Accelerator string
}

// Registry contains the known state of every target. It must be created by New.
type Registry struct {
	entries  map[string]*entry
	draining map[string]bool
}

// entry is the state of one target by source.
type entry struct {
	listed          target.Target // listed is the target as shown by the target list.
	lastListed      time.Time     // lastListed is when the target list last contained the target.
	reportedLeaving bool          // reportedLeaving is set by a report or by MarkLeaving. Each report replaces it.
	reported        bool          // reported is set once the target has sent a report.
	report          TargetReport  // report is the last report, valid only if reported is set.
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{entries: make(map[string]*entry), draining: make(map[string]bool)}
}

// UpdateListed applies a complete target list read from the platform. A target that is missing
// from it is Leaving until it is listed again, or removed after UnlistedRetention.
func (r *Registry) UpdateListed(listed []target.Target, now time.Time) {
	listedNames := make(map[string]bool, len(listed))
	for _, t := range listed {
		listedNames[t.Name] = true
		r.updateListedTarget(t, now)
	}
	for name, e := range r.entries {
		if listedNames[name] {
			continue
		}
		e.listed.State = target.Leaving
		if now.Sub(e.lastListed) > UnlistedRetention {
			delete(r.entries, name)
		}
	}
}

func (r *Registry) updateListedTarget(t target.Target, now time.Time) {
	e, ok := r.entries[t.Name]
	if !ok {
		e = &entry{}
		r.entries[t.Name] = e
	}
	if ok && e.listed.Address != t.Address {
		// A new address means a new process with the same name, so the report of the old process no longer applies.
		*e = entry{}
	}
	e.listed = t
	e.lastListed = now
}

// UpdateReport records the report of a target. Reports of targets that were never listed are ignored.
func (r *Registry) UpdateReport(name string, report TargetReport) {
	e, ok := r.entries[name]
	if !ok {
		return
	}
	e.reported = true
	e.report = report
	e.reportedLeaving = report.Leaving
}

// MarkLeaving records that a target announced, in any response, that it is leaving. This applies until the target's
// next report.
func (r *Registry) MarkLeaving(name string) {
	if e, ok := r.entries[name]; ok {
		e.reportedLeaving = true
	}
}

// SetDrained replaces the set of targets that operators are draining.
func (r *Registry) SetDrained(names []string) {
	r.draining = make(map[string]bool, len(names))
	for _, name := range names {
		r.draining[name] = true
	}
}

// Targets returns every known target, ordered by name, with the state and layers that result from all sources.
func (r *Registry) Targets() []target.Target {
	targets := make([]target.Target, 0, len(r.entries))
	for _, e := range r.entries {
		targets = append(targets, r.effective(e))
	}
	slices.SortFunc(targets, func(a, b target.Target) int { return strings.Compare(a.Name, b.Name) })
	return targets
}

// effective returns the target with the state and layers that result from all sources.
func (r *Registry) effective(e *entry) target.Target {
	t := e.listed
	if e.reportedLeaving || r.draining[t.Name] {
		t.State = target.Leaving
	}
	if e.reported && e.report.Layers.Valid() {
		// A new assignment can change the layers that a target holds, and the target's report is newer than the list.
		t.Model = e.report.Model
		t.ModelLayers = e.report.ModelLayers
		t.Layers = e.report.Layers
		t.Accelerator = e.report.Accelerator
	}
	return t
}
