// Package soak runs a whole fleet on loopback under random requests and random faults, and checks
// the promises P1 to P7 from outside.
//
// The seed fixes the requests and the schedule of faults. Their interleaving follows the machine.
//
// Usage:
//
//	report, err := soak.Run(ctx, soak.Options{Seed: 7, Duration: time.Minute, Start: start})
//	if report.ViolationCount() > 0 { ... }
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/sleep"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

const (
	// DefaultDuration is that of the command.
	DefaultDuration = time.Minute
	defaultEntries  = 5
	defaultRate     = 25
	// settle is the time without faults at the end, in which every request can end.
	settle = 10 * time.Second
	// readyLimit is the time that a new fleet has to become ready.
	readyLimit = 20 * time.Second
	// watchInterval is the time between two looks at the versions in force.
	watchInterval = 200 * time.Millisecond
)

// Options are the seed and the sizes of a run.
type Options struct {
	Seed        uint64
	Duration    time.Duration // Duration is that of the faults. Some seconds without faults follow.
	Instances   int
	RequestRate float64 // Rate is the number of requests a second.
	Start       fleet.StartInstance
}

func (o Options) withDefaults() Options {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Instances == 0 {
		o.Instances = defaultEntries
	}
	if o.RequestRate == 0 {
		o.RequestRate = defaultRate
	}
	return o
}

// run is the state of one run. Requests and faults add facts concurrently.
type run struct {
	options Options
	fleet   *fleet.Fleet
	client  *caller.Client
	ctx     context.Context

	mu     sync.Mutex
	report Report
	facts  facts
}

// Run runs a fleet and reports what it found. An error means that the run itself couldn't be made.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := fleet.New(ctx, fleet.Options{Seed: o.Seed, Instances: o.Instances, Recording: true, Start: o.Start})
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	if err := f.WaitReady(ctx, o.Instances, readyLimit); err != nil {
		return Report{}, err
	}
	r := &run{options: o, fleet: f, client: caller.New(), ctx: ctx, report: newReport(o)}
	r.facts.stops = map[string]stop{}
	defer r.client.Close()
	r.play()
	r.collect()
	r.report.judge(r.facts)
	return r.report, ctx.Err()
}

// play sends requests and plays the faults, and waits for both to end.
func (r *run) play() {
	watching, stopWatching := context.WithCancel(r.ctx)
	var watcher, work sync.WaitGroup
	watcher.Go(func() { r.watch(watching) })
	work.Go(r.sendRequests)
	work.Go(r.playFaults)
	work.Wait()
	stopWatching()
	watcher.Wait()
}

// playFaults starts each fault at its time and waits until all are healed.
func (r *run) playFaults() {
	faults := schedule(rand.New(rand.NewPCG(r.options.Seed, 2)), r.options.Duration)
	began := time.Now()
	var playing sync.WaitGroup
	for _, f := range faults {
		if sleep.For(r.ctx, time.Until(began.Add(f.at))) != nil {
			break
		}
		r.mu.Lock()
		r.report.Faults[f.kind]++
		r.mu.Unlock()
		playing.Go(func() { r.inject(f) })
	}
	playing.Wait()
}

// watch notes the version of every ready instance.
func (r *run) watch(ctx context.Context) {
	for sleep.For(ctx, watchInterval) == nil {
		for _, m := range r.fleet.Ready() {
			version := m.Version()
			r.note(versionFact{at: time.Now(), entry: m.Name, version: version})
		}
	}
}

func (r *run) note(v versionFact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.facts.versions = append(r.facts.versions, v)
}

// collect takes the counters of the targets after the last request.
func (r *run) collect() {
	crashes := map[string]int{}
	for _, e := range r.fleet.Engines {
		r.facts.executions = append(r.facts.executions, e.Executions()...)
		for _, prompt := range e.Crashes() {
			crashes[prompt]++
			r.report.TargetsPerCrash = max(r.report.TargetsPerCrash, crashes[prompt])
		}
	}
	r.report.Executions = len(r.facts.executions)
	r.facts.executed = r.fleet.Executed()
	r.facts.arrivals = map[string][]time.Time{}
	for n, s := range r.fleet.Services {
		r.facts.arrivals[fmt.Sprintf("s%d", n)] = s.ArrivalTimes()
	}
}
