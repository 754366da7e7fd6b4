package proof_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proof"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

// newHarness starts a harness that is closed when the test ends.
func newHarness(c *qt.C, o proof.Options) *proof.Harness {
	ctx, cancel := context.WithCancel(context.Background())
	h, err := proof.New(ctx, o)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		h.Close()
		cancel()
	})
	return h
}

// Guards against a planned stop that truncates a stream or leaves a request without a response (P6).
func TestP6PlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newHarness(c, proof.Options{Seed: 61, Instances: 4})
	load := h.StartLoad(context.Background(), "stop", 61, 6, 25)
	for _, instance := range h.Instances() {
		added, err := h.AddInstance()
		c.Assert(err, qt.IsNil)
		c.Assert(eventually(10*time.Second, added.Ready), qt.IsTrue)
		first := h.Chat(context.Background(), added, "first", 1)
		c.Assert(first.Outcome, qt.Equals, outcome.Done, qt.Commentf("a new instance reported ready too early: %v", first.Err))
		c.Assert(instance.Stop(context.Background()), qt.IsNil)
		h.Remove(instance)
	}
	outcomes, findings := load.Stop()
	c.Assert(findings, qt.HasLen, 0)
	c.Assert(outcomes[outcome.Done] >= 6, qt.IsTrue, qt.Commentf("%v", outcomes))
	t.Logf("outcomes over 4 stops: %v %v", outcomes, load.ErrorCounts())
}

// Guards against a stopping instance that accepts new requests, delays a refusal, or exits before a long stream has
// ended (P6, P3).
func TestP6RequestAfterDrain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newHarness(c, proof.Options{Seed: 62, Instances: 1})
	instance := h.Instances()[0]
	c.Assert(h.SetTimeout(context.Background(), time.Minute), qt.IsNil)
	longResponse := make(chan caller.Response, 1)
	go func() { longResponse <- h.Chat(context.Background(), instance, "long", 50) }()
	c.Assert(eventually(10*time.Second, func() bool { return h.HasExecuted("long") }), qt.IsTrue)
	stopped := make(chan error, 1)
	go func() { stopped <- instance.Stop(context.Background()) }()
	c.Assert(eventually(10*time.Second, func() bool { return h.Chat(context.Background(), instance, "early", 1).Outcome == outcome.NotRun }), qt.IsTrue)
	refused := 0
	for ; len(longResponse) == 0 && refused < 20; refused++ {
		word := fmt.Sprintf("late%d", refused)
		assertRefusedImmediately(c, h, instance, word)
	}
	c.Assert(refused > 0, qt.IsTrue)
	response := <-longResponse
	c.Assert(response.Outcome, qt.Equals, outcome.Done, qt.Commentf("%v", response.Err))
	c.Assert(response.Text, qt.Equals, proof.ExpectedOutput("long", 50))
	c.Assert(<-stopped, qt.IsNil)
}

func assertRefusedImmediately(c *qt.C, h *proof.Harness, instance *fleet.NamedInstance, id string) {
	response := h.Chat(context.Background(), instance, id, 4)
	c.Assert(response.Outcome, qt.Equals, outcome.NotRun, qt.Commentf("%v", response.Err))
	if response.Status == 0 {
		return // The instance has exited, so no connection was made.
	}
	c.Assert(response.RetryAfter >= time.Second, qt.IsTrue)
	c.Assert(response.Ended.Sub(response.Started) < time.Second, qt.IsTrue, qt.Commentf("%v", response.Ended.Sub(response.Started)))
	c.Assert(h.HasExecuted(id), qt.IsFalse)
}

// eventually polls a condition until it holds or the timeout has passed, and reports whether it held.
func eventually(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// assertClosed waits for an event with a timeout, since a fault in the code under test may prevent it.
func assertClosed(c *qt.C, event <-chan struct{}) {
	c.Helper()
	select {
	case <-event:
	case <-time.After(10 * time.Second):
		c.Fatal("the expected write did not reach the table")
	}
}
