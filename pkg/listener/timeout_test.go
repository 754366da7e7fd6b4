package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/listener"
)

// slowListener accepts connections whose reads return late while slow is set, as where the process has little processor time.
type slowListener struct {
	net.Listener
	slow  atomic.Bool
	delay time.Duration
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &slowConn{Conn: c, listener: l}, err
}

type slowConn struct {
	net.Conn
	listener *slowListener
}

func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.listener.slow.Load() {
		time.Sleep(c.listener.delay)
	}
	return n, err
}

// TestRequestReadAtTimeout guards against closing a connection whose request was read and is then passed on (LOST).
func TestRequestReadAtTimeout(t *testing.T) {
	for _, test := range []struct {
		about  string
		before int // before is the number of requests on the connection before the one that is read at the timeout.
	}{
		{"a new connection", 0},
		{"a kept connection", 1},
	} {
		t.Run(test.about, func(t *testing.T) {
			t.Parallel()
			l, handled := serveWithTimeout(t, 500*time.Millisecond)
			c, err := net.Dial("tcp", l.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			r := bufio.NewReader(c)
			for range test.before {
				qt.Assert(t, exchange(c, r), qt.IsNil)
			}

			l.slow.Store(true)
			err = exchange(c, r)
			l.slow.Store(false)
			if err != nil {
				time.Sleep(2 * l.delay) // The request may still be handled.
				qt.Assert(t, handled.Load(), qt.Equals, int64(test.before), qt.Commentf("passed on, and ended with %v", err))
				return
			}
			qt.Assert(t, exchange(c, r), qt.IsNil, qt.Commentf("the connection serves further requests"))
			_, err = r.ReadByte()
			qt.Assert(t, err, qt.Equals, io.EOF, qt.Commentf("the connection is closed when it is idle"))
		})
	}
}

// serveWithTimeout serves requests with the same timeout for headers and idle connections, and counts them.
func serveWithTimeout(t *testing.T, timeout time.Duration) (*slowListener, *atomic.Int64) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := &slowListener{Listener: inner, delay: 2500 * time.Millisecond}
	handled := new(atomic.Int64)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		if body, err := io.ReadAll(r.Body); err == nil && r.Context().Err() == nil {
			_, _ = w.Write(body)
		}
	}), ReadHeaderTimeout: 5 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	listener.NewConnReaper(ctx, server, func() listener.Timeouts { return listener.Timeouts{Header: timeout, Idle: timeout} })
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, handled
}

// exchange sends a request with a body in one write and reads the response, which repeats the body.
func exchange(c net.Conn, r *bufio.Reader) error {
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
		return err
	}
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && string(body) != "body" {
		return io.ErrUnexpectedEOF
	}
	return err
}

// TestBodyAfterTimeout guards against a read deadline that stays on a connection whose request was read as its timeout passed.
func TestBodyAfterTimeout(t *testing.T) {
	client, served := net.Pipe()
	defer func() { _ = client.Close() }()
	defer func() { _ = served.Close() }()
	server := &http.Server{ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener.NewConnReaper(ctx, server, func() listener.Timeouts { return listener.Timeouts{Idle: time.Millisecond} })

	server.ConnState(served, http.StateIdle)
	_, err := served.Read(make([]byte, 1))
	qt.Assert(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
	server.ConnState(served, http.StateActive)
	go func() { _, _ = io.WriteString(client, "b") }()
	_, err = served.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
}

// TestTooManyConnections guards against silent clients that came first and keep others out, and against more open connections than the
// listener's limit.
func TestTooManyConnections(t *testing.T) {
	const maxConns, limit, silent = 8, 10, 40
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	limited := listener.NewLimitedListener(inner, limit)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	reaper := listener.NewConnReaper(ctx, server, func() listener.Timeouts { return listener.Timeouts{} },
		listener.WithMaxConns(limited, maxConns, func() bool { return false }))
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	for range silent {
		c, err := net.Dial("tcp", inner.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = c.Close() })
		open, _ := reaper.Counts()
		qt.Assert(t, open <= limit, qt.IsTrue, qt.Commentf("%d connections are open", open))
	}
	c, err := net.Dial("tcp", inner.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	qt.Assert(t, exchange(c, bufio.NewReader(c)), qt.IsNil)
	_, closed := reaper.Counts()
	qt.Check(t, closed >= silent-maxConns, qt.IsTrue, qt.Commentf("%d connections were closed", closed))
}
