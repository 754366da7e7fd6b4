// Package soak runs a fleet on loopback under random requests and random faults, and checks the promises P1 to P7 as
// a client observes them.
//
// The seed determines the requests and the fault schedule. Their interleaving depends on the machine.
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
	// DefaultDuration is the default duration of fault injection.
	DefaultDuration  = time.Minute
	defaultInstances = 5
	defaultRate      = 25
	// settleTime is the time without faults at the end of a run, in which all requests can finish.
	settleTime = 10 * time.Second
	// readyTimeout is the time within which a new fleet must become ready.
	readyTimeout = 20 * time.Second
	// watchInterval is the interval at which the active versions are polled.
	watchInterval = 200 * time.Millisecond
)

// Options configures a run.
type Options struct {
	Seed        uint64
	Duration    time.Duration // Duration is the time during which faults are injected. Some seconds without faults follow.
	Instances   int
	RequestRate float64 // RequestRate is the number of requests per second.
	Start       fleet.StartInstance
}

func (o Options) withDefaults() Options {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Instances == 0 {
		o.Instances = defaultInstances
	}
	if o.RequestRate == 0 {
		o.RequestRate = defaultRate
	}
	return o
}

// run is the state of a run. Requests and faults add observations concurrently.
type run struct {
	options Options
	fleet   *fleet.Fleet
	client  *caller.Client
	ctx     context.Context

	mu           sync.Mutex
	report       Report
	observations observations
}

// Run runs a fleet and reports the violations found. It returns an error if the run itself failed.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := fleet.New(ctx, fleet.Options{Seed: o.Seed, Instances: o.Instances, Recording: true, Start: o.Start})
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	if err := f.WaitReady(ctx, o.Instances, readyTimeout); err != nil {
		return Report{}, err
	}
	r := &run{options: o, fleet: f, client: caller.New(), ctx: ctx, report: newReport(o)}
	r.observations.stops = map[string]stop{}
	defer r.client.Close()
	r.runTrafficAndFaults()
	r.collectCounters()
	r.report.check(r.observations)
	return r.report, ctx.Err()
}

// runTrafficAndFaults sends requests and injects faults, and waits until both have finished.
func (r *run) runTrafficAndFaults() {
	watching, stopWatching := context.WithCancel(r.ctx)
	var watcher, work sync.WaitGroup
	watcher.Go(func() { r.watchVersions(watching) })
	work.Go(r.sendRequests)
	work.Go(r.injectFaults)
	work.Wait()
	stopWatching()
	watcher.Wait()
}

// injectFaults injects each fault at its scheduled time and waits until all of them are removed.
func (r *run) injectFaults() {
	faults := schedule(rand.New(rand.NewPCG(r.options.Seed, 2)), r.options.Duration)
	started := time.Now()
	var injecting sync.WaitGroup
	for _, f := range faults {
		if sleep.For(r.ctx, time.Until(started.Add(f.at))) != nil {
			break
		}
		r.mu.Lock()
		r.report.Faults[f.kind]++
		r.mu.Unlock()
		injecting.Go(func() { r.inject(f) })
	}
	injecting.Wait()
}

// watchVersions records the active configuration version of every ready instance.
func (r *run) watchVersions(ctx context.Context) {
	for sleep.For(ctx, watchInterval) == nil {
		for _, instance := range r.fleet.Ready() {
			version := instance.Version()
			r.recordVersion(versionObservation{at: time.Now(), instance: instance.Name, version: version})
		}
	}
}

func (r *run) recordVersion(observation versionObservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations.versions = append(r.observations.versions, observation)
}

// collectCounters reads the counters of the targets after the last request.
func (r *run) collectCounters() {
	crashes := map[string]int{}
	for _, e := range r.fleet.Engines {
		r.observations.executions = append(r.observations.executions, e.Executions()...)
		for _, prompt := range e.Crashes() {
			crashes[prompt]++
			r.report.TargetsPerCrash = max(r.report.TargetsPerCrash, crashes[prompt])
		}
	}
	r.report.Executions = len(r.observations.executions)
	r.observations.executed = r.fleet.Executed()
	r.observations.arrivals = map[string][]time.Time{}
	for n, s := range r.fleet.Services {
		r.observations.arrivals[fmt.Sprintf("s%d", n)] = s.ArrivalTimes()
	}
}
