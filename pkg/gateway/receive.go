package gateway

import (
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

// receive applies a status update of another instance.
func (p *peers) receive(from netip.AddrPort, u *instancepb.StatusUpdate) {
	g := p.gateway
	now := time.Now()
	if u.GetHasLoads() {
		loads := make(map[uint64]targetstats.Load, len(u.GetLoads()))
		for _, l := range u.GetLoads() {
			loads[l.GetTarget()] = targetstats.Load{KVCells: l.GetCells(), Streams: int(l.GetStreams())}
		}
		g.targetStats.SetRemoteLoads(from.String(), loads, now)
	}
	for _, name := range u.GetLost() {
		p.receiveDead(name)
	}
	if rows := u.GetTargets(); len(rows) > 0 && g.targetsLoaded.Load() {
		var c Change
		for _, r := range rows {
			c.Rows = append(c.Rows, Row{Name: r.GetName(), Value: r.GetValue(), Revision: r.GetRevision(), Removed: r.GetRemoved()})
		}
		g.cache.applyTargets(c, 0, now)
	}
	for _, placed := range u.GetPlaced() {
		g.cache.applyReport(placed.GetTarget(), layer.Range{First: int(placed.GetFirst()), End: int(placed.GetEnd())}, now)
	}
	if l := u.GetLease(); l != nil {
		p.mu.Lock()
		p.leaseSeenAt, p.leaseRow = now, l
		p.mu.Unlock()
		g.leader.observe(lease.Row{Revision: l.GetRevision(), Value: l.GetValue()})
	}
	if u.GetAlone() {
		p.forgetWatcher()
	}
	if d := u.GetDigest(); d != 0 {
		p.compareDigest(d, now)
	}
	p.receiveConfirmation(from, u)
}

func (p *peers) receiveDead(name string) {
	if t, ok := p.gateway.cache.target(name); ok {
		go p.gateway.server.TargetDead(t) // It may send status updates, which wait for the node.
	}
}

// compareDigest records whether the target list matches that of an instance that reads it from the store.
func (p *peers) compareDigest(digest uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watcherSeenAt = now
	switch {
	case digest == p.gateway.cache.digest.Load():
		p.divergedSince = time.Time{}
	case p.divergedSince.IsZero():
		p.divergedSince = now
	}
}

// updatedByWatcher reports whether a watcher keeps the target list up to date here.
func (p *peers) updatedByWatcher(now time.Time) bool {
	if p.isWatcher() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.divergedSince.IsZero() && now.Sub(p.divergedSince) > maxDivergence {
		p.divergedSince = time.Time{}
		return false
	}
	return now.Sub(p.watcherSeenAt) < watcherTTL
}

// forgetWatcher makes this instance ask the store itself until it receives an update of a watcher again.
func (p *peers) forgetWatcher() {
	p.mu.Lock()
	p.watcherSeenAt = time.Time{}
	p.mu.Unlock()
	notify(p.wake)
}

// watcherSeen reports whether an instance that reads the target list from the store has sent an update lately.
func (p *peers) watcherSeen(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.watcherSeenAt) < watcherTTL
}

// leaseSeen reports whether the row of the lease was received lately.
func (p *peers) leaseSeen(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.leaseSeenAt) < 2*statusInterval
}

// relayedLease returns the row of the lease as it was received.
func (p *peers) relayedLease() *instancepb.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaseRow
}

// receiveConfirmation answers a request to confirm the configuration, and applies the answer to one.
func (p *peers) receiveConfirmation(from netip.AddrPort, u *instancepb.StatusUpdate) {
	c := p.gateway.cache
	_, revision := c.version()
	if u.GetQuestion() != 0 {
		if age, ok := c.age(); ok {
			p.send([]netip.AddrPort{from}, &instancepb.StatusUpdate{Answer: u.GetQuestion(), AgeNs: int64(age), Revision: revision})
		}
	}
	if u.GetAnswer() != 0 && u.GetRevision() == revision && u.GetAgeNs() >= 0 {
		// The age was measured after the request was sent, so the configuration was the newest at this time or later.
		c.confirm(time.Duration(u.GetAnswer()) - time.Duration(u.GetAgeNs()))
	}
	if u.GetRevision() > revision {
		p.mu.Lock()
		if u.GetRevision() >= p.newestRevision {
			p.newestRevision, p.newestFrom = u.GetRevision(), from
		}
		p.mu.Unlock()
		notify(p.wake)
	}
}

// behind reports whether a newer configuration than the active one is known to exist.
func (p *peers) behind() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, revision := p.gateway.cache.version()
	return p.newestRevision > revision
}
