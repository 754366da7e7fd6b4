package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
)

// updateLease reads the lease if this instance neither holds nor receives it, and acquires or renews the lease if that
// is due.
func (l *leader) updateLease(ctx context.Context) {
	now := time.Now()
	candidate := l.isCandidate(now)
	if candidate && !l.holds() && now.Sub(l.readAt) >= leaseReadInterval && !l.gateway.peers.leaseSeen(now) && !l.gateway.storeFailed(now) {
		l.readAt = now
		row, err := l.gateway.platform.Store.Get(ctx, leaseKey)
		l.gateway.logStoreState("Lease", err)
		if err != nil {
			return
		}
		l.observe(lease.Row{Revision: row.Revision, Value: row.Value})
	}
	if t, ok := l.dueTransaction(candidate); ok {
		l.writeLease(ctx, t)
	}
}

// isCandidate reports whether this instance acquires the lease when it is free. In a large fleet only seeds and watchers do, since the calls of
// all would grow with the fleet; the others do once they have not heard of the lease for lostLeaseWait.
func (l *leader) isCandidate(now time.Time) bool {
	p := l.gateway.peers
	return len(p.node.Members()) <= statusFanout || l.gateway.settings.IsSeed || p.isWatcher() || now.Sub(p.leaseHeardAt()) > l.lostLeaseWait
}

// dueTransaction returns the transaction that acquires, if this instance is a candidate, or renews the lease, if one is due.
func (l *leader) dueTransaction(candidate bool) (lease.Transaction, bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.retryAt) {
		return lease.Transaction{}, false
	}
	if t, ok := l.elector.Renew(now); ok {
		return t, true
	}
	if !candidate || l.gateway.stopping.Load() || l.gateway.storeFailed(now) {
		return lease.Transaction{}, false
	}
	return l.elector.Acquire(now)
}

func (l *leader) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elector.IsHolder()
}

// authorizeAssignment returns the fencing token for assignments, and whether this instance may now assign layers under
// it.
func (l *leader) authorizeAssignment() (token uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	token, ok = l.elector.AuthorizeAssignment(time.Now())
	return token, ok && token > l.refusedToken
}

// observe applies the row of the lease to the elector.
func (l *leader) observe(row lease.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.elector.Observe(time.Now(), row)
}

// era returns the era of the lease's row as last seen.
func (l *leader) era() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elector.Era()
}

// observeFencingToken records a fencing token that another instance or a target has seen.
func (l *leader) observeFencingToken(token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.elector.ObserveFencingToken(token)
}

// highestFencingToken returns the highest fencing token that this instance has seen.
func (l *leader) highestFencingToken() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elector.HighestFencingToken()
}

// heldLease returns the row of the lease as last written by this instance. It reports false if this instance does not
// hold the lease.
func (l *leader) heldLease() (Row, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseRow, l.elector.IsHolder() && l.leaseRow.Revision.Exists()
}

func (l *leader) writeLease(ctx context.Context, t lease.Transaction) {
	held := l.holds()
	row, done, err := l.gateway.platform.Store.CompareAndSwap(ctx, Row{Name: t.Key, Value: t.Value, Revision: t.Revision})
	l.gateway.logStoreState("Lease", err)
	switch {
	case errors.Is(err, ErrOlderEra):
		l.readBack(ctx) // The lease has to be read in the new era before it is written.
	case err != nil:
		l.mu.Lock()
		l.retryAt = time.Now().Add(leaseRetryDelay)
		l.mu.Unlock()
		l.readBack(ctx) // The write may have taken effect.
	case done:
		l.mu.Lock()
		l.elector.ObserveCommit(time.Now(), t, row.Revision)
		l.leaseRow = row
		l.mu.Unlock()
	default:
		l.observe(lease.Row{Revision: row.Revision, Value: row.Value})
	}
	if holds := l.holds(); holds != held {
		l.leaseChangedAt = time.Now()
		l.gateway.logger.Info().Bool("Held", holds).Str("Revision", row.Revision.String()).Msg("lease acquired or lost")
	}
}

// readBack reads the lease after a write without an answer.
func (l *leader) readBack(ctx context.Context) {
	row, err := l.gateway.platform.Store.Get(ctx, leaseKey)
	if err != nil {
		return // A later tick reads the lease again.
	}
	l.observe(lease.Row{Revision: row.Revision, Value: row.Value})
}

// releaseLease releases the lease for a planned stop.
func (l *leader) releaseLease(ctx context.Context) {
	l.mu.Lock()
	t, ok := l.elector.Release(time.Now())
	l.mu.Unlock()
	if ok {
		l.writeLease(ctx, t)
	}
}
