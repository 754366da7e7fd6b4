// Package platform is a stand-in for the platform's services: the table service, the object
// store, the instance list and the weight store. It keeps everything in memory.
//
// Each role has its own faults (latency, outage, responses lost after the write took effect, a
// rate limit, and a lag of the instance list). They are set with SetFaults or, from another
// process, with PUT /faults. GET /faults returns them, and GET /counts returns how many reads and
// writes the table ran.
//
// Usage:
//
//	s, err := platform.New()
//	defer s.Close()
//	c := table.New(s.URL())
//	s.SetFaults(platform.Faults{Table: platform.Fault{LoseAnswers: 1}})
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/peer/instancelist"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

// Server serves all roles on one address.
type Server struct {
	address  string
	listener net.Listener
	http     *http.Server
	table    *tableStore
	objects  *objectStore
	list     *instanceStore
	faults   *faultInjector
}

// Option sets a property of a Server before it starts.
type Option func(*Server)

// WithAddress sets the listen address. The default is a free port of the loopback interface.
func WithAddress(a netip.AddrPort) Option {
	return func(s *Server) { s.address = a.String() }
}

// WithSeed seeds the random choice of the requests that faults apply to.
func WithSeed(seed uint64) Option {
	return func(s *Server) { s.faults.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New starts a server.
func New(opts ...Option) (*Server, error) {
	s := &Server{
		address: "127.0.0.1:0",
		table:   &tableStore{rows: map[string]table.Row{}},
		objects: &objectStore{objects: map[string][]byte{}},
		list:    &instanceStore{},
		faults:  &faultInjector{random: rand.New(rand.NewPCG(1, 1))},
	}
	for _, opt := range opts {
		opt(s)
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/transactions", s.faults.wrap(roleTable, http.HandlerFunc(s.table.serveTransaction)))
	mux.Handle("/v1/rows", s.faults.wrap(roleTable, http.HandlerFunc(s.table.serveScan)))
	mux.Handle("/v1/rows/", s.faults.wrap(roleTable, http.HandlerFunc(s.table.serveGet)))
	mux.Handle("/objects/", s.faults.wrap(roleObjects, s.objects))
	mux.Handle("GET /v1/instances", s.faults.wrap(roleList, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serveList(w, r, s.list.get(s.Faults().List.Lag))
	})))
	mux.HandleFunc("PUT /v1/instances", s.putInstances)
	mux.Handle("GET /weights/{model}/{version}/{layer}", s.faults.wrap(roleWeights, http.HandlerFunc(serveWeights)))
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return mux
}

// serveList responds with the list, or with 304 if the client has it already.
func serveList(w http.ResponseWriter, r *http.Request, list []instancelist.Instance) {
	body, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// Addr returns the listen address of the server.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// URL returns the base URL of every role.
func (s *Server) URL() string {
	return "http://" + s.listener.Addr().String()
}

// Close stops the server and closes its connections. It closes the listener itself: the HTTP server does not know the
// listener before its goroutine has started.
func (s *Server) Close() {
	_ = s.listener.Close()
	_ = s.http.Close()
}

// Faults returns the active faults of all roles.
func (s *Server) Faults() Faults {
	return s.faults.get()
}

// SetFaults replaces the faults of all roles.
func (s *Server) SetFaults(f Faults) {
	s.faults.set(f)
}

// Counts returns the number of requests that the table ran.
func (s *Server) Counts() Counts {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	return s.table.counts
}

// SetInstances replaces the instance list. Clients see it after the lag set in the faults.
func (s *Server) SetInstances(list []instancelist.Instance) {
	s.list.set(list)
}

func (s *Server) putInstances(w http.ResponseWriter, r *http.Request) {
	var list []instancelist.Instance
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetInstances(list)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if err := errors.Join(json.NewDecoder(r.Body).Decode(&f), f.validate()); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
