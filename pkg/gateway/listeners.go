package gateway

import (
	"net"
	"net/http"
	"net/url"
	"runtime/pprof"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/listener"
	"github.com/cuminroute/cuminroute/pkg/metricspage"
)

// fullStacks makes the goroutine profile list each goroutine with its state.
const fullStacks = 2

func (g *Gateway) listen() error {
	var err error
	if g.clientListener, err = net.Listen("tcp4", g.settings.ClientAddress.String()); err != nil {
		return errListen.Wrap(err, "cannot listen on the client address")
	}
	if g.readinessListener, err = net.Listen("tcp4", g.settings.ReadinessAddress.String()); err != nil {
		_ = g.clientListener.Close()
		return errListen.Wrap(err, "cannot listen on the readiness address")
	}
	if g.operatorListener, err = net.Listen("tcp4", g.settings.OperatorAddress.String()); err != nil {
		_ = g.clientListener.Close()
		_ = g.readinessListener.Close()
		return errListen.Wrap(err, "cannot listen on the operator address")
	}
	return nil
}

// newHTTPServer returns a server on the listener. The endpoint is given, since the framework would otherwise list the
// machine's network interfaces to derive it.
func newHTTPServer(l net.Listener) *khttp.Server {
	return listener.New(khttp.Listener(l), khttp.Endpoint(&url.URL{Scheme: "http", Host: l.Addr().String()}))
}

// timeouts returns the connection timeouts of the active configuration.
func (g *Gateway) timeouts() listener.Timeouts {
	limits := g.limits()
	return listener.Timeouts{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout}
}

// readinessHandler serves the load balancer's readiness probes.
func (g *Gateway) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(g.platform.ReadyPath, g.serveReady)
	return mux
}

// operatorHandler serves metrics, state, goroutine stacks and readiness to operators.
func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", metricspage.New(g.registry))
	mux.HandleFunc("/state", g.serveState)
	mux.HandleFunc("/goroutines", serveGoroutines)
	mux.HandleFunc("/ready", g.serveReady)
	return mux
}

// Ready reports whether the load balancer may send client requests to this instance.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.cache.Snapshot() != nil && g.targetsLoaded.Load() && g.cache.Fresh() &&
		!g.peers.awaitsPeers(time.Now())
}

// serveGoroutines writes the stacks of all goroutines, which show where a process hangs. They hold no content of requests.
func serveGoroutines(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = pprof.Lookup("goroutine").WriteTo(w, fullStacks) // If the write fails, the operator has left.
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// limits returns the active configuration's limits on client requests.
func (g *Gateway) limits() catalogue.Limits {
	if snapshot := g.cache.Snapshot(); snapshot != nil {
		return snapshot.Catalogue.Limits
	}
	return catalogue.Limits{}
}
