// Package partition is a stand-in for the network between an instance and its targets, which a test can cut.
//
// Usage:
//
//	links := &partition.Links{Refuse: true}
//	dialer := relay.New(links.DialContext)
//	links.Cut()
package partition

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// unackedTimeout is how long the kernel takes to fail a connection that hangs.
const unackedTimeout = 1500 * time.Millisecond

// Links are the links of an instance to its targets. The zero value works. While the links are cut, new connections and open
// ones hang, unless the fields say otherwise.
type Links struct {
	Refuse bool // Refuse means that new connections are refused.
	Reset  bool // Reset means that open connections are reset.
	Live   bool // Live means that open connections go on.

	cut atomic.Bool
}

// Cut cuts the links.
func (l *Links) Cut() { l.cut.Store(true) }

// DialContext opens a connection over the links.
func (l *Links) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if l.cut.Load() {
		if l.Refuse {
			return nil, syscall.ECONNREFUSED
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: c.(*net.TCPConn), links: l}, nil
}

// conn is a connection over the links.
type conn struct {
	*net.TCPConn
	links *Links
}

// Read implements io.Reader.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if failed := c.fail(); failed != nil {
		return 0, failed
	}
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.fail(); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// fail returns nil if the connection works.
func (c *conn) fail() error {
	switch {
	case !c.links.cut.Load() || c.links.Live:
		return nil
	case c.links.Reset:
		return syscall.ECONNRESET
	default:
		time.Sleep(unackedTimeout)
		return syscall.ETIMEDOUT
	}
}
