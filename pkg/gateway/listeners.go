package gateway

import (
	"net"
	"net/http"
	"net/url"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/listener"
	"github.com/cuminroute/cuminroute/pkg/metricspage"
)

func (s *Gateway) listen() error {
	var err error
	if s.callersAt, err = net.Listen("tcp4", s.settings.ClientAddress.String()); err != nil {
		return errListen.Wrap(err, "the callers' address cannot be used")
	}
	if s.readyAt, err = net.Listen("tcp4", s.settings.ReadinessAddress.String()); err != nil {
		_ = s.callersAt.Close()
		return errListen.Wrap(err, "the address for readiness cannot be used")
	}
	if s.operatorsAt, err = net.Listen("tcp4", s.settings.OperatorAddress.String()); err != nil {
		_ = s.callersAt.Close()
		_ = s.readyAt.Close()
		return errListen.Wrap(err, "the operators' address cannot be used")
	}
	return nil
}

// newListener returns a server whose endpoint is given: finding one would list the machine's network interfaces.
func newListener(l net.Listener) *khttp.Server {
	return listener.New(khttp.Listener(l), khttp.Endpoint(&url.URL{Scheme: "http", Host: l.Addr().String()}))
}

// timeouts are those of the configuration in force.
func (s *Gateway) timeouts() listener.Timeouts {
	limits := s.limits()
	return listener.Timeouts{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout}
}

// readiness answers the load balancer.
func (s *Gateway) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(s.platform.ReadyPath, s.serveReady)
	return mux
}

// inspection answers operators.
func (s *Gateway) inspection() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", metricspage.New(s.registry))
	mux.HandleFunc("/state", s.serveState)
	mux.HandleFunc("/ready", s.serveReady)
	return mux
}

// Ready reports whether callers may be sent here.
func (s *Gateway) Ready() bool {
	return !s.stopping.Load() && s.knowledge.Snapshot() != nil && s.listed.Load() && s.knowledge.Fresh()
}

func (s *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// limits are those of the configuration in force on what callers send.
func (s *Gateway) limits() catalogue.Limits {
	if v := s.knowledge.Snapshot(); v != nil {
		return v.Catalogue.Limits
	}
	return catalogue.Limits{}
}
