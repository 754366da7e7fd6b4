// Package bench measures throughput, recovery from failures and overhead with instances and stand-ins on loopback.
//
// All figures are measured from outside: which responses the clients received and when, and the CPU time of the
// process. The seed determines links and arrivals, so that all policies are compared on the same arrivals. Loads are
// relative to the bound: the highest throughput in tokens/s that the placement planner finds possible for the fleet.
//
// Usage:
//
//	result, err := bench.Throughput(ctx, bench.Options{Seed: 1, Duration: 8 * time.Second, Start: start})
//	err = result.Plot("throughput.svg")
package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

const (
	defaultDuration  = 5 * time.Second
	defaultInstances = 12
	// warmUp is the time before the measured window, in which the number of streams reaches its steady state.
	warmUp = 2 * time.Second
	// readyTimeout is the time in which a new fleet has to become ready.
	readyTimeout = 30 * time.Second
	// defaultDeadline is the timeout in the fleet's configuration. The stand-ins are slowed down 16 times, so that 78 ms
	// between tokens become 1.25 s, and the slowest accelerator needs 10 s for 24 tokens in a full batch.
	defaultDeadline = 20 * time.Second
	// connectAttempts is the number of instances to which a client tries to connect for one request.
	connectAttempts = 4
	// meanTokens is the mean length of an output; lengths are uniform from 8 to 24 tokens.
	meanTokens, spreadTokens = 16, 8
)

// Options configure a benchmark. Zero values other than Seed and Start select the defaults.
type Options struct {
	Seed      uint64
	Duration  time.Duration // Duration is the length of each measured window.
	Instances int
	Deadline  time.Duration // Deadline is the deadline of each request.
	Policies  []string      // Policies are the routing policies that Throughput compares.
	Load      float64       // Load is the load of Recovery, relative to the bound.
	Start     fleet.StartInstance
}

func (o Options) withDefaults() Options {
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	if o.Instances == 0 {
		o.Instances = defaultInstances
	}
	if o.Deadline == 0 {
		o.Deadline = defaultDeadline
	}
	if o.Load == 0 {
		o.Load = defaultRecoveryLoad
	}
	if len(o.Policies) == 0 {
		o.Policies = policies
	}
	return o
}

// startFleet starts a fleet and waits until all instances serve clients.
func (o Options) startFleet(ctx context.Context, f fleet.Options) (*fleet.Fleet, error) {
	f.Seed, f.Start = o.Seed, o.Start
	started, err := fleet.New(ctx, f)
	if err != nil {
		return nil, err
	}
	if err := started.WaitReady(ctx, f.Instances, readyTimeout); err != nil {
		started.Close()
		return nil, err
	}
	return started, nil
}

// arrival is one request of the load.
type arrival struct {
	at           time.Duration
	id           string
	workspace    int
	promptWords  int
	outputTokens int
	instance     int // instance selects a ready instance, modulo their number.
}

// drawArrivals draws requests with a mean total rate of output tokens/s. The same seed gives the same requests.
func drawArrivals(seed uint64, tokenRate float64, length time.Duration) []arrival {
	r := rand.New(rand.NewPCG(seed, 4))
	var drawn []arrival
	for at := time.Duration(0); at < length; {
		drawn = append(drawn, arrival{
			at: at, id: fmt.Sprintf("q-%d", len(drawn)), workspace: fleet.DrawWorkspace(r), promptWords: 2 + r.IntN(20),
			outputTokens: meanTokens - spreadTokens + r.IntN(2*spreadTokens+1), instance: r.IntN(1 << 20),
		})
		at += time.Duration(r.ExpFloat64() * meanTokens / tokenRate * float64(time.Second))
	}
	return drawn
}

// sentRequest is a request and its response.
type sentRequest struct {
	arrival
	instanceName string
	response     caller.Response
	resent       *caller.Response // resent is the response to a resend after a truncated response, nil without a resend.
}

// loadGenerator sends requests to the ready instances of a fleet.
type loadGenerator struct {
	fleet           *fleet.Fleet
	client          *caller.Client
	deadline        time.Duration
	resendTruncated bool // resendTruncated resends requests whose response was truncated.
}

// run sends the requests at their arrival times and returns them once the last one has ended.
func (l loadGenerator) run(ctx context.Context, arrivals []arrival) []sentRequest {
	start := time.Now()
	requests := make([]sentRequest, len(arrivals))
	var wg sync.WaitGroup
	for i, a := range arrivals {
		time.Sleep(time.Until(start.Add(a.at)))
		wg.Go(func() { requests[i] = l.send(ctx, a) })
	}
	wg.Wait()
	return requests
}

func (l loadGenerator) send(ctx context.Context, a arrival) sentRequest {
	s := sentRequest{arrival: a}
	s.response, s.instanceName = l.sendToReady(ctx, a)
	if l.resendTruncated && s.response.Truncated && ctx.Err() == nil {
		resent := l.sendUntilAccepted(ctx, a)
		s.resent = &resent
	}
	return s
}

// sendUntilAccepted sends a request again while it is refused with a Retry-After, after waiting for that time.
func (l loadGenerator) sendUntilAccepted(ctx context.Context, a arrival) caller.Response {
	for {
		response, _ := l.sendToReady(ctx, a)
		if response.Outcome != outcome.NotRun || response.RetryAfter == 0 || ctx.Err() != nil {
			return response
		}
		select {
		case <-time.After(response.RetryAfter):
		case <-ctx.Done():
		}
	}
}

// sendToReady sends a request to a ready instance, and to the next one if no connection is made, as a load balancer does.
// It returns the response and the name of the instance, empty if none was reached.
func (l loadGenerator) sendToReady(ctx context.Context, a arrival) (caller.Response, string) {
	response := caller.Response{Outcome: outcome.NotRun, Truncated: true, Started: time.Now()}
	for attempt := range connectAttempts {
		ready := l.fleet.Ready()
		if len(ready) == 0 {
			return response, ""
		}
		inst := ready[(a.instance+attempt)%len(ready)]
		response = l.client.Chat(ctx, caller.ChatRequest{
			Address: inst.ClientAddress(), Key: fleet.ClientKey(a.workspace), Pipeline: fleet.Pipeline,
			Prompt: a.prompt(), Tokens: a.outputTokens, Timeout: l.deadline,
		})
		if !response.Truncated || response.Outcome != outcome.NotRun {
			return response, inst.Name
		}
	}
	return response, ""
}

func (a arrival) prompt() string {
	return "how to darn " + a.id + strings.Repeat(" sock", a.promptWords)
}

// Percentiles are percentiles of N durations, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"P50"`
	P95 float64 `json:"P95"`
	P99 float64 `json:"P99"`
	N   int64   `json:"N"`
}

// recorder records durations of up to a minute, with three significant digits.
type recorder struct{ histogram *hdrhistogram.Histogram }

func newRecorder() recorder {
	return recorder{hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (r recorder) add(d time.Duration) {
	_ = r.histogram.RecordValue(min(max(d.Microseconds(), 1), time.Minute.Microseconds()))
}

func (r recorder) percentiles() Percentiles {
	at := func(q float64) float64 { return float64(r.histogram.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), N: r.histogram.TotalCount()}
}
