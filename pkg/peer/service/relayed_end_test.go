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
	"github.com/cuminroute/cuminroute/pkg/peer/service"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// TestUnframedRelayedResponse guards against a response without a length that is taken for a whole one although the instance that
// relayed the connection ended in the middle.
func TestUnframedRelayedResponse(t *testing.T) {
	running, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = running.Close() }()
	relaying, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = relaying.Close() }()
	go func() { // Stands for the relayed connection to the target, of which one half of the response arrives.
		c, err := relaying.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndo")
		}
	}()
	first := true
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if first {
			first, address = false, relaying.Addr().String()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	client := newClient(newFakeClaimer(), []target.Target{newTarget(running.Addr().(*net.TCPAddr).AddrPort(), "orders-1")}, service.WithDial(dial))
	defer client.Close()
	response, err := client.Do(context.Background(), orderRequest("key", "two boxes"))
	qt.Assert(t, err, qt.IsNotNil, qt.Commentf("body %q", response.Body))
	qt.Assert(t, refusal.OutcomeOf(err), qt.Equals, outcome.Unknown)
}
