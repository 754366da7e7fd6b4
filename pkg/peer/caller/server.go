// Package caller is the HTTP server for clients: it implements the OpenAI chat completions protocol and forwards
// requests to plain services.
//
//   - POST /v1/chat/completions responds with one JSON object or with server-sent events.
//   - GET /v1/models lists the pipelines of the client's workspace, and GET /v1/models/<name> returns one of them. What
//     the protocol calls a model is a pipeline of the configuration, which names the model that engines run.
//   - Any method on /services/<service>/<path> is forwarded to a service of the client's workspace.
//
// Clients authenticate with "Authorization: Bearer <key>". The headers Cuminroute-Priority and Cuminroute-Timeout
// can lower the configured values but not raise them. A refusal is sent immediately, as JSON with a stable code,
// the outcome and the time to wait before a retry.
//
// Usage:
//
//	server := caller.New(snapshot, runner, services, caller.WithAdmissionController(controller),
//		caller.WithDrain(&counter))
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
	"github.com/cuminroute/cuminroute/pkg/decision/bytebudget"
	"github.com/cuminroute/cuminroute/pkg/drain"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/service"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/requestbody"
	"github.com/cuminroute/cuminroute/pkg/stream"
)

// Runner runs inference requests. It is implemented by stream.Runner.
type Runner interface {
	Run(ctx context.Context, req stream.Request, emit func(stream.Token) error) (stream.Summary, error)
}

// Services sends service requests. It is implemented by service.Client.
type Services interface {
	Do(ctx context.Context, req service.Request) (service.Response, error)
}

// AdmissionRequest describes an inference request for admission control.
type AdmissionRequest struct {
	ID        string
	Workspace string
	Weight    int
	Priority  configuration.Priority
	Cost      float64 // Cost is the estimated number of prompt and output tokens.
	Deadline  time.Time
}

// AdmissionController admits inference requests. It is implemented by an adapter of admission.Controller.
type AdmissionController interface {
	// Acquire waits until the request may run. The server calls release when the request has ended. An error without a
	// refusal in its chain means that the request was not run and may be retried soon.
	Acquire(ctx context.Context, req AdmissionRequest) (release func(), err error)
}

const (
	// DefaultMaxBodyBytes limits the request body. A prompt of 4 MiB exceeds the context of any model in use.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultMaxHeaderBytes limits the total size of the request headers.
	DefaultMaxHeaderBytes = 16 << 10
	// DefaultMaxTokens limits the output tokens of a request, also of a request that sets no limit itself.
	DefaultMaxTokens = 4096
	// DefaultBodyBudget limits the bytes of the bodies of all requests together.
	DefaultBodyBudget = 256 << 20
	// writeTimeout limits one write of response data, which blocks if the client does not read.
	writeTimeout = 30 * time.Second
	// admissionRetryAfter is sent if the admission controller gives no time to wait before a retry.
	admissionRetryAfter = time.Second
)

// Server is the HTTP handler for client requests.
type Server struct {
	snapshot    func() *configuration.Configuration
	runner      Runner
	services    Services
	admission   AdmissionController
	drain       *drain.Counter
	fingerprint func(workspace string, content []byte) uint64
	now         func() time.Time
	logger      *log.Logger
	registry    metrics.Registry
	requests    metrics.Meter
	refused     metrics.Counter
	firstToken  metrics.Timer
	bodies      *requestbody.Reader
	maxBody     int64
	maxTokens   int
}

// Option configures a Server.
type Option func(*Server)

// WithAdmissionController sets the admission controller for inference requests. By default all are admitted.
func WithAdmissionController(c AdmissionController) Option {
	return func(s *Server) { s.admission = c }
}

// WithDrain counts running requests in c. During a graceful shutdown, c refuses new requests.
func WithDrain(c *drain.Counter) Option {
	return func(s *Server) { s.drain = c }
}

// WithFingerprint sets the function that computes a request's fingerprint, such as quarantine.Fingerprint.
func WithFingerprint(f func(workspace string, content []byte) uint64) Option {
	return func(s *Server) { s.fingerprint = f }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(s *Server) { s.now = now }
}

// WithLogger sets the logger.
func WithLogger(l *log.Logger) Option {
	return func(s *Server) { s.logger = l }
}

// WithRegistry sets the metrics registry.
func WithRegistry(r metrics.Registry) Option {
	return func(s *Server) { s.registry = r }
}

// WithMaxBodyBytes limits the request body.
func WithMaxBodyBytes(n int64) Option {
	return func(s *Server) { s.maxBody = n }
}

// WithBodies sets the reader of request bodies. By default all bodies together are limited to DefaultBodyBudget.
func WithBodies(r *requestbody.Reader) Option {
	return func(s *Server) { s.bodies = r }
}

// WithMaxTokens limits the output tokens of a request, also of a request that sets no limit itself.
func WithMaxTokens(n int) Option {
	return func(s *Server) { s.maxTokens = n }
}

// New returns a server that calls snapshot for each request to get the active configuration.
func New(snapshot func() *configuration.Configuration, runner Runner, services Services, options ...Option) *Server {
	s := &Server{
		snapshot: snapshot, runner: runner, services: services, admission: unlimitedAdmission{}, drain: &drain.Counter{},
		fingerprint: defaultFingerprint, now: time.Now, logger: &log.DefaultLogger,
		bodies: requestbody.New(bytebudget.New(DefaultBodyBudget)), maxBody: DefaultMaxBodyBytes, maxTokens: DefaultMaxTokens,
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

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Mark(1)
	x := newExchange(s, w, r)
	w.Header().Set("X-Request-Id", x.id)
	err := s.serve(x)
	x.held.Release()
	if err != nil {
		x.sendRefusal(refusal.FromError(err))
	}
	x.log(err)
}

func (s *Server) serve(x *exchange) error {
	if err := x.validateHeaders(); err != nil {
		return err
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	path := x.request.URL.Path
	if path == "/v1/models" || strings.HasPrefix(path, "/v1/models/") {
		return s.handleModels(x)
	}
	leave, err := s.drain.Enter()
	if err != nil {
		return err
	}
	defer leave()
	switch {
	case path == "/v1/chat/completions":
		return s.handleChat(x)
	case strings.HasPrefix(path, "/services/"):
		return s.handleService(x)
	default:
		return refusal.New(http.StatusNotFound, "not_found", outcome.NotRun, "there is nothing at %s", path)
	}
}

func defaultFingerprint(workspace string, content []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(content)
	return d.Sum64()
}

type unlimitedAdmission struct{}

func (unlimitedAdmission) Acquire(context.Context, AdmissionRequest) (func(), error) {
	return func() {}, nil
}
