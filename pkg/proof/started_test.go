package proof_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proof"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

// Guards against an answer that is refused as NotRun although its first stage ran: the only engine
// of the second stage has died and nobody knows yet (P3).
func TestP3StartedAnswerIsNotRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(c, proof.Options{Seed: 32, Entries: 1, Halves: 1})
	w.Engines[1].Kill()
	a := w.Client.Ask(context.Background(), caller.Question{
		Address: w.Entries()[0].Callers(), Key: fleet.CallerKey(0), Pipeline: fleet.Pipeline, Prompt: "started", Tokens: 4, Timeout: 3 * time.Second,
	})
	c.Assert(a.Broken, qt.IsFalse, qt.Commentf("%v", a.Err))
	c.Assert(w.Ran("started"), qt.IsTrue)
	c.Assert(a.Outcome, qt.Not(qt.Equals), outcome.NotRun, qt.Commentf("%v", a.Err))
	c.Assert(a.Outcome, qt.Not(qt.Equals), outcome.Done)
	c.Logf("the answer ended as %s: %v", a.Outcome, a.Err)
}
