package connection_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/connection"
)

// sendEndlessly returns a handler that reads a request, sends a start, and then repeats a piece until the connection is
// closed.
func sendEndlessly(start, piece string, pause time.Duration) func(*peer, net.Conn, *bufio.Reader) {
	return func(_ *peer, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if _, err := io.WriteString(c, start); err != nil {
			return
		}
		for {
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// endless lists targets that send bytes without end where a response header should be.
var endless = []struct {
	name, start, piece string
	pause              time.Duration
	within             time.Duration
}{
	{name: "status line", start: "HTTP/1.1 200 ", piece: strings.Repeat("O", 1000), within: time.Second},
	{name: "no line", piece: strings.Repeat("\x00\xff", 500), within: time.Second},
	{name: "one field", start: "HTTP/1.1 200 OK\r\nX-Id: ", piece: strings.Repeat("1", 1000), within: time.Second},
	{name: "fields", start: "HTTP/1.1 200 OK\r\n", piece: strings.Repeat("X-A: b\r\n", 100), within: time.Second},
	{name: "interim responses", piece: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 50), within: time.Second},
	{name: "a field now and then", start: "HTTP/1.1 200 OK\r\n", piece: "X-A: b\r\n", pause: 100 * time.Millisecond, within: 4 * time.Second},
	{name: "a byte now and then", start: "HTTP/1.1 200 O", piece: "K", pause: 100 * time.Millisecond, within: 4 * time.Second},
}

// TestEndlessHeader guards against a request that never ends, and memory that grows without bound, while a target sends a
// response header without end.
func TestEndlessHeader(t *testing.T) {
	for _, test := range endless {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := serve(t, sendEndlessly(test.start, test.piece, test.pause))
			started := time.Now()
			_, err := roundTrip(t, connection.New(), p, "1")
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, time.Since(started) < test.within, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
		})
	}
}

// TestEndlessTrailer guards against bytes without end in the framing of a chunked body.
func TestEndlessTrailer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct{ name, start, piece string }{
		{"chunk size", head + "5", strings.Repeat("0", 1000)},
		{"chunk extension", head + "5;", strings.Repeat("x", 1000)},
		{"trailer", head + "1\r\na\r\n0\r\n", strings.Repeat("X-A: b\r\n", 100)},
		{"one trailer field", head + "1\r\na\r\n0\r\nX-A: ", strings.Repeat("b", 1000)},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := serve(t, sendEndlessly(test.start, test.piece, 0))
			c, err := connection.New().Get(context.Background(), p.address, time.Minute)
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			head := connection.RequestHead("GET", "/", "h", nil, 0)
			response, err := c.RoundTrip(head, nil, &http.Request{Method: "GET"}, nil)
			qt.Assert(t, err, qt.IsNil)
			n, err := io.Copy(io.Discard, response.Body)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, n <= 1, qt.IsTrue)
		})
	}
}

// TestEndlessMemory guards against memory that grows with many targets that send headers without end at once.
func TestEndlessMemory(t *testing.T) {
	const (
		connections = 200
		maxGrowth   = 64 << 20 // An instance has some 200 MB in all.
	)
	p := serve(t, sendEndlessly("HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: b\r\n", 100), 0))
	pool := connection.New()
	conns := make([]*connection.Conn, connections) // They are opened one by one, since a busy machine accepts them slowly.
	for i := range conns {
		c, err := pool.Get(context.Background(), p.address, time.Minute)
		qt.Assert(t, err, qt.IsNil)
		conns[i] = c
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var group sync.WaitGroup
	for _, c := range conns {
		group.Go(func() {
			_, err := c.RoundTrip(connection.RequestHead("GET", "/", "h", nil, 0), nil, &http.Request{Method: "GET"}, nil)
			qt.Check(t, err, qt.IsNotNil)
		})
	}
	group.Wait()
	runtime.ReadMemStats(&after)
	growth := int64(after.HeapSys) - int64(before.HeapSys)
	t.Logf("%d connections: the heap grew by %d KB", connections, growth>>10)
	qt.Assert(t, growth <= maxGrowth, qt.IsTrue, qt.Commentf("%d bytes", growth))
}
