package gateway

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/lease"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

// receive applies a status update of another instance. One that arrives before this instance has started is dropped, as the network may
// drop it.
func (p *peers) receive(from netip.AddrPort, u *instancepb.StatusUpdate) {
	if !p.started.Load() {
		return
	}
	g := p.gateway
	now := time.Now()
	if u.GetHasLoads() {
		loads := make(map[uint64]targetstats.Load, len(u.GetLoads()))
		for _, l := range u.GetLoads() {
			loads[l.GetTarget()] = targetstats.Load{KVCells: l.GetCells(), Streams: int(l.GetStreams())}
		}
		g.targetStats.SetRemoteLoads(from.String(), loads, now)
		p.relays.RecordLinks(from, u.GetLinksFailed(), now)
	}
	for _, r := range u.GetRooms() {
		g.server.AddRoomReport(r.GetService(), float64(r.GetCutoff()), now)
	}
	p.receiveVerdicts(u)
	p.receiveSuspects(u)
	if rows := u.GetTargets(); len(rows) > 0 && g.targetsLoaded.Load() {
		var c Change
		for _, r := range rows {
			c.Rows = append(c.Rows, decodeRow(r, g.cache.listEra()))
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
		row := decodeRow(l, g.leader.era())
		g.leader.observe(lease.Row{Revision: row.Revision, Value: row.Value})
	}
	g.leader.observeFencingToken(u.GetFencingToken())
	if u.GetAlone() { // Alone means that the sender is a watcher that is disconnected from the store.
		p.markDisconnected(from, now)
		notify(p.wake)
	}
	if d := u.GetDigest(); d != 0 && u.GetDigestAgeNs() >= 0 {
		p.compareDigest(from, d, now.Add(-time.Duration(u.GetDigestAgeNs())), now)
	}
	newer := p.receiveConfirmation(from, u)
	p.receiveReport(from, u, newer, now)
	if u.GetStoreRegained() {
		p.receiveRegained(from, now)
	}
}

// leaseSeen reports whether the row of the lease was received within the last two status intervals.
func (p *peers) leaseSeen(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.leaseSeenAt) < 2*statusInterval
}

// leaseHeardAt returns when the row of the lease was last received, or the start of this instance.
func (p *peers) leaseHeardAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaseSeenAt.IsZero() {
		return p.startedAt
	}
	return p.leaseSeenAt
}

// relayedLease returns the row of the lease as last received, or nil.
func (p *peers) relayedLease() *instancepb.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaseRow
}

// receiveConfirmation answers another instance's request to confirm the configuration, applies the answer to a request
// of this instance, and records a newer revision. It reports whether the other instance has a newer configuration.
func (p *peers) receiveConfirmation(from netip.AddrPort, u *instancepb.StatusUpdate) (newer bool) {
	c := p.gateway.cache
	version, at := c.configurationVersion()
	if u.GetQuestion() != 0 {
		if age, ok := c.confirmationAge(); ok {
			p.send([]netip.AddrPort{from}, &instancepb.StatusUpdate{
				Answer: u.GetQuestion(), AgeNs: int64(age), Revision: at.Number, Era: encodeEra(at), ConfigVersion: version,
			})
		}
	}
	received := decodeRevision(u.GetEra(), u.GetRevision(), at.Era)
	sameVersion := u.GetConfigVersion() == version || u.GetConfigVersion() == 0
	if u.GetAnswer() != 0 && received == at && sameVersion && u.GetAgeNs() >= 0 {
		// Answer echoes the time since boot at which this instance sent its request. The age was measured after that, so
		// the configuration was the newest at Answer minus AgeNs or later.
		c.confirm(time.Duration(u.GetAnswer()) - time.Duration(u.GetAgeNs()))
	}
	p.mu.Lock()
	p.receivedAny = true
	newer = received.After(at) || u.GetConfigVersion() > version
	if newer {
		p.recordNewer(from, u.GetConfigVersion(), received)
	}
	p.mu.Unlock()
	switch {
	case u.GetConfigVersion() > version && p.isWatcher():
		p.fetchInBackground()
	case newer:
		notify(p.wake)
	}
	return newer
}

// fetchInBackground fetches a newer configuration from another instance, unless that is in progress. A watcher is busy
// reading the store, which may have come back from a copy with an older version.
func (p *peers) fetchInBackground() {
	if !p.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.fetching.Store(false)
		p.fetchConfiguration(context.Background(), time.Now().Add(fetchTimeout))
	}()
}

// behind reports whether another instance has sent a higher revision or version of the configuration than this instance
// has.
func (p *peers) behind() bool {
	// The cache asks the peers while it is locked, so its lock is never taken under theirs.
	version, at := p.gateway.cache.configurationVersion()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newestRevision.After(at) || p.newestVersion > version
}

// awaitsPeers reports whether this instance has just started and has not received a status update yet. If the store has
// come back from a copy, other instances may have a newer configuration than the store.
func (p *peers) awaitsPeers(now time.Time) bool {
	if _, at := p.gateway.cache.configurationVersion(); at.Era == 0 || now.Sub(p.startedAt) > peerWait {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.receivedAny && p.hasSeeds()
}

// hasSeeds reports whether the settings name another instance.
func (p *peers) hasSeeds() bool {
	return slices.ContainsFunc(p.gateway.settings.Seeds, func(seed netip.AddrPort) bool { return seed != p.gateway.settings.PeerAddress })
}
