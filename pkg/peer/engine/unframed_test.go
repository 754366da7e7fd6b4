package engine_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/engine"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// TestUnframedResult guards against a report or KV cache of which only the first part came, since the engine was killed and the response
// has no length: a message that is cut between two fields can still be decoded.
func TestUnframedResult(t *testing.T) {
	whole, err := proto.Marshal(&enginepb.KvCache{Request: "r", Generation: 1, Positions: 3})
	qt.Assert(t, err, qt.IsNil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write(append([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"), whole[:3]...))
	}))
	defer server.Close()
	e := engine.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	defer e.Close()
	cache, err := e.Export(t.Context(), "r", 1)
	qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%v", cache))
	qt.Assert(t, refusal.OutcomeOf(err), qt.Equals, outcome.Unknown)
}
