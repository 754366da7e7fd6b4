package engine

import (
	"net/netip"
	"slices"
	"sync"
)

// Pool holds one client per engine.
type Pool struct {
	options []Option
	mu      sync.Mutex
	clients map[netip.AddrPort]*Client
}

// NewPool returns an empty pool. Its clients are created with the options.
func NewPool(options ...Option) *Pool {
	return &Pool{options: options, clients: map[netip.AddrPort]*Client{}}
}

// Client returns the client of the engine at address, creating it if necessary.
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

// Retain closes the clients of engines whose address is not in addresses. A client with pending steps stays open until
// a later call of Retain finds it idle.
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

// Close closes all clients.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
	clear(p.clients)
}
