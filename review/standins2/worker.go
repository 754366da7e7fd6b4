//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// worker is a stand-in of a plain worker. It registers in the store, echoes X-Attempt-Id, signs its answers, and answers 421 to a
// request for another worker.
type worker struct {
	id, service, address string
	work                 time.Duration
	store                *store
	record               *record
	// serve replaces the usual answer of a request that runs here and reports whether it did. It may be nil.
	serve func(w http.ResponseWriter, r *http.Request, body []byte) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	state    string // state is ready, draining, or empty after the end.
	beats    int
}

// start listens and registers the worker.
func (k *worker) start() error {
	l, err := net.Listen("tcp4", k.address)
	if err != nil {
		return err
	}
	k.listener, k.conns, k.state = l, make(map[net.Conn]bool), "ready"
	k.address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(k.handle), ConnState: func(c net.Conn, state http.ConnState) {
		k.mu.Lock()
		defer k.mu.Unlock()
		switch state {
		case http.StateNew:
			k.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(k.conns, c)
		}
	}}
	go func() { _ = server.Serve(l) }()
	k.beat()
	go func() {
		for range time.Tick(heartbeat) {
			k.beat()
		}
	}()
	return nil
}

// beat writes the worker's entry and returns when the store acknowledged it.
func (k *worker) beat() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state == "" {
		return time.Time{}
	}
	k.beats++
	return k.store.put("servers", k.id, map[string]any{
		"service": k.service, "address": k.address, "zone": "z1", "version": "v1", "slots": 6, "state": k.state, "cold_remaining_ms": 0,
		"sequence": k.beats,
	})
}

// drain reports that the worker leaves, and returns when the store acknowledged it. The worker goes on serving.
func (k *worker) drain() time.Time {
	k.mu.Lock()
	k.state = "draining"
	k.mu.Unlock()
	at := k.beat()
	k.record.add("worker %s: the store acknowledged that it is draining", k.id)
	return at
}

// exit ends a worker that has drained: its entry is removed.
func (k *worker) exit() {
	k.mu.Lock()
	k.state = ""
	k.mu.Unlock()
	k.store.put("servers", k.id, nil)
	k.crash()
}

// crash ends the worker as a crash of its process does: its connections are closed and nothing listens any more.
func (k *worker) crash() {
	k.mu.Lock()
	k.state = ""
	conns := make([]net.Conn, 0, len(k.conns))
	for c := range k.conns {
		conns = append(conns, c)
	}
	k.mu.Unlock()
	_ = k.listener.Close()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	k.record.add("worker %s: ended", k.id)
}

func (k *worker) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", k.id)
		return
	}
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != k.id {
		w.Header().Set("X-Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.record.ran(k.id, id)
	if k.serve != nil && k.serve(w, r, body) {
		return
	}
	time.Sleep(k.work)
	k.answer(w, id)
}

// answer writes the worker's whole answer.
func (k *worker) answer(w http.ResponseWriter, id string) {
	w.Header().Set("X-Response-Seal", "seal-"+k.id+"-"+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", k.id, id)
	k.record.add("worker %s: answered %s", k.id, id)
}
