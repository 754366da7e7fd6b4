package drain_test

import (
	"context"
	"flag"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/drain"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// The seed is fixed so that failures are reproducible. The flag -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// TestCounter guards against a shutdown that interrupts a running request, never ends, or accepts new
// requests.
func TestCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var counter drain.Counter
		var running []func()
		draining := false
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				leave, err := counter.Enter()
				if (err != nil) != draining {
					t.Fatalf("with draining %t, Enter returned error %v", draining, err)
				}
				if err == nil {
					running = append(running, leave)
				} else if refusal.OutcomeOf(err) != outcome.NotRun || refusal.FromError(err).RetryAfter <= 0 {
					t.Fatalf("unexpected refusal %#v", err)
				}
			},
			"hold": func(*rapid.T) { running = append(running, counter.EnterDependent()) },
			"leave twice": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("no request runs")
				}
				running[0]()
				running[0]()
				running = running[1:]
			},
			"drain": func(*rapid.T) {
				counter.Drain()
				draining = true
			},
			"drain if idle": func(t *rapid.T) {
				if counter.DrainIfIdle() != (len(running) == 0) {
					t.Fatalf("DrainIfIdle returned %t with %d running requests", len(running) > 0, len(running))
				}
				draining = draining || len(running) == 0
			},
			"": func(t *rapid.T) {
				if counter.Running() != len(running) {
					t.Fatalf("%d requests are counted, but %d are running", counter.Running(), len(running))
				}
				if err := counter.Wait(ended); (err == nil) != (draining && len(running) == 0) {
					t.Fatalf("Wait returned %v with draining %t and %d running requests", err, draining, len(running))
				}
			},
		})
	})
}

// TestWait guards against a waiter that is not woken when the last request ends.
func TestWait(t *testing.T) {
	c := qt.New(t)
	var counter drain.Counter
	leave, err := counter.Enter()
	c.Assert(err, qt.IsNil)
	counter.Drain()
	waited := make(chan error, 1)
	go func() { waited <- counter.Wait(t.Context()) }()
	leave()
	c.Assert(<-waited, qt.IsNil)
}
