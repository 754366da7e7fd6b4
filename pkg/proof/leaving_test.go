package proof_test

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proof"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

const (
	// leavingLimit is the promised time after which a leaving target gets no new work.
	leavingLimit = 3 * time.Second
	// stampSlack covers the time from a decision to the time stamp of its effect.
	stampSlack = 300 * time.Millisecond
	// observed is how long a test watches for new work after the limit.
	observed = 1500 * time.Millisecond
	// longTokens makes an answer last from before the departure to after the limit.
	longTokens = 150
)

// Guards against new work for a target that the list shows as leaving, and against cutting off what
// runs there (P5). The list is 2 s late.
func TestP5ListedAsLeaving(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(c, proof.Options{Seed: 51, Entries: 2, Halves: 2})
	const lag = 2 * time.Second
	w.Platform.SetFaults(platform.Faults{List: platform.Fault{Lag: lag}})
	answers := startLong(c, w, w.Engines[0])
	load := w.StartLoad(context.Background(), "listed", 51, 4, 3)
	lookups := startLookups(w)
	shown := time.Now().Add(lag)
	w.SetLeaving("w00", true)
	w.SetLeaving("s0", true)
	limit := shown.Add(leavingLimit + stampSlack)
	time.Sleep(time.Until(limit.Add(observed)))
	assertNoNewWork(c, w.Engines[0], limit)
	for _, at := range w.Services[0].Arrivals() {
		c.Assert(at.Before(limit), qt.IsTrue, qt.Commentf("a lookup arrived %v after the list showed the departure", at.Sub(shown)))
	}
	c.Assert(lookups() > 0, qt.IsTrue)
	assertWhole(c, w, w.Engines[0], answers, shown)
	_, findings := load.Stop()
	c.Assert(findings, qt.HasLen, 0)
}

// Guards against new work for a target that says itself that it leaves while the list is down (P5).
func TestP5TargetLeavesWhileListDown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(c, proof.Options{Seed: 52, Entries: 2, Halves: 2})
	answers := startLong(c, w, w.Engines[0])
	load := w.StartLoad(context.Background(), "announced", 52, 4, 3)
	w.Platform.SetFaults(platform.Faults{List: platform.Fault{Outage: platform.Refused}})
	left := time.Now()
	w.Engines[0].Leave()
	limit := left.Add(leavingLimit)
	time.Sleep(time.Until(limit.Add(observed)))
	assertNoNewWork(c, w.Engines[0], limit)
	refused := w.Engines[0].RefusedLeaving()
	c.Logf("%d prefills were refused by the leaving engine", len(refused))
	for _, at := range refused {
		c.Assert(at.Before(limit), qt.IsTrue, qt.Commentf("a prefill was sent %v after the announcement", at.Sub(left)))
	}
	assertWhole(c, w, w.Engines[0], answers, left)
	_, findings := load.Stop()
	c.Assert(findings, qt.HasLen, 0)
}

// startLong starts long answers until one runs on the engine.
func startLong(c *qt.C, w *proof.World, e *engine.Server) <-chan caller.Answer {
	const streams = 4
	answers := make(chan caller.Answer, streams)
	for n := range streams {
		go func() { answers <- w.Ask(context.Background(), w.Entries()[n%2], "long", longTokens) }()
	}
	c.Assert(eventually(5*time.Second, func() bool { return len(e.Executions()) > streams }), qt.IsTrue)
	return answers
}

// startLookups looks up stock until the returned function is called, which returns the number of whole answers.
func startLookups(w *proof.World) func() int {
	stop, done := make(chan struct{}), make(chan int)
	go func() {
		whole := 0
		for {
			select {
			case <-stop:
				done <- whole
				return
			case <-time.After(20 * time.Millisecond):
			}
			if w.Lookup(context.Background(), w.Entries()[whole%2], "sock").Outcome == outcome.Done {
				whole++
			}
		}
	}()
	return func() int {
		close(stop)
		return <-done
	}
}

func assertNoNewWork(c *qt.C, e *engine.Server, limit time.Time) {
	for _, x := range e.Executions() {
		late := x.Position == 0 && x.At.After(limit)
		c.Assert(late, qt.IsFalse, qt.Commentf("%s got %s %v after the limit", x.Target, x.Request, x.At.Sub(limit)))
	}
}

// assertWhole asserts that the long answers are right, that none was moved to another engine, and
// that some of their steps ran on the engine after it left.
func assertWhole(c *qt.C, w *proof.World, e *engine.Server, answers <-chan caller.Answer, left time.Time) {
	for range cap(answers) {
		a := <-answers
		c.Assert(a.Outcome, qt.Equals, outcome.Done, qt.Commentf("%v", a.Err))
		c.Assert(a.Text, qt.Equals, proof.Want("long", longTokens))
	}
	long, first := map[string]bool{}, map[string]uint32{}
	for _, other := range w.Engines {
		for _, x := range other.Executions() {
			long[x.Request] = long[x.Request] || strings.Contains(x.Prompt, "long")
		}
	}
	after := 0
	for _, x := range e.Executions() {
		if !long[x.Request] {
			continue
		}
		generation, known := first[x.Request]
		c.Assert(!known || generation == x.Generation, qt.IsTrue, qt.Commentf("%s started again", x.Request))
		first[x.Request] = x.Generation
		if x.At.After(left) {
			after++
		}
	}
	c.Assert(after > 0, qt.IsTrue, qt.Commentf("no running answer went on at the leaving engine"))
	c.Logf("%d steps of running answers ran at the leaving engine after it left", after)
}
