package responseconn_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/responseconn"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	accepted, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// TestResetMetByWrite guards against a read that finds an orderly end after a write has met a reset.
func TestResetMetByWrite(t *testing.T) {
	near, far := pair(t)
	c := responseconn.Wrap(near)
	reset(far)
	qt.Assert(t, writeUntilError(c), qt.ErrorIs, syscall.ECONNRESET)
	for range 2 {
		_, err := c.Read(make([]byte, 1))
		qt.Assert(t, err, qt.ErrorIs, syscall.ECONNRESET)
	}
}

// TestResetMetByRead guards against a second read that finds an orderly end after the first one has met a reset.
func TestResetMetByRead(t *testing.T) {
	near, far := pair(t)
	c := responseconn.Wrap(near)
	reset(far)
	for range 2 {
		_, err := c.Read(make([]byte, 1))
		qt.Assert(t, err, qt.ErrorIs, syscall.ECONNRESET)
	}
}

// TestOrderlyEnd guards against an orderly end that is taken for a break since a write met a reset after it, or still waits.
func TestOrderlyEnd(t *testing.T) {
	t.Run("reset after the end", func(t *testing.T) {
		near, far := pair(t)
		c := responseconn.Wrap(near)
		qt.Assert(t, far.CloseWrite(), qt.IsNil)
		time.Sleep(10 * time.Millisecond)
		reset(far)
		qt.Assert(t, writeUntilError(c), qt.ErrorIs, syscall.EPIPE)
		_, err := c.Read(make([]byte, 1))
		qt.Assert(t, err, qt.Equals, io.EOF)
	})
	t.Run("the write waits", func(t *testing.T) {
		near, far := pair(t)
		c := responseconn.Wrap(near)
		written := make(chan error, 1)
		go func() { written <- writeUntilError(c) }()
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, far.CloseWrite(), qt.IsNil)
		_, err := c.Read(make([]byte, 1))
		qt.Assert(t, err, qt.Equals, io.EOF)
		qt.Assert(t, <-written, qt.IsNotNil)
	})
}

// TestReadTimeout guards against a connection that cannot be read any more after a read has timed out.
func TestReadTimeout(t *testing.T) {
	near, far := pair(t)
	c := responseconn.Wrap(near)
	qt.Assert(t, c.SetReadDeadline(time.Now().Add(time.Millisecond)), qt.IsNil)
	_, err := c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.ErrorMatches, ".*timeout")
	qt.Assert(t, c.SetReadDeadline(time.Time{}), qt.IsNil)
	_, err = far.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	n, err := c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, 1)
}

// writeUntilError writes until the connection fails.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}
