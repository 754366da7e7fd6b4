package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/requestbody"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// workingUpstream works for some time on each request, and records the requests.
type workingUpstream struct {
	work time.Duration

	mu  sync.Mutex
	ran map[string]bool
}

func (u *workingUpstream) Open(ctx context.Context, a proxy.Attempt) (*proxy.Response, error) {
	u.mu.Lock()
	u.ran[a.Request.ID] = true
	u.mu.Unlock()
	select {
	case <-time.After(u.work):
	case <-ctx.Done():
		return nil, &proxy.AttemptError{Sent: true, Cause: ctx.Err()}
	}
	return &proxy.Response{Status: http.StatusOK, Header: http.Header{}, Body: strings.NewReader("done"), ContentLength: 4, Release: func() {}, Abort: func() {}}, nil
}

func (u *workingUpstream) ChangePath(context.Context, string, path.Path) error { return nil }
func (u *workingUpstream) Probe(context.Context, target.Target) error          { return nil }

func (u *workingUpstream) hasRun(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// newStopHandler returns a handler that serves requests like that of the platform, and holds requests for /long for longer than
// any grace period.
func newStopHandler(server *proxy.Server, _ func() catalogue.Limits, enter func() (func(), bool, error), _ *requestbody.Reader) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		end, closing, err := enter()
		defer end()
		if closing {
			w.Header().Set("Connection", "close")
		}
		switch {
		case err != nil:
		case r.URL.Path == "/long":
			<-r.Context().Done()
		default:
			request := &proxy.Request{
				ID: r.Header.Get("X-Id"), Method: r.Method, URI: r.RequestURI, Path: r.URL.Path, Host: r.Host, ReceivedAt: time.Now(),
			}
			err = server.Serve(r.Context(), request, w)
		}
		var refused *refusal.Error
		if errors.As(err, &refused) {
			w.WriteHeader(refused.Status)
		}
	})
}

// startBeforeStop starts an instance that is to be stopped within the grace period, with a target d0 of the service desk, and waits until
// it is ready.
func startBeforeStop(t *testing.T, gracePeriod time.Duration, upstream proxy.Upstream) *Gateway {
	store := newFilledStore()
	store.put("targets", "d0", encode(target.Target{
		Name: "d0", Address: loopback, Kind: target.Service, Service: "desk", State: target.Live, Slots: 100,
	}))
	p := fakePlatform(store, &fakeTargetControl{store: store})
	p.Upstream, p.NewHandler = upstream, newStopHandler
	g, err := New(context.Background(), Settings{
		Instance: "i1", DataCentre: "dc", MemoryLimit: 1 << 30, GracePeriod: gracePeriod, MaxConfigurationAge: 5 * time.Second,
		ClientAddress: loopback, ReadinessAddress: loopback, OperatorAddress: loopback, PeerAddress: loopback,
	}, p, WithLogOutput(discard{}))
	qt.Assert(t, err, qt.IsNil)
	eventually(t, "readiness", g.Ready)
	return g
}

// TestStopWithKeptConnections guards against a planned stop that sends an order to a target and closes the connection before the
// order is answered, and against one that refuses orders while there is time for them.
func TestStopWithKeptConnections(t *testing.T) {
	const (
		orders      = 40
		work        = 400 * time.Millisecond
		gracePeriod = 6 * time.Second
		firstOrder  = 3200 * time.Millisecond
		lastOrder   = gracePeriod - 450*time.Millisecond // The connections are closed soon after.
	)
	upstream := &workingUpstream{work: work, ran: make(map[string]bool)}
	g := startBeforeStop(t, gracePeriod, upstream)

	var clients [orders + 1]*keptConnection
	var opened sync.WaitGroup
	for n := range clients {
		opened.Go(func() { clients[n] = newKeptConnection(t, g.clientListener.Addr().String()) })
	}
	opened.Wait()
	qt.Assert(t, t.Failed(), qt.IsFalse)
	go func() { _, _ = clients[orders].send("/long", "long") }() // Keeps the instance up to the end of the grace period.
	eventually(t, "the long request", func() bool { return g.requests.Running() == 1 })
	stopped := time.Now()
	go func() { _ = g.app.Stop() }()
	var mu sync.Mutex
	statuses := make(map[string]int) // statuses holds the statuses of the complete responses.
	for n, c := range clients[:orders] {
		go func() {
			time.Sleep(time.Until(stopped.Add(firstOrder + (lastOrder-firstOrder)*time.Duration(n)/(orders-1))))
			if status, err := c.send("/desk/1", orderID(n)); err == nil {
				mu.Lock()
				defer mu.Unlock()
				statuses[orderID(n)] = status
			}
		}()
	}
	_ = g.Wait() // The long request is cut off. The process exits now, which closes all connections.
	mu.Lock()
	defer mu.Unlock()
	for n := range orders {
		status, answered := statuses[orderID(n)]
		ran := upstream.hasRun(orderID(n))
		qt.Check(t, ran && !answered, qt.IsFalse, qt.Commentf("%s ran and was not answered", orderID(n)))
		qt.Check(t, ran && status == http.StatusServiceUnavailable, qt.IsFalse, qt.Commentf("%s ran and was refused", orderID(n)))
	}
	qt.Check(t, statuses[orderID(0)], qt.Equals, http.StatusOK, qt.Commentf("an order that ends long before the exit"))
}

func orderID(n int) string { return fmt.Sprint("order-", n) }

// TestStopFollowsTheSteadyClock guards against a stop that accepts requests until after its end, or refuses them at once, since the time
// of day jumps.
func TestStopFollowsTheSteadyClock(t *testing.T) {
	g := &Gateway{settings: Settings{GracePeriod: time.Minute}}
	qt.Assert(t, g.mustEndBy().IsZero(), qt.IsTrue)
	started := time.Now().Add(-longRequestCutoff - time.Second)
	g.stoppingSince.Store(&started)
	end := g.mustEndBy()
	qt.Assert(t, end.Sub(started), qt.Equals, time.Minute-killMargin)
	qt.Assert(t, end.String(), qt.Contains, "m=", qt.Commentf("the end has no reading of the steady clock"))
}

// TestStoreReadsFollowTheSteadyClock guards against a store that counts as failed for as long as the time of day has jumped back.
func TestStoreReadsFollowTheSteadyClock(t *testing.T) {
	store := newFilledStore()
	g := start(t, "i1", store, &fakeTargetControl{store: store})
	eventually(t, "a read of the targets", func() bool { return g.targetsReadAt.Load() != nil })
	readAt := *g.targetsReadAt.Load()
	store.setDown(true)
	eventually(t, "a failed read", func() bool { return g.storeFailedAt.Load() != nil })
	for _, at := range []time.Time{readAt, *g.storeFailedAt.Load()} {
		qt.Check(t, at.String(), qt.Contains, "m=", qt.Commentf("no reading of the steady clock"))
	}
}

// keptConnection is a client's connection that was used before and stays open.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newKeptConnection(t *testing.T, address string) *keptConnection {
	conn, err := net.Dial("tcp", address)
	if !qt.Check(t, err, qt.IsNil) {
		return nil
	}
	t.Cleanup(func() { _ = conn.Close() })
	c := &keptConnection{conn: conn, reader: bufio.NewReader(conn)}
	status, err := c.send("/desk/1", "before the stop")
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	return c
}

// send sends a request and returns the status of the complete response.
func (c *keptConnection) send(path, id string) (status int, err error) {
	if _, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", path, id); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// TestStopWithinShortGracePeriod guards against a stop that outlasts a short grace period and is killed while it takes requests.
func TestStopWithinShortGracePeriod(t *testing.T) {
	const gracePeriod = 2 * time.Second
	g := startBeforeStop(t, gracePeriod, &workingUpstream{ran: make(map[string]bool)})
	stopped := time.Now()
	go func() { _ = g.app.Stop() }()
	_ = g.Wait()
	took := time.Since(stopped)
	qt.Check(t, took < gracePeriod, qt.IsTrue, qt.Commentf("the stop took %v", took))
	stopped = time.Now().Add(-gracePeriod / 2)
	g.stoppingSince.Store(&stopped)
	qt.Check(t, g.mustEndBy().Sub(stopped), qt.Equals, gracePeriod-killMargin, qt.Commentf("requests of any length are taken until the end"))
}

// TestStopAnswersRequestsThatAreCutOff guards against a stop that closes a client's connection without telling that the order it has sent
// to a target gets no response.
func TestStopAnswersRequestsThatAreCutOff(t *testing.T) {
	const gracePeriod = 800 * time.Millisecond // The route's timeout is later than the exit.
	upstream := &workingUpstream{ran: make(map[string]bool)}
	g := startBeforeStop(t, gracePeriod, upstream)
	c := newKeptConnection(t, g.clientListener.Addr().String())
	qt.Assert(t, t.Failed(), qt.IsFalse)
	upstream.work = time.Minute

	type result struct {
		status int
		err    error
	}
	results := make(chan result, 1)
	go func() {
		status, err := c.send("/desk/1", "order")
		results <- result{status, err}
	}()
	eventually(t, "the order", func() bool { return upstream.hasRun("order") })
	go func() { _ = g.app.Stop() }()
	_ = g.Wait()
	_ = c.conn.SetReadDeadline(time.Now()) // The process exits now, which closes all connections.
	got := <-results
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.status, qt.Equals, http.StatusBadGateway)
}
