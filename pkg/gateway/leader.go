package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/sleep"
)

const (
	// leaseKey is the row of the lease for assignments.
	leaseKey = "leases/orders"
	// leaseDuration is how long the holder may act after a renewal.
	leaseDuration = 2 * time.Second
	// assignmentTimeout bounds the time of one assignment.
	assignmentTimeout = 400 * time.Millisecond
	// clockMargin covers differences between clock rates and scheduling delays.
	clockMargin = 200 * time.Millisecond
	// leaderTick is how often the lease is checked and, on its holder, the layout is planned.
	leaderTick = 200 * time.Millisecond
	// leaseReadInterval is how often an instance without the lease reads it.
	leaseReadInterval = 800 * time.Millisecond
	// minLostLeaseWait is how long the instances of a large fleet that are neither seeds nor watchers leave a free lease to those. Each adds
	// a random time of the same length.
	minLostLeaseWait = 5 * time.Second
	// leaseRetryDelay is the delay after a write of the lease without an answer.
	leaseRetryDelay = 500 * time.Millisecond
	// pendingMargin is how long after twice the expected loading time a target's entry may still lack the layers.
	pendingMargin = 4 * time.Second
	// settleTime is how long the number of listed targets must not have changed before the first plan. The plan waits
	// for at most maxSettleTime.
	settleTime    = 1500 * time.Millisecond
	maxSettleTime = 4 * time.Second
	// returnTime is how long a dead target may take to start again.
	returnTime = 5500 * time.Millisecond
	// confirmInterval is how often a target is asked whether it has loaded its layers, at most maxConfirmations times.
	confirmInterval  = 300 * time.Millisecond
	maxConfirmations = 10
	// maxConcurrentAssignments bounds the assignments, and apart from them the targets that are asked whether they have loaded their
	// layers, at the same time.
	maxConcurrentAssignments = 32
	// assignmentWindow is how long after its begin a plan sends further assignments.
	assignmentWindow = 300 * time.Millisecond
	// reportedLayersTTL is how long the layers that a target reported after a failed assignment take precedence over
	// its entry.
	reportedLayersTTL = time.Second
)

// leader holds the lease for assignments and carries out the layout plan.
type leader struct {
	gateway        *Gateway
	elector        *lease.Elector
	readAt         time.Time             // readAt is when the lease was last read without holding it.
	retryAt        time.Time             // retryAt is when a failed write of the lease is retried.
	leaseChangedAt time.Time             // leaseChangedAt is when a write of the lease last showed that it was acquired or lost.
	lastSeen       map[string]presence   // lastSeen holds the targets in the plan and those that died within returnTime.
	growth         map[string]listGrowth // growth holds the list growth of each service without layers.
	lostLeaseWait  time.Duration         // lostLeaseWait is how long this instance leaves a free lease to seeds and watchers.
	confirming     atomic.Int64          // confirming counts the running calls of confirmLayers.

	mu           sync.Mutex                   // mu guards the following fields and the elector. Only run uses the others.
	refusedToken uint64                       // refusedToken is the highest fencing token that a target has refused.
	pending      map[string]pendingAssignment // pending holds the pending assignment of each target.
	counts       map[string]assignmentCount   // counts holds the assignment count of each target.
	leaseRow     Row                          // leaseRow is the row of the lease as last written by this instance.
}

func newLeader(g *Gateway, incarnation string) *leader {
	l := &leader{
		lostLeaseWait: minLostLeaseWait + rand.N(minLostLeaseWait),
		gateway:       g, pending: make(map[string]pendingAssignment), counts: make(map[string]assignmentCount),
		growth: make(map[string]listGrowth), lastSeen: make(map[string]presence),
		elector: lease.New(leaseKey, g.settings.Instance, incarnation, lease.WithDurations(leaseDuration, assignmentTimeout, clockMargin)),
	}
	if len(g.settings.Seeds) > 0 && !g.settings.IsSeed {
		l.readAt = time.Now() // By the first read, the other instances are known.
	}
	return l
}

// run maintains the lease and, while this instance holds it, carries out the layout plan until the context ends.
func (l *leader) run(ctx context.Context) {
	// The loop keeps the pace of a ticker, which drops ticks that were missed, without one: several tickers that are overdue at once in a bubble
	// of synctest crash the race detector of Go 1.26.
	for next := time.Now(); ; {
		l.updateLease(ctx)
		if token, ok := l.authorizeAssignment(); ok {
			l.plan(ctx, token)
		}
		next = next.Add(leaderTick)
		if late := time.Since(next); late > 0 {
			next = next.Add(late.Truncate(leaderTick))
		}
		if sleep.For(ctx, time.Until(next)) != nil {
			return
		}
		if l.gateway.stopping.Load() {
			l.releaseLease(ctx)
		}
	}
}
