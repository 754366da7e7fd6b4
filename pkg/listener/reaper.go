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

// ConnReaper closes the connections of slow and idle clients, and those that are too many. Unlike the timeouts of http.Server, those of
// a ConnReaper may change while the server runs.
//
// It ends the read in which the server waits for a request, upon which the server closes the connection. A request that was read
// already is served: the server reports it only after it has read the whole header, so closing the connection itself would take
// the answer from a request that is passed on.
type ConnReaper struct {
	timeouts func() Timeouts
	maxConns int // maxConns is the number of connections that may be open; 0 means any number.
	// endOther ends a connection that does not wait for a request, and reports whether there was one that it may end.
	endOther func() bool
	limited  *LimitedListener // limited is the server's listener, or nil if the number of connections has no limit.

	mu      sync.Mutex
	open    int // open is the number of open connections.
	closed  int64
	waiting map[net.Conn]waitingConn
}

// ReaperOption configures a ConnReaper.
type ReaperOption func(*ConnReaper)

// WithMaxConns closes a connection whenever more than n are open: the one that has waited longest for a request. If only the newest
// one waits, the function endOther may end another one; otherwise the newest is closed. The server must accept its connections from l,
// whose limit should be higher than n, since closing a connection takes some time.
func WithMaxConns(l *LimitedListener, n int, endOther func() bool) ReaperOption {
	return func(r *ConnReaper) { r.limited, r.maxConns, r.endOther = l, n, endOther }
}

// waitingConn says since when a connection has been waiting for a request, whether for its first one, and whether the read was ended.
type waitingConn struct {
	since   time.Time
	first   bool
	expired bool
}

// NewConnReaper sets the server's ConnState hook, so the server must not serve yet, and starts a reaper that runs until
// ctx ends. The server must have no ReadTimeout. The function timeouts returns the current timeouts.
func NewConnReaper(ctx context.Context, server *http.Server, timeouts func() Timeouts, options ...ReaperOption) *ConnReaper {
	r := &ConnReaper{timeouts: timeouts, endOther: func() bool { return false }, waiting: make(map[net.Conn]waitingConn)}
	for _, o := range options {
		o(r)
	}
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

// trackState is the server's ConnState hook. It records which connections wait for a request, and makes room if there are too many.
func (r *ConnReaper) trackState(c net.Conn, state http.ConnState) {
	if !r.record(c, state) || r.closeLongestWaiting(c) || r.endOther() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed++
	r.expire(c)
}

// record records the state of a connection and reports whether there are too many since it was opened.
func (r *ConnReaper) record(c net.Conn, state http.ConnState) (tooMany bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.waiting[c] = waitingConn{since: time.Now(), first: true}
		r.open++
		return r.maxConns > 0 && r.open > r.maxConns
	case http.StateClosed, http.StateHijacked:
		r.open--
		delete(r.waiting, c)
		if r.limited != nil {
			r.limited.connClosed()
		}
	case http.StateIdle:
		r.waiting[c] = waitingConn{since: time.Now()}
	default:
		if r.waiting[c].expired && state == http.StateActive {
			_ = c.SetReadDeadline(time.Time{}) // The request was read before its read was ended.
		}
		delete(r.waiting, c)
	}
	return false
}

// closeLongestWaiting closes the connection that has waited longest for a request, and reports whether there is one beside the newest.
func (r *ConnReaper) closeLongestWaiting(newest net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var longest net.Conn
	for c, w := range r.waiting {
		if c != newest && !w.expired && (longest == nil || w.since.Before(r.waiting[longest].since)) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	r.closed++
	r.expire(longest)
	return true
}

// expire ends the read in which the server waits for a request on a connection. The lock must be held.
func (r *ConnReaper) expire(c net.Conn) {
	w := r.waiting[c]
	w.expired = true
	r.waiting[c] = w
	_ = c.SetReadDeadline(expiredDeadline)
}

// Counts returns the number of open connections, and of those that were closed so far because there were too many.
func (r *ConnReaper) Counts() (open int, closed int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open, r.closed
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
			r.expire(c)
		}
	}
}
