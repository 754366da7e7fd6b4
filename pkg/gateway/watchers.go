package gateway

import (
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/freshness"
	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

const (
	// relianceLimit is how old the newest state that others have reported may be before an instance reads the store for itself. Watchers report
	// states of up to 1.3 s; with relianceSpread and the read, a change is known everywhere within 2 s.
	relianceLimit = 1450 * time.Millisecond
	// relianceSpread is the largest random time that an instance adds to relianceLimit, so that one that has read can confirm the
	// configuration of others.
	relianceSpread = 250 * time.Millisecond
	// joinTime is how long after its start an instance that knows no other one does not act as a watcher.
	joinTime = time.Second
)

// isWatcher reports whether this instance is the watcher of its data centre: the one with the lowest address there that is
// neither disconnected from the store nor silent.
func (p *peers) isWatcher() bool {
	if p.isJoining(time.Now()) {
		return false
	}
	watcher, ok := p.watcher()
	return !ok || watcher == p.node.Address()
}

// isJoining reports whether this instance has just started and knows no other one yet although there are seeds. It is hardly ever the watcher
// then, and if all instances start together, each would be. Seeds are taken for watchers at once.
func (p *peers) isJoining(now time.Time) bool {
	return !p.gateway.settings.IsSeed && p.hasSeeds() && now.Sub(p.startedAt) < joinTime && len(p.node.Members()) == 1
}

// watcher returns the address of the watcher of this data centre. It reports false if the data centre has no live instance.
func (p *peers) watcher() (netip.AddrPort, bool) {
	members, now := p.node.Members(), time.Now()
	p.mu.Lock()
	address, ok := p.watchers.Watcher(p.node.Address(), members, now)
	changed := address != p.lastWatcher
	p.lastWatcher = address
	p.mu.Unlock()
	if changed {
		p.gateway.logger.Info().Str("Watcher", address.String()).Msg("watcher of the data centre changed")
		notify(p.wake)
	}
	return address, ok
}

// watchersOf returns the watchers of the data centres of members.
func (p *peers) watchersOf(members []membership.Member) map[string]netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watchers.Watchers(members)
}

// markDisconnected records that an instance is disconnected from the store, so that another one becomes the watcher of its
// data centre.
func (p *peers) markDisconnected(address netip.AddrPort, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchers.Disconnected(address, now)
}

// sendDisconnected informs all instances that this instance is disconnected from the store, if it is a watcher. Another
// instance then becomes the watcher.
func (p *peers) sendDisconnected() {
	if p.isWatcher() {
		p.markDisconnected(p.node.Address(), time.Now())
		p.send(addressesOf(p.others()), &instancepb.StatusUpdate{Alone: true})
	}
}

// receiveReport records as of when an instance knows the newest configuration, if it reads it. That counts for the configuration of
// this instance only if the other one has no newer one.
func (p *peers) receiveReport(from netip.AddrPort, u *instancepb.StatusUpdate, newer bool, now time.Time) {
	if u.ConfigurationReadAgeNs == nil || u.GetConfigurationReadAgeNs() < 0 {
		return
	}
	readAt := now.Add(-time.Duration(u.GetConfigurationReadAgeNs()))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchers.Reported(from, readAt, now)
	p.reportedAt[freshness.Configuration] = latest(p.reportedAt[freshness.Configuration], readAt)
	if !newer && readAt.After(p.configurationSeenAt) {
		p.configurationSeenAt, p.configurationSeenBy = readAt, from
	}
}

// configurationShownAt returns as of when the configuration of this instance is known to be the newest by the reads of this or
// another instance, and which other one reported that last.
func (p *peers) configurationShownAt(now time.Time) (at time.Time, reportedBy netip.AddrPort) {
	at = p.gateway.shownAt(freshness.Configuration, now)
	if age, confirmed := p.gateway.cache.confirmationAge(); confirmed {
		at = latest(at, now.Add(-age))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return latest(at, p.configurationSeenAt), p.configurationSeenBy
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// compareDigest records whether the target list matches the digest of an instance whose reads showed the list at a time.
func (p *peers) compareDigest(from netip.AddrPort, digest uint64, readAt, now time.Time) {
	if now.Sub(readAt) >= relianceLimit {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digestSeenAt = now
	p.reportedAt[freshness.Targets] = latest(p.reportedAt[freshness.Targets], readAt)
	switch {
	case digest == p.gateway.cache.digest.Load():
		p.listSeenAt, p.divergedSince, p.mends = latest(p.listSeenAt, readAt), time.Time{}, 0
	default:
		if p.divergedSince.IsZero() {
			p.divergedSince = now
		}
		p.digestFrom = from
	}
}

// receivesTargetsFromWatcher reports whether this instance relies on others for the target list. If the list has
// differed from the watcher's for longer than maxDivergence, it reports false and clears divergedSince.
func (p *peers) receivesTargetsFromWatcher(now time.Time) bool {
	return !p.isWatcher() && !p.takeDivergence(now) && p.listReliance(now) > 0
}

// listReliance returns for how long this instance may rely on others for the target list without another report.
func (p *peers) listReliance(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relianceLimit - now.Sub(p.listSeenAt)
}

// readsAlone reports whether this instance is no watcher, and knows no other one that reads a resource.
func (p *peers) readsAlone(r freshness.Resource, now time.Time) bool {
	return !p.isWatcher() && !p.knowsReader(r, now)
}

// knowsReader reports whether another instance has reported within relianceLimit that it reads a resource. Until that time has passed since
// the start of this one, it presumes so.
func (p *peers) knowsReader(r freshness.Resource, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(latest(p.reportedAt[r], p.startedAt)) < relianceLimit
}

// takeDivergence reports whether the target list has differed from the watcher's for longer than maxDivergence, and clears
// divergedSince if so.
func (p *peers) takeDivergence(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.divergedSince.IsZero() || now.Sub(p.divergedSince) <= maxDivergence {
		return false
	}
	p.divergedSince = time.Time{}
	return true
}

// receivedDigest reports whether the digest of a recent list was received within relianceLimit.
func (p *peers) receivedDigest(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.digestSeenAt) < relianceLimit
}
