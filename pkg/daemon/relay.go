package daemon

import (
	"context"
	"net"
	"net/netip"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/peer/instance"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// targetRelay opens connections to targets for other instances.
type targetRelay struct {
	d *Daemon
}

// DialTarget implements instance.RelayTargetDialer. It connects to listed targets only, and never through a further instance.
func (r targetRelay) DialTarget(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	listed := slices.ContainsFunc(*r.d.control.targets.Load(), func(t target.Target) bool { return t.Address == to })
	if !listed || r.d.isStopping() {
		return nil, instance.ErrRelayDenied
	}
	return r.d.targetDialer.DialForPeer(ctx, to)
}
