//go:build review2

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host      = "shop.example"
	key       = "key-one"
	drainTime = 2 * time.Second // drainTime is drain_ms of the settings.
)

// configuration returns a routing configuration with one tenant, one idempotent and one non-idempotent route.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "look", "host": host, "prefix": "/look/", "route_kind": "idempotent", "timeout_ms": 2500, "goal_ms": 150, "priority": 2, "service": "desk", "max_attempts": 2},
			{"name": "book", "host": host, "prefix": "/book/", "route_kind": "non_idempotent", "timeout_ms": 2500, "goal_ms": 150, "priority": 2, "service": "desk", "max_attempts": 2},
		},
		"services": []map[string]any{{"name": "desk", "health_path": "/healthz", "max_conns": 248}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants":  []map[string]any{{"name": "tenant-one", "api_keys": []string{key}}},
	}
}

// startFleet starts instances in one zone, with their addresses from .11 of the network on, and waits until all are ready.
func (e *env) startFleet(n int) ([]*instance, error) {
	seeds := []string{e.network + ".11"}
	var all []*instance
	for i := range n {
		x, err := e.fleet.add(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("%s.%d", e.network, 11+i), "z1", seeds)
		if err != nil {
			return nil, err
		}
		all = append(all, x)
	}
	end := time.Now().Add(15 * time.Second)
	for time.Now().Before(end) {
		ready := 0
		for _, x := range all {
			if e.fleet.ready(x) {
				ready++
			}
		}
		if ready == n {
			time.Sleep(3 * time.Second) // The instances find each other.
			return all, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, errors.New("the instances are not ready")
}

// Times of the scenario, from the acknowledgement that a worker is draining.
const (
	// breakAfter is when the grey worker breaks off the requests that it has kept.
	breakAfter = drainTime + 150*time.Millisecond
	// exitAfter is when the draining worker exits.
	exitAfter = drainTime + 200*time.Millisecond
	// greyShare is the share of its requests that the grey worker fails.
	greyShare = 0.45
	reads     = 45
)

// drainRetry lets one worker keep reads and break them off later, while another worker drains and exits.
func drainRetry(e *env) (bool, error) {
	workers := make(map[string]*worker)
	for _, id := range []string{"w-a", "w-b", "w-c"} {
		workers[id] = &worker{id: id, service: "desk", address: "127.0.0.2:0", work: 100 * time.Millisecond, store: e.store, record: e.record}
	}
	var grey atomic.Bool
	var taken, kept atomic.Int64
	breakOff := make(chan struct{})
	workers["w-a"].serve = func(w http.ResponseWriter, _ *http.Request, _ []byte) bool {
		if !grey.Load() || float64(kept.Load()+1) > greyShare*float64(taken.Add(1)) {
			return false
		}
		kept.Add(1)
		<-breakOff
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		return true
	}
	for _, w := range workers {
		if err := w.start(); err != nil {
			return false, err
		}
	}
	e.store.put("op", "config", configuration(3))
	instances, err := e.startFleet(2)
	if err != nil {
		return false, err
	}
	entry := e.fleet.frontend(instances[0])
	read := func(id string) answer {
		return e.fleet.send(entry, "GET", "/look/"+id, host, id, key, 2500*time.Millisecond, "")
	}
	for n := range 12 {
		if a := read(fmt.Sprintf("before-%d", n)); a.status != http.StatusOK {
			return false, fmt.Errorf("a request before the trouble got %d, %v", a.status, a.err)
		}
	}
	grey.Store(e.trouble)
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]answer)
	for n := range reads {
		group.Go(func() {
			id := fmt.Sprintf("read-%d", n)
			a := read(id)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	time.Sleep(20 * time.Millisecond)
	drained := workers["w-b"].drain()
	time.Sleep(time.Until(drained.Add(breakAfter)))
	grey.Store(false)
	close(breakOff)
	time.Sleep(time.Until(drained.Add(exitAfter)))
	workers["w-b"].exit()
	group.Wait()
	e.record.add("w-a kept %d of %d reads", kept.Load(), taken.Load())
	late := e.record.runsOf(func(r run) bool { return r.worker == "w-b" && r.at.Sub(drained) > drainTime })
	for _, r := range late {
		e.record.add("%s reached w-b %d ms after it was acknowledged as draining, and its client got %d", r.id, r.at.Sub(drained).Milliseconds(), answers[r.id].status)
	}
	return len(late) > 0, nil
}
