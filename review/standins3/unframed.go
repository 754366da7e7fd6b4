//go:build review3

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// unframedShare is how many answers in a hundred have no length, the largest share that the bench plays.
const unframedShare = 5

// playTime is how long after its begin the case goes on with crashes.
const playTime = 85 * time.Second

// unframedCrash plays orders, some of whose answers have no length, while workers crash in turn and start again.
func unframedCrash(f *fleet) (broken int) {
	f.store.put("op", "config", configuration(3))
	var workers []*workerProcess
	const unframedWorkers = 2 // Half of the three, rounded up.
	for i := range 3 {
		c := workerConfig{ID: fmt.Sprintf("i-a%d", i+1), Address: fmt.Sprintf("127.0.0.1:%d", freePort()), Slots: 6, WorkMs: 110}
		if i < unframedWorkers {
			c.Unframed = unframedShare
		}
		workers = append(workers, f.startWorker(c, "zaloga-app"))
	}
	f.startInstances(5)
	f.awaitReady()
	var mu sync.Mutex
	var stopped bool
	answers := map[string]string{} // answers holds the bodies of the successes that looked complete, by request.
	var group sync.WaitGroup
	for n := range 300 {
		group.Go(func() {
			for i := 0; ; i++ {
				mu.Lock()
				end := stopped
				mu.Unlock()
				if end {
					return
				}
				x := f.instances[(n+i)%len(f.instances)]
				id := fmt.Sprintf("%08x%08x", n+1, i+1)
				r := request(x.client, http.MethodPost, "/orders/reorder", id, "{\"kit\":1}", 2500*time.Millisecond)
				f.log("client %d gets %d for order %s from %s: %d bytes, complete %v, seal %q, error %v", n, r.status, id, x.name, len(r.body), r.complete, r.header.Get("X-Response-Seal"), r.err)
				if r.status == http.StatusServiceUnavailable {
					time.Sleep(400 * time.Millisecond) // As Retry-After asks.
				}
				if r.status/100 == 2 && r.complete {
					mu.Lock()
					answers[id] = r.body
					mu.Unlock()
				}
			}
		})
	}
	for round := 0; round < 70 && time.Since(f.begun) < playTime; round++ {
		time.Sleep(700 * time.Millisecond)
		if !trouble() {
			continue
		}
		w := round % unframedWorkers
		f.killWorker(workers[w])
		time.Sleep(500 * time.Millisecond)
		c := workers[w].config
		c.ID += "r"
		workers[w] = f.startWorker(c, "zaloga-app")
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	stopped = true
	mu.Unlock()
	group.Wait()
	time.Sleep(200 * time.Millisecond) // The last lines of the workers are read.
	for id, body := range answers {
		if f.isWholeAnswer(id, body) {
			continue
		}
		broken++
		f.log("MIXED: order %s: the client got a success with a whole answer of %d bytes that ends with %q, and the worker's answer has %d bytes",
			id, len(body), tail(body), len(wholeBody("i-a1", id)))
	}
	return broken
}

// isWholeAnswer reports whether a body is the whole answer of the worker that ran a request.
func (f *fleet) isWholeAnswer(id, body string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.runs[id] {
		if body == wholeBody(w, id) {
			return true
		}
	}
	return false
}

func tail(s string) string { return s[max(0, len(s)-20):] }

// wholeEvents returns the number of events at the start of a body that are those of a stream in order.
func wholeEvents(id, body string) (n int) {
	for ; len(body) > 0; n++ {
		rest, ok := strings.CutPrefix(body, event(id, n+1))
		if !ok {
			break
		}
		body = rest
	}
	return n
}

// awaitLayers waits until n workers hold layers.
func (f *fleet) awaitLayers(n int) {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		f.mu.Lock()
		held := len(f.layers)
		f.mu.Unlock()
		if held >= n {
			return
		}
		if time.Now().After(end) {
			must(fmt.Errorf("%d of %d workers were given layers", held, n))
		}
	}
}
