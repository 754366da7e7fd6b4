package engine

import (
	"net/netip"
	"slices"
	"sync"
)

// Pool holds one client for each engine.
type Pool struct {
	options []Option
	mu      sync.Mutex
	clients map[netip.AddrPort]*Client
}

// NewPool returns an empty pool whose clients get the options.
func NewPool(options ...Option) *Pool {
	return &Pool{options: options, clients: map[netip.AddrPort]*Client{}}
}

// Client returns the client of the engine at address and makes it where there is none.
func (p *Pool) Client(address netip.AddrPort) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, found := p.clients[address]; found {
		return c
	}
	c := New(address, p.options...)
	p.clients[address] = c
	return c
}

// Retain closes the clients of other addresses. A client with steps that wait for a result is kept until
// a later call.
func (p *Pool) Retain(addresses []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if slices.Contains(addresses, address) || !c.Idle() {
			continue
		}
		delete(p.clients, address)
		go c.Close()
	}
}

// Close closes every client.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
	clear(p.clients)
}
