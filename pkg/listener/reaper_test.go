package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/listener"
)

// TestConnReaper guards against clients that hold connections open without a request, and against closing a connection
// that waits for its response.
func TestConnReaper(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(4 * time.Second)
		}
		_, _ = io.WriteString(w, "done")
	})}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	timeout := 500 * time.Millisecond
	listener.NewConnReaper(ctx, server, func() listener.Timeouts { return listener.Timeouts{Header: timeout, Idle: timeout} })
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })

	for _, test := range []struct {
		about, send string
		answered    bool
		closed      bool
	}{
		{"nothing sent", "", false, true},
		{"half a request", "GET / HTTP/1.1\r\nHost:", false, true},
		{"idle after a request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", true, true},
		{"a slow response", "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", true, false},
	} {
		t.Run(test.about, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", l.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, test.send)
			qt.Assert(t, err, qt.IsNil)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			r := bufio.NewReader(c)
			if test.answered {
				response, err := http.ReadResponse(r, nil)
				qt.Assert(t, err, qt.IsNil)
				_, err = io.ReadAll(response.Body)
				qt.Assert(t, err, qt.IsNil)
			}
			if test.closed {
				_, err = r.ReadByte()
				qt.Assert(t, err, qt.Equals, io.EOF)
			}
		})
	}
}
