// Package demo shows the whole system in one process: two fleets of stand-ins on loopback, each
// configured from its questionnaire, with callers, a stage that is killed in the middle of
// answers, a target that is drained and an entry instance that is stopped.
//
// Usage:
//
//	report, err := demo.Run(ctx, os.Stdout)
//	if err == nil && report.Good() { ... }
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
	answerTokens      = 24
	// faultAfter lets the first answers stream before the stage is killed.
	faultAfter = 600 * time.Millisecond
	// arrivalPause spreads the questions over about two seconds.
	arrivalPause = 35 * time.Millisecond
)

// Report counts what the callers saw.
type Report struct {
	Requests int `json:"Requests"`
	Complete int `json:"Complete"` // Complete requests got their whole and right answer.
	Refused  int `json:"Refused"`  // Refused requests were told that they were not run.
	Lost     int `json:"Lost"`     // Lost requests got a wrong, partial or no answer, or an unknown outcome.
	Doubled  int `json:"Doubled"`  // Doubled orders were executed more than once.
}

// Good reports whether nothing was lost or doubled.
func (r Report) Good() bool {
	return r.Lost == 0 && r.Doubled == 0 && r.Complete > 0
}

func (r *Report) add(other Report) {
	r.Requests += other.Requests
	r.Complete += other.Complete
	r.Refused += other.Refused
	r.Lost += other.Lost
	r.Doubled += other.Doubled
}

// Run shows both fleets, one after the other, and says on w what happens.
func Run(ctx context.Context, w io.Writer) (Report, error) {
	var total Report
	for _, s := range scenes {
		report, err := show(ctx, w, s)
		if err != nil {
			return total, err
		}
		total.add(report)
	}
	return total, nil
}

func show(ctx context.Context, w io.Writer, s scene) (Report, error) {
	r, err := start(ctx, s)
	if err != nil {
		return Report{}, err
	}
	defer r.close()
	say(w, "%s", r.configuration.HeadOffice.Fleet)
	say(w, "  %d entry instances, %d model stages on 4 kinds of accelerators, 3 order-and-stock workers,", entries, len(r.engines))
	say(w, "  configured from the answers in %s", s.answers)

	audience := &audience{running: r, client: caller.New()}
	defer audience.client.Close()
	var callers sync.WaitGroup
	callers.Go(func() { audience.ask(ctx) })
	callers.Go(func() { audience.order(ctx) })
	time.Sleep(faultAfter)
	if err := r.disturb(ctx, w); err != nil {
		return Report{}, err
	}
	callers.Wait()
	audience.count()
	say(w, "  %d requests: %d complete, %d refused, %d lost, %d doubled; %d answers outlived a lost stage",
		audience.report.Requests, audience.report.Complete, audience.report.Refused, audience.report.Lost, audience.report.Doubled, r.regenerated())
	return audience.report, nil
}

// disturb kills a stage, drains a target and stops an entry instance, all while answers stream.
func (r *running) disturb(ctx context.Context, w io.Writer) error {
	killed, drained := r.engines[0], r.engines[len(r.engines)-1]
	killed.Kill()
	say(w, "  killed %s in the middle of answers", killed.Name())
	client := operator.NewClient("http://"+r.entries[0].OperatorAddress().String(), r.scene.keyPrefix+"operator")
	if _, err := client.Drain(ctx, drained.Name(), "demo"); err != nil {
		return err
	}
	say(w, "  drained %s", drained.Name())
	if err := r.entries[entries-1].Stop(ctx); err != nil {
		return err
	}
	say(w, "  stopped entry-%d after its last answer", entries)
	return nil
}

// regenerated counts the answers that were given by more than one route.
func (r *running) regenerated() int {
	again := make(map[string]bool)
	for _, e := range r.engines {
		for _, x := range e.Executions() {
			if x.Generation > 1 {
				again[x.Request] = true
			}
		}
	}
	return len(again)
}

func say(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// judge adds one answer to the report; right tells whether its text is the only right one.
func (r *Report) judge(a caller.Response, right bool) {
	r.Requests++
	switch {
	case a.Outcome == outcome.Done && right:
		r.Complete++
	case a.Outcome == outcome.NotRun && !a.Truncated:
		r.Refused++
	default:
		r.Lost++
	}
}
