package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/layout"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// sighting is when a target was last there.
type sighting struct {
	service, dataCentre string
	seen                time.Time
}

// growth is when targets of a service were first and last added.
type growth struct {
	count       int
	first, last time.Time
}

// pending is an order that its target's entry does not show yet.
type pending struct {
	layers  layer.Range
	started time.Time // started is the target's start.
	until   time.Time
}

// count is how many orders a target has accepted since its start, as last heard.
type count struct {
	started time.Time
	orders  uint64
}

// plan gives the orders that are due.
func (l *leader) plan(ctx context.Context, fence uint64) {
	view := l.station.knowledge.Snapshot()
	if view == nil || !l.station.listed.Load() {
		return
	}
	for _, service := range view.Catalogue.Services() {
		if service.Engine == nil || service.Engine.Layers == 0 {
			continue
		}
		listed := view.Targets[service.Name].Targets()
		targets := l.overlay(listed, time.Now())
		if !l.settled(service.Name, targets, time.Now()) {
			continue
		}
		var group sync.WaitGroup
		for _, o := range layout.New(service.Engine).Plan(targets, l.returning(service.Name, listed, time.Now())) {
			group.Go(func() { l.order(ctx, service.Engine, o, fence) })
		}
		group.Wait()
	}
}

// returning counts, for each data centre, the targets that were lost a moment ago. They may come back; and until then no
// new streams pass through their data centre, so that dealing out its layers anew interrupts few.
func (l *leader) returning(service string, targets []*target.Target, now time.Time) map[string]int {
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		if l.station.meter.IsDead(t.Name, now) || !t.AcceptsRequests() {
			continue
		}
		present[t.Name] = true
		l.known[t.Name] = sighting{service: service, dataCentre: t.DataCentre, seen: now}
	}
	count := make(map[string]int)
	if now.Sub(l.since) < returnTime {
		// A new holder of the lease does not know what was lost before.
		for _, t := range targets {
			count[t.DataCentre] = 1
		}
	}
	for name, s := range l.known {
		switch {
		case s.service != service || present[name]:
		case now.Sub(s.seen) > returnTime:
			delete(l.known, name)
		default:
			count[s.dataCentre]++
		}
	}
	return count
}

// settled reports whether the plan of a service may be made. While no target holds layers, it waits until the list no
// longer grows: a plan for half of a fleet would leave too little room for requests.
func (l *leader) settled(service string, targets []target.Target, now time.Time) bool {
	for _, t := range targets {
		if t.Layers.Valid() {
			return true
		}
	}
	seen := l.growing[service]
	if seen.count != len(targets) {
		first := seen.first
		if first.IsZero() {
			first = now
		}
		seen = growth{count: len(targets), first: first, last: now}
		l.growing[service] = seen
	}
	return len(targets) > 0 && (now.Sub(seen.last) >= settleTime || now.Sub(seen.first) >= maxSettleTime)
}

// overlay returns the targets with the layers that they were last ordered to hold.
func (l *leader) overlay(targets []*target.Target, now time.Time) []target.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	planned := make([]target.Target, 0, len(targets))
	for _, entry := range targets {
		if l.station.meter.IsDead(entry.Name, now) {
			continue
		}
		t := *entry
		if p, ok := l.pending[t.Name]; ok {
			if now.After(p.until) || !p.started.Equal(t.StartTime) || t.Layers == p.layers {
				delete(l.pending, t.Name)
			} else {
				t.Layers = p.layers
			}
		}
		if c := l.counts[t.Name]; c.started.Equal(t.StartTime) {
			t.Assignments = c.orders
		}
		planned = append(planned, t)
	}
	return planned
}
