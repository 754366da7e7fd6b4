package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"github.com/cuminroute/cuminroute/pkg/peer/instance"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

// fetch reads a newer configuration from the instance that told of it.
func (p *peers) fetch(ctx context.Context) {
	p.mu.Lock()
	newest, holder := p.newest, p.holder
	p.mu.Unlock()
	if _, revision := p.station.knowledge.version(); newest <= revision {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s, err := p.node.FetchSnapshot(ctx, holder)
	if err != nil {
		p.station.logger.Warn().Str("Peer", holder.String()).Err(err).Msg("configuration not fetched")
		return
	}
	p.station.knowledge.configure(Row{Name: p.station.platform.ConfigurationKey, Value: s.Content, Revision: s.Version})
}

// snapshot gives the configuration in force to other instances.
func (p *peers) snapshot(context.Context) (instance.ConfigSnapshot, error) {
	content, revision := p.station.knowledge.document()
	if revision == 0 {
		return instance.ConfigSnapshot{}, instance.Unavailable.New("no configuration is in force here")
	}
	return instance.ConfigSnapshot{Version: revision, Content: content}, nil
}

// ask asks the reader of this data centre and one other instance for the age of their proof.
func (p *peers) ask() {
	others := p.others()
	if len(others) == 0 {
		return
	}
	asked := []netip.AddrPort{others[rand.IntN(len(others))].Address}
	if reader, ok := p.reader(p.station.settings.DataCentre); ok && reader != p.node.Address() && reader != asked[0] {
		asked = append(asked, reader)
	}
	p.send(asked, &instancepb.StatusUpdate{Question: int64(bootTime())})
}
