package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/peer/instance"
	"github.com/cuminroute/cuminroute/pkg/relay"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// relayPeers is the number of instances that are asked in turn to relay a connection, one each relayInterval until one
	// connects. The first ones may have lost their links as well.
	relayPeers    = 5
	relayInterval = 6 * time.Millisecond
	// relayExploration is the fraction of the instances without a recent outcome that are asked as if they had just relayed.
	relayExploration = 0.1
	// linksFailedTTL is how long an instance counts as one that has lost links after its last status update that says so,
	// or its last failure to relay.
	linksFailedTTL = 2 * time.Second
)

// startRelay lets the platform's dialer connect through other instances.
func (g *Gateway) startRelay() {
	if g.platform.Dialer == nil {
		return
	}
	g.platform.Dialer.SetPeers(g.peers.dialThroughPeers)
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

// DialTarget implements instance.RelayTargetDialer. It connects to listed targets only, and never through a further instance.
func (g *Gateway) DialTarget(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	listed := slices.ContainsFunc(g.cache.allTargets(), func(t target.Target) bool { return t.Address == to })
	if !listed || g.platform.Dialer == nil || g.stopping.Load() {
		return nil, instance.ErrRelayDenied
	}
	if g.platform.Dialer.Failed(to) {
		return nil, errLinkFailed
	}
	return g.platform.Dialer.DialDirect(ctx, to)
}

var errLinkFailed = errors.New("this instance has lost its link to the target")

// relayResult is the outcome of opening a connection through an instance.
type relayResult struct {
	conn net.Conn
	err  error
}

// dialThroughPeers opens a connection to a target through one of several instances, the first that connects.
func (p *peers) dialThroughPeers(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	candidates := p.relayCandidates()
	if len(candidates) == 0 {
		return nil, relay.ErrNoPeer
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan relayResult, len(candidates))
	started, finished := 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	var last error
	for finished < len(candidates) {
		select {
		case <-next.C:
			if started == len(candidates) {
				continue
			}
			via := candidates[started]
			started++
			next.Reset(relayInterval)
			go func() {
				c, err := p.node.DialThrough(ctx, via, to)
				if err == nil || ctx.Err() == nil {
					p.recordRelay(via, err == nil || errors.Is(err, syscall.ECONNREFUSED), time.Now())
				}
				results <- relayResult{conn: c, err: err}
			}()
		case r := <-results:
			finished++
			if r.err == nil {
				go closeRelayed(results, started-finished)
				return r.conn, nil
			}
			last = r.err
			next.Reset(0)
		}
	}
	return nil, last
}

// closeRelayed closes the connections of the results that are still expected.
func closeRelayed(results <-chan relayResult, expected int) {
	for range expected {
		if r := <-results; r.err == nil {
			_ = r.conn.Close()
		}
	}
}

// relayOutcome is the outcome of the last connection through an instance.
type relayOutcome struct {
	at        time.Time
	connected bool
}

// recordRelay records the outcome of a connection through an instance.
func (p *peers) recordRelay(via netip.AddrPort, connected bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relayOutcomes[via] = relayOutcome{at: now, connected: connected}
}

// relayCandidates returns the instances to ask for a relayed connection, in order. Those that have just relayed one come first,
// with a few others so that the load is spread, and those that have lost links come last. Of the others, those of other data
// centres come first, since the instances of a data centre often lose their links together.
func (p *peers) relayCandidates() []netip.AddrPort {
	others := p.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	now := time.Now()
	p.mu.Lock()
	ranks := make(map[netip.AddrPort]int, len(others))
	for _, m := range others {
		ranks[m.Address] = p.relayRank(m, now)
	}
	p.mu.Unlock()
	slices.SortStableFunc(others, func(a, b membership.Member) int { return ranks[a.Address] - ranks[b.Address] })
	return addressesOf(others[:min(len(others), relayPeers)])
}

// relayRank returns the rank of an instance among the candidates, the lowest first. The lock must be held.
func (p *peers) relayRank(m membership.Member, now time.Time) int {
	last, known := p.relayOutcomes[m.Address]
	known = known && now.Sub(last.at) < linksFailedTTL
	switch {
	case known && !last.connected || now.Before(p.linksFailedUntil[m.Address]):
		return 3
	case known || rand.Float64() < relayExploration:
		return 0
	case m.DataCentre != p.gateway.settings.DataCentre:
		return 1
	default:
		return 2
	}
}

// recordLinks records whether another instance says that it has lost links to targets.
func (p *peers) recordLinks(from netip.AddrPort, failed bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if failed {
		p.linksFailedUntil[from] = now.Add(linksFailedTTL)
		return
	}
	delete(p.linksFailedUntil, from)
}
