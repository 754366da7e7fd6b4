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
	p.receiveVerdicts(u)
	p.receiveSuspects(u)
	if rows := u.GetTargets(); len(rows) > 0 && g.targetsLoaded.Load() {
		var c Change
		for _, r := range rows {
			c.Rows = append(c.Rows, Row{Name: r.GetName(), Value: r.GetValue(), Revision: r.GetRevision(), Removed: r.GetRemoved()})
		}
		g.cache.applyTargets(c, 0, now)
	}
	for _, report := range u.GetPlaced() {
		g.cache.applyReport(report.GetTarget(), layer.Range{First: int(report.GetFirst()), End: int(report.GetEnd())}, now)
	}
	if l := u.GetLease(); l != nil {
		p.mu.Lock()
		p.leaseSeenAt, p.leaseRow = now, l
		p.mu.Unlock()
		g.leader.observe(lease.Row{Revision: l.GetRevision(), Value: l.GetValue()})
	}
	if u.GetAlone() { // Alone means that the sender is a watcher that is disconnected from the store.
		p.forgetWatcher()
	}
	if d := u.GetDigest(); d != 0 {
		p.compareDigest(d, now)
	}
	p.receiveConfirmation(from, u)
}

// compareDigest records whether the target list matches the digest of an instance that reads the list from the store.
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

// receivesTargetsFromWatcher reports whether this instance relies on a watcher for the target list. If the list has
// differed from the watcher's for longer than maxDivergence, it reports false and clears divergedSince.
func (p *peers) receivesTargetsFromWatcher(now time.Time) bool {
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

// forgetWatcher makes this instance read the store itself until it receives a digest from a watcher again.
func (p *peers) forgetWatcher() {
	p.mu.Lock()
	p.watcherSeenAt = time.Time{}
	p.mu.Unlock()
	notify(p.wake)
}

// receivedWatcherDigest reports whether a digest from an instance that reads the target list from the store was
// received within watcherTTL.
func (p *peers) receivedWatcherDigest(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.watcherSeenAt) < watcherTTL
}

// leaseSeen reports whether the row of the lease was received within the last two status intervals.
func (p *peers) leaseSeen(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.leaseSeenAt) < 2*statusInterval
}

// relayedLease returns the row of the lease as last received, or nil.
func (p *peers) relayedLease() *instancepb.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaseRow
}

// receiveConfirmation answers another instance's request to confirm the configuration, applies the answer to a request
// of this instance, and records a newer revision.
func (p *peers) receiveConfirmation(from netip.AddrPort, u *instancepb.StatusUpdate) {
	c := p.gateway.cache
	_, revision := c.configurationVersion()
	if u.GetQuestion() != 0 {
		if age, ok := c.confirmationAge(); ok {
			p.send([]netip.AddrPort{from}, &instancepb.StatusUpdate{Answer: u.GetQuestion(), AgeNs: int64(age), Revision: revision})
		}
	}
	if u.GetAnswer() != 0 && u.GetRevision() == revision && u.GetAgeNs() >= 0 {
		// Answer echoes the timeSinceBoot at which this instance sent its request. The age was measured after that, so
		// the configuration was the newest at Answer minus AgeNs or later.
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

// behind reports whether another instance has sent a higher configuration revision than this instance has.
func (p *peers) behind() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, revision := p.gateway.cache.configurationVersion()
	return p.newestRevision > revision
}
