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

// newWorld starts a world that ends with the test.
func newWorld(c *qt.C, o proof.Options) *proof.Harness {
	ctx, cancel := context.WithCancel(context.Background())
	w, err := proof.New(ctx, o)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		w.Close()
		cancel()
	})
	return w
}

// Guards against a planned stop that cuts off a stream or leaves a request without an answer (P6).
func TestP6PlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(c, proof.Options{Seed: 61, Instances: 4})
	load := w.StartLoad(context.Background(), "stop", 61, 6, 25)
	for _, m := range w.Instances() {
		added, err := w.AddInstance()
		c.Assert(err, qt.IsNil)
		c.Assert(eventually(10*time.Second, added.Ready), qt.IsTrue)
		first := w.Chat(context.Background(), added, "first", 1)
		c.Assert(first.Outcome, qt.Equals, outcome.Done, qt.Commentf("a new instance was ready too early: %v", first.Err))
		c.Assert(m.Stop(context.Background()), qt.IsNil)
		w.Remove(m)
	}
	outcomes, findings := load.Stop()
	c.Assert(findings, qt.HasLen, 0)
	c.Assert(outcomes[outcome.Done] >= 6, qt.IsTrue, qt.Commentf("%v", outcomes))
	t.Logf("outcomes over 4 stops: %v %v", outcomes, load.ErrorCounts())
}

// Guards against a stopping instance that takes new work, holds a refusal back, or exits before a
// long stream has ended (P6, P3).
func TestP6RequestAfterDrain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(c, proof.Options{Seed: 62, Instances: 1})
	m := w.Instances()[0]
	c.Assert(w.SetTimeout(context.Background(), time.Minute), qt.IsNil)
	long := make(chan caller.Response, 1)
	go func() { long <- w.Chat(context.Background(), m, "long", 50) }()
	c.Assert(eventually(10*time.Second, func() bool { return w.HasExecuted("long") }), qt.IsTrue)
	stopped := make(chan error, 1)
	go func() { stopped <- m.Stop(context.Background()) }()
	c.Assert(eventually(10*time.Second, func() bool { return w.Chat(context.Background(), m, "early", 1).Outcome == outcome.NotRun }), qt.IsTrue)
	refused := 0
	for ; len(long) == 0 && refused < 20; refused++ {
		word := fmt.Sprintf("late%d", refused)
		assertRefusedAtOnce(c, w, m, word)
	}
	c.Assert(refused > 0, qt.IsTrue)
	a := <-long
	c.Assert(a.Outcome, qt.Equals, outcome.Done, qt.Commentf("%v", a.Err))
	c.Assert(a.Text, qt.Equals, proof.ExpectedOutput("long", 50))
	c.Assert(<-stopped, qt.IsNil)
}

func assertRefusedAtOnce(c *qt.C, w *proof.Harness, m *fleet.NamedInstance, word string) {
	a := w.Chat(context.Background(), m, word, 4)
	c.Assert(a.Outcome, qt.Equals, outcome.NotRun, qt.Commentf("%v", a.Err))
	if a.Status == 0 {
		return // The instance has ended, so no connection was made.
	}
	c.Assert(a.RetryAfter >= time.Second, qt.IsTrue)
	c.Assert(a.Ended.Sub(a.Started) < time.Second, qt.IsTrue, qt.Commentf("%v", a.Ended.Sub(a.Started)))
	c.Assert(w.HasExecuted(word), qt.IsFalse)
}

// eventually polls a condition until it holds or the time has passed.
func eventually(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// assertClosed waits for an event that a broken mechanism may never cause.
func assertClosed(c *qt.C, event <-chan struct{}) {
	c.Helper()
	select {
	case <-event:
	case <-time.After(10 * time.Second):
		c.Fatal("the expected write did not reach the table")
	}
}
