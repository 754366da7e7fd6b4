package proof_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proof"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// leavingLimit is the promised time after which a leaving target gets no new work.
	leavingLimit = 3 * time.Second
	// stampSlack covers the time from a decision to the time stamp of its effect.
	stampSlack = 300 * time.Millisecond
	// observed is how long a test watches for new work after the limit.
	observed = 1500 * time.Millisecond
	// longTokens makes an answer last from before the departure to after the limit.
	longTokens = 60
)

// Guards against new work for a target that the list shows as leaving, and against cutting off what
// runs there (P5). The list is 2 s late.
func TestP5ListedAsLeaving(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(c, proof.Options{Seed: 51, Instances: 2, EnginesPerHalf: 2})
	const lag = 2 * time.Second
	time.Sleep(lag) // A late list must not show the time before the fleet was listed.
	w.Platform.SetFaults(platform.Faults{List: platform.Fault{Lag: lag}})
	answers, leaving := startLong(c, w)
	load := w.StartLoad(context.Background(), "listed", 51, 4, 3)
	lookups := startLookups(w)
	shown := time.Now().Add(lag)
	w.SetLeaving(leaving.Name(), true)
	w.SetLeaving("s0", true)
	limit := shown.Add(leavingLimit + stampSlack)
	known := waitKnown(c, w, leaving.Name(), limit)
	time.Sleep(time.Until(limit.Add(observed)))
	assertNoNewWork(c, leaving, limit)
	for _, at := range w.Services[0].ArrivalTimes() {
		c.Assert(at.Before(limit), qt.IsTrue, qt.Commentf("a lookup arrived %v after the list showed the departure", at.Sub(shown)))
	}
	c.Assert(lookups() > 0, qt.IsTrue)
	assertWhole(c, w, leaving, answers, known)
	_, findings := load.Stop()
	c.Assert(findings, qt.HasLen, 0)
}

// Guards against new work for a target that says itself that it leaves while the list is down (P5).
func TestP5TargetLeavesWhileListDown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(c, proof.Options{Seed: 52, Instances: 2, EnginesPerHalf: 2})
	answers, leaving := startLong(c, w)
	load := w.StartLoad(context.Background(), "announced", 52, 4, 3)
	w.Platform.SetFaults(platform.Faults{List: platform.Fault{Outage: platform.Refused}})
	left := time.Now()
	leaving.Leave()
	limit := left.Add(leavingLimit)
	known := waitKnown(c, w, leaving.Name(), limit)
	time.Sleep(time.Until(limit.Add(observed)))
	assertNoNewWork(c, leaving, limit)
	refused := leaving.RefusalsWhileLeaving()
	c.Logf("%d prefills were refused by the leaving engine", len(refused))
	for _, at := range refused {
		c.Assert(at.Before(limit), qt.IsTrue, qt.Commentf("a prefill was sent %v after the announcement", at.Sub(left)))
	}
	assertWhole(c, w, leaving, answers, known)
	_, findings := load.Stop()
	c.Assert(findings, qt.HasLen, 0)
}

// startLong starts long answers, and returns an engine that runs the first stage of one.
func startLong(c *qt.C, w *proof.Harness) (<-chan caller.Response, *engine.Server) {
	const streams = 4
	c.Assert(w.SetTimeout(context.Background(), time.Minute), qt.IsNil)
	answers := make(chan caller.Response, streams)
	for n := range streams {
		go func() { answers <- w.Chat(context.Background(), w.Instances()[n%2], "long", longTokens) }()
	}
	running := eventually(10*time.Second, func() bool { return len(longRequests(w)) == streams || len(answers) > 0 })
	if len(answers) > 0 {
		a := <-answers
		c.Fatalf("a long answer ended early as %s: %v", a.Outcome, a.Err)
	}
	c.Assert(running, qt.IsTrue, qt.Commentf("%d of %d long answers run: %s", len(longRequests(w)), streams, w.LogLines("stage failed")))
	first := slices.IndexFunc(w.Engines, func(e *engine.Server) bool {
		return slices.ContainsFunc(e.Executions(), func(x engine.Execution) bool { return strings.Contains(x.Prompt, "long") })
	})
	return answers, w.Engines[first]
}

// longRequests returns the IDs of the long answers that run or ran.
func longRequests(w *proof.Harness) map[string]bool {
	found := map[string]bool{}
	for _, e := range w.Engines {
		for _, x := range e.Executions() {
			if strings.Contains(x.Prompt, "long") {
				found[x.Request] = true
			}
		}
	}
	return found
}

// waitKnown waits until no instance accepts the target for new work, and returns when that was.
func waitKnown(c *qt.C, w *proof.Harness, name string, limit time.Time) time.Time {
	known := func() bool {
		for _, m := range w.Instances() {
			state, err := w.Operator(m).State(context.Background())
			if err != nil || slices.ContainsFunc(state.Targets, func(t target.Target) bool { return t.Name == name && t.AcceptsRequests() }) {
				return false
			}
		}
		return true
	}
	c.Assert(eventually(time.Until(limit), known), qt.IsTrue)
	return time.Now()
}

// startLookups looks up stock until the returned function is called, which returns the number of whole answers.
func startLookups(w *proof.Harness) func() int {
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
			if w.LookUpStock(context.Background(), w.Instances()[whole%2], "sock").Outcome == outcome.Done {
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

// assertWhole asserts that the long answers are right, that none was moved away because the engine
// leaves, and that some of their steps ran there after the given time. A step that is slow on a busy
// machine may move an answer all the same.
func assertWhole(c *qt.C, w *proof.Harness, e *engine.Server, answers <-chan caller.Response, after time.Time) {
	for range cap(answers) {
		a := <-answers
		c.Assert(a.Outcome, qt.Equals, outcome.Done, qt.Commentf("%v", a.Err))
		c.Assert(a.Text, qt.Equals, proof.ExpectedOutput("long", longTokens))
	}
	long := longRequests(w)
	steps := 0
	for _, x := range e.Executions() {
		if long[x.Request] && x.At.After(after) {
			steps++
		}
	}
	moved := 0
	for request := range long {
		moved += len(w.LogLines(request, `"Target":"`+e.Name()+`"`))
		c.Assert(w.LogLines(request, `"Generation":1,`, `"Fault":"Leaving"`), qt.HasLen, 0)
	}
	c.Assert(steps > 0 || moved > 0, qt.IsTrue, qt.Commentf("no running answer went on at the leaving engine"))
	c.Logf("after it left, %d steps of running answers ran at the engine; %d answers were moved for other reasons", steps, moved)
}
