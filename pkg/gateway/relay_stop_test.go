package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/connection"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/relay"
	"github.com/cuminroute/cuminroute/pkg/standin/partition"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// TestStopWaitsForRelayedRequests guards against a planned stop that cuts off requests of another instance, whose connections to
// their targets it relays, and against a request that is sent over such a connection after the stop has begun.
func TestStopWaitsForRelayedRequests(t *testing.T) {
	const work = 4500 * time.Millisecond // Longer than the stop of an instance without requests of its own.
	store := newFilledStore()
	started := make(chan struct{}, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow/1" {
			started <- struct{}{}
			time.Sleep(work)
		}
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	store.put("targets", "d0", encode(target.Target{
		Service: "desk", State: target.Live, DataCentre: "dc", Slots: 100, Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
	}))
	cut := &partition.Links{Refuse: true, Reset: true}
	var gateways []*Gateway
	for i, links := range []*partition.Links{cut, {}} {
		p := fakePlatform(store, &fakeTargetControl{store: store})
		p.DecodeConfiguration = decodeSlowCatalogue
		p.Dialer = relay.New(links.DialContext)
		p.Upstream = poolUpstream{pool: connection.New(connection.WithDial(p.Dialer.DialContext), connection.WithProbeDial(p.Dialer.ProbeContext))}
		settings := Settings{
			Instance: string(rune('a' + i)), DataCentre: "dc", MemoryLimit: 1 << 30, GracePeriod: 8 * time.Second, MaxConfigurationAge: 5 * time.Second,
			ClientAddress: loopback, ReadinessAddress: loopback, OperatorAddress: loopback, PeerAddress: loopback,
		}
		for _, g := range gateways {
			settings.Seeds = append(settings.Seeds, g.peers.node.Address())
		}
		ctx, cancel := context.WithCancel(context.Background())
		g, err := New(ctx, settings, p, WithLogOutput(discard{}))
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() {
			cancel()
			_ = g.Wait()
		})
		gateways = append(gateways, g)
	}
	user, relaying := gateways[0], gateways[1]
	eventually(t, "the target", func() bool { return sendDeskRequest(user, "first") == nil })
	eventually(t, "the other instance", func() bool { return len(user.peers.node.Members()) == 2 })
	cut.Cut()
	eventually(t, "a relayed connection", func() bool { return sendDeskRequest(user, "relayed") == nil })
	result := make(chan error, 1)
	go func() {
		request := &proxy.Request{ID: "slow", Method: http.MethodGet, URI: "/slow/1", Path: "/slow/1", Host: "shop.example", ReceivedAt: time.Now()}
		result <- user.server.Serve(context.Background(), request, httptest.NewRecorder())
	}()
	<-started
	qt.Assert(t, sendDeskRequest(user, "during the slow one"), qt.IsNil) // Its connection may be kept.
	go func() { _ = relaying.app.Stop() }()
	eventually(t, "the stop", relaying.stopping.Load)
	qt.Check(t, sendDeskRequest(user, "late"), qt.IsNotNil, qt.Commentf("a request was sent over a stopping instance"))
	qt.Assert(t, <-result, qt.IsNil)
}

// decodeSlowCatalogue returns a configuration with a route whose requests may take long.
func decodeSlowCatalogue([]byte) (*catalogue.Catalogue, error) {
	route := func(prefix string, timeout time.Duration) catalogue.Route {
		return catalogue.Route{
			Name: prefix, Host: "shop.example", Prefix: prefix, Kind: catalogue.NonIdempotent, Timeout: timeout, MaxAttempts: 1, Public: true,
			WeightedServices: []catalogue.WeightedService{{Service: "desk"}},
		}
	}
	routes := []catalogue.Route{route("/desk/", time.Second), route("/slow/", 10*time.Second)}
	return catalogue.New(1, catalogue.Limits{}, routes, []catalogue.Service{{Name: "desk"}}, nil)
}
