// Package caller serves the callers: the published chat-completions protocol and the plain services.
//
//   - POST /v1/chat/completions answers whole or as server-sent events.
//   - GET /v1/models and GET /v1/models/<name> list the caller's pipelines.
//   - ANY /services/<service>/<path> reaches a service of the caller's workspace.
//
// A caller proves who it is by "Authorization: Bearer <key>". The headers Cuminroute-Priority and
// Cuminroute-Timeout may only lower what the configuration gives. A refusal is sent at once, as JSON
// with a stable code, the outcome and the time to come back.
//
// Usage:
//
//	server := caller.New(snapshot, runner, services, caller.WithAdmissionController(controller), caller.WithDrain(&counter))
//	listener := listener.New(khttp.Address("127.0.0.1:8080"))
//	listener.HandlePrefix("/", server)
//	err := listener.Start(ctx)
package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/drain"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/service"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/stream"
)

// Runner produces answers. It is stream.Runner.
type Runner interface {
	Run(ctx context.Context, req stream.Request, emit func(stream.Token) error) (stream.Summary, error)
}

// Services sends service requests. It is service.Client.
type Services interface {
	Do(ctx context.Context, req service.Request) (service.Response, error)
}

// AdmissionRequest asks for admission of an answer.
type AdmissionRequest struct {
	ID        string
	Workspace string
	Weight    int
	Priority  configuration.Priority
	Cost      float64 // Cost is the estimated number of tokens.
	Deadline  time.Time
}

// AdmissionController admits answers. It is admission.Controller behind an adapter. An error without a refusal in its chain
// means that the request was not run and may come back soon.
type AdmissionController interface {
	Acquire(ctx context.Context, t AdmissionRequest) (release func(), err error)
}

const (
	// DefaultMaxBodyBytes bounds a request's body. A prompt of 4 MiB exceeds the context of any model in use.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultMaxHeaderBytes bounds a request's headers.
	DefaultMaxHeaderBytes = 16 << 10
	// DefaultMaxTokens applies where a request does not say how long its answer may be.
	DefaultMaxTokens = 4096
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 30 * time.Second
	// gateRetryAfter applies where the gate does not say when to come back.
	gateRetryAfter = time.Second
)

// Server is the HTTP handler for callers.
type Server struct {
	snapshot    func() *configuration.Configuration
	answerer    Runner
	services    Services
	gate        AdmissionController
	drain       *drain.Counter
	fingerprint func(workspace string, content []byte) uint64
	now         func() time.Time
	logger      *log.Logger
	registry    metrics.Registry
	requests    metrics.Meter
	refused     metrics.Counter
	firstToken  metrics.Timer
	maxBody     int64
	maxTokens   int
}

// Option changes a server.
type Option func(*Server)

// WithAdmissionController asks g to admit each answer.
func WithAdmissionController(g AdmissionController) Option {
	return func(s *Server) { s.gate = g }
}

// WithDrain counts requests in c, which refuses them during a planned stop.
func WithDrain(c *drain.Counter) Option {
	return func(s *Server) { s.drain = c }
}

// WithFingerprint sets the function that names a request's content, quarantine.Fingerprint.
func WithFingerprint(f func(workspace string, content []byte) uint64) Option {
	return func(s *Server) { s.fingerprint = f }
}

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(s *Server) { s.now = now }
}

// WithLogger replaces the logger.
func WithLogger(l *log.Logger) Option {
	return func(s *Server) { s.logger = l }
}

// WithRegistry sets the registry that holds the server's metrics.
func WithRegistry(r metrics.Registry) Option {
	return func(s *Server) { s.registry = r }
}

// WithMaxBodyBytes bounds a request's body, in bytes.
func WithMaxBodyBytes(n int64) Option {
	return func(s *Server) { s.maxBody = n }
}

// WithMaxTokens sets the longest answer, which is also that of a request that does not ask for a length.
func WithMaxTokens(n int) Option {
	return func(s *Server) { s.maxTokens = n }
}

// New returns a server that reads the configuration in force from snapshot for each request.
func New(snapshot func() *configuration.Configuration, answerer Runner, services Services, options ...Option) *Server {
	s := &Server{
		snapshot: snapshot, answerer: answerer, services: services, gate: openGate{}, drain: &drain.Counter{},
		fingerprint: hashOf, now: time.Now, logger: &log.DefaultLogger,
		maxBody: DefaultMaxBodyBytes, maxTokens: DefaultMaxTokens,
	}
	for _, option := range options {
		option(s)
	}
	if s.registry == nil {
		s.registry = metrics.NewRegistry()
	}
	s.requests = metrics.GetOrRegisterMeter("caller.requests", s.registry)
	s.refused = metrics.GetOrRegisterCounter("caller.refused", s.registry)
	s.firstToken = metrics.GetOrRegisterTimer("caller.first_token", s.registry)
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Mark(1)
	x := newExchange(s, w, r)
	w.Header().Set("X-Request-Id", x.id)
	err := s.serve(x)
	if err != nil {
		x.refuse(refusal.FromError(err))
	}
	x.log(err)
}

func (s *Server) serve(x *exchange) error {
	if err := x.checkHeader(); err != nil {
		return err
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	path := x.request.URL.Path
	if path == "/v1/models" || strings.HasPrefix(path, "/v1/models/") {
		return s.models(x)
	}
	leave, err := s.drain.Enter()
	if err != nil {
		return err
	}
	defer leave()
	switch {
	case path == "/v1/chat/completions":
		return s.chat(x)
	case strings.HasPrefix(path, "/services/"):
		return s.service(x)
	default:
		return refusal.New(http.StatusNotFound, "not_found", outcome.NotRun, "there is nothing at %s", path)
	}
}

func hashOf(workspace string, content []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(content)
	return d.Sum64()
}

type openGate struct{}

func (openGate) Acquire(context.Context, AdmissionRequest) (func(), error) { return func() {}, nil }
