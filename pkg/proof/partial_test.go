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
	w := newWorld(c, proof.Options{Seed: 32, Instances: 1, EnginesPerHalf: 1})
	w.Engines[1].Kill()
	a := w.Client.Chat(context.Background(), caller.ChatRequest{
		Address: w.Instances()[0].ClientAddress(), Key: fleet.ClientKey(0), Pipeline: fleet.Pipeline, Prompt: "started", Tokens: 4, Timeout: 3 * time.Second,
	})
	c.Assert(a.Truncated, qt.IsFalse, qt.Commentf("%v", a.Err))
	c.Assert(w.HasExecuted("started"), qt.IsTrue)
	c.Assert(a.Outcome, qt.Not(qt.Equals), outcome.NotRun, qt.Commentf("%v", a.Err))
	c.Assert(a.Outcome, qt.Not(qt.Equals), outcome.Done)
	c.Logf("the answer ended as %s: %v", a.Outcome, a.Err)
}
