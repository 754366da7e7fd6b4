package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/layout"
	"github.com/cuminroute/cuminroute/pkg/decision/replicagoal"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// presence records when a target of the plan was last alive.
type presence struct {
	service, dataCentre string
	seenAt              time.Time
}

// listGrowth records the number of targets of a service while none of them has layers, and when this number first and
// last changed.
type listGrowth struct {
	count       int
	first, last time.Time
}

// pendingAssignment holds the layers of a target that the target's entry does not show yet.
type pendingAssignment struct {
	layers  layer.Range
	started time.Time // started is the start time of the target.
	until   time.Time // until is when the entry's layers apply again.
}

// assignmentCount is the number of assignments that a target has accepted since its start, as far as this instance
// knows.
type assignmentCount struct {
	started     time.Time
	assignments uint64
}

// plan computes the layout of each model and sends the assignments that it requires.
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
		if !l.listSettled(service.Name, targets, time.Now()) {
			continue
		}
		planner := layout.New(service.Engine, layout.WithReplicas(l.wantedReplicas(service.Engine, targets)))
		assignments := planner.Plan(targets, l.recentlyDead(service.Name, listed, time.Now()))
		l.assignAll(ctx, service.Engine, interleave(assignments), token)
	}
}

// wantedReplicas returns the number of replicas that each data centre should hold, by the memory that requests use there.
func (l *leader) wantedReplicas(e *catalogue.Engine, targets []target.Target) map[string]float64 {
	usages := make(map[string]replicagoal.Usage)
	for _, t := range targets {
		u := usages[t.DataCentre]
		if t.Layers.Valid() && t.AcceptsRequests() {
			u.Replicas += float64(t.Layers.Len()) / float64(e.Layers)
			u.UsedCells += l.gateway.targetStats.Load(t.Name).KVCells
			u.Cells += e.KVCells(t.Accelerator, t.Layers.Len())
		}
		usages[t.DataCentre] = u
	}
	wanted := make(map[string]float64, len(usages))
	for dataCentre, u := range usages {
		wanted[dataCentre] = u.Wanted()
	}
	return wanted
}

// assignAll sends assignments, at most maxConcurrentAssignments at a time, and begins none after assignmentWindow. The next plan has those that
// are left. A plan for a large fleet thereby leaves the instance time to renew the lease, and targets answer within the timeout.
func (l *leader) assignAll(ctx context.Context, e *catalogue.Engine, assignments []layout.Assignment, token uint64) {
	end := time.Now().Add(assignmentWindow)
	slots := make(chan struct{}, maxConcurrentAssignments)
	var group sync.WaitGroup
	for _, a := range assignments {
		slots <- struct{}{}
		if time.Now().After(end) {
			break
		}
		group.Go(func() {
			defer func() { <-slots }()
			l.assign(ctx, e, a, token)
		})
	}
	group.Wait()
}

// interleave orders assignments so that the data centres take turns, and those of each data centre keep their order: if not all are sent at
// once, each data centre gets its first layers early.
func interleave(assignments []layout.Assignment) []layout.Assignment {
	type position struct {
		assignment layout.Assignment
		turn       int // turn counts the assignments before it in the same data centre.
	}
	turns := make(map[string]int)
	positions := make([]position, len(assignments))
	for i, a := range assignments {
		positions[i] = position{assignment: a, turn: turns[a.Target.DataCentre]}
		turns[a.Target.DataCentre]++
	}
	slices.SortStableFunc(positions, func(a, b position) int { return cmp.Compare(a.turn, b.turn) })
	ordered := make([]layout.Assignment, len(positions))
	for i, p := range positions {
		ordered[i] = p.assignment
	}
	return ordered
}

// recentlyDead counts, for each data centre, the targets that died or left within returnTime. They may start again, and
// until then no new streams pass through their data centre, so that reassigning its layers interrupts few streams. It
// also updates lastSeen.
func (l *leader) recentlyDead(service string, targets []*target.Target, now time.Time) map[string]int {
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		if l.gateway.targetStats.IsDead(t.Name, now) || !t.AcceptsRequests() {
			continue
		}
		present[t.Name] = true
		l.lastSeen[t.Name] = presence{service: service, dataCentre: t.DataCentre, seenAt: now}
	}
	count := make(map[string]int)
	if now.Sub(l.leaseChangedAt) < returnTime {
		// A new holder of the lease does not know which targets died before.
		for _, t := range targets {
			count[t.DataCentre] = 1
		}
	}
	for name, last := range l.lastSeen {
		switch {
		case last.service != service || present[name]:
		case now.Sub(last.seenAt) > returnTime:
			delete(l.lastSeen, name)
		default:
			count[last.dataCentre]++
		}
	}
	return count
}

// listSettled reports whether the layout of a service may be planned. While none of its targets holds layers, the first
// plan waits until the list has not changed for settleTime, at most maxSettleTime: a plan for half of a fleet would
// leave too little capacity for requests.
func (l *leader) listSettled(service string, targets []target.Target, now time.Time) bool {
	for _, t := range targets {
		if t.Layers.Valid() {
			return true
		}
	}
	growth := l.growth[service]
	if growth.count != len(targets) {
		first := growth.first
		if first.IsZero() {
			first = now
		}
		growth = listGrowth{count: len(targets), first: first, last: now}
		l.growth[service] = growth
	}
	return len(targets) > 0 && (now.Sub(growth.last) >= settleTime || now.Sub(growth.first) >= maxSettleTime)
}

// withPending returns the targets that are not dead, with the layers and assignment counts that their entries do not
// show yet. It drops pending assignments that the entries show or that have expired.
func (l *leader) withPending(targets []*target.Target, now time.Time) []target.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	planned := make([]target.Target, 0, len(targets))
	for _, listed := range targets {
		if l.gateway.targetStats.IsDead(listed.Name, now) {
			continue
		}
		t := *listed
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
