package service_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	cutHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	cutBody = "two boxes of tea"
)

// cutResponses holds responses of each framing. The one without a length has no body: the end of such a body cannot be told from a cut.
var cutResponses = []struct{ name, response, body string }{
	{"with a length", cutHead + "Content-Length: 16\r\n\r\n" + cutBody, cutBody},
	{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 16\r\nX-A: b\r\n\r\n" + cutBody, cutBody},
	{"chunked", cutHead + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + cutBody + "\r\n0\r\nX-Sum: 1\r\n\r\n", cutBody},
	{"without a length", cutHead + "Connection: close\r\n\r\n", ""},
	{"after an interim response", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + cutHead + "\r\n", ""},
}

// TestCutResponse guards against a response that was cut off in its head, in its body or between the two and is taken for a whole one.
func TestCutResponse(t *testing.T) {
	for _, test := range cutResponses {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s reset %t", test.name, reset), func(t *testing.T) {
				var running sync.WaitGroup
				for n := range len(test.response) {
					running.Go(func() {
						for _, r := range []struct {
							name string
							send func(address netip.AddrPort) (string, error)
						}{{"order", sendOrder}, {"lookup", sendLookup}} {
							body, err := r.send(newCutTarget(t, test.response[:n], reset))
							qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s, cut before byte %d: body %q", r.name, n, body))
						}
					})
				}
				running.Wait()
				body, err := sendOrder(newCutTarget(t, test.response, reset))
				if reset && test.body == "" {
					qt.Check(t, err, qt.IsNotNil, qt.Commentf("a body without a length that was reset is not whole"))
					return
				}
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, body, qt.Equals, test.body)
			})
		}
	}
}

func sendOrder(address netip.AddrPort) (string, error) {
	client := newClient(newFakeClaimer(), []target.Target{newTarget(address, "orders-1")})
	defer client.Close()
	response, err := client.Do(context.Background(), orderRequest("key", "two boxes"))
	return string(response.Body), err
}

func sendLookup(address netip.AddrPort) (string, error) {
	client := newClient(newFakeClaimer(), []target.Target{newTarget(address, "orders-1")})
	defer client.Close()
	response, err := client.Do(context.Background(), lookupRequest())
	return string(response.Body), err
}

// newCutTarget starts a target that sends the given bytes to each request and closes or resets the connection. The target keeps running.
func newCutTarget(t *testing.T, sent string, reset bool) netip.AddrPort {
	return listen(t, func(c *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.Copy(c, strings.NewReader(sent))
		if reset {
			_ = c.SetLinger(0)
		}
	})
}
