package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// streamsPerSecond and streamEvents are about those of the small deployments.
	streamsPerSecond = 63
	streamEvents     = 73
	// crashed is how many workers crash at once, and downTime for how long.
	crashed  = 2
	downTime = 2 * time.Second
	// enginesInZone is the number of model workers in each of three zones.
	enginesInZone = 4
)

// startStreaming starts model workers and instances in three zones, and waits until streams are served.
func (f *fleet) startStreaming() (workers []*placedWorker, err error) {
	zones := []string{"za", "zb", "zc"}
	for _, zone := range zones {
		for range enginesInZone {
			w, err := f.placeWorker(engineService, zone, "-card", engineCard)
			if err != nil {
				return nil, err
			}
			workers = append(workers, w)
		}
	}
	for n, zone := range zones {
		if _, err := f.startInstance(n+1, zone); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	return workers, f.awaitStream()
}

// placedWorker is a worker that keeps its address.
type placedWorker struct {
	service, zone, address string
	flags                  []string
	process                *process
}

// placeWorker starts a worker at a free address.
func (f *fleet) placeWorker(service, zone string, flags ...string) (*placedWorker, error) {
	address, err := f.freeAddress()
	if err != nil {
		return nil, err
	}
	w := &placedWorker{service: service, zone: zone, address: address, flags: flags}
	w.process, err = f.startWorker(service, zone, address, flags...)
	return w, err
}

// disrupt sets the share of the worker's answers that are lost and of its streams that have no length.
func (w *placedWorker) disrupt(lost, unframed float64) error {
	client := http.Client{Timeout: time.Second}
	query := url.Values{"lost": {strconv.FormatFloat(lost, 'f', -1, 64)}, "unframed": {strconv.FormatFloat(unframed, 'f', -1, 64)}}
	response, err := client.Post("http://"+w.address+"/disrupt?"+query.Encode(), "", nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// crash kills two of the workers at once and starts them again after a while.
func (f *fleet) crash(workers []*placedWorker) error {
	picked := slices.Clone(workers)
	rand.Shuffle(len(picked), func(i, k int) { picked[i], picked[k] = picked[k], picked[i] })
	picked = picked[:crashed]
	for _, w := range picked {
		f.note("worker %s is killed", w.process.name)
		w.process.signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, w := range picked {
		<-w.process.done
		p, err := f.startWorker(w.service, w.zone, w.address, w.flags...)
		if err != nil {
			return err
		}
		w.process = p
	}
	return nil
}

// awaitStream waits until each instance serves a stream.
func (f *fleet) awaitStream() error {
	for _, i := range f.instances {
		for end := time.Now().Add(startTimeout); ; time.Sleep(200 * time.Millisecond) {
			if o := send(context.Background(), i, newStream(2)); o.complete && o.events == 2 {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s serves no stream after %v", i.name, startTimeout)
			}
		}
	}
	return nil
}

func newStream(events int) clientRequest {
	attempt := newAttempt()
	return clientRequest{
		attempt: attempt, method: http.MethodPost, path: streamPrefix + "heel", body: "pattern " + attempt, deadline: streamTimeout,
		tokens: fmt.Sprintf("800,%d", events),
	}
}

// load sends requests to all instances at even rates.
type load struct {
	fleet   *fleet
	stopped atomic.Bool
	group   sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

// add sends requests that newRequest makes, as many a second, until the load ends.
func (l *load) add(perSecond float64, newRequest func() clientRequest) {
	l.group.Go(func() {
		for n := 0; !l.stopped.Load(); n++ {
			i := l.fleet.instances[n%len(l.fleet.instances)]
			l.group.Go(func() { l.keep(send(context.Background(), i, newRequest())) })
			time.Sleep(time.Duration(float64(time.Second) / perSecond))
		}
	})
}

func (l *load) addStreams() {
	l.add(streamsPerSecond, func() clientRequest { return newStream(streamEvents) })
}

func (l *load) keep(o outcome) {
	l.fleet.note("%s", o)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// end stops sending and waits until all clients have an answer or have given up.
func (l *load) end() {
	l.stopped.Store(true)
	l.group.Wait()
}
