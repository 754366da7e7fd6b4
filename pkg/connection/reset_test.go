package connection_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/connection"
)

// resetMetByWrite is a connection whose reads wait, once a response has begun, until a write has failed. A reset of the connection is
// therefore reported to the write, and the read finds an orderly end.
type resetMetByWrite struct {
	*net.TCPConn
	reads  int
	failed chan struct{}
	once   sync.Once
}

func (c *resetMetByWrite) Read(b []byte) (int, error) {
	if c.reads++; c.reads > 1 {
		<-c.failed
	}
	return c.TCPConn.Read(b)
}

func (c *resetMetByWrite) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// dialResetMetByWrite opens connections on which the write of a request meets a reset.
func dialResetMetByWrite(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &resetMetByWrite{TCPConn: c.(*net.TCPConn), failed: make(chan struct{})}, nil
}

const unframedResponse = "HTTP/1.1 200 OK\r\n" + idField + ": 1\r\n\r\npart"

// TestResetMetByWrite guards against a part of a response without a length that is taken for a whole one, since the reset of the
// connection was reported to the write of the request body and the read of the response found an orderly end.
func TestResetMetByWrite(t *testing.T) {
	p := serve(t, func(_ *peer, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, unframedResponse)
			time.Sleep(20 * time.Millisecond) // The body is being written, and the head has been read.
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	body, err := upload(t, p, connection.WithDial(dialResetMetByWrite))
	qt.Assert(t, err, qt.ErrorIs, syscall.ECONNRESET, qt.Commentf("body %q", body))
}

// TestEndDuringUpload guards against a whole response without a length that is taken for a broken one, since its target closes in
// order before it has read the request body, and resets the connection after that.
func TestEndDuringUpload(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(*net.TCPConn)
	}{
		{"the target waits", func(*net.TCPConn) { time.Sleep(100 * time.Millisecond) }},
		{"the target reads on", func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }},
		{"the target resets after its end", func(c *net.TCPConn) { time.Sleep(10 * time.Millisecond); _ = c.SetLinger(0) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := serve(t, func(_ *peer, c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c, unframedResponse)
					_ = c.(*net.TCPConn).CloseWrite()
					test.end(c.(*net.TCPConn))
				}
			})
			for range 20 {
				body, err := upload(t, p)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, body, qt.Equals, "part")
			}
		})
	}
}

// upload sends a request with a body that the sockets do not hold, and returns the response body.
func upload(t *testing.T, p *peer, options ...connection.Option) (string, error) {
	c, err := connection.New(options...).Get(context.Background(), p.address, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	request := []byte(strings.Repeat("x", 8<<20))
	head := connection.RequestHead(http.MethodPost, "/", "host", http.Header{idField: {"1"}}, len(request))
	response, err := c.RoundTrip(head, request, &http.Request{Method: http.MethodPost}, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
