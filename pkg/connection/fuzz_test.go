package connection_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cuminroute/cuminroute/pkg/connection"
)

// FuzzResponse guards against a panic, a response that does not end, and a reused connection with bytes to spare, whatever
// bytes a target sends.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nrest",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "\x00\xff", "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\nx",
	} {
		f.Add([]byte(seed))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = listener.Close() })
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	f.Fuzz(func(t *testing.T, sent []byte) {
		served := make(chan struct{})
		go func() {
			defer close(served)
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write(sent)
			}
		}()
		started := time.Now()
		c, err := connection.New().Get(context.Background(), address, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		match := func(h http.Header) bool { return h.Get(idField) == "1" }
		response, err := c.RoundTrip(connection.RequestHead("GET", "/", "h", nil, 0), nil, &http.Request{Method: "GET"}, match)
		if err == nil {
			if response.Header.Get(idField) != "1" {
				t.Fatalf("the response belongs to another request: %v", response.Header)
			}
			n, _ := io.Copy(io.Discard, response.Body)
			if n > int64(len(sent)) {
				t.Fatalf("%d bytes of body, %d were sent", n, len(sent))
			}
		}
		c.Close()
		<-served
		if took := time.Since(started); took > 5*time.Second {
			t.Fatalf("it took %v", took)
		}
	})
}
