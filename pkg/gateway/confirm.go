package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"github.com/cuminroute/cuminroute/pkg/peer/instance"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

// fetchConfiguration fetches and applies the configuration from the instance that sent the highest version or revision, if
// this instance has an older one.
func (p *peers) fetchConfiguration(ctx context.Context) {
	if !p.behind() {
		return
	}
	p.mu.Lock()
	source := p.newestFrom
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s, err := p.node.FetchSnapshot(ctx, source)
	if err != nil {
		p.gateway.logger.Warn().Str("Peer", source.String()).Err(err).Msg("failed to fetch the configuration")
		return
	}
	_, at := p.gateway.cache.configurationVersion()
	p.gateway.cache.applyPeerConfiguration(s.Content, decodeRevision(s.Era, s.Version, at.Era))
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

// requestConfirmation asks a random instance and the watcher of this data centre, the instance that watches the store
// for it, for the age of their configuration. An answer with the same revision confirms the configuration of this
// instance as the newest at that age. Answers echo Question, the time since boot at which the request was sent.
func (p *peers) requestConfirmation() {
	others := p.others()
	if len(others) == 0 {
		return
	}
	asked := []netip.AddrPort{others[rand.IntN(len(others))].Address}
	if watcher, ok := p.watcher(p.gateway.settings.DataCentre); ok && watcher != p.node.Address() && watcher != asked[0] {
		asked = append(asked, watcher)
	}
	p.send(asked, &instancepb.StatusUpdate{Question: int64(timeSinceBoot())})
}
