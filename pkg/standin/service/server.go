// Package service is a stand-in for the order and stock services on loopback. It counts how often
// each idempotency key was executed, and has faults that a test or another process switches on.
//
// Every request whose method is not GET or HEAD executes an order; the others look up stock. The
// service doesn't recognise a repeated key: that is for the router to prevent.
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
	"sync"
	"time"
)

// KeyHeader names the header that identifies a request that may not be repeated.
const KeyHeader = "Idempotency-Key"

// Response is the body of a successful response. It repeats what was asked, so that a caller can
// tell an answer to another request.
type Response struct {
	Service string `json:"Service"`
	Path    string `json:"Path"`
	Key     string `json:"Key"`
	Content string `json:"Content"`
	Number  int    `json:"Number"` // Number counts the requests of this service.
}

// Faults are the faults in force. The zero value has none.
type Faults struct {
	Delay       time.Duration `json:"Delay,omitempty"` // Delay is the time from receipt to execution, in nanoseconds.
	Freeze      bool          `json:"Freeze,omitempty"`
	CrashBefore bool          `json:"CrashBefore,omitempty"` // CrashBefore kills the service at its next request, before the execution.
	CrashAfter  bool          `json:"CrashAfter,omitempty"`  // CrashAfter kills the service at its next request, after the execution and before the answer.
	LoseAnswers int           `json:"LoseAnswers,omitempty"` // LoseAnswers breaks this many connections after the execution.
	Kill        bool          `json:"Kill,omitempty"`        // Kill breaks all connections now.
}

// Server is a stand-in service.
type Server struct {
	name    string
	address netip.AddrPort

	mu       sync.Mutex
	http     *http.Server
	alive    bool
	faults   Faults
	thawed   chan struct{}
	executed map[string]int
	arrivals []time.Time
	number   int
}

// Option changes a stand-in service.
type Option func(*Server)

// WithAddress sets the loopback address to listen at. The default is a free port.
func WithAddress(a netip.AddrPort) Option {
	return func(s *Server) { s.address = a }
}

// New starts a service.
func New(name string, options ...Option) (*Server, error) {
	s := &Server{name: name, executed: map[string]int{}, address: netip.MustParseAddrPort("127.0.0.1:0"), thawed: make(chan struct{})}
	for _, option := range options {
		option(s)
	}
	return s, s.Restart()
}

// Addr returns the address, which stays the same over Kill and Restart.
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

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	close(s.thawed)
	s.thawed = make(chan struct{})
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

// ArrivalTimes returns when each request arrived.
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
	s.delay(r)
	answer, lost := s.execute(r, string(content))
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// delay waits for as long as the service is slow or frozen.
func (s *Server) delay(r *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	for {
		s.mu.Lock()
		faults, thawed := s.faults, s.thawed
		s.mu.Unlock()
		if !faults.Freeze {
			time.Sleep(faults.Delay)
			return
		}
		select {
		case <-thawed:
		case <-r.Context().Done():
			// A frozen service that thaws still runs what it has received.
			<-thawed
		}
	}
}

// execute runs the request once, and reports whether its answer is lost.
func (s *Server) execute(r *http.Request, content string) (Response, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crash := s.faults.CrashBefore || s.faults.CrashAfter
	if !s.alive || s.faults.CrashBefore {
		s.crash()
		return Response{}, true
	}
	key := r.Header.Get(KeyHeader)
	s.number++
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.executed[key]++
	}
	if crash {
		s.crash()
	}
	lost := crash || s.faults.LoseAnswers > 0
	s.faults.LoseAnswers = max(0, s.faults.LoseAnswers-1)
	return Response{Service: s.name, Path: r.URL.Path, Key: key, Content: content, Number: s.number}, lost
}

func (s *Server) crash() {
	s.alive = false
	go func(h *http.Server) { _ = h.Close() }(s.http)
}
