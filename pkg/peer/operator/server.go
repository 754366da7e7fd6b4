// Package operator is the HTTP API for operators: the handler that runs in an instance and the client
// that the command line uses. The messages are in package api.
//
// The handler gets its state through the interfaces ConfigLog, Fleet, Drainer and Authenticator. Every
// request needs the header "Authorization: Bearer" with the key of an operator.
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

// DefaultBodyLimit is the maximum size of a request body in bytes. A full configuration of 3,800
// workspaces of 2 KB takes 7.6 MB; the limit is about four times that.
const DefaultBodyLimit = 32 << 20

// Server is the HTTP handler of the operator API.
type Server struct {
	log       ConfigLog
	fleet     Fleet
	drains    Drainer
	operators Authenticator
	bodyLimit int64
	mux       *http.ServeMux
}

// Option configures a Server.
type Option func(*Server)

// WithBodyLimit sets the maximum size of a request body in bytes.
func WithBodyLimit(bytes int64) Option {
	return func(s *Server) { s.bodyLimit = bytes }
}

// NewServer returns a handler for all paths below api.Prefix.
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
		s.writeError(w, notFound("there is no "+r.Method+" "+r.URL.Path))
	})
}

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// operatorRequest is an authenticated request.
type operatorRequest struct {
	request  *http.Request
	operator string // operator is the operator's name.
}

// handle registers a handler function whose result is the JSON body of the response.
func (s *Server) handle(method, path string, f func(operatorRequest) (any, error)) {
	s.mux.HandleFunc(method+" "+path, func(w http.ResponseWriter, r *http.Request) {
		name, ok := s.authenticate(r)
		if !ok {
			s.writeError(w, unauthorized())
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, s.bodyLimit)
		result, err := f(operatorRequest{request: r, operator: name})
		if err != nil {
			s.writeError(w, err)
			return
		}
		s.writeJSON(w, http.StatusOK, result)
	})
}

// authenticate returns the name of the operator whose key the request has.
func (s *Server) authenticate(r *http.Request) (string, bool) {
	key, ok := bearerToken(r)
	if !ok {
		return "", false
	}
	return s.operators.AuthenticateOperator(key)
}
