package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// TestUnframedResponse guards against a response without a length that is taken for a whole one, since the connections of a target
// whose process was killed end in order.
func TestUnframedResponse(t *testing.T) {
	for _, test := range []struct {
		name string
		ends bool // ends means that the target's process ends with the response.
	}{{"the target ends", true}, {"the target runs", false}} {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = l.Close() }()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					request, err := http.ReadRequest(bufio.NewReader(c))
					if err == nil {
						_, _ = io.Copy(io.Discard, request.Body)
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndo")
					}
					if test.ends {
						_ = l.Close()
					}
					_ = c.Close()
				}
			}()
			client := newClient(newFakeClaimer(), []target.Target{newTarget(l.Addr().(*net.TCPAddr).AddrPort(), "orders-1")})
			defer client.Close()
			response, err := client.Do(context.Background(), orderRequest("key", "two boxes"))
			if !test.ends {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(response.Body), qt.Equals, "do")
				return
			}
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, refusal.OutcomeOf(err), qt.Equals, outcome.Unknown)
		})
	}
}
