package gateway

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/instance"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// startRelay lets the platform's dialer connect through other instances.
func (g *Gateway) startRelay() {
	if g.platform.Dialer == nil {
		return
	}
	g.platform.Dialer.SetPeers(g.peers.relays.Dial)
	g.platform.Dialer.OnChange(func(to netip.AddrPort, failed bool) {
		g.logger.Info().Str("Address", to.String()).Bool("Failed", failed).Msg("link to a target changed")
	})
}

// linkFailedAt returns when this instance was found to have lost its link to a target that other instances reach, or zero.
func (g *Gateway) linkFailedAt(ctx context.Context, t target.Target) time.Time {
	if g.platform.Dialer == nil {
		return time.Time{}
	}
	return g.platform.Dialer.Check(ctx, t.Address)
}

// hasLostLinks reports whether this instance has lost a link to a target that other instances reach.
func (g *Gateway) hasLostLinks() bool {
	return g.platform.Dialer != nil && g.platform.Dialer.AnyFailed()
}

// DialTarget implements instance.RelayTargetDialer. It connects to listed targets only, and never through a further instance.
func (g *Gateway) DialTarget(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	listed := slices.ContainsFunc(g.cache.allTargets(), func(t target.Target) bool { return t.Address == to })
	if !listed || g.platform.Dialer == nil || g.stopping.Load() {
		return nil, instance.ErrRelayDenied
	}
	return g.platform.Dialer.DialForPeer(ctx, to)
}
