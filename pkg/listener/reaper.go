package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// reapInterval is how often the waiting connections are checked.
	reapInterval = time.Second
	// reapGrace is added to each timeout, so that a connection is not closed while a request sent in time is in transit.
	reapGrace = time.Second
)

// Timeouts limit how long a connection may wait for a request. A timeout of 0 is disabled.
type Timeouts struct {
	Header time.Duration // Header is the time until the header of the first request has been read.
	Idle   time.Duration // Idle is the time between a response and the next request.
}

// ConnReaper closes the connections of slow and idle clients. Unlike the timeouts of http.Server, those of a ConnReaper
// may change while the server runs.
type ConnReaper struct {
	timeouts func() Timeouts

	mu      sync.Mutex
	waiting map[net.Conn]waitingConn
}

// waitingConn says since when a connection has been waiting for a request, and whether for its first one.
type waitingConn struct {
	since time.Time
	first bool
}

// NewConnReaper sets the server's ConnState hook, so the server must not serve yet, and starts a reaper that runs until
// ctx ends. The function timeouts returns the current timeouts.
func NewConnReaper(ctx context.Context, server *http.Server, timeouts func() Timeouts) *ConnReaper {
	r := &ConnReaper{timeouts: timeouts, waiting: make(map[net.Conn]waitingConn)}
	server.ConnState = r.trackState
	go func() {
		ticker := time.NewTicker(reapInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				r.closeExpired(now)
			}
		}
	}()
	return r
}

// trackState is the server's ConnState hook. It records which connections wait for a request.
func (r *ConnReaper) trackState(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.waiting[c] = waitingConn{since: time.Now(), first: true}
	case http.StateIdle:
		r.waiting[c] = waitingConn{since: time.Now()}
	default:
		delete(r.waiting, c)
	}
}

// closeExpired closes the connections that have waited longer than their timeout.
func (r *ConnReaper) closeExpired(now time.Time) {
	timeouts := r.timeouts()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, w := range r.waiting {
		timeout := timeouts.Idle
		if w.first {
			timeout = timeouts.Header
		}
		if timeout > 0 && now.Sub(w.since) > timeout+reapGrace {
			_ = c.Close() // The server's pending read fails and ends the connection.
			delete(r.waiting, c)
		}
	}
}
