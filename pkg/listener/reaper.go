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

// expiredDeadline is a read deadline in the past.
var expiredDeadline = time.Unix(1, 0)

// ConnReaper closes the connections of slow and idle clients. Unlike the timeouts of http.Server, those of a ConnReaper
// may change while the server runs.
//
// It ends the read in which the server waits for a request, upon which the server closes the connection. A request that was read
// already is served: the server reports it only after it has read the whole header, so closing the connection itself would take
// the answer from a request that is passed on.
type ConnReaper struct {
	timeouts func() Timeouts

	mu      sync.Mutex
	waiting map[net.Conn]waitingConn
}

// waitingConn says since when a connection has been waiting for a request, whether for its first one, and whether the read was ended.
type waitingConn struct {
	since   time.Time
	first   bool
	expired bool
}

// NewConnReaper sets the server's ConnState hook, so the server must not serve yet, and starts a reaper that runs until
// ctx ends. The server must have no ReadTimeout. The function timeouts returns the current timeouts.
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
				r.endExpired(now)
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
		if r.waiting[c].expired && state == http.StateActive {
			_ = c.SetReadDeadline(time.Time{}) // The request was read before its read was ended.
		}
		delete(r.waiting, c)
	}
}

// endExpired ends the reads of the connections that have waited longer than their timeout. They are tracked until the server
// reports their end, since the server may have set a later deadline meanwhile.
func (r *ConnReaper) endExpired(now time.Time) {
	timeouts := r.timeouts()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, w := range r.waiting {
		timeout := timeouts.Idle
		if w.first {
			timeout = timeouts.Header
		}
		if timeout > 0 && now.Sub(w.since) > timeout+reapGrace {
			_ = c.SetReadDeadline(expiredDeadline)
			w.expired = true
			r.waiting[c] = w
		}
	}
}
