// Package operator is the HTTP API of the operators: the handler that an instance serves and the
// client that the command line uses. The messages are in package api.
//
// The handler depends on small interfaces (Log, Fleet, Drains, Authenticator), so that the process
// around it decides where the state comes from. Every request needs "Authorization: Bearer" with
// the key of an operator.
//
// Usage:
//
//	server := operator.NewServer(log, fleet, drains, authenticator)
//	kratosServer.HandlePrefix(api.Prefix, server)
//
//	client := operator.NewClient("http://127.0.0.1:8081", key)
//	head, err := client.Apply(ctx, change)
package operator

import (
	"net/http"

	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

// DefaultBodyLimit is the largest request body in bytes. A whole configuration of 3,800 workspaces
// of 2 KB takes 7.6 MB; the limit leaves four times that.
const DefaultBodyLimit = 32 << 20

// Server is the handler of the operator API.
type Server struct {
	log       ConfigLog
	fleet     Fleet
	drains    Drainer
	operators Authenticator
	bodyLimit int64
	mux       *http.ServeMux
}

// Option changes a Server.
type Option func(*Server)

// WithBodyLimit sets the largest request body in bytes.
func WithBodyLimit(bytes int64) Option {
	return func(s *Server) { s.bodyLimit = bytes }
}

// NewServer returns a handler for every path below api.Prefix.
func NewServer(log ConfigLog, fleet Fleet, drains Drainer, operators Authenticator, opts ...Option) *Server {
	s := &Server{log: log, fleet: fleet, drains: drains, operators: operators, bodyLimit: DefaultBodyLimit}
	for _, opt := range opts {
		opt(s)
	}
	s.mux = http.NewServeMux()
	s.routes()
	return s
}

func (s *Server) routes() {
	s.handle(http.MethodGet, api.ConfigurationPath, s.getConfiguration)
	s.handle(http.MethodPut, api.ConfigurationPath, s.putConfiguration)
	s.handle(http.MethodGet, api.HistoryPath, s.getHistory)
	s.handle(http.MethodPost, api.RollbackPath, s.postRollback)
	s.handle(http.MethodGet, api.StatePath, s.getState)
	s.handle(http.MethodGet, api.StatesPath, s.getStates)
	s.handle(http.MethodGet, api.DrainPath, s.getDrains)
	s.handle(http.MethodPost, api.DrainPath, s.postDrain)
	s.handle(http.MethodDelete, api.DrainPath, s.deleteDrain)
	s.handle(http.MethodGet, api.PipelinesPath, s.getPipelines)
	s.handle(http.MethodGet, api.PlanPath, s.getPlan)
	s.handle(http.MethodGet, api.InstancesPath, s.getInstances)
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, notFound("there is no "+r.Method+" "+r.URL.Path))
	})
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// call is one authenticated request.
type call struct {
	request  *http.Request
	operator string
}

// handle registers a function whose result is the JSON body of the answer.
func (s *Server) handle(method, path string, f func(call) (any, error)) {
	s.mux.HandleFunc(method+" "+path, func(w http.ResponseWriter, r *http.Request) {
		name, ok := s.authenticate(r)
		if !ok {
			s.refuse(w, unauthorized())
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, s.bodyLimit)
		result, err := f(call{request: r, operator: name})
		if err != nil {
			s.refuse(w, err)
			return
		}
		s.answer(w, http.StatusOK, result)
	})
}

func (s *Server) authenticate(r *http.Request) (string, bool) {
	key, ok := bearer(r)
	if !ok {
		return "", false
	}
	return s.operators.AuthenticateOperator(key)
}
