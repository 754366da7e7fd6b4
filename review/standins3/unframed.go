//go:build review3

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// unframedShare is how many answers in a hundred have no length, and unframedWorkers at how many of the three workers: the largest doses
	// of the bench.
	unframedShare   = 5
	unframedWorkers = 2
	// ordersPerSecond and readsPerSecond are those of zrela-leta-grown in its largest burst, 2.5 times the usual.
	ordersPerSecond = 60
	readsPerSecond  = 24
	// otherMachines is how many of the site's 99 machines, besides those that the case starts, have a connection to a worker soon after its start.
	otherMachines = 40
	// serviceDeadline is the deadline of the site's orders and reads.
	serviceDeadline = 1500 * time.Millisecond
	// playTime is how long after its begin the case goes on with crashes.
	playTime = 95 * time.Second
)

// unframedCrash plays orders and reads, some of whose answers have no length, while workers crash in turn and start again.
func unframedCrash(f *fleet) (broken int) {
	f.store.put("op", "config", configuration(3))
	var workers []*workerProcess
	for i := range 3 {
		c := workerConfig{ID: fmt.Sprintf("i-a%d", i+1), Address: fmt.Sprintf("127.0.0.1:%d", freePort()), Slots: 6, WorkMs: 30}
		if i < unframedWorkers {
			c.Unframed = unframedShare
		}
		workers = append(workers, f.startWorker(c, "zaloga-app"))
		connectOthers(c.Address)
	}
	f.startInstances(5)
	f.awaitReady()
	var mu sync.Mutex
	answers := map[string]string{} // answers holds the bodies of the successes that looked complete, by request.
	var group sync.WaitGroup
	stop := make(chan struct{})
	send := func(method, path string, client int, perSecond float64) {
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			group.Go(func() {
				x := f.instances[n%len(f.instances)]
				id, body := fmt.Sprintf("%08x%08x", client, n), ""
				if method == http.MethodPost {
					body = "{\"invite\":1}"
				}
				r := request(x.client, method, path, id, body, serviceDeadline)
				f.log("client %d gets %d for %s %s from %s: %d bytes, complete %v, seal %q, error %v", client, r.status, method, id, x.name, len(r.body), r.complete, r.header.Get("X-Response-Seal"), r.err)
				if r.status/100 == 2 && r.complete {
					mu.Lock()
					answers[id] = r.body
					mu.Unlock()
				}
			})
		}
	}
	group.Go(func() { send(http.MethodPost, "/orders/invite", 1, ordersPerSecond) })
	group.Go(func() { send(http.MethodGet, "/stock/profile", 2, readsPerSecond) })
	for round := 0; time.Since(f.begun) < playTime; round++ {
		time.Sleep(450 * time.Millisecond)
		if !trouble() {
			continue
		}
		w := round % unframedWorkers
		f.killWorker(workers[w])
		time.Sleep(500 * time.Millisecond)
		c := workers[w].config
		c.ID = fmt.Sprintf("i-b%d", round)
		workers[w] = f.startWorker(c, "zaloga-app")
		connectOthers(c.Address)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	time.Sleep(200 * time.Millisecond) // The last lines of the workers are read.
	for id, body := range answers {
		if f.isWholeAnswer(id, body) {
			continue
		}
		broken++
		f.log("MIXED: request %s: the client got a success with a whole answer of %d bytes that ends with %q, and the worker's answer has %d bytes",
			id, len(body), tail(body), len(wholeBody("i-a1", id)))
	}
	f.log("%d requests were answered with a success", len(answers))
	return broken
}

// connectOthers opens the connections of other machines to a worker. They end with the worker.
func connectOthers(address string) {
	for range otherMachines {
		c, err := net.DialTimeout("tcp4", address, time.Second)
		must(err)
		go func() {
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}()
	}
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
