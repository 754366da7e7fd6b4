package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/revision"
	"github.com/cuminroute/cuminroute/pkg/sleep"
)

// run runs one iteration per interval until ctx ends.
func (d *Dispatcher) run(ctx context.Context) {
	for sleep.For(ctx, d.interval) == nil {
		d.observeLease(ctx)
		d.writeLease(ctx)
		d.sendDue(ctx)
	}
}

// observeLease reads the lease row if it may have changed: a standby polls it, and the holder reads it
// after a write without an answer.
func (d *Dispatcher) observeLease(ctx context.Context) {
	d.mu.Lock()
	certain := d.elector.IsHolder() && d.rowKnown
	due := d.candidate && !certain && (d.elector.IsHolder() || time.Since(d.lastRead) >= standbyPollInterval)
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
	d.rowKnown, d.lastRead = true, time.Now()
	d.elector.Observe(d.lastRead, lease.Row{Revision: tableRevision(row.Revision), Value: row.Value})
}

// writeLease acquires or renews the lease if this instance is a candidate and the acquisition or renewal is due.
func (d *Dispatcher) writeLease(ctx context.Context) {
	d.mu.Lock()
	now := time.Now()
	x, due := d.elector.Acquire(now)
	if !due {
		x, due = d.elector.Renew(now)
	}
	due = due && d.candidate
	d.mu.Unlock()
	if !due {
		return
	}
	res, err := d.table.Commit(ctx, transaction(x))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rowKnown = err == nil && res.Committed
	if d.rowKnown {
		d.elector.ObserveCommit(time.Now(), x, tableRevision(res.Revision))
	}
}

// sendDue updates the fencing token and sends the due assignments, each in its own goroutine. The deadline of
// the assignments counts from the time when the lease authorized them.
func (d *Dispatcher) sendDue(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	fencingToken, ok := d.elector.AuthorizeAssignment(now)
	d.fencingToken = fencingToken
	if !ok {
		d.held.Update(0)
		return
	}
	d.held.Update(1)
	if d.desiredToken != 0 && d.desiredToken != fencingToken {
		return
	}
	deadline := now.Add(d.elector.AssignmentTimeout())
	for _, assignment := range d.reconciler.DueAssignments(now, fencingToken) {
		d.inFlight.Go(func() { d.send(ctx, assignment, deadline) })
	}
}

// send sends one assignment, unless its deadline has passed.
func (d *Dispatcher) send(ctx context.Context, assignment reconcile.Assignment, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	err := ErrAssignmentExpired
	accepted := false
	if ctx.Err() == nil {
		accepted, err = d.targetControl.Assign(ctx, assignment)
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
	d.reconciler.Acknowledge(assignment)
}

// tableRevision returns a revision of the product's own table, which has no eras.
func tableRevision(number uint64) revision.Revision { return revision.New(0, number) }
