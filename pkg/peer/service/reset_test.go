package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// TestResetDuringUpload guards against a part of a response without a length that is taken for a whole one, and stored for the key of
// an order: the reset of the connection was reported to the write of the request and not to the read of the response.
func TestResetDuringUpload(t *testing.T) {
	const (
		requests = 64
		// pause is how much later the connection is reset than that of the request before. It decides whether the write of the
		// request or the read of the response meets the reset first.
		pause = 10 * time.Microsecond
	)
	body := strings.Repeat("x", 3<<20) // More than the sockets take while the target does not read.
	for _, test := range []struct {
		name       string
		idempotent bool
	}{{"order", false}, {"lookup", true}} {
		t.Run(test.name, func(t *testing.T) {
			whole := 0
			for n := range requests {
				address := listenAndReset(t, time.Duration(n)*pause)
				client := newClient(newFakeClaimer(), []target.Target{newTarget(address, "orders-1")})
				request := orderRequest("key", body)
				request.Idempotent = test.idempotent
				response, err := client.Do(context.Background(), request)
				client.Close()
				if err == nil {
					t.Logf("reset after %v: status %d, body %q", time.Duration(n)*pause, response.Status, response.Body)
					whole++
					continue
				}
				qt.Check(t, refusal.OutcomeOf(err), qt.Equals, outcome.Unknown)
			}
			qt.Assert(t, whole, qt.Equals, 0, qt.Commentf("of %d responses that were reset", requests))
		})
	}
}

// listenAndReset starts a target that answers without a length as soon as it has the head of a request, and resets the connection
// after a pause. It accepts further connections.
func listenAndReset(t *testing.T, pause time.Duration) netip.AddrPort {
	return listen(t, func(c *net.TCPConn) {
		_ = c.SetReadBuffer(4 << 10)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\ntwo")
		time.Sleep(pause)
		_ = c.SetLinger(0)
	})
}
