package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
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
	station *Gateway
	holder  *lease.Elector
	read    time.Time
	retry   time.Time // retry is when a failed write of the lease is tried again.
	since   time.Time // since is when this instance took the lease.

	mu      sync.Mutex // mu guards the following, and the holder.
	refused uint64     // refused is the highest fencing number that a target has refused.
	pending map[string]pending
	counts  map[string]count
	written Row                 // written is the row of the lease as last written here.
	known   map[string]sighting // known are the targets of the plan, and those lost a moment ago.
	growing map[string]growth   // growing is how the list of a service without layers grew.
}

func newLeader(s *Gateway, incarnation string) *leader {
	return &leader{
		station: s, pending: make(map[string]pending), counts: make(map[string]count), growing: make(map[string]growth), known: make(map[string]sighting),
		holder: lease.New(leaseName, s.settings.Instance, incarnation, lease.WithDurations(leaseLife, orderLimit, leaseMargin)),
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
