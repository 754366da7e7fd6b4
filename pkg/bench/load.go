// Package bench measures throughput, recovery and overhead on a whole fleet on loopback.
//
// All figures are taken from outside: what callers got and when, and the processor time of the
// process. The seed fixes links and arrivals, so that policies are compared on the same arrivals.
//
// Usage:
//
//	result, err := bench.Throughput(ctx, bench.Options{Seed: 1, Duration: 8 * time.Second, Start: start})
//	err = result.Write(os.Stdout)
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
	defaultDuration = 5 * time.Second
	defaultEntries  = 12
	// warmUp is the time before the measured window, in which streams build up.
	warmUp = 2 * time.Second
	// readyLimit is the time that a new fleet has to become ready.
	readyLimit = 30 * time.Second
	// defaultDeadline is the timeout of the fleet's configuration. The stand-ins are slowed 16 times, so
	// that 78 ms between tokens become 1.25 s, and the slowest kind needs 10 s for 24 tokens in a full batch.
	defaultDeadline = 20 * time.Second
	// connectAttempts is the number of instances that a question is tried at.
	connectAttempts = 4
	// meanTokens is the mean length of an answer; lengths are uniform from 8 to 24.
	meanTokens, spreadTokens = 16, 8
)

// Options are the seed and the sizes of a measurement.
type Options struct {
	Seed     uint64
	Duration time.Duration // Duration is that of each measured window.
	Entries  int
	Deadline time.Duration // Deadline is that of every question.
	Policies []string      // Policies are the routing policies that Throughput compares.
	Load     float64       // Load is that of Recovery, relative to the bound.
	Start    fleet.StartInstance
}

func (o Options) withDefaults() Options {
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	if o.Entries == 0 {
		o.Entries = defaultEntries
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

// startFleet starts a fleet and waits until all entry instances serve callers.
func (o Options) startFleet(ctx context.Context, f fleet.Options) (*fleet.Fleet, error) {
	f.Seed, f.Start = o.Seed, o.Start
	running, err := fleet.New(ctx, f)
	if err != nil {
		return nil, err
	}
	if err := running.WaitReady(ctx, f.Instances, readyLimit); err != nil {
		running.Close()
		return nil, err
	}
	return running, nil
}

// arrival is one question of the load.
type arrival struct {
	at        time.Duration
	id        string
	workspace int
	words     int
	tokens    int
	entry     int
}

// arrivals draws questions at a mean rate of tokens/s. The same seed draws the same ones.
func arrivals(seed uint64, tokenRate float64, length time.Duration) []arrival {
	r := rand.New(rand.NewPCG(seed, 4))
	var drawn []arrival
	for at := time.Duration(0); at < length; {
		drawn = append(drawn, arrival{
			at: at, id: fmt.Sprintf("q-%d", len(drawn)), workspace: fleet.DrawWorkspace(r), words: 2 + r.IntN(20),
			tokens: meanTokens - spreadTokens + r.IntN(2*spreadTokens+1), entry: r.IntN(1 << 20),
		})
		at += time.Duration(r.ExpFloat64() * meanTokens / tokenRate * float64(time.Second))
	}
	return drawn
}

// sent is a question and its answer.
type sent struct {
	arrival
	sentTo string
	answer caller.Response
	again  *caller.Response // again is the answer to the resend of a broken one.
}

// load sends questions to the ready instances of a fleet.
type load struct {
	fleet    *fleet.Fleet
	client   *caller.Client
	deadline time.Duration
	resend   bool // resend asks again where an answer broke.
}

// play sends the questions at their times and returns all answers once the last has ended.
func (l load) play(ctx context.Context, questions []arrival) []sent {
	began := time.Now()
	answers := make([]sent, len(questions))
	var sending sync.WaitGroup
	for i, q := range questions {
		time.Sleep(time.Until(began.Add(q.at)))
		sending.Go(func() { answers[i] = l.send(ctx, q) })
	}
	sending.Wait()
	return answers
}

func (l load) send(ctx context.Context, q arrival) sent {
	s := sent{arrival: q}
	s.answer, s.sentTo = l.ask(ctx, q)
	if l.resend && s.answer.Truncated && ctx.Err() == nil {
		again := l.askAgain(ctx, q)
		s.again = &again
	}
	return s
}

// askAgain asks until the question is not refused, and comes back when a refusal says.
func (l load) askAgain(ctx context.Context, q arrival) caller.Response {
	for {
		a, _ := l.ask(ctx, q)
		if a.Outcome != outcome.NotRun || a.RetryAfter == 0 || ctx.Err() != nil {
			return a
		}
		select {
		case <-time.After(a.RetryAfter):
		case <-ctx.Done():
		}
	}
}

// ask sends a question to a ready instance, or to the next where no connection is made, as a
// balancer does.
func (l load) ask(ctx context.Context, q arrival) (caller.Response, string) {
	a := caller.Response{Outcome: outcome.NotRun, Truncated: true, Started: time.Now()}
	for attempt := range connectAttempts {
		ready := l.fleet.Ready()
		if len(ready) == 0 {
			return a, ""
		}
		m := ready[(q.entry+attempt)%len(ready)]
		a = l.client.Chat(ctx, caller.ChatRequest{
			Address: m.ClientAddress(), Key: fleet.ClientKey(q.workspace), Pipeline: fleet.Pipeline,
			Prompt: q.prompt(), Tokens: q.tokens, Timeout: l.deadline,
		})
		if !a.Truncated || a.Outcome != outcome.NotRun {
			return a, m.Name
		}
	}
	return a, ""
}

func (q arrival) prompt() string {
	return "how to darn " + q.id + strings.Repeat(" sock", q.words)
}

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"P50"`
	P95 float64 `json:"P95"`
	P99 float64 `json:"P99"`
	N   int64   `json:"N"`
}

// recorder collects durations of up to a minute to three digits.
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
