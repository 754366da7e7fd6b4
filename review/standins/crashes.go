package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// streamsPerSecond, streamEvents and the pause of the workers are about those of the small deployments.
	streamsPerSecond = 63
	streamEvents     = 73
	// streamTimeout is the timeout of the streaming route.
	streamTimeout = 8 * time.Second
	// lateBy is how long after the route's timeout a request may still be without an answer.
	lateBy = 500 * time.Millisecond
	// crashRounds is how often workers crash, crashed how many at once, and downTime for how long.
	crashRounds = 10
	crashed     = 2
	downTime    = 2 * time.Second
	// enginesInZone is the number of model workers in each of three zones.
	enginesInZone = 4
)

// runWorkerCrashes lets model workers crash while clients get streams, and checks that requests sent afterwards are
// answered.
func runWorkerCrashes(f *fleet, trouble bool) (broken bool, err error) {
	workers, err := f.startStreaming()
	if err != nil {
		return false, err
	}
	load := newStreamLoad(f)
	time.Sleep(4 * time.Second)
	for range crashRounds {
		if trouble {
			if err := f.crash(workers); err != nil {
				return false, err
			}
		}
		time.Sleep(downTime)
	}
	f.note("the last crashed worker is back")
	back := time.Now()
	time.Sleep(recoveryTime)
	load.end()
	return load.judge(back.Add(recoveryTime / 4)), nil
}

// startStreaming starts the workers and instances of the cases with streams, and waits until streams are served.
func (f *fleet) startStreaming(flags ...string) (workers []*engineWorker, err error) {
	if err := f.configure(7, routeTimes{streamTimeout: streamTimeout, orderTimeout: time.Second}); err != nil {
		return nil, err
	}
	zones := []string{"za", "zb", "zc"}
	for _, zone := range zones {
		for range enginesInZone {
			w := &engineWorker{zone: zone, flags: flags}
			if w.address, err = f.freeAddress(); err != nil {
				return nil, err
			}
			if w.process, err = f.startEngine(w); err != nil {
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

// engineWorker is a model worker, which keeps its address.
type engineWorker struct {
	zone, address string
	flags         []string
	process       *process
}

func (f *fleet) startEngine(w *engineWorker) (*process, error) {
	return f.startWorker(engineService, w.zone, w.address, append([]string{"-card", engineCard}, w.flags...)...)
}

// crash kills some workers at once and starts them again after a while.
func (f *fleet) crash(workers []*engineWorker) error {
	picked := rand.Perm(len(workers))[:crashed]
	for _, n := range picked {
		f.note("worker %s is killed", workers[n].process.name)
		workers[n].process.signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, n := range picked {
		<-workers[n].process.done
		p, err := f.startEngine(workers[n])
		if err != nil {
			return err
		}
		workers[n].process = p
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
		attempt: attempt, path: streamPrefix + "heel", body: "pattern " + attempt, deadline: 20 * time.Second,
		tokens: fmt.Sprintf("800,%d", events),
	}
}

// streamLoad sends streams to all instances at an even rate.
type streamLoad struct {
	fleet   *fleet
	stopped atomic.Bool
	group   sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

func newStreamLoad(f *fleet) *streamLoad {
	l := &streamLoad{fleet: f}
	l.group.Go(func() {
		for n := 0; !l.stopped.Load(); n++ {
			i := f.instances[n%len(f.instances)]
			l.group.Go(func() { l.add(send(context.Background(), i, newStream(streamEvents))) })
			time.Sleep(time.Second / streamsPerSecond)
		}
	})
	return l
}

func (l *streamLoad) add(o outcome) {
	l.fleet.note("%s", o)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// end stops sending and waits until all clients have an answer or have given up.
func (l *streamLoad) end() {
	l.stopped.Store(true)
	l.group.Wait()
}

// judge reports whether of the requests without an answer at the route's timeout more than half had none half a second
// later, and writes what each instance did with requests that were sent after the given time.
func (l *streamLoad) judge(after time.Time) (broken bool) {
	unanswered, late := 0, 0
	for _, o := range l.outcomes {
		if o.took() >= streamTimeout {
			unanswered++
		}
		if o.took() >= streamTimeout+lateBy {
			late++
		}
	}
	l.fleet.note("of %d requests, %d had no final answer after the route's timeout of %v, and %d none %v later", len(l.outcomes), unanswered,
		streamTimeout, late, lateBy)
	for _, i := range l.fleet.instances {
		sent, served, silent := 0, 0, 0
		for _, o := range l.outcomes {
			if o.via != i.name || o.sentAt.Before(after) {
				continue
			}
			sent++
			if o.complete && o.status == 200 {
				served++
			}
			if o.status == 0 {
				silent++
			}
		}
		l.fleet.note("%s, ready %v: of %d requests sent from %s on, %d served whole, %d without any answer", i.name, i.isReady(), sent,
			after.Format("15:04:05"), served, silent)
	}
	return late >= 8 && 2*late > unanswered
}
