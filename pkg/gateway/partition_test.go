package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/connection"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/relay"
	"github.com/cuminroute/cuminroute/pkg/standin/partition"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// poolUpstream sends requests on the connections of a pool.
type poolUpstream struct {
	pool *connection.Pool
}

func (u poolUpstream) Open(ctx context.Context, a proxy.Attempt) (*proxy.Response, error) {
	c, err := u.pool.Get(ctx, a.Path[0].Target.Address, a.MaxIdle)
	if err != nil {
		return nil, &proxy.AttemptError{NotRun: true, Cause: err}
	}
	stop := context.AfterFunc(ctx, c.Close)
	head := connection.RequestHead(a.Request.Method, a.Request.URI, a.Request.Host, nil, 0)
	response, err := c.RoundTrip(head, nil, &http.Request{Method: a.Request.Method}, nil)
	if err != nil {
		stop()
		return nil, &proxy.AttemptError{Sent: true, Cause: err}
	}
	return &proxy.Response{
		Status: response.StatusCode, Header: response.Header, Body: response.Body, ContentLength: response.ContentLength,
		Release: func() {
			if stop() {
				c.Release(u.pool)
			}
		},
		Abort: func() { stop(); c.Close() },
	}, nil
}

func (u poolUpstream) ChangePath(context.Context, string, path.Path) error { return nil }

func (u poolUpstream) Probe(ctx context.Context, t target.Target) error {
	return u.pool.Probe(ctx, t.Address)
}

// TestPartitionFromTargets guards against an instance that serves nothing while it is partitioned from all targets although
// other instances reach them, and against its verdicts on these targets at the others.
func TestPartitionFromTargets(t *testing.T) {
	for _, test := range []struct {
		name string
		cut  *partition.Links
	}{
		{"links hang", &partition.Links{}},
		{"links refuse", &partition.Links{Refuse: true, Reset: true}},
		{"open connections live on", &partition.Links{Refuse: true, Live: true}},
		{"open connections are reset, new ones hang", &partition.Links{Reset: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const (
				instances = 4
				cutOff    = 2 // cutOff is the number of instances that are partitioned from the targets.
				interval  = 50 * time.Millisecond
				reaction  = 3 * time.Second
				measured  = 2 * time.Second
			)
			store := newFilledStore()
			for i := range 2 {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }))
				t.Cleanup(server.Close)
				store.put("targets", fmt.Sprint("d", i), encode(target.Target{
					Service: "desk", State: target.Live, DataCentre: "dc", Slots: 100, Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
				}))
			}
			gateways := startPartitionableFleet(t, instances, cutOff, store, test.cut)
			for _, g := range gateways { // Connections to the targets are open when the links are cut.
				qt.Assert(t, sendDeskRequest(g, "first"), qt.IsNil)
			}
			test.cut.Cut()
			began := time.Now()
			var sent, served [instances]atomic.Int64
			var group sync.WaitGroup
			for i, g := range gateways {
				for n := range int((reaction + measured) / interval) {
					group.Go(func() {
						time.Sleep(time.Duration(n) * interval)
						late := time.Since(began) >= reaction
						err := sendDeskRequest(g, fmt.Sprint(i, "-", n))
						if late {
							sent[i].Add(1)
						}
						if late && err == nil {
							served[i].Add(1)
						}
						if i >= cutOff {
							qt.Check(t, err, qt.IsNil)
						}
					})
				}
			}
			group.Wait()
			for i, g := range gateways {
				qt.Check(t, served[i].Load(), qt.Equals, sent[i].Load(), qt.Commentf("instance %d served %d of %d", i, served[i].Load(), sent[i].Load()))
				for _, name := range []string{"d0", "d1"} {
					qt.Check(t, g.targetStats.IsDead(name, time.Now()), qt.IsFalse, qt.Commentf("instance %d takes %s for dead", i, name))
				}
			}
		})
	}
}

// startPartitionableFleet starts instances, of which the first ones reach the targets over the links of a partition.
func startPartitionableFleet(t *testing.T, instances, cutOff int, store *fakeStore, cut *partition.Links) []*Gateway {
	var gateways []*Gateway
	for i := range instances {
		platform := fakePlatform(store, &fakeTargetControl{store: store})
		direct := new(partition.Links)
		if i < cutOff {
			direct = cut
		}
		platform.Dialer = relay.New(direct.DialContext)
		platform.Upstream = poolUpstream{pool: connection.New(connection.WithDial(platform.Dialer.DialContext), connection.WithProbeDial(platform.Dialer.ProbeContext))}
		gateways = append(gateways, startOn(t, fmt.Sprint("i", i), platform, gateways[:min(i, 1)]...))
	}
	for _, g := range gateways {
		eventually(t, "all instances", func() bool { return len(g.peers.node.Members()) == instances })
		eventually(t, "the targets", func() bool {
			snapshot := g.cache.Snapshot()
			return snapshot != nil && len(snapshot.Targets["desk"].Targets()) == 2
		})
	}
	return gateways
}

// sendDeskRequest sends a request to the desk service through an instance.
func sendDeskRequest(g *Gateway, id string) error {
	request := &proxy.Request{ID: id, Method: http.MethodGet, URI: "/desk/1", Path: "/desk/1", Host: "shop.example", ReceivedAt: time.Now()}
	return g.server.Serve(context.Background(), request, httptest.NewRecorder())
}
