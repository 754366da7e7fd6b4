//go:build review3

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// drainMs is the bound of zrela-leta-grown, whose summaries may wait for their first event for four seconds.
const drainMs = 3000

// drainRetry plays streams of which a worker keeps some without an answer and resets them later, while another worker is emptied and taken away.
func drainRetry(f *fleet) (broken int) {
	f.bounds = strings.NewReplacer("contact_ms = 3000", "contact_ms = 4000", "ack_ms = 4000", "ack_ms = 6000", "drain_ms = 2000", "drain_ms = 3000",
		"config_apply_ms = 2000", "config_apply_ms = 3000", "stall_ms = 3000", "stall_ms = 2000").Replace(bounds)
	f.store.put("op", "config", configuration(3))
	held := 0
	if trouble() {
		held = 40
	}
	var workers []*workerProcess
	start := func(i, held int) {
		workers = append(workers, f.startWorker(workerConfig{
			ID: fmt.Sprintf("i-m%d", i), Address: fmt.Sprintf("127.0.0.1:%d", freePort()), Slots: 192, Engine: true, Events: 30, GapMs: 60, Held: held, HeldMs: drainMs + 200,
		}, "igla-assist"))
	}
	start(1, held)
	for i := 2; i <= 5; i++ {
		start(i, 0)
	}
	f.startInstances(3)
	f.awaitReady()
	f.awaitLayers(5)
	time.Sleep(time.Second)
	for round := range 3 {
		var group sync.WaitGroup
		for n := range 140 {
			group.Go(func() {
				id := fmt.Sprintf("%08x%08x", round+1, n+1)
				x := f.instances[n%len(f.instances)]
				f.log("client %d asks for stream %s at %s", n, id, x.name)
				r := request(x.client, http.MethodPost, "/guide/heel", id, "{}", 20*time.Second, "X-Model: m0", "X-Token-Usage: 800,120", "X-Prefix-Hash: 5c1e07a2:40,91bd3f06:760")
				f.log("client %d gets %d for stream %s: %d events, complete %v, error %v", n, r.status, id, wholeEvents(id, r.body), r.complete, r.err)
			})
		}
		time.Sleep(50 * time.Millisecond) // The streams are at their workers.
		leaving := workers[1+round]
		close(leaving.stop)
		f.list(leaving, "igla-assist", leaving.born, 1000, "draining")
		acknowledged := time.Now()
		f.log("worker %s is acknowledged as draining", leaving.config.ID)
		time.Sleep((drainMs + 1000) * time.Millisecond)
		_ = leaving.cmd.Process.Kill()
		f.store.remove("servers", leaving.config.ID)
		f.log("worker %s has left", leaving.config.ID)
		group.Wait()
		time.Sleep(300 * time.Millisecond)
		f.mu.Lock()
		arrivals := f.arrivals[leaving.config.ID]
		f.mu.Unlock()
		for _, at := range arrivals {
			if late := at.Sub(acknowledged); late > drainMs*time.Millisecond {
				f.log("DRAIN: a stream reached worker %s %v after it was acknowledged as draining", leaving.config.ID, late)
				broken++
			}
		}
	}
	return broken
}
