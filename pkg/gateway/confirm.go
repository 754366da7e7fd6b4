package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/instance"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
	"github.com/cuminroute/cuminroute/pkg/revision"
)

const (
	// fetchRetryDelay is the mean time before another instance is asked for the configuration: each hands it out to a few at a time, and those
	// that have got it hand it out as well.
	fetchRetryDelay = 40 * time.Millisecond
	// maxSources bounds the instances that are known to have the newest configuration.
	maxSources = 8
)

// fetchConfiguration fetches and applies the configuration from an instance that sent the highest version or revision, if this instance has
// an older one. If one instance does not hand it out, it asks another one, until a time and for at most fetchTimeout.
func (p *peers) fetchConfiguration(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithTimeout(ctx, min(time.Until(until), fetchTimeout))
	defer cancel()
	for p.behind() {
		source := p.newestSource()
		s, err := p.node.FetchSnapshot(ctx, source)
		if err == nil {
			_, at := p.gateway.cache.configurationVersion()
			p.gateway.cache.applyPeerConfiguration(s.Content, decodeRevision(s.Era, s.Version, at.Era))
			return
		}
		waitFor(ctx, fetchRetryDelay/2+rand.N(fetchRetryDelay))
		if ctx.Err() != nil {
			p.gateway.logger.Warn().Str("Peer", source.String()).Err(err).Msg("failed to fetch the configuration")
			return
		}
	}
}

// newestSource returns an instance that sent the highest version or revision of the configuration.
func (p *peers) newestSource() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newestFrom[rand.IntN(len(p.newestFrom))]
}

// recordNewer records that an instance has a newer configuration than this one. The lock must be held.
func (p *peers) recordNewer(from netip.AddrPort, version uint64, at revision.Revision) {
	switch {
	case version > p.newestVersion || version == p.newestVersion && at.After(p.newestRevision):
		p.newestVersion, p.newestRevision, p.newestFrom = version, at, []netip.AddrPort{from}
	case version < p.newestVersion || at != p.newestRevision || slices.Contains(p.newestFrom, from):
	case len(p.newestFrom) < maxSources:
		p.newestFrom = append(p.newestFrom, from)
	default:
		p.newestFrom[rand.IntN(maxSources)] = from
	}
}

// snapshot returns the active configuration for other instances. Instances compare store revisions, so Version and Era
// hold the revision, encoded as in status updates.
func (p *peers) snapshot(context.Context) (instance.ConfigSnapshot, error) {
	content, at := p.gateway.cache.configuration()
	if !at.Exists() {
		return instance.ConfigSnapshot{}, instance.Unavailable.New("no configuration is in force here")
	}
	return instance.ConfigSnapshot{Version: at.Number, Era: encodeEra(at), Content: content}, nil
}

// requestConfirmation asks a random instance, the watcher of this data centre, the instance that watches the store for it, and the one that
// has reported last that it reads the configuration, for the age of their configuration. An answer with the same revision confirms the
// configuration of this instance as the newest at that age. Answers echo Question, the time since boot at which the request was sent.
func (p *peers) requestConfirmation() {
	others := p.others()
	if len(others) == 0 {
		return
	}
	asked := []netip.AddrPort{others[rand.IntN(len(others))].Address}
	if watcher, ok := p.watcher(); ok && watcher != p.node.Address() && watcher != asked[0] {
		asked = append(asked, watcher)
	}
	p.mu.Lock()
	reader := p.configurationSeenBy
	p.mu.Unlock()
	if reader.IsValid() && !slices.Contains(asked, reader) {
		asked = append(asked, reader)
	}
	p.send(asked, &instancepb.StatusUpdate{Question: int64(p.gateway.cache.sinceBoot())})
}

const (
	// regainedInterval is how long an instance does not tell the others that the store answers again, after another one has done so.
	regainedInterval = 2 * time.Second
	// questionInterval is the shortest time between two requests for a confirmation that answer such messages.
	questionInterval = 100 * time.Millisecond
)

// sendRegained tells all instances that the store answers again, so that those with a stale configuration ask this one for a
// confirmation. An instance that is not a watcher leaves it to others if one has done so.
func (p *peers) sendRegained(now time.Time) {
	p.mu.Lock()
	told := now.Sub(p.regainedAt) < regainedInterval
	p.regainedAt = now
	p.mu.Unlock()
	if told && !p.isWatcher() {
		return
	}
	u := p.status()
	u.StoreRegained = true
	p.send(addressesOf(p.others()), u)
}

// untilRegained returns a context that ends, if failing is set, when the store answers another instance again and this one is a watcher.
// A call that was sent before gets no answer. The signal is one of configurationRegained and targetsRegained.
func (p *peers) untilRegained(ctx context.Context, failing bool, signal <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if failing {
		go func() {
			select {
			case <-signal:
				if p.isWatcher() {
					cancel()
				}
			case <-ctx.Done():
			}
		}()
	}
	return ctx, cancel
}

// receiveRegained asks an instance to which the store answers again for a confirmation, if the own one is not recent. It also lets the watchers
// read the store at once: those that lost it are watchers again, since all lost it together.
func (p *peers) receiveRegained(from netip.AddrPort, now time.Time) {
	age, confirmed := p.gateway.cache.confirmationAge()
	p.mu.Lock()
	p.regainedAt = now
	p.watchers.Reconnected()
	ask := (!confirmed || age > confirmAfter) && now.Sub(p.questionAt) >= questionInterval
	if ask {
		p.questionAt = now
	}
	p.mu.Unlock()
	notify(p.configurationRegained)
	notify(p.targetsRegained)
	if ask {
		p.send([]netip.AddrPort{from}, &instancepb.StatusUpdate{Question: int64(p.gateway.cache.sinceBoot())})
	}
}
