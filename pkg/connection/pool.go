package connection

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the set-up of a connection. It is below the second after which the kernel repeats a lost
	// opening packet, so that another target is tried first.
	dialTimeout = 600 * time.Millisecond
	// silenceTimeout is how long sent bytes may go unacknowledged before a connection counts as dead.
	silenceTimeout = 1500 * time.Millisecond
	// defaultIdle is how long a connection is kept for reuse if its target names no time.
	defaultIdle = 8 * time.Second
	// idleMargin is taken off the time that a target keeps an idle connection open, for the way there.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the idle connections to one target.
	maxIdle = 32
	// readBuffer is the size of a connection's read buffer in bytes: a response head or some events of a stream.
	readBuffer = 4096
)

// Pool keeps idle connections by target address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu    sync.Mutex
	idle  map[netip.AddrPort][]*Conn
	swept time.Time
}

// New returns a pool without connections.
func New() *Pool {
	return &Pool{dialer: NewDialer(dialTimeout, silenceTimeout), idle: make(map[netip.AddrPort][]*Conn)}
}

// Get returns an idle connection that was used no longer than maxAge ago, or a new one. An error means that
// nothing was sent.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort, maxAge time.Duration) (*Conn, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if now.Sub(c.used) < min(maxAge, c.keep) && c.quiet() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) pop(address netip.AddrPort) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, NotSent.Wrap(err, "no connection to %s", address)
	}
	return &Conn{address: address, raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), keep: defaultIdle}, nil
}

// Probe reports whether the address accepts connections. A connection made for it is kept for use.
func (p *Pool) Probe(ctx context.Context, address netip.AddrPort) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	c.used = time.Now()
	p.Put(c)
	return nil
}

// Put gives a connection back after a whole exchange. One that must not be used again is closed.
func (p *Pool) Put(c *Conn) {
	if c.spent || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	now := time.Now()
	_ = c.raw.SetDeadline(time.Time{})
	c.used = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	list := p.idle[c.address]
	if len(list) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// sweep closes connections that have been idle for too long, at most once a second.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < time.Second {
		return
	}
	p.swept = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.used) < c.keep {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}
