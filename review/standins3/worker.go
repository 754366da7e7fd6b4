//go:build review3

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// A worker runs as a process of its own, so that it can be killed, and writes one JSON line to standard output for each thing that happens.

// workerConfig is the only argument of the worker's process.
type workerConfig struct {
	ID       string
	Address  string
	Slots    int
	WorkMs   int  // WorkMs is how long a request runs on average.
	Unframed int  // Unframed is how many answers in a hundred have no length and end with their connection.
	Engine   bool // Engine makes the worker a model worker, which streams events.
	Events   int  // Events is the number of events of a stream, and GapMs the time between two of them.
	GapMs    int
	Held     int // Held is how many streams in a hundred get no answer, until their connection is reset after HeldMs.
	HeldMs   int
}

// happening is a line of a worker's output.
type happening struct {
	Worker string
	What   string
	ID     string `json:",omitempty"`
	Bytes  int    `json:",omitempty"`
	Note   string `json:",omitempty"`
	At     time.Time
}

type worker struct {
	workerConfig
	born     int64
	slots    chan struct{}
	out      sync.Mutex
	mu       sync.Mutex
	layers   [2]int
	sequence int
}

func runWorker(argument string) {
	w := &worker{born: time.Now().UnixMilli()}
	if err := json.Unmarshal([]byte(argument), &w.workerConfig); err != nil {
		panic(err)
	}
	w.slots = make(chan struct{}, w.Slots)
	l, err := net.Listen("tcp4", w.Address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	}
	w.say("listens", "", 0, "")
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

func (w *worker) say(what, id string, n int, note string) {
	w.out.Lock()
	defer w.out.Unlock()
	line, _ := json.Marshal(happening{Worker: w.ID, What: what, ID: id, Bytes: n, Note: note, At: time.Now()})
	_, _ = os.Stdout.Write(append(line, '\n'))
}

// wholeBody is the answer to a request that is not streamed.
func wholeBody(worker, id string) string {
	b := "receipt of " + id + " by " + worker + ": "
	for len(b) < 780 {
		b += id + " "
	}
	return b[:780] + " end of receipt\n"
}

// event is one event of a stream.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }

func seal(worker, id string) string { return "seal-" + worker + "-" + id }

func (w *worker) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !w.handle(c, request, body) {
			return
		}
	}
}

// write sends an answer with a length.
func write(c net.Conn, status int, id, more, body string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if id != "" {
		head += "X-Attempt-Id: " + id + "\r\n"
	}
	_, err := io.WriteString(c, head+more+"\r\n"+body)
	return err == nil
}

// handle answers a request, and reports whether the connection is kept.
func (w *worker) handle(c net.Conn, request *http.Request, body []byte) bool {
	id := request.Header.Get("X-Attempt-Id")
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		return write(c, http.StatusMisdirectedRequest, id, "X-Not-Executed: 1\r\n", "")
	}
	switch request.URL.Path {
	case "/healthz":
		return write(c, http.StatusOK, "", "X-Instance-Id: "+w.ID+"\r\n", "")
	case "/cuminroute/report":
		return w.report(c)
	case "/cuminroute/order":
		return w.order(c, body)
	}
	if id == "" {
		return write(c, http.StatusBadRequest, "", "X-Not-Executed: 1\r\n", "")
	}
	select {
	case w.slots <- struct{}{}:
	case <-time.After(time.Second):
		return write(c, http.StatusServiceUnavailable, id, "X-Not-Executed: 1\r\n", "")
	}
	defer func() { <-w.slots }()
	w.say("runs", id, 0, request.Method+" "+request.URL.Path)
	if w.Engine {
		return w.stream(c, request, id)
	}
	return w.unary(c, id)
}

// workTime returns how long a request runs: WorkMs on average, with the spread, the tail and the maximum of the sites.
func (w *worker) workTime() time.Duration {
	const spread, tail, tailFactor, longestMs = 0.5, 0.01, 5, 220
	ms := float64(w.WorkMs) * math.Exp(spread*rand.NormFloat64()-spread*spread/2)
	if rand.Float64() < tail {
		ms *= tailFactor
	}
	return time.Duration(min(ms, longestMs) * float64(time.Millisecond))
}

// unary sends the first half of the answer, works, and sends the rest.
func (w *worker) unary(c net.Conn, id string) bool {
	body := wholeBody(w.ID, id)
	unframed := rand.IntN(100) < w.Unframed
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: " + seal(w.ID, id) + "\r\n"
	if unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	}
	if _, err := io.WriteString(c, head+body[:len(body)/2]); err != nil {
		return false
	}
	time.Sleep(w.workTime())
	if _, err := io.WriteString(c, body[len(body)/2:]); err != nil {
		return false
	}
	w.say("answered", id, len(body), "")
	return !unframed
}

// stream sends the events of a stream, after Last-Event-Id if the request has one.
func (w *worker) stream(c net.Conn, request *http.Request, id string) bool {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if last == 0 && rand.IntN(100) < w.Held {
		time.Sleep(time.Duration(w.HeldMs) * time.Millisecond)
		w.say("resets", id, 0, "")
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	unframed := rand.IntN(100) < w.Unframed
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: " + seal(w.ID, id) + "\r\n"
	if unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := last + 1; n <= w.Events; n++ {
		time.Sleep(time.Duration(w.GapMs) * time.Millisecond)
		e := event(id, n)
		if !unframed {
			e = fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
		}
		if _, err := io.WriteString(c, e); err != nil {
			return false
		}
	}
	if !unframed {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	w.say("answered", id, w.Events, "events")
	return !unframed
}

func (w *worker) report(c net.Conn) bool {
	w.mu.Lock()
	state := map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": w.sequence,
		"queued": 0, "running": len(w.slots), "kv_used": 0, "kv_total": 1000000, "handles": 0, "born": w.born,
	}
	if w.layers[1] > 0 {
		state["layers"] = []any{map[string]any{"from": w.layers[0], "target": w.layers[1], "version": 1}}
	}
	w.mu.Unlock()
	content, _ := json.Marshal(state)
	return write(c, http.StatusOK, "", "", string(content))
}

// order carries out a place order at once, and refuses all others.
func (w *worker) order(c net.Conn, body []byte) bool {
	var o struct {
		Op       string `json:"op"`
		From     int    `json:"from"`
		End      int    `json:"target"`
		Expected *int   `json:"expected_rev"`
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Op != "place" {
		return write(c, http.StatusNotFound, "", "", "{}")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.layers == [2]int{o.From, o.End}:
		return write(c, http.StatusOK, "", "", "{}")
	case o.Expected != nil && *o.Expected != w.sequence:
		return write(c, http.StatusConflict, "", "", "{}")
	}
	w.sequence++
	w.layers = [2]int{o.From, o.End}
	w.say("holds", "", 0, fmt.Sprintf("%d-%d", o.From, o.End))
	return write(c, http.StatusAccepted, "", "", "{}")
}
