package engine

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

// Link is the quality of the network path to the engine. A zero field adds no delay.
type Link struct {
	Latency        time.Duration // Latency is the one-way latency.
	BytesPerSecond int
}

func (l Link) transfer(size int) time.Duration {
	if l.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(size) / float64(l.BytesPerSecond) * float64(time.Second))
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/steps", s.serveSteps)
	mux.HandleFunc("GET /v1/report", s.serveReport)
	mux.HandleFunc("POST /v1/cancel", s.serveCancel)
	mux.HandleFunc("POST /v1/kv/export", s.serveExport)
	mux.HandleFunc("POST /v1/kv/import", s.serveImport)
	mux.HandleFunc("GET /v1/events", s.serveEvents)
	mux.HandleFunc("POST /v1/orders", s.serveAssignment)
	mux.HandleFunc("POST /faults", s.serveFaults)
	return mux
}

// receive reads and decodes a request body, and waits for the link's latency and transfer time.
func (s *Server) receive(w http.ResponseWriter, r *http.Request, m proto.Message) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	link := s.currentLink()
	time.Sleep(link.Latency + link.transfer(len(body)))
	s.waitUnfrozen()
	if err := proto.Unmarshal(body, m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) send(w http.ResponseWriter, m proto.Message) {
	data, err := proto.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	link := s.currentLink()
	time.Sleep(link.Latency + link.transfer(len(data)))
	s.waitUnfrozen()
	w.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = w.Write(data)
}

func (s *Server) currentLink() Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link
}

type delayedResult struct {
	at     time.Time
	result *enginepb.StepResult
}

// serveSteps streams each result as soon as it is available.
func (s *Server) serveSteps(w http.ResponseWriter, r *http.Request) {
	var batch enginepb.StepBatch
	if !s.receive(w, r, &batch) {
		return
	}
	results := make(chan *enginepb.StepResult, len(batch.Steps))
	for _, step := range batch.Steps {
		s.enqueue(&pendingStep{ctx: r.Context(), step: step, result: results})
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	delayed := make(chan delayedResult, len(batch.Steps))
	go func() {
		defer close(delayed)
		for range batch.Steps {
			select {
			case result := <-results:
				delayed <- delayedResult{time.Now(), result}
			case <-r.Context().Done():
				return
			}
		}
	}()
	s.streamResults(w, delayed)
}

// streamResults writes each result after the link's latency and the result's transfer time. The latencies
// of results overlap, their transfer times don't.
func (s *Server) streamResults(w http.ResponseWriter, delayed <-chan delayedResult) {
	out := bufio.NewWriter(w)
	for d := range delayed {
		link := s.currentLink()
		time.Sleep(time.Until(d.at.Add(link.Latency)) + link.transfer(proto.Size(d.result)))
		s.waitUnfrozen()
		if s.takeLostResponse() {
			panic(http.ErrAbortHandler)
		}
		if _, err := protodelim.MarshalTo(out, d.result); err != nil {
			return
		}
		if len(delayed) > 0 {
			continue
		}
		if out.Flush() != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
	_ = out.Flush()
}

func (s *Server) takeLostResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.responsesToLose == 0 {
		return false
	}
	s.responsesToLose--
	return true
}

func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.waitUnfrozen()
	s.send(w, s.report(time.Now()))
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c enginepb.Cancel
	if !s.receive(w, r, &c) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kv.remove(kvKey{c.Request, c.Generation})
	kept := s.queue[:0]
	for _, q := range s.queue {
		if q.step.Request == c.Request && q.step.Generation == c.Generation {
			q.result <- newResult(q.step, enginepb.StepStatus_STEP_STATUS_MISSING_KV, "the generation is cancelled")
			continue
		}
		kept = append(kept, q)
	}
	s.queue = kept
}

func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var key enginepb.KvKey
	if !s.receive(w, r, &key) {
		return
	}
	s.mu.Lock()
	cache := s.kv.export(kvKey{key.Request, key.Generation})
	s.mu.Unlock()
	if cache == nil {
		http.Error(w, "no KV cache of this generation", http.StatusNotFound)
		return
	}
	s.send(w, cache)
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var cache enginepb.KvCache
	if !s.receive(w, r, &cache) {
		return
	}
	s.mu.Lock()
	ok := s.kv.importCache(&cache)
	s.mu.Unlock()
	if !ok {
		http.Error(w, "the data does not fit the layers", http.StatusBadRequest)
	}
}

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil && r.URL.Query().Has("since") {
		http.Error(w, "since is not a sequence number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	events := s.prefixes.eventsSince(since, time.Now())
	s.mu.Unlock()
	s.send(w, events)
}

func (s *Server) serveAssignment(w http.ResponseWriter, r *http.Request) {
	var a enginepb.Assignment
	if !s.receive(w, r, &a) {
		return
	}
	s.send(w, s.assign(&a))
}
