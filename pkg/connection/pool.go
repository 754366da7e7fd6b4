package connection

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/responseconn"
)

const (
	// DialTimeout bounds the connection setup. It is shorter than the kernel's initial SYN retransmission timeout of
	// 1 s, so that another target is tried before a lost SYN is retransmitted.
	DialTimeout = 600 * time.Millisecond
	// UnackedTimeout is how long sent bytes may stay unacknowledged before a connection fails.
	UnackedTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept for reuse if its target sends no Keep-Alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleMargin is subtracted from the target's keep-alive timeout to allow for the network latency.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerTarget bounds the number of idle connections to one target.
	maxIdlePerTarget = 32
	// readBufferSize is the size of a connection's read buffer in bytes. It holds a response header or several events
	// of a stream.
	readBufferSize = 4096
)

// Pool keeps idle connections by target address. It is safe for concurrent use.
type Pool struct {
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	probeDial func(ctx context.Context, network, address string) (net.Conn, error)

	mu        sync.Mutex
	idle      map[netip.AddrPort][]*Conn
	lastSweep time.Time
}

// Option configures a Pool.
type Option func(*Pool)

// WithDial sets the function that opens connections. Its connections must implement syscall.Conn, as those of package net do.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithProbeDial sets the function that opens the connections of probes, if it is not that of WithDial.
func WithProbeDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(p *Pool) { p.probeDial = dial }
}

// New returns an empty pool.
func New(options ...Option) *Pool {
	dialer := NewDialer(DialTimeout, UnackedTimeout)
	p := &Pool{dial: dialer.DialContext, idle: make(map[netip.AddrPort][]*Conn)}
	for _, o := range options {
		o(p)
	}
	if p.probeDial == nil {
		p.probeDial = p.dial
	}
	return p
}

// Get returns an idle connection that was last used less than maxIdleTime ago, or a new connection. Idle connections
// that are too old or were closed by the target are closed. An error means that no byte of a request was sent.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort, maxIdleTime time.Duration) (*Conn, error) {
	return p.GetFor(ctx, address, maxIdleTime, "")
}

// GetFor returns a connection as Get does, for a request with an ID. It returns none on which the same request was refused; see
// Conn.RecordRefused.
func (p *Pool) GetFor(ctx context.Context, address netip.AddrPort, maxIdleTime time.Duration, id string) (*Conn, error) {
	now := time.Now()
	for {
		c := p.pop(address, id)
		if c == nil {
			return open(ctx, p.dial, address)
		}
		if now.Sub(c.lastUsed) < min(maxIdleTime, c.idleTimeout) && c.isReusable() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
}

// pop removes and returns the most recently used idle connection to a target on which no request with the ID was refused, or
// returns nil.
func (p *Pool) pop(address netip.AddrPort, id string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		c := conns[i]
		if !slices.Contains(c.refused, id) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// open opens a connection with a dial function.
func open(ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), address netip.AddrPort) (*Conn, error) {
	dialed, err := dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, NotSent.Wrap(err, "no connection to %s", address)
	}
	netConn := responseconn.Wrap(dialed)
	head := &headReader{netConn: netConn}
	return &Conn{
		address: address, netConn: netConn, head: head, reader: bufio.NewReaderSize(head, readBufferSize), idleTimeout: defaultIdleTimeout,
	}, nil
}

// Probe opens a connection to the address and adds it to the pool. An error means that the address does not accept
// connections.
func (p *Pool) Probe(ctx context.Context, address netip.AddrPort) error {
	c, err := open(ctx, p.probeDial, address)
	if err != nil {
		return err
	}
	c.lastUsed = time.Now()
	p.Put(c)
	return nil
}

// Put returns a connection to the pool after a complete exchange. It closes a connection that must not be reused or has
// received bytes after the response, or if its target already has maxIdlePerTarget idle connections. A connection through another
// host is closed as well: that host may stop, and can wait for the exchanges that it relays, not for idle connections.
func (p *Pool) Put(c *Conn) {
	if c.notReusable.Load() || !c.Direct() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	now := time.Now()
	_ = c.netConn.SetDeadline(time.Time{})
	c.lastUsed = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	conns := p.idle[c.address]
	if len(conns) >= maxIdlePerTarget {
		c.Close()
		return
	}
	p.idle[c.address] = append(conns, c)
}

// DiscardDirect closes the idle connections that lead directly to an address, not through another host: the link to the
// address has failed.
func (p *Pool) DiscardDirect(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var kept []*Conn
	for _, c := range p.idle[address] {
		if !c.Direct() {
			kept = append(kept, c)
			continue
		}
		c.Close()
	}
	p.idle[address] = kept
}

// sweep closes idle connections whose idle timeout has expired. It does so at most once a second. The lock must be
// held.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < time.Second {
		return
	}
	p.lastSweep = now
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.lastUsed) < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		clear(conns[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}
