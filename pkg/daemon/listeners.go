package daemon

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/phuslu/log"

	"github.com/cuminroute/cuminroute/pkg/decision/quarantine"
	"github.com/cuminroute/cuminroute/pkg/listener"
	"github.com/cuminroute/cuminroute/pkg/metricspage"
	"github.com/cuminroute/cuminroute/pkg/peer/caller"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/logbackend"
)

const (
	// operatorTimeout limits the time to read one operator request; a configuration can be 32 MB.
	operatorTimeout = time.Minute
)

func (d *Daemon) assembleListeners() error {
	tlsConfig, err := d.tlsConfig()
	if err != nil {
		return err
	}
	handler := caller.New(d.configuration.currentOrNil, d.runner, d.services, caller.WithAdmissionController(d.admission), caller.WithDrain(d.running),
		caller.WithFingerprint(quarantine.Fingerprint), caller.WithLogger(d.logger), caller.WithRegistry(d.registry))
	d.clientServer = d.newServer(d.clientListener, tlsConfig)
	d.clientServer.HandleFunc("/ready", d.serveReady)
	d.clientServer.HandlePrefix("/", handler)
	d.operatorServer = d.newServer(d.operatorListener, tlsConfig)
	d.operatorServer.ReadTimeout = operatorTimeout
	d.operatorServer.HandleFunc("/live", serveLive)
	d.operatorServer.HandleFunc("/ready", d.serveReady)
	d.operatorServer.Handle("/metrics", metricspage.New(d.registry))
	d.operatorServer.HandlePrefix(api.Prefix, operator.NewServer(logbackend.New(d.log), fleet{d}, drainer{d},
		operator.AuthenticatorFunc(d.authenticateOperator)))
	return nil
}

// tlsConfig loads the certificate of the settings; it returns nil if they have none.
func (d *Daemon) tlsConfig() (*tls.Config, error) {
	c := d.settings.Certificate
	if c.File == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(c.File, c.KeyFile)
	if err != nil {
		return nil, errListen.Wrap(err, "cannot load the certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// newServer returns a server on l whose internal errors go to the daemon's log. Without tlsConfig, it serves plain HTTP.
func (d *Daemon) newServer(l net.Listener, tlsConfig *tls.Config) *khttp.Server {
	options := []khttp.ServerOption{khttp.Listener(l)}
	if tlsConfig != nil {
		// Each server writes its protocols into its TLS configuration, so two servers must not share one.
		options = append(options, khttp.TLSConfig(tlsConfig.Clone()))
	}
	s := listener.New(options...)
	s.ErrorLog = d.logger.Std("", 0)
	return s
}

// authenticateOperator accepts the operators of the active configuration and those of the settings, who
// can make the first change.
func (d *Daemon) authenticateOperator(key string) (string, bool) {
	if name, ok := d.configuration.current().AuthenticateOperator(key); ok {
		return name, true
	}
	return d.bootstrap.AuthenticateOperator(key)
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func serveLive(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "live\n")
}

// kratosLogger writes the log lines of the application framework as JSON to the daemon's log.
type kratosLogger struct {
	logger *log.Logger
}

func newKratosLogger(l *log.Logger) klog.Logger {
	return kratosLogger{logger: l}
}

// Log implements klog.Logger.
func (k kratosLogger) Log(level klog.Level, pairs ...any) error {
	e := k.logger.WithLevel(log.ParseLevel(level.String()))
	for i := 0; i+1 < len(pairs); i += 2 {
		if name, ok := pairs[i].(string); ok {
			e = e.Any(name, pairs[i+1])
		}
	}
	e.Msg("framework")
	return nil
}
