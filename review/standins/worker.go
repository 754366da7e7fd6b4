package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of headers.
const (
	headerAttempt  = "X-Attempt-Id"
	headerExpect   = "X-Expect-Instance"
	headerNotRun   = "X-Not-Executed"
	headerSeal     = "X-Response-Seal"
	headerPath     = "X-Hop-Count"
	headerTokens   = "X-Token-Usage"
	headerLast     = "Last-Event-Id"
	headerDeadline = "X-Deadline-Ms"
)

// workerLine is one line on a worker's standard output.
type workerLine struct {
	At      string `json:"at"`
	Worker  string `json:"worker"`
	What    string `json:"what"`
	Attempt string `json:"attempt,omitempty"`
	After   int    `json:"after"` // After is the Last-Event-Id that came with the request.
}

// worker is a stand-in of a worker. An engine streams events; another service answers after its work.
type worker struct {
	id, service, address, zone, store, card string
	startedAt                               time.Time
	work, gap, load                         time.Duration
	client                                  *http.Client

	mu       sync.Mutex
	out      *json.Encoder
	lost     float64 // lost is the share of the answers that are lost after the request has run.
	unframed float64 // unframed is the share of the streams that have no length and end with the connection.
	sequence uint64
	fence    uint64
	busy     bool
	from     int
	end      int
}

func runWorker(args []string) error {
	w := &worker{startedAt: time.Now(), out: json.NewEncoder(os.Stdout), client: &http.Client{Timeout: time.Second}}
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	flags.StringVar(&w.id, "id", "", "name of the entry")
	flags.StringVar(&w.service, "service", "", "service")
	flags.StringVar(&w.address, "address", "", "address")
	flags.StringVar(&w.zone, "zone", "", "zone")
	flags.StringVar(&w.store, "store", "", "address of the store")
	flags.StringVar(&w.card, "card", "", "card of an engine; empty for another service")
	flags.DurationVar(&w.work, "work", 20*time.Millisecond, "time of a request, or until the first event")
	flags.DurationVar(&w.gap, "gap", 45*time.Millisecond, "time between events")
	flags.DurationVar(&w.load, "load", 300*time.Millisecond, "time to load layers")
	if err := flags.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", w.health)
	mux.HandleFunc("GET /cuminroute/report", w.report)
	mux.HandleFunc("POST /cuminroute/order", w.order)
	mux.HandleFunc("POST /disrupt", w.disrupt)
	mux.HandleFunc("/", w.request)
	go w.heartbeat()
	go func() { _ = http.Serve(l, mux) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	<-stop
	return nil
}

func (w *worker) log(what, attempt string, after int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.out.Encode(workerLine{At: time.Now().Format("15:04:05.000"), Worker: w.id, What: what, Attempt: attempt, After: after})
}

// layers returns the layers as entries and reports list them. The lock must be held.
func (w *worker) layers() []map[string]int {
	if w.end == w.from {
		return []map[string]int{}
	}
	return []map[string]int{{"from": w.from, "target": w.end, "version": 1}}
}

func (w *worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 192, "state": "ready",
		"cold_remaining_ms": 0, "sequence": time.Now().UnixMilli(), "born": w.startedAt.UnixMilli(),
	}
	if w.card != "" {
		e["route_kind"], e["layers"], e["stage"] = w.card, w.layers(), "colocated"
		e["models"] = []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}
	}
	return e
}

// beat writes the entry to the store. It reports whether the store took it.
func (w *worker) beat() bool {
	content, err := json.Marshal(w.entry())
	if err != nil {
		panic(err) // A map of strings and numbers can always be encoded.
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+w.store+"/beat/"+w.id, bytes.NewReader(content))
	if err != nil {
		return false
	}
	response, err := w.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

// maxMissedBeats is the number of heartbeats that the store may miss before the worker ends: its case has ended then.
const maxMissedBeats = 10

func (w *worker) heartbeat() {
	w.beat()
	missed := 0
	for range time.Tick(heartbeatInterval) {
		missed++
		if w.beat() {
			missed = 0
		}
		if missed == maxMissedBeats {
			os.Exit(exitNotRun)
		}
	}
}

func (w *worker) health(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("X-Instance-Id", w.id)
}

func (w *worker) report(rw http.ResponseWriter, r *http.Request) {
	if !w.isExpected(rw, r) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "colocated", "busy": w.busy, "sequence": w.sequence, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 1 << 20,
		"handles": 0, "pace": 1, "route_kind": w.card, "layers": w.layers(), "born": w.startedAt.UnixMilli(),
		"models": []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}},
	})
}

// isExpected reports whether the request is for this worker, and answers 421 if not.
func (w *worker) isExpected(rw http.ResponseWriter, r *http.Request) bool {
	if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	if !w.isExpected(rw, r) {
		return
	}
	var o struct {
		Op       string  `json:"op"`
		From     int     `json:"from"`
		End      int     `json:"target"`
		Fence    uint64  `json:"fencing_token"`
		Expected *uint64 `json:"expected_rev"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case o.Op != "place":
		rw.WriteHeader(http.StatusNotFound) // A path of one part cannot change.
	case o.Fence < w.fence:
		rw.WriteHeader(http.StatusPreconditionFailed)
	case w.busy || o.Expected != nil && *o.Expected != w.sequence:
		rw.WriteHeader(http.StatusConflict)
	default:
		w.fence, w.busy = o.Fence, true
		w.sequence++
		time.AfterFunc(w.load, func() { w.loaded(o.From, o.End) })
		rw.WriteHeader(http.StatusAccepted)
	}
}

func (w *worker) loaded(from, end int) {
	w.mu.Lock()
	w.busy, w.from, w.end = false, from, end
	w.mu.Unlock()
	w.beat()
}

func (w *worker) holds(path string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return path == fmt.Sprintf("%s=%d-%d", w.address, w.from, w.end) && w.end > w.from
}

// disrupt sets which share of the answers is disturbed from now on. Only the case calls it.
func (w *worker) disrupt(_ http.ResponseWriter, r *http.Request) {
	lost, _ := strconv.ParseFloat(r.URL.Query().Get("lost"), 64)
	unframed, _ := strconv.ParseFloat(r.URL.Query().Get("unframed"), 64)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost, w.unframed = lost, unframed
}

// draw reports whether an answer is one of a share that is disturbed.
func (w *worker) draw(share *float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rand.Float64() < *share
}

// request runs a request of a client.
func (w *worker) request(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	attempt := r.Header.Get(headerAttempt)
	rw.Header().Set(headerAttempt, attempt)
	if err != nil || !w.isExpected(rw, r) {
		return
	}
	if w.card != "" && !w.holds(r.Header.Get(headerPath)) {
		rw.Header().Set("At-Server", w.address)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set(headerSeal, seal(attempt, w.id))
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if w.card == "" {
		w.answer(ctx, rw, attempt, body)
		return
	}
	w.stream(ctx, rw, r, body)
}

// answer runs a request that is not streamed. The work goes on if the caller leaves, as that of an order does.
func (w *worker) answer(ctx context.Context, rw http.ResponseWriter, attempt string, body []byte) {
	w.log("runs", attempt, 0)
	time.Sleep(w.work)
	if ctx.Err() != nil {
		w.log("ran, the caller has left", attempt, 0)
		return
	}
	if w.draw(&w.lost) {
		w.log("ran, the answer is lost", attempt, 0)
		if conn, _, err := http.NewResponseController(rw).Hijack(); err == nil {
			_ = conn.Close()
		}
		return
	}
	answer := "done " + attempt + " " + string(body)
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if _, err := io.WriteString(rw, answer); err != nil {
		w.log("ran, the answer could not be sent", attempt, 0)
		return
	}
	w.log("ran to the end", attempt, 0)
}

// stream sends the events of a stream that come after the Last-Event-Id.
func (w *worker) stream(ctx context.Context, rw http.ResponseWriter, r *http.Request, body []byte) {
	attempt := r.Header.Get(headerAttempt)
	after, _ := strconv.Atoi(r.Header.Get(headerLast))
	total := eventsOf(r.Header.Get(headerTokens))
	rw.Header().Set("Content-Type", "text/event-stream")
	if w.draw(&w.unframed) {
		w.log("has no length", attempt, after)
		rw.Header().Set("Connection", "close")
		rw.Header().Set("Transfer-Encoding", "identity")
	}
	pause := w.work
	for id := after + 1; id <= total; id++ {
		select {
		case <-ctx.Done():
			w.log("broken off", attempt, id-1)
			return
		case <-time.After(pause):
		}
		if id == after+1 {
			w.log("runs", attempt, after)
		}
		pause = w.gap
		if _, err := io.WriteString(rw, event(string(body), id)); err != nil {
			w.log("broken off", attempt, id-1)
			return
		}
		_ = http.NewResponseController(rw).Flush()
	}
	w.log("ran to the end", attempt, after)
}

// eventsOf returns the number of events of a stream: one for each output token.
func eventsOf(tokens string) int {
	_, output, _ := strings.Cut(tokens, ",")
	n, _ := strconv.Atoi(output)
	return n
}

// event returns an event of the stream for a request with that body.
func event(body string, id int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, body, " ", id)
	return fmt.Sprintf("id: %d\ndata: %016x\n\n", id, h.Sum64())
}

func seal(attempt, worker string) string {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, attempt, " ", worker)
	return fmt.Sprintf("%016x", h.Sum64())
}
