package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/sleep"
)

// run takes a turn at each tick until ctx ends.
func (d *Dispatcher) run(ctx context.Context) {
	for sleep.For(ctx, d.tick) == nil {
		d.observe(ctx)
		d.write(ctx)
		d.dispatch(ctx)
	}
}

// observe reads the lease row if it may have changed.
func (d *Dispatcher) observe(ctx context.Context) {
	d.mu.Lock()
	certain := d.holder.IsHolder() && d.current
	due := d.candidate && !certain && (d.holder.IsHolder() || time.Since(d.watched) >= watchInterval)
	d.mu.Unlock()
	if !due {
		return
	}
	row, err := d.table.Get(ctx, Key)
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current, d.watched = true, time.Now()
	d.holder.Observe(d.watched, lease.Row{Revision: row.Revision, Value: row.Value})
}

// write acquires or renews the lease if that is due.
func (d *Dispatcher) write(ctx context.Context) {
	d.mu.Lock()
	now := time.Now()
	x, due := d.holder.Acquire(now)
	if !due {
		x, due = d.holder.Renew(now)
	}
	due = due && d.candidate
	d.mu.Unlock()
	if !due {
		return
	}
	res, err := d.table.Commit(ctx, transaction(x))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = err == nil && res.Committed
	if d.current {
		d.holder.ObserveCommit(time.Now(), x, res.Revision)
	}
}

// dispatch sends the orders that are due, each in its own goroutine and within the time that the
// lease leaves from the moment it was asked.
func (d *Dispatcher) dispatch(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	fence, ok := d.holder.AuthorizeAssignment(now)
	d.fence = fence
	if !ok {
		d.held.Update(0)
		return
	}
	d.held.Update(1)
	if d.under != 0 && d.under != fence {
		return
	}
	deadline := now.Add(d.holder.AssignmentTimeout())
	for _, order := range d.reconciler.DueAssignments(now, fence) {
		d.inFlight.Go(func() { d.send(ctx, order, deadline) })
	}
}

// send sends one order. It does not start one whose time limit has passed.
func (d *Dispatcher) send(ctx context.Context, order reconcile.Assignment, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	err := ErrAssignmentExpired
	accepted := false
	if ctx.Err() == nil {
		accepted, err = d.engines.Assign(ctx, order)
	}
	switch {
	case err != nil:
		d.failed.Inc(1)
		return
	case accepted:
		d.sent.Inc(1)
	default:
		d.refused.Inc(1)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reconciler.Acknowledge(order)
}
