package gateway

import (
	"context"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
)

// lease reads, takes or renews the lease.
func (l *leader) lease(ctx context.Context) {
	now := time.Now()
	if !l.holds() && now.Sub(l.read) >= leaseReading && !l.station.peers.leaseHeard(now) && !l.station.storeLost(now) {
		l.read = now
		row, err := l.station.platform.Store.Get(ctx, leaseName)
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
	return l.holder.IsHolder()
}

func (l *leader) mayOrder() (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fence, ok = l.holder.AuthorizeAssignment(time.Now())
	return fence, ok && fence > l.refused
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
	return l.written, l.holder.IsHolder() && l.written.Revision > 0
}

func (l *leader) swap(ctx context.Context, t lease.Transaction) {
	held := l.holds()
	row, done, err := l.station.platform.Store.CompareAndSwap(ctx, Row{Name: t.Key, Value: t.Value, Revision: t.Revision})
	l.station.dependency("Lease", err)
	switch {
	case err != nil:
		l.mu.Lock()
		l.retry = time.Now().Add(leaseRetry)
		l.mu.Unlock()
		l.readBack(ctx) // The write may have taken effect.
	case done:
		l.mu.Lock()
		l.holder.ObserveCommit(time.Now(), t, row.Revision)
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
	row, err := l.station.platform.Store.Get(ctx, leaseName)
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
