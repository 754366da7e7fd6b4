// Package relaypeers chooses the instances through which connections are relayed.
//
// Several are asked in turn, shortly after one another, and the first that connects is used: the others may have lost their links
// as well. Those that have just relayed a connection come first, with a few others so that the load is spread, and those that have
// lost links come last. Of the rest, those of other data centres come first, since the instances of a data centre often lose
// their links together.
//
// Peers is safe for concurrent use.
//
// Usage:
//
//	peers := relaypeers.New("lj-a", others, node.DialThrough)
//	dialer.SetPeers(peers.Dial)
package relaypeers

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/relay"
)

const (
	// maxCandidates is the number of instances that are asked, one each interval until one connects.
	maxCandidates = 5
	interval      = 6 * time.Millisecond
	// exploration is the fraction of the instances without a recent outcome that are asked as if they had just relayed.
	exploration = 0.1
	// memory is how long an outcome counts, and the statement of an instance that it has lost links.
	memory = 2 * time.Second
)

// DialThroughFunc opens a connection to a target through an instance.
type DialThroughFunc func(ctx context.Context, via, to netip.AddrPort) (net.Conn, error)

// Peers holds what is known of the other instances as relays.
type Peers struct {
	dataCentre string
	others     func() []membership.Member
	dial       DialThroughFunc

	mu           sync.Mutex
	outcomes     map[netip.AddrPort]outcome   // outcomes holds the last outcome of relaying through each instance.
	linksLostAt  map[netip.AddrPort]time.Time // linksLostAt holds when instances last said that they have lost links.
	lastPrunedAt time.Time
}

// outcome is the outcome of the last connection through an instance.
type outcome struct {
	at        time.Time
	connected bool
}

// New returns the relays of an instance in a data centre. others returns the other live instances.
func New(dataCentre string, others func() []membership.Member, dial DialThroughFunc) *Peers {
	return &Peers{
		dataCentre: dataCentre, others: others, dial: dial,
		outcomes: make(map[netip.AddrPort]outcome), linksLostAt: make(map[netip.AddrPort]time.Time),
	}
}

// result is the outcome of opening a connection.
type result struct {
	conn net.Conn
	err  error
}

// Dial opens a connection to a target through the first of several instances that connects. It is a relay.PeerDialFunc.
func (p *Peers) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	candidates := p.candidates(time.Now())
	if len(candidates) == 0 {
		return nil, relay.ErrNoPeer
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, len(candidates))
	started, finished := 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	var last error
	for finished < len(candidates) {
		select {
		case <-next.C:
			if started < len(candidates) {
				go p.dialThrough(ctx, candidates[started], to, results)
				started++
				next.Reset(interval)
			}
		case r := <-results:
			finished++
			if r.err == nil {
				go closeRemaining(results, started-finished)
				return r.conn, nil
			}
			last = r.err
			next.Reset(0)
		}
	}
	return nil, last
}

// dialThrough opens a connection through an instance and records the outcome, unless the attempt was no longer needed.
func (p *Peers) dialThrough(ctx context.Context, via, to netip.AddrPort, results chan<- result) {
	c, err := p.dial(ctx, via, to)
	if err == nil || ctx.Err() == nil {
		p.record(via, err == nil || errors.Is(err, syscall.ECONNREFUSED), time.Now())
	}
	results <- result{conn: c, err: err}
}

// closeRemaining closes the connections of the results that are still expected.
func closeRemaining(results <-chan result, expected int) {
	for range expected {
		if r := <-results; r.err == nil {
			_ = r.conn.Close()
		}
	}
}

// record records the outcome of a connection through an instance.
func (p *Peers) record(via netip.AddrPort, connected bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes[via] = outcome{at: now, connected: connected}
	if now.Sub(p.lastPrunedAt) > memory {
		p.lastPrunedAt = now
		maps.DeleteFunc(p.outcomes, func(_ netip.AddrPort, o outcome) bool { return now.Sub(o.at) > memory })
		maps.DeleteFunc(p.linksLostAt, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > memory })
	}
}

// RecordLinks records whether an instance says that it has lost links to targets.
func (p *Peers) RecordLinks(from netip.AddrPort, lost bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost {
		p.linksLostAt[from] = now
		return
	}
	delete(p.linksLostAt, from)
}

// candidates returns the instances to ask, in order.
func (p *Peers) candidates(now time.Time) []netip.AddrPort {
	others := slices.Clone(p.others())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	p.mu.Lock()
	ranks := make(map[netip.AddrPort]int, len(others))
	for _, m := range others {
		ranks[m.Address] = p.rank(m, now)
	}
	p.mu.Unlock()
	slices.SortStableFunc(others, func(a, b membership.Member) int { return ranks[a.Address] - ranks[b.Address] })
	others = others[:min(len(others), maxCandidates)]
	addresses := make([]netip.AddrPort, len(others))
	for i, m := range others {
		addresses[i] = m.Address
	}
	return addresses
}

// rank returns the rank of an instance among the candidates, the lowest first. The lock must be held.
func (p *Peers) rank(m membership.Member, now time.Time) int {
	last, known := p.outcomes[m.Address]
	known = known && now.Sub(last.at) <= memory
	lostAt, lost := p.linksLostAt[m.Address]
	switch {
	case known && !last.connected || lost && now.Sub(lostAt) <= memory:
		return 3
	case known || rand.Float64() < exploration:
		return 0
	case m.DataCentre != p.dataCentre:
		return 1
	default:
		return 2
	}
}
