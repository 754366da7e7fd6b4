// Package service is a stand-in for the order and stock services on loopback. It counts how often
// each idempotency key was executed, and has faults that a test or another process switches on.
//
// Every request whose method is not GET or HEAD executes an order; the others look up stock. The
// service doesn't deduplicate idempotency keys, since the router has to prevent repeated executions.
//
// Usage:
//
//	s, err := service.New("orders")
//	defer s.Close()
//	s.SetFaults(service.Faults{CrashAfter: true})
//	for key, n := range s.Executed() { ... }
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// KeyHeader names the header that identifies a request that may not be repeated.
const KeyHeader = "Idempotency-Key"

// requestIDHeader carries the ID of a request, which the response echoes.
const requestIDHeader = "X-Request-Id"

// RequestLimitHeader names the requests a second that the service takes from all instances together.
const RequestLimitHeader = "Cuminroute-Request-Limit"

// Response is the body of a successful response. It echoes the request, so that a client can
// detect the response to another request.
type Response struct {
	Service string `json:"Service"`
	Path    string `json:"Path"`
	Key     string `json:"Key"`
	Content string `json:"Content"`
	Number  int    `json:"Number"` // Number is the sequence number of the request at this service.
}

// Faults are the active faults. The zero value has none.
type Faults struct {
	Delay       time.Duration `json:"Delay,omitempty"` // Delay is the time from receipt to execution, in nanoseconds.
	Freeze      bool          `json:"Freeze,omitempty"`
	CrashBefore bool          `json:"CrashBefore,omitempty"` // CrashBefore kills the service at the next request, before it is executed.
	CrashAfter  bool          `json:"CrashAfter,omitempty"`  // CrashAfter kills the service at the next request, after it is executed and before the response.
	LoseAnswers int           `json:"LoseAnswers,omitempty"` // LoseAnswers is how many of the next requests are executed without a response.
	Kill        bool          `json:"Kill,omitempty"`        // Kill breaks all connections at once.
	// RequestLimit is the number of requests a second that responses name, 0 if they name none.
	RequestLimit float64 `json:"RequestLimit,omitempty"`
}

// Server is a stand-in service.
type Server struct {
	name    string
	address netip.AddrPort

	mu           sync.Mutex
	http         *http.Server
	alive        bool
	faults       Faults
	unfrozen     chan struct{}
	executed     map[string]int
	arrivals     []time.Time
	requestCount int
}

// Option sets a property of a stand-in service.
type Option func(*Server)

// WithAddress sets the loopback address to listen at. The default is a free port.
func WithAddress(a netip.AddrPort) Option {
	return func(s *Server) { s.address = a }
}

// New starts a service.
func New(name string, options ...Option) (*Server, error) {
	s := &Server{name: name, executed: map[string]int{}, address: netip.MustParseAddrPort("127.0.0.1:0"), unfrozen: make(chan struct{})}
	for _, option := range options {
		option(s)
	}
	return s, s.Restart()
}

// Addr returns the listen address, which stays the same across Kill and Restart.
func (s *Server) Addr() netip.AddrPort { return s.address }

// Restart listens again after Kill or a crash, without faults. The counters are kept.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.alive {
		return nil
	}
	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return err
	}
	s.address = listener.Addr().(*net.TCPAddr).AddrPort()
	s.alive, s.faults = true, Faults{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.serveFaults)
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{Handler: mux}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.http)
	return nil
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	close(s.unfrozen)
	s.unfrozen = make(chan struct{})
	s.mu.Unlock()
	if f.Kill {
		s.Kill()
	}
}

// Kill closes the listener and breaks every connection at once.
func (s *Server) Kill() {
	s.mu.Lock()
	server := s.http
	s.alive = false
	s.mu.Unlock()
	_ = server.Close()
}

// Executed returns how often each idempotency key was executed.
func (s *Server) Executed() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executed)
}

// ArrivalTimes returns the arrival time of each request.
func (s *Server) ArrivalTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivals...)
}

// Close stops the service.
func (s *Server) Close() {
	s.SetFaults(Faults{Kill: true})
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.waitFaults(r)
	response, lost := s.execute(r, string(content))
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
	if limit := s.requestLimit(); limit > 0 {
		w.Header().Set(RequestLimitHeader, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	_ = json.NewEncoder(w).Encode(response)
}

func (s *Server) requestLimit() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.RequestLimit
}

// waitFaults records the arrival and waits while the service is frozen, then for the delay fault.
func (s *Server) waitFaults(r *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	for {
		s.mu.Lock()
		faults, unfrozen := s.faults, s.unfrozen
		s.mu.Unlock()
		if !faults.Freeze {
			time.Sleep(faults.Delay)
			return
		}
		select {
		case <-unfrozen:
		case <-r.Context().Done():
			// The request still runs after the service is unfrozen, although its client is gone.
			<-unfrozen
		}
	}
}

// execute runs the request once, and reports whether its response is lost.
func (s *Server) execute(r *http.Request, content string) (Response, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crash := s.faults.CrashBefore || s.faults.CrashAfter
	if !s.alive || s.faults.CrashBefore {
		s.crash()
		return Response{}, true
	}
	key := r.Header.Get(KeyHeader)
	s.requestCount++
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.executed[key]++
	}
	if crash {
		s.crash()
	}
	lost := crash || s.faults.LoseAnswers > 0
	s.faults.LoseAnswers = max(0, s.faults.LoseAnswers-1)
	return Response{Service: s.name, Path: r.URL.Path, Key: key, Content: content, Number: s.requestCount}, lost
}

func (s *Server) crash() {
	s.alive = false
	go func(h *http.Server) { _ = h.Close() }(s.http)
}
