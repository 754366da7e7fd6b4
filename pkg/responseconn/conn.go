// Package responseconn reads the responses of other processes from connections, and tells broken ones from whole ones where the
// operating system and the parser of net/http do not.
//
// A reset of a connection is reported once, to whichever of its calls is first. If that is the write of a request, a read after it finds
// an orderly end, and a response without a length looks complete. A Conn passes such a reset on to its reads. It also checks the head
// of each response that is expected, see package responsehead.
//
// Every client that reads HTTP responses uses it, those of net/http by package responsetransport.
//
// Usage:
//
//	c := responseconn.Wrap(netConn)
//	_, err := c.Write(request)
//	err = c.ExpectResponse(nil) // No byte of the response was read.
//	response, err := http.ReadResponse(bufio.NewReader(c), nil)
package responseconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/responsehead"
)

// Conn is a connection on which responses are read. Reads and writes may be concurrent, as those of net.Conn.
type Conn struct {
	net.Conn

	writing sync.Mutex // writing is held during a write.
	broken  error      // broken is the error of the write that met the end of the connection; guarded by writing.

	mu      sync.Mutex
	checker responsehead.Checker
	failed  error // failed is the error of all further reads.
}

// Wrap returns a Conn that reads from c and writes to it, or c itself if it is a Conn.
func Wrap(c net.Conn) *Conn {
	if wrapped, ok := c.(*Conn); ok {
		return wrapped
	}
	return &Conn{Conn: c}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}

// ExpectResponse checks the head of the response that begins with the next byte, after those that were read already and begin it. The
// error is that of an invalid head.
func (c *Conn) ExpectResponse(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.Begin()
	_, err := c.checker.Check(read)
	return err
}

// HeadError returns the error of an invalid head that was read, or nil. The parser, which gets the start of that head, may report
// another one.
func (c *Conn) HeadError() error {
	if err := c.failure(); errorx.IsOfType(err, responsehead.Invalid) {
		return err
	}
	return nil
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.broken == nil && meansBroken(err) {
		c.broken = err
	}
	return n, err
}

// meansBroken reports whether the error of a write shows that the connection broke before its other side ended it. After an orderly end
// of the other side, a write fails with EPIPE.
func meansBroken(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Read implements net.Conn. Of an invalid head, the valid start is returned, at least one byte, and the error by the next read: after
// an error without any byte, net/http takes a kept connection for one that broke while it was idle, and sends the request again. After
// an error other than a timeout, all further reads fail with it: the operating system would report an orderly end to the next one.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.confirmEnd()
	}
	return c.finishRead(b[:n], err)
}

// failure returns the error of all further reads, or nil.
func (c *Conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// finishRead returns the result of a read that got the bytes and the error.
func (c *Conn) finishRead(b []byte, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, invalid := c.checker.Check(b)
	if invalid != nil {
		err = invalid
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failed = err
	}
	if invalid != nil {
		return max(n, 1), nil
	}
	return n, err
}

// confirmEnd returns io.EOF if the other side ended the connection in order, or the error of the write that met its break. A write
// that is still waiting ends: no response follows that would need the rest of the request.
func (c *Conn) confirmEnd() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.broken != nil {
		return fmt.Errorf("the connection broke while the request was being written, so the response may be incomplete: %w", c.broken)
	}
	return io.EOF
}
