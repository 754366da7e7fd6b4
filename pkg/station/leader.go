package station

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/layout"
	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// leaseName is the row of the lease for orders.
	leaseName = "leases/orders"
	// leaseLife is how long the holder may act after a renewal.
	leaseLife = 2 * time.Second
	// orderLimit bounds the time of one order.
	orderLimit = 400 * time.Millisecond
	// leaseMargin covers differences between clock rates and scheduling delays.
	leaseMargin = 200 * time.Millisecond
	// leaderTick is how often the lease and the plan are looked at.
	leaderTick = 200 * time.Millisecond
	// leaseReading is how often an instance without the lease reads it.
	leaseReading = 800 * time.Millisecond
	// leaseRetry is the pause after a write of the lease without an answer.
	leaseRetry = 500 * time.Millisecond
	// pendingMargin is how long after the expected end of a load its target's entry may still be without it.
	pendingMargin = 4 * time.Second
	// settleTime is how long the list must not have grown before the first plan, at most maxSettleTime.
	settleTime    = 1500 * time.Millisecond
	maxSettleTime = 4 * time.Second
	// returnTime is how long a target that was lost may take to start again.
	returnTime = 5500 * time.Millisecond
	// confirmInterval is how often a target is asked whether it has loaded its layers, confirmTries times.
	confirmInterval = 300 * time.Millisecond
	confirmTries    = 10
	// doubtLife is how long what a target said after a failed order goes before its entry.
	doubtLife = time.Second
)

// leader holds the lease for orders and carries out the plan.
type leader struct {
	station *Station
	holder  *lease.Holder
	read    time.Time
	retry   time.Time // retry is when a failed write of the lease is tried again.
	since   time.Time // since is when this instance took the lease.

	mu      sync.Mutex // mu guards the following, and the holder.
	pending map[string]pending
	counts  map[string]count
	written Row                 // written is the row of the lease as last written here.
	known   map[string]sighting // known are the targets of the plan, and those lost a moment ago.
	growing map[string]growth   // growing is how the list of a service without layers grew.
}

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

func newLeader(s *Station, incarnation string) *leader {
	return &leader{
		station: s, pending: make(map[string]pending), counts: make(map[string]count), growing: make(map[string]growth), known: make(map[string]sighting),
		holder: lease.New(leaseName, s.settings.Instance, incarnation, lease.WithTimes(leaseLife, orderLimit, leaseMargin)),
	}
}

// run looks after the lease and the plan until the context ends.
func (l *leader) run(ctx context.Context) {
	ticker := time.NewTicker(leaderTick)
	defer ticker.Stop()
	for {
		l.lease(ctx)
		if fence, ok := l.mayOrder(); ok {
			l.plan(ctx, fence)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if l.station.stopping.Load() {
			l.release(ctx)
		}
	}
}

// lease reads, takes or renews the lease.
func (l *leader) lease(ctx context.Context) {
	now := time.Now()
	if !l.holds() && now.Sub(l.read) >= leaseReading && !l.station.peers.leaseHeard(now) && !l.station.storeLost(now) {
		l.read = now
		row, err := l.station.platform.Store.Own(ctx, leaseName)
		l.station.dependency("Lease", err)
		if err != nil {
			return
		}
		l.observe(lease.Row{Revision: row.Revision, Value: row.Value})
	}
	if t, ok := l.due(); ok {
		l.swap(ctx, t)
	}
}

// due returns the transaction that takes or renews the lease, if one is due.
func (l *leader) due() (lease.Transaction, bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.retry) {
		return lease.Transaction{}, false
	}
	if t, ok := l.holder.Renew(now); ok {
		return t, true
	}
	if l.station.stopping.Load() || l.station.storeLost(now) {
		return lease.Transaction{}, false
	}
	return l.holder.Acquire(now)
}

func (l *leader) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Holds()
}

func (l *leader) mayOrder() (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.MayOrder(time.Now())
}

// observe takes in the row of the lease.
func (l *leader) observe(row lease.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.Observe(time.Now(), row)
}

// row returns the row of the lease if this instance holds it.
func (l *leader) row() (Row, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.written, l.holder.Holds() && l.written.Revision > 0
}

func (l *leader) swap(ctx context.Context, t lease.Transaction) {
	held := l.holds()
	row, done, err := l.station.platform.Store.Swap(ctx, Row{Name: t.Key, Value: t.Value, Revision: t.Revision})
	l.station.dependency("Lease", err)
	switch {
	case err != nil:
		l.mu.Lock()
		l.retry = time.Now().Add(leaseRetry)
		l.mu.Unlock()
		l.readBack(ctx) // The write may have taken effect.
	case done:
		l.mu.Lock()
		l.holder.Committed(time.Now(), t, row.Revision)
		l.written = row
		l.mu.Unlock()
	default:
		l.observe(lease.Row{Revision: row.Revision, Value: row.Value})
	}
	if holds := l.holds(); holds != held {
		l.since = time.Now()
		l.station.logger.Info().Bool("Held", holds).Uint64("Revision", row.Revision).Msg("lease changed hands")
	}
}

func (l *leader) readBack(ctx context.Context) {
	row, err := l.station.platform.Store.Own(ctx, leaseName)
	if err != nil {
		return // The next turn reads again.
	}
	l.observe(lease.Row{Revision: row.Revision, Value: row.Value})
}

// release gives up the lease for a planned stop.
func (l *leader) release(ctx context.Context) {
	l.mu.Lock()
	t, ok := l.holder.Release(time.Now())
	l.mu.Unlock()
	if ok {
		l.swap(ctx, t)
	}
}

// plan gives the orders that are due.
func (l *leader) plan(ctx context.Context, fence uint64) {
	view := l.station.knowledge.View()
	if view == nil || !l.station.listed.Load() {
		return
	}
	for _, service := range view.Catalogue.Services() {
		if service.Engine == nil || service.Engine.Layers == 0 {
			continue
		}
		targets := l.overlay(view.Targets[service.Name], time.Now())
		if !l.settled(service.Name, targets, time.Now()) {
			continue
		}
		var group sync.WaitGroup
		for _, o := range layout.New(service.Engine).Plan(targets, l.returning(service.Name, view.Targets[service.Name], time.Now())) {
			group.Go(func() { l.order(ctx, service.Engine, o, fence) })
		}
		group.Wait()
	}
}

// returning counts, for each data centre, the targets that were lost a moment ago. They may come back; and until then no
// new streams pass through their data centre, so that dealing out its layers anew interrupts few.
func (l *leader) returning(service string, targets []target.Target, now time.Time) map[string]int {
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		if l.station.meter.IsDead(t.Name, now) || !t.Accepting() {
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
func (l *leader) overlay(targets []target.Target, now time.Time) []target.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	planned := make([]target.Target, 0, len(targets))
	for _, t := range targets {
		if l.station.meter.IsDead(t.Name, now) {
			continue
		}
		if p, ok := l.pending[t.Name]; ok {
			if now.After(p.until) || !p.started.Equal(t.Started) || t.Layers == p.layers {
				delete(l.pending, t.Name)
			} else {
				t.Layers = p.layers
			}
		}
		if c := l.counts[t.Name]; c.started.Equal(t.Started) {
			t.Orders = c.orders
		}
		planned = append(planned, t)
	}
	return planned
}

// order gives one order and notes that it is under way.
func (l *leader) order(ctx context.Context, e *catalogue.Engine, o layout.Order, fence uint64) {
	share := float64(o.Layers.Len()) / float64(e.Layers)
	load := time.Duration(float64(e.LoadTime) * share)
	bounded, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	err := l.station.platform.Orders.Place(bounded, Order{Target: o.Target, Layers: o.Layers, Fence: fence})
	l.station.logger.Info().Str("Target", o.Target.Name).Str("Layers", o.Layers.String()).Uint64("Fence", fence).
		Uint64("Orders", o.Target.Orders).Err(err).Msg("layers ordered")
	if err != nil {
		l.doubt(o, err)
		return
	}
	if o.Target.Layers.Valid() && !o.Layers.Contains(o.Target.Layers) {
		l.station.knowledge.hear(o.Target.Name, layer.Range{}, time.Now())
		l.station.peers.tellPlaced(o.Target.Name, layer.Range{})
	}
	go l.confirm(ctx, o, load)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[o.Target.Name] = count{started: o.Target.Started, orders: o.Target.Orders + 1}
	l.pending[o.Target.Name] = pending{layers: o.Layers, started: o.Target.Started, until: time.Now().Add(2*load + pendingMargin)}
}

// confirm asks a target whether it has loaded its layers, and tells all instances: its entry says so only with its next
// heartbeat.
func (l *leader) confirm(ctx context.Context, o layout.Order, load time.Duration) {
	sleep(ctx, load)
	for range confirmTries {
		sleep(ctx, confirmInterval)
		if ctx.Err() != nil {
			return
		}
		listed, ok := l.station.knowledge.target(o.Target.Name)
		if !ok || !listed.Accepting() || listed.Layers == o.Layers {
			return
		}
		report, err := l.station.platform.Orders.Report(ctx, o.Target)
		if err != nil {
			continue // The target may be lost; its entry will tell.
		}
		if report.Layers == o.Layers {
			l.station.knowledge.hear(o.Target.Name, o.Layers, time.Now())
			l.station.peers.tellPlaced(o.Target.Name, o.Layers)
			return
		}
	}
}

// doubt asks a target what became of an order that it did not confirm.
func (l *leader) doubt(o layout.Order, err error) {
	if errors.Is(err, ErrFenced) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderLimit)
	defer cancel()
	report, err := l.station.platform.Orders.Report(ctx, o.Target)
	p := pending{layers: o.Target.Layers, started: o.Target.Started, until: time.Now().Add(doubtLife)}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.station.logger.Info().Str("Target", o.Target.Name).Err(err).Msg("no report after an order without an answer")
	case report.Busy:
		p.layers = o.Layers
	case report.Layers.Valid():
		p.layers = report.Layers
	}
	if err == nil {
		l.counts[o.Target.Name] = count{started: o.Target.Started, orders: report.Orders}
	}
	l.pending[o.Target.Name] = p
}
