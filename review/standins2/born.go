//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	engineCount  = 3
	streamEvents = 60
	goal         = 500 * time.Millisecond // goal is goal_ms of the streaming route.
	patience     = 2 * time.Second        // patience is the gap after which clients leave a stream with this goal.
	// The following times count from the freeze of the instance.
	killAfter    = 200 * time.Millisecond
	restartAfter = killAfter + 950*time.Millisecond
	wakeAfter    = 1500 * time.Millisecond
)

// withEngines returns a configuration with a route to a model service.
func withEngines() map[string]any {
	c := configuration(3)
	c["routes"] = []map[string]any{{
		"name": "digest", "host": host, "prefix": "/digest/", "route_kind": "streaming", "timeout_ms": 20000, "goal_ms": goal.Milliseconds(),
		"priority": 1, "service": "llm", "max_attempts": 2, "sticky": true, "resumable": true, "gap_target_ms": 200,
	}}
	c["services"] = []map[string]any{{"name": "llm", "health_path": "/healthz", "max_conns": 500, "engine": map[string]any{
		"slots": 32, "kv_capacity": 100000, "kv_token_bytes": 1000, "stride": 2, "models": []map[string]any{{"name": "m", "pace": 1.0, "load_s": 0.5}},
		"step_ms": 0.85, "per_seq_ms": 0.002, "context_per_k": 0.003, "read_per_s": 272000.0, "report_lag_ms": 200.0, "loads_at_once": 6,
		"usual": map[string]any{"prompt": 100, "answer": 60}, "layers": modelLayers, "layer_mb": 100.0, "activation_bytes": 1000,
		"pipe_mbps": 9300.0, "delays": []any{}, "kinds": []map[string]any{{"name": "big", "megabytes": 2000.0, "pace": 3.0, "read_factor": 3.0}},
	}}}
	return c
}

// rebornEngine freezes an instance in the middle of a stream. Meanwhile the engine is killed and started again under its name.
func rebornEngine(e *env) (bool, error) {
	found, err := freePorts(engineCount)
	if err != nil {
		return false, err
	}
	engines := make(map[string]*engine)
	for n, port := range found {
		g := &engine{id: fmt.Sprintf("e-%d", n+1), address: fmt.Sprintf("127.0.0.2:%d", port), store: e.store, record: e.record}
		engines[g.id] = g
		if err := g.start(modelLayers); err != nil {
			return false, err
		}
		defer g.kill()
	}
	go func() {
		for range time.Tick(heartbeat) {
			for _, g := range engines {
				g.beat()
			}
		}
	}()
	e.store.put("op", "config", withEngines())
	instances, err := e.startFleet(2)
	if err != nil {
		return false, err
	}
	x := instances[0]
	if _, complete, err := e.stream(x, "before", func(int, string) {}); err != nil || !complete {
		return false, fmt.Errorf("a stream before the trouble: complete %v, %v", complete, err)
	}
	events, complete, err := e.stream(x, "during", func(n int, engine string) {
		if n == 15 && e.trouble {
			go e.freezeAndRestart(x, engines[engine])
		}
	})
	e.record.add("stream during: %d of %d events, complete %v, %v", events, streamEvents, complete, err)
	return complete && events < streamEvents, nil
}

// freezeAndRestart freezes the instance and restarts the engine meanwhile.
func (e *env) freezeAndRestart(x *instance, g *engine) {
	frozen := time.Now()
	e.fleet.signal(x, syscall.SIGSTOP)
	time.Sleep(time.Until(frozen.Add(killAfter)))
	g.kill()
	time.Sleep(time.Until(frozen.Add(restartAfter)))
	if err := g.start(0); err != nil {
		e.record.add("engine: %v", err)
	}
	time.Sleep(time.Until(frozen.Add(wakeAfter)))
	e.fleet.signal(x, syscall.SIGCONT)
}

// stream sends a streaming request and reads its events. It returns the number of events in order, and whether the answer ended as
// complete. The client leaves after a gap of its patience. The function seen is called with the number of each event and the
// engine that began the answer.
func (e *env) stream(x *instance, id string, seen func(n int, engine string)) (events int, complete bool, err error) {
	c, err := net.DialTimeout("tcp4", e.fleet.frontend(x), time.Second)
	if err != nil {
		return 0, false, err
	}
	defer c.Close()
	body := "prompt of " + id
	e.record.add("client: sent %s to %s", id, x.name)
	_, err = fmt.Fprintf(c, "POST /digest/x?events=%d HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Usage: 100,%d\r\nX-Prefix-Hash: aa:40,%x:60\r\nX-Deadline-Ms: 20000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		streamEvents, host, id, 2*streamEvents, id, key, len(body), body)
	if err != nil {
		return 0, false, err
	}
	_ = c.SetReadDeadline(time.Now().Add(patience))
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, false, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, false, fmt.Errorf("status %d", response.StatusCode)
	}
	name, _, _ := strings.Cut(response.Header.Get("X-Response-Seal"), "/")
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF) && line == "":
			e.record.add("client: %s ended as complete after event %d", id, events)
			return events, true, nil
		case err != nil:
			e.record.add("client: %s broken off after event %d: %v", id, events, err)
			return events, false, nil
		case strings.HasPrefix(line, "id: "):
			events++
			if strings.TrimSpace(line) != fmt.Sprintf("id: %d", events) {
				return events, false, fmt.Errorf("%q instead of event %d", line, events)
			}
			_ = c.SetReadDeadline(time.Now().Add(patience))
			e.record.add("client: %s got event %d", id, events)
			seen(events, name)
		}
	}
}
