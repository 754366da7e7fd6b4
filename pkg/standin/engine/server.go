// Package engine is a stand-in for a model engine. It speaks the published engine protocol on
// loopback, batches continuously, and has faults that a test or another process switches on.
//
// A token is right only where every layer ran once per position and in order: each layer folds
// its number and its state into the activation. Answer computes the right texts directly.
//
// Usage:
//
//	s, err := engine.New(engine.WithModel("darning", 32, layer.Range{First: 0, End: 16}))
//	defer s.Close()
//	s.Freeze(true)
//	for _, e := range s.Executions() { ... }
package engine

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// CrashMarker in a prompt kills the engine that runs the prompt.
const CrashMarker = "CRASH-THE-ENGINE"

// Execution is one step that ran: the layers [Layers.First, Layers.End) for Count positions from Position on.
type Execution struct {
	Target     string
	Request    string
	Prompt     string // Prompt is set for the first stage of a prefill.
	Generation uint32
	Position   int
	Count      int
	Layers     layer.Range
	At         time.Time
}

// PrefillStats counts the positions of prefills, and those of them that the prefix cache held.
type PrefillStats struct {
	Positions int
	Cached    int
	Events    int // Events is the number of cache events since the last restart, lost ones included.
}

// Server is a stand-in engine.
type Server struct {
	options options
	address netip.AddrPort
	wake    chan struct{}
	closed  chan struct{}
	once    sync.Once
	due     time.Time // due belongs to the goroutine that runs the batches.

	mu         sync.Mutex
	http       *http.Server
	alive      bool
	life       int           // life counts restarts.
	frozen     chan struct{} // frozen is closed when the engine thaws, and nil while it runs.
	leaving    bool
	link       Link
	lose       int
	held       holding
	queue      []*work
	running    int
	kv         *kvMemory
	prefixes   *prefixCache
	samples    []loadSample
	stepTime   time.Duration
	executions []Execution
	prefilled  PrefillStats
	crashed    []string
	refused    []time.Time // refused is when each prefill was refused since the engine leaves.
}

// New starts an engine.
func New(opts ...Option) (*Server, error) {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	s := &Server{options: o, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	s.address = o.address
	s.held = holding{model: o.model, version: o.version, layers: o.layers, role: "Decode"}
	if err := s.Restart(); err != nil {
		return nil, err
	}
	go s.iterate()
	go s.sampleLoad()
	return s, nil
}

// Addr returns the address that the engine listens at. It stays the same over Kill and Restart.
func (s *Server) Addr() netip.AddrPort { return s.address }

// Name returns the engine's name.
func (s *Server) Name() string { return s.options.name }

// Restart listens again after Kill, with empty memory and without faults.
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
	s.reset()
	s.http = &http.Server{Handler: s.handler()}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.http)
	return nil
}

func (s *Server) reset() {
	s.alive, s.leaving, s.link, s.lose = true, false, Link{}, 0
	s.queue = nil
	s.life++
	s.kv = newKvMemory(s.options.generations)
	s.prefixes = newPrefixCache(s.options)
}

// Kill closes the listener and breaks every connection at once. Queued and running steps are lost.
func (s *Server) Kill() {
	s.mu.Lock()
	server := s.http
	wasAlive := s.alive
	s.alive, s.queue = false, nil
	s.thaw()
	s.mu.Unlock()
	if wasAlive {
		_ = server.Close()
	}
}

// Freeze stops the engine without closing connections, or lets it go on where it stopped.
func (s *Server) Freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !on {
		s.thaw()
	} else if s.frozen == nil && s.alive {
		s.frozen = make(chan struct{})
	}
}

func (s *Server) thaw() {
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

// Leave announces in reports that the engine leaves and refuses the prefill of new requests.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// LoseAnswers breaks the connection instead of sending the results of the next n steps, which do run.
func (s *Server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// SetLink sets latency and bandwidth of the link to the engine.
func (s *Server) SetLink(l Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link = l
}

// Alive reports whether the engine has not been killed or crashed.
func (s *Server) Alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive
}

// Executions returns every step that ran, in order, over restarts.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// PrefillStats returns the counts over restarts.
func (s *Server) PrefillStats() PrefillStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.prefilled
	p.Events = int(s.prefixes.sequence)
	return p
}

// Report returns what the engine reports.
func (s *Server) Report() *enginepb.Report {
	return s.report(time.Now())
}

// Crashes returns the prompt of each request that crashed the engine.
func (s *Server) Crashes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.crashed...)
}

// RefusalsWhileLeaving returns when each prefill was refused since the engine leaves.
func (s *Server) RefusalsWhileLeaving() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.refused...)
}

// Close stops the engine and its goroutines.
func (s *Server) Close() {
	s.once.Do(func() { close(s.closed) })
	s.Kill()
}

// waitThawed blocks while the engine is frozen, until it thaws or is closed.
func (s *Server) waitThawed() {
	for {
		s.mu.Lock()
		frozen := s.frozen
		s.mu.Unlock()
		if frozen == nil {
			return
		}
		select {
		case <-frozen:
		case <-s.closed:
			return
		}
	}
}
