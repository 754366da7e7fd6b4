package connection_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/connection"
)

// peer is a fake target that counts connections and requests.
type peer struct {
	address  netip.AddrPort
	accepted atomic.Int32
	requests atomic.Int32
}

// serve starts a peer, which calls handle for each connection.
func serve(t *testing.T, handle func(p *peer, c net.Conn, r *bufio.Reader)) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	p := &peer{address: l.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				handle(p, c, bufio.NewReader(c))
			}()
		}
	}()
	return p
}

// respondWith returns a handler that writes the responses in order, one for each request to the peer, and closes the
// connection when none is left.
func respondWith(responses ...string) func(*peer, net.Conn, *bufio.Reader) {
	return func(p *peer, c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			n := int(p.requests.Add(1))
			if n > len(responses) {
				return
			}
			_, _ = io.WriteString(c, responses[n-1])
		}
	}
}

const idField = "X-Id"

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idField + ": " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

// itoa formats a single digit.
func itoa(n int) string { return string(rune('0' + n)) }

// roundTrip sends a request with the ID and returns the response body.
func roundTrip(t *testing.T, pool *connection.Pool, p *peer, id string) (string, error) {
	c, err := pool.Get(context.Background(), p.address, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	head := connection.RequestHead(http.MethodPost, "/x", "h", http.Header{idField: {id}}, 0)
	response, err := c.RoundTrip(head, nil, &http.Request{Method: http.MethodPost}, func(h http.Header) bool { return h.Get(idField) == id })
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.Close()
		return "", err
	}
	c.Release(pool)
	return string(body), nil
}

// TestReuse guards against opening a new connection for each request.
func TestReuse(t *testing.T) {
	p, pool := serve(t, respondWith(response("1", "a"), response("2", "b"))), connection.New()
	for _, id := range []string{"1", "2"} {
		_, err := roundTrip(t, pool, p, id)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, p.accepted.Load(), qt.Equals, int32(1))
}

// TestStaleResponse guards against taking a late duplicate response to an earlier request for the response to the next
// one.
func TestStaleResponse(t *testing.T) {
	p := serve(t, respondWith(response("1", "a"), response("1", "again")+response("2", "b")))
	pool := connection.New()
	_, err := roundTrip(t, pool, p, "1")
	qt.Assert(t, err, qt.IsNil)
	body, err := roundTrip(t, pool, p, "2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "b")
}

// TestExtraBytes guards against reusing a connection that has received extra bytes after a complete response.
func TestExtraBytes(t *testing.T) {
	p := serve(t, respondWith(response("1", "a")+response("1", "a"), response("2", "b")))
	pool := connection.New()
	_, err := roundTrip(t, pool, p, "1")
	qt.Assert(t, err, qt.IsNil)
	body, err := roundTrip(t, pool, p, "2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "b")
	qt.Assert(t, p.accepted.Load(), qt.Equals, int32(2))
}

// TestNotReused guards against reusing a connection that the target has announced to close, or whose keep-alive timeout
// has expired.
func TestNotReused(t *testing.T) {
	for _, test := range []struct {
		name, first string
	}{
		{"Connection: close", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 1\r\n\r\na"},
		{"Keep-Alive timeout below the margin", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\na"},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, pool := serve(t, respondWith(test.first, response("2", "b"))), connection.New()
			_, err := roundTrip(t, pool, p, "1")
			qt.Assert(t, err, qt.IsNil)
			_, err = roundTrip(t, pool, p, "2")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, p.accepted.Load(), qt.Equals, int32(2))
		})
	}
}

// TestClosedWhileIdle guards against sending a request on a connection that its target has closed.
func TestClosedWhileIdle(t *testing.T) {
	p := serve(t, func(_ *peer, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, response("1", "a"))
		}
	})
	pool := connection.New()
	for range 3 {
		_, err := roundTrip(t, pool, p, "1")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(20 * time.Millisecond) // The FIN has to arrive.
	}
	qt.Assert(t, p.accepted.Load(), qt.Equals, int32(3))
}

// TestOutcomes guards against an error that says that a request was not sent when the request may have run.
func TestOutcomes(t *testing.T) {
	for _, test := range []struct {
		name, response string
		kind           *errorx.Type
	}{
		{"truncated after the status line", "HTTP/1.1 200 OK\r\n", connection.Broken},
		{"truncated in a header field", "HTTP/1.1 200 OK\r\nX-", connection.InvalidResponse},
		{"closed without a response", "", connection.Broken},
		{"not an HTTP response", "\x00\x01garbage\r\n\r\n", connection.InvalidResponse},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := serve(t, func(_ *peer, c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c, test.response)
				}
			})
			_, err := roundTrip(t, connection.New(), p, "1")
			qt.Assert(t, errorx.IsOfType(err, test.kind), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestNotSent guards against an unknown outcome if no connection was established.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := l.Addr().(*net.TCPAddr).AddrPort()
	qt.Assert(t, l.Close(), qt.IsNil)
	_, err = connection.New().Get(context.Background(), address, time.Minute)
	qt.Assert(t, errorx.IsOfType(err, connection.NotSent), qt.IsTrue)
	qt.Assert(t, connection.New().Probe(context.Background(), address), qt.IsNotNil)
}

// TestEarlyResponse guards against reusing a connection whose request body has not been written completely: the bytes
// of the next request would be parsed as part of this body.
func TestEarlyResponse(t *testing.T) {
	p := serve(t, func(_ *peer, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, response("1", "a")) // The body is not read.
		time.Sleep(300 * time.Millisecond)
	})
	pool := connection.New()
	c, err := pool.Get(context.Background(), p.address, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	body := []byte(strings.Repeat("x", 16<<20))
	head := connection.RequestHead(http.MethodPost, "/x", "h", http.Header{}, len(body))
	response, err := c.RoundTrip(head, body, &http.Request{Method: http.MethodPost}, nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	c.Release(pool)
	again, err := pool.Get(context.Background(), p.address, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.Reused(), qt.IsFalse)
	again.Close()
}

// TestInterimResponse guards against taking an interim response for the final one.
func TestInterimResponse(t *testing.T) {
	p := serve(t, respondWith("HTTP/1.1 103 Early Hints\r\n\r\n"+response("1", "a")))
	body, err := roundTrip(t, connection.New(), p, "1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "a")
}

// TestCloseDelimitedResponse guards against taking a connection reset for the end of a response without a length.
func TestCloseDelimitedResponse(t *testing.T) {
	for _, reset := range []bool{false, true} {
		p := serve(t, func(_ *peer, c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc")
			time.Sleep(20 * time.Millisecond)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		body, err := roundTrip(t, connection.New(), p, "1")
		qt.Assert(t, err != nil, qt.Equals, reset)
		if !reset {
			qt.Assert(t, body, qt.Equals, "abc")
		}
	}
}

// TestCloseDuringExchange guards against a data race between an exchange and a client that leaves, which closes the connection.
// The race detector finds it.
func TestCloseDuringExchange(t *testing.T) {
	p := serve(t, respondWith()) // The target closes each connection after the request.
	for i := range 100 {
		c, err := connection.New().Get(context.Background(), p.address, time.Minute)
		qt.Assert(t, err, qt.IsNil)
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			time.Sleep(time.Duration(i) * 5 * time.Microsecond)
			c.Close()
		}()
		_, err = c.RoundTrip([]byte("GET / HTTP/1.1\r\n\r\n"), nil, &http.Request{Method: http.MethodGet}, nil)
		qt.Assert(t, err, qt.IsNotNil)
		<-closed
	}
}

// TestRefusedOnConnection guards against sending a request again on the connection on which it was refused, where the target may
// repeat the refusal, and against opening a new connection although another one is idle.
func TestRefusedOnConnection(t *testing.T) {
	p := serve(t, func(_ *peer, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() })
	pool := connection.New()
	get := func(id string) *connection.Conn {
		c, err := pool.GetFor(context.Background(), p.address, time.Minute, id)
		qt.Assert(t, err, qt.IsNil)
		return c
	}
	other, refusing := get("1"), get("1")
	refusing.RecordRefused("1")
	pool.Put(other)
	pool.Put(refusing)
	qt.Assert(t, get("1"), qt.Equals, other)
	fresh := get("1")
	qt.Assert(t, fresh.Reused(), qt.IsFalse)
	qt.Assert(t, get("2"), qt.Equals, refusing)
}
