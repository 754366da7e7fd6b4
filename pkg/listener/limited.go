package listener

import (
	"net"
	"sync"
)

// LimitedListener accepts at most a number of connections at a time. Further ones wait in the listener's queue. Unlike a wrapped
// connection, the connections that it returns keep the methods of their type, which the server uses to end them properly; so their end
// must be reported.
type LimitedListener struct {
	net.Listener
	max int

	mu     sync.Mutex
	freed  *sync.Cond // freed is signalled when a connection has ended or the listener is closed.
	open   int
	closed bool
}

// NewLimitedListener returns a listener that accepts at most maxConns connections of l at a time.
func NewLimitedListener(l net.Listener, maxConns int) *LimitedListener {
	limited := &LimitedListener{Listener: l, max: maxConns}
	limited.freed = sync.NewCond(&limited.mu)
	return limited
}

// Accept implements net.Listener. It waits until fewer than the highest number of connections are open.
func (l *LimitedListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.open >= l.max && !l.closed {
		l.freed.Wait()
	}
	l.open++
	l.mu.Unlock()
	c, err := l.Listener.Accept()
	if err != nil {
		l.connClosed()
	}
	return c, err
}

// Close implements net.Listener.
func (l *LimitedListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.freed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// connClosed records that an accepted connection has ended.
func (l *LimitedListener) connClosed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.freed.Signal()
}
