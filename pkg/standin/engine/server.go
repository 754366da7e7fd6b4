// Package engine is a stand-in for a model engine. It implements the published engine protocol on
// loopback with continuous batching, and has faults that a test or another process switches on.
//
// A token is correct only if every layer ran once per position and in order, since each layer mixes
// its number and its state into the activation. ExpectedOutput computes the correct texts directly.
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

// CrashMarker in a prompt crashes the engine that runs the prompt.
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

// PrefillStats counts the positions of prefills, and how many of them were in the prefix cache.
type PrefillStats struct {
	Positions int
	Cached    int
	Events    int // Events is the number of cache events since the last restart, including lost ones.
}

// Server is a stand-in engine.
type Server struct {
	options   options
	address   netip.AddrPort
	wake      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	nextDue   time.Time // nextDue is used only by the goroutine that runs the batches.

	mu              sync.Mutex
	http            *http.Server
	alive           bool
	restarts        int           // restarts counts the starts by Restart, including the first.
	frozen          chan struct{} // frozen is closed when the engine is unfrozen, and nil while it runs.
	leaving         bool
	link            Link
	responsesToLose int
	weights         weightState
	queue           []*pendingStep
	running         int
	kv              *kvStore
	prefixes        *prefixCache
	samples         []loadSample
	stepTime        time.Duration
	executions      []Execution
	prefillStats    PrefillStats
	crashPrompts    []string
	refusalTimes    []time.Time // refusalTimes are the times of prefills refused because the engine is leaving.
}

// New starts an engine.
func New(opts ...Option) (*Server, error) {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	s := &Server{options: o, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	s.address = o.address
	s.weights = weightState{model: o.model, version: o.version, layers: o.layers, role: "Decode"}
	if err := s.Restart(); err != nil {
		return nil, err
	}
	go s.runBatches()
	go s.sampleLoad()
	return s, nil
}

// Addr returns the listen address. It stays the same across Kill and Restart.
func (s *Server) Addr() netip.AddrPort { return s.address }

// Name returns the engine's name.
func (s *Server) Name() string { return s.options.name }

// Restart listens again after Kill or a crash, with an empty queue, empty caches and no faults.
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
	s.alive, s.leaving, s.link, s.responsesToLose = true, false, Link{}, 0
	s.queue = nil
	s.restarts++
	s.kv = newKvStore(s.options.maxGenerations)
	s.prefixes = newPrefixCache(s.options)
}

// Kill closes the listener and all connections at once. Queued and running steps are lost.
func (s *Server) Kill() {
	s.mu.Lock()
	server := s.http
	wasAlive := s.alive
	s.alive, s.queue = false, nil
	s.unfreeze()
	s.mu.Unlock()
	if wasAlive {
		_ = server.Close()
	}
}

// Freeze freezes the engine without closing connections, or unfreezes it so that it continues where it stopped.
func (s *Server) Freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !on {
		s.unfreeze()
	} else if s.frozen == nil && s.alive {
		s.frozen = make(chan struct{})
	}
}

func (s *Server) unfreeze() {
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

// Leave sets the engine to leaving: its reports say so, and it refuses the prefill of new requests.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// LoseAnswers makes the engine close the connection instead of sending the result for each of the next n
// steps. The steps still run.
func (s *Server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// SetLink sets the latency and bandwidth of the link to the engine.
func (s *Server) SetLink(l Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link = l
}

// Alive reports whether the engine runs, that is, has not been killed and has not crashed.
func (s *Server) Alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive
}

// Executions returns every recorded step that ran, in order and across restarts.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// PrefillStats returns the counts of positions across restarts and of events since the last one.
func (s *Server) PrefillStats() PrefillStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.prefillStats
	p.Events = int(s.prefixes.sequence)
	return p
}

// Report returns the report that the engine sends.
func (s *Server) Report() *enginepb.Report {
	return s.report(time.Now())
}

// Crashes returns the prompt of each request that crashed the engine.
func (s *Server) Crashes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.crashPrompts...)
}

// RefusalsWhileLeaving returns the time of each prefill that was refused because the engine was leaving.
func (s *Server) RefusalsWhileLeaving() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.refusalTimes...)
}

// Close stops the engine and its goroutines.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	s.Kill()
}

// waitUnfrozen blocks while the engine is frozen, until it is unfrozen or closed.
func (s *Server) waitUnfrozen() {
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
