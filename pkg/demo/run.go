// Package demo runs the whole system in one process: one after the other, two fleets of instances and
// stand-ins on loopback, each configured from its answers to the questionnaire. While clients send requests,
// the demo kills the engine of a stage in the middle of responses, drains a target and stops an instance.
//
// Usage:
//
//	report, err := demo.Run(ctx, os.Stdout)
//	if err == nil && report.Passed() { ... }
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
)

const (
	questionsPerFleet = 60
	ordersPerFleet    = 20
	outputTokens      = 24
	// faultDelay lets the first responses stream before the stage is killed.
	faultDelay = 600 * time.Millisecond
	// arrivalInterval is the time between two questions. It spreads the questions over about two seconds.
	arrivalInterval = 35 * time.Millisecond
)

// Report counts requests by their outcome, as the clients observe it.
type Report struct {
	Requests int `json:"Requests"`
	Complete int `json:"Complete"` // Complete counts requests with a complete and correct response.
	Refused  int `json:"Refused"`  // Refused counts requests that were refused and not executed.
	Lost     int `json:"Lost"`     // Lost counts requests with an incorrect, partial or no response, or an unknown outcome.
	Doubled  int `json:"Doubled"`  // Doubled counts orders that were executed more than once.
}

// Passed reports whether some requests completed, none was lost and no order was executed more than once.
func (r Report) Passed() bool {
	return r.Lost == 0 && r.Doubled == 0 && r.Complete > 0
}

func (r *Report) add(other Report) {
	r.Requests += other.Requests
	r.Complete += other.Complete
	r.Refused += other.Refused
	r.Lost += other.Lost
	r.Doubled += other.Doubled
}

// Run runs the scenario of each example fleet, one after the other, and prints its progress to w. The report
// covers both.
func Run(ctx context.Context, w io.Writer) (Report, error) {
	var total Report
	for _, s := range scenarios {
		report, err := runScenario(ctx, w, s)
		if err != nil {
			return total, err
		}
		total.add(report)
	}
	return total, nil
}

func runScenario(ctx context.Context, w io.Writer, s scenario) (Report, error) {
	r, err := start(ctx, s)
	if err != nil {
		return Report{}, err
	}
	defer r.close()
	printLine(w, "%s", r.configuration.HeadOffice.Fleet)
	printLine(w, "  %d instances, %d engines on 4 kinds of accelerators, 3 targets of the order and stock services,",
		instanceCount, len(r.engines))
	printLine(w, "  configured from the answers in %s", s.answers)

	generator := &loadGenerator{fleet: r, client: caller.New()}
	defer generator.client.Close()
	var clients sync.WaitGroup
	clients.Go(func() { generator.sendQuestions(ctx) })
	clients.Go(func() { generator.sendOrders(ctx) })
	time.Sleep(faultDelay)
	if err := r.injectFaults(ctx, w); err != nil {
		return Report{}, err
	}
	clients.Wait()
	generator.countDoubled()
	printLine(w, "  %d requests: %d complete, %d refused, %d lost, %d doubled; %d requests changed path",
		generator.report.Requests, generator.report.Complete, generator.report.Refused, generator.report.Lost,
		generator.report.Doubled, r.changedPaths())
	return generator.report, nil
}

// injectFaults kills an engine, drains a target and stops an instance, all while responses stream.
func (r *runningFleet) injectFaults(ctx context.Context, w io.Writer) error {
	killed, drained := r.engines[0], r.engines[len(r.engines)-1]
	killed.Kill()
	printLine(w, "  killed %s in the middle of responses", killed.Name())
	client := operator.NewClient("http://"+r.instances[0].OperatorAddress().String(), r.scenario.keyPrefix+"operator")
	if _, err := client.Drain(ctx, drained.Name(), "demo"); err != nil {
		return err
	}
	printLine(w, "  drained %s", drained.Name())
	if err := r.instances[instanceCount-1].Stop(ctx); err != nil {
		return err
	}
	printLine(w, "  stopped entry-%d after its last response", instanceCount)
	return nil
}

// changedPaths returns the number of requests whose path changed, which are those with a step of a
// generation above 1.
func (r *runningFleet) changedPaths() int {
	requests := make(map[string]bool)
	for _, e := range r.engines {
		for _, x := range e.Executions() {
			if x.Generation > 1 {
				requests[x.Request] = true
			}
		}
	}
	return len(requests)
}

func printLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// record counts one request. correct reports whether its response has the only correct text.
func (r *Report) record(response caller.Response, correct bool) {
	r.Requests++
	switch {
	case response.Outcome == outcome.Done && correct:
		r.Complete++
	case response.Outcome == outcome.NotRun && !response.Truncated:
		r.Refused++
	default:
		r.Lost++
	}
}
