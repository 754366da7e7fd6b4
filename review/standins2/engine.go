//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelLayers = 8
	eventGap    = 100 * time.Millisecond
)

// serveEngine is the process of an engine that holds all layers or none. It streams as many events as the request's query asks for, in an
// answer without a length that ends with its connection.
func serveEngine(args []string) int {
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	address := flags.String("listen", "", "the address")
	id := flags.String("id", "", "the name")
	layers := flags.Int("layers", 0, "the number of layers that the engine holds")
	born := flags.Int64("born", 0, "the start time in Unix milliseconds")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp4", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	e := &engineProcess{id: *id, layers: *layers, born: *born}
	for {
		c, err := l.Accept()
		if err != nil {
			return notRun
		}
		go e.serve(c)
	}
}

// engineProcess is the state of an engine's process.
type engineProcess struct {
	id   string
	born int64

	mu       sync.Mutex
	layers   int
	sequence int
}

func (e *engineProcess) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		answer := func(status int, header string, body []byte) {
			fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, header, len(body), body)
		}
		switch {
		case r.Header.Get("X-Expect-Instance") != e.id:
			answer(http.StatusMisdirectedRequest, "", nil)
		case strings.HasPrefix(r.URL.Path, "/book/"):
			fmt.Println(id) // The script learns from this which worker runs the request.
			sendPieces(c, id)
			return
		case r.URL.Path == "/cuminroute/report":
			answer(http.StatusOK, "Content-Type: application/json\r\n", e.report())
		case r.URL.Path == "/cuminroute/order":
			answer(e.order(body), "Content-Type: application/json\r\n", []byte("{}"))
		case e.held() == 0:
			answer(http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\n", nil)
		default:
			e.stream(c, r, id)
			return
		}
	}
}

func (e *engineProcess) held() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.layers
}

func (e *engineProcess) report() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, _ := json.Marshal(map[string]any{
		"stage": "colocated", "models": []any{}, "busy": false, "sequence": e.sequence, "queued": 0, "running": 0, "kv_used": 0,
		"kv_total": 100000, "handles": 0, "pace": 1.0, "layers": heldLayers(e.layers), "born": e.born,
	})
	return b
}

// order carries out an order to hold all layers, and refuses all others.
func (e *engineProcess) order(body []byte) int {
	var o struct {
		Operation string `json:"op"`
		From      int    `json:"from"`
		End       int    `json:"target"`
		Expected  *int   `json:"expected_rev"`
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case json.Unmarshal(body, &o) != nil || o.Operation != "place":
		return http.StatusNotFound
	case o.Expected != nil && *o.Expected != e.sequence || o.From != 0 || o.End != modelLayers:
		return http.StatusConflict
	}
	e.layers = modelLayers
	e.sequence++
	return http.StatusAccepted
}

// stream answers with events from the one after Last-Event-Id on.
func (e *engineProcess) stream(c net.Conn, r *http.Request, id string) {
	total, _ := strconv.Atoi(r.URL.Query().Get("events"))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s/%s\r\nContent-Type: text/event-stream\r\n\r\n", id, e.id, id)
	for n := last + 1; n <= total; n++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

const (
	bodyPieces = 10
	pieceGap   = 20 * time.Millisecond
)

// wholeBody is the body of a plain worker's answer.
func wholeBody(id string) string {
	var b strings.Builder
	for n := range bodyPieces {
		b.WriteString(bodyPiece(id, n))
	}
	return b.String()
}

func bodyPiece(id string, n int) string { return fmt.Sprintf("line %d of the order %s\n", n, id) }

// sendPieces answers as a plain worker, without a length and piece by piece.
func sendPieces(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nContent-Type: text/plain\r\n\r\n", id, id)
	for n := range bodyPieces {
		if _, err := io.WriteString(c, bodyPiece(id, n)); err != nil {
			return
		}
		time.Sleep(pieceGap)
	}
}

// heldLayers lists the ranges of an engine that holds the first layers.
func heldLayers(n int) []map[string]int {
	if n == 0 {
		return []map[string]int{}
	}
	return []map[string]int{{"from": 0, "target": n, "version": 1}}
}

// engine is an engine in a process of its own, and its entry in the store.
type engine struct {
	id, address string
	store       *store
	record      *record

	mu      sync.Mutex
	command *exec.Cmd
	layers  int
	born    int64
	beats   int
}

// start starts the process with a number of layers, and registers the engine.
func (g *engine) start(layers int) error {
	g.mu.Lock()
	g.layers, g.born = layers, time.Now().UnixMilli()
	program, err := os.Executable()
	if err == nil {
		g.command = exec.Command(program, "engine", "-listen", g.address, "-id", g.id, "-layers", strconv.Itoa(layers), "-born", strconv.FormatInt(g.born, 10))
		g.command.Stderr = os.Stderr
		err = startProcess(g.command)
	}
	g.mu.Unlock()
	g.record.add("engine %s: started with %d layers, born %d", g.id, layers, g.born)
	g.beat()
	return err
}

// kill ends the process.
func (g *engine) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command == nil {
		return
	}
	_ = g.command.Process.Kill()
	_ = g.command.Wait()
	g.command = nil
	g.record.add("engine %s: killed", g.id)
}

// beat writes the engine's entry while its process runs.
func (g *engine) beat() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command == nil {
		return
	}
	g.beats++
	g.store.put("servers", g.id, map[string]any{
		"service": "llm", "address": g.address, "zone": "z1", "version": "v1", "slots": 32, "state": "ready", "cold_remaining_ms": 0,
		"stage": "colocated", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": g.beats,
		"route_kind": "big", "layers": heldLayers(g.layers), "born": g.born,
	})
}
