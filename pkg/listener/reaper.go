package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// guardInterval is how often connections are looked at.
	guardInterval = time.Second
	// guardMargin is what a connection gets beyond a limit, so that a request which is on its way crosses no close.
	guardMargin = time.Second
)

// Timeouts bound how long a connection may wait for the first request to be read, and for the next one.
type Timeouts struct {
	Header time.Duration
	Idle   time.Duration
}

// ConnReaper closes connections whose callers are slow or idle. Unlike the timeouts of http.Server, its limits may change
// while the server runs.
type ConnReaper struct {
	limits func() Timeouts

	mu      sync.Mutex
	waiting map[net.Conn]wait
}

// wait is since when a connection waits for a request.
type wait struct {
	since time.Time
	first bool
}

// NewConnReaper returns a guard of a server, which must not serve yet. The function gives the limits in force; 0 means none.
func NewConnReaper(ctx context.Context, server *http.Server, limits func() Timeouts) *ConnReaper {
	g := &ConnReaper{limits: limits, waiting: make(map[net.Conn]wait)}
	server.ConnState = g.observe
	go func() {
		ticker := time.NewTicker(guardInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				g.sweep(now)
			}
		}
	}()
	return g
}

func (g *ConnReaper) observe(c net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateNew:
		g.waiting[c] = wait{since: time.Now(), first: true}
	case http.StateIdle:
		g.waiting[c] = wait{since: time.Now()}
	default:
		delete(g.waiting, c)
	}
}

// sweep closes the connections that have waited for too long.
func (g *ConnReaper) sweep(now time.Time) {
	limits := g.limits()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, w := range g.waiting {
		limit := limits.Idle
		if w.first {
			limit = limits.Header
		}
		if limit > 0 && now.Sub(w.since) > limit+guardMargin {
			_ = c.Close() // The server notices by its read.
			delete(g.waiting, c)
		}
	}
}
