package service_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/cuminroute/cuminroute/pkg/peer/service"
	standin "github.com/cuminroute/cuminroute/pkg/standin/service"
	"github.com/cuminroute/cuminroute/pkg/target"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// fakeClaimer is an in-memory Claimer.
type fakeClaimer struct {
	mu        sync.Mutex
	rows      map[string]*service.Claim
	contents  map[string][32]byte
	down      bool
	failStore int // failStore is the number of Finish calls that fail.
	abandoned int
}

func newFakeClaimer() *fakeClaimer {
	return &fakeClaimer{rows: map[string]*service.Claim{}, contents: map[string][32]byte{}}
}

var errTable = errors.New("the table is down")

func (k *fakeClaimer) Claim(_ context.Context, key service.ClaimKey) (service.Claim, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return service.Claim{}, errTable
	}
	id := key.Workspace + "/" + key.Key
	row, found := k.rows[id]
	switch {
	case !found:
		k.rows[id], k.contents[id] = &service.Claim{ID: id, State: service.Held}, key.Content
		return service.Claim{ID: id, State: service.Won}, nil
	case k.contents[id] != key.Content:
		return service.Claim{ID: id, State: service.Mismatch}, nil
	default:
		return *row, nil
	}
}

func (k *fakeClaimer) Finish(_ context.Context, claim service.Claim, response service.Response) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failStore > 0 {
		k.failStore--
		return errTable
	}
	k.rows[claim.ID] = &service.Claim{ID: claim.ID, State: service.Finished, Response: response}
	return nil
}

func (k *fakeClaimer) Abandon(_ context.Context, claim service.Claim) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.abandoned++
	delete(k.rows, claim.ID)
	return nil
}

func newTarget(address netip.AddrPort, name string) target.Target {
	return target.Target{Name: name, Kind: target.Service, Address: address, State: target.Live, Service: "orders"}
}

func newClient(k service.Claimer, targets []target.Target, options ...service.Option) *service.Client {
	options = append([]service.Option{service.WithLogger(quiet)}, options...)
	return service.New(func(string) []target.Target { return targets }, k, options...)
}

func orderRequest(key, body string) service.Request {
	return service.Request{
		ID: "r", Workspace: "north", Service: "orders", Kind: "reorder", Method: http.MethodPost, Path: "kits",
		ContentType: "text/plain", Body: []byte(body), IdempotencyKey: key,
	}
}

func lookupRequest() service.Request {
	return service.Request{ID: "r", Workspace: "north", Service: "orders", Kind: "stock", Method: http.MethodGet, Path: "stock/7", Idempotent: true}
}

func startService(c *qt.C) *standin.Server {
	s, err := standin.New("orders")
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Close)
	// Kill closes the listener only if the server already serves it.
	response, err := http.Get("http://" + s.Addr().String() + "/")
	c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	return s
}

// restart restarts a crashed service. It retries until the service's port is free.
func restart(c *qt.C, s *standin.Server) {
	var err error
	for range 100 {
		if err = s.Restart(); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal(err)
}

// listen starts a listener that passes each connection to serve and closes it after that.
func listen(t *testing.T, serve func(c *net.TCPConn)) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}
