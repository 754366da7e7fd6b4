package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/layout"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// presence is when a target was last alive.
type presence struct {
	service, dataCentre string
	seen                time.Time
}

// listGrowth is when the first and the last target of a service were added.
type listGrowth struct {
	count       int
	first, last time.Time
}

// pendingAssignment is an assignment that its target's entry does not show yet.
type pendingAssignment struct {
	layers  layer.Range
	started time.Time // started is the start time of the target.
	until   time.Time
}

// assignmentCount is how many assignments a target has accepted since its start, as last reported.
type assignmentCount struct {
	started     time.Time
	assignments uint64
}

// plan makes the assignments that are due.
func (l *leader) plan(ctx context.Context, token uint64) {
	snapshot := l.gateway.cache.Snapshot()
	if snapshot == nil || !l.gateway.targetsLoaded.Load() {
		return
	}
	for _, service := range snapshot.Catalogue.Services() {
		if service.Engine == nil || service.Engine.Layers == 0 {
			continue
		}
		listed := snapshot.Targets[service.Name].Targets()
		targets := l.withPending(listed, time.Now())
		if !l.settled(service.Name, targets, time.Now()) {
			continue
		}
		var group sync.WaitGroup
		for _, a := range layout.New(service.Engine).Plan(targets, l.recentlyDead(service.Name, listed, time.Now())) {
			group.Go(func() { l.assign(ctx, service.Engine, a, token) })
		}
		group.Wait()
	}
}

// recentlyDead counts, for each data centre, the targets that died a moment ago. They may come back, and until then no
// new streams pass through their data centre, so that reassigning its layers interrupts few.
func (l *leader) recentlyDead(service string, targets []*target.Target, now time.Time) map[string]int {
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		if l.gateway.targetStats.IsDead(t.Name, now) || !t.AcceptsRequests() {
			continue
		}
		present[t.Name] = true
		l.lastSeen[t.Name] = presence{service: service, dataCentre: t.DataCentre, seen: now}
	}
	count := make(map[string]int)
	if now.Sub(l.heldSince) < returnTime {
		// A new holder of the lease does not know which targets died before.
		for _, t := range targets {
			count[t.DataCentre] = 1
		}
	}
	for name, seen := range l.lastSeen {
		switch {
		case seen.service != service || present[name]:
		case now.Sub(seen.seen) > returnTime:
			delete(l.lastSeen, name)
		default:
			count[seen.dataCentre]++
		}
	}
	return count
}

// settled reports whether the plan of a service may be made. While no target holds layers, it waits until the list no
// longer grows: a plan for half of a fleet would leave too little capacity for requests.
func (l *leader) settled(service string, targets []target.Target, now time.Time) bool {
	for _, t := range targets {
		if t.Layers.Valid() {
			return true
		}
	}
	seen := l.growth[service]
	if seen.count != len(targets) {
		first := seen.first
		if first.IsZero() {
			first = now
		}
		seen = listGrowth{count: len(targets), first: first, last: now}
		l.growth[service] = seen
	}
	return len(targets) > 0 && (now.Sub(seen.last) >= settleTime || now.Sub(seen.first) >= maxSettleTime)
}

// withPending returns the targets that are not dead, with the layers that they were last assigned.
func (l *leader) withPending(targets []*target.Target, now time.Time) []target.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	planned := make([]target.Target, 0, len(targets))
	for _, entry := range targets {
		if l.gateway.targetStats.IsDead(entry.Name, now) {
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
			t.Assignments = c.assignments
		}
		planned = append(planned, t)
	}
	return planned
}
