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

// Guards against a request that is refused as NotRun although its first stage was executed: the only engine of the
// second stage is dead, which no instance has detected yet (P3).
func TestP3StartedAnswerIsNotRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newHarness(c, proof.Options{Seed: 32, Instances: 1, EnginesPerHalf: 1})
	h.Engines[1].Kill()
	response := h.Client.Chat(context.Background(), caller.ChatRequest{
		Address: h.Instances()[0].ClientAddress(), Key: fleet.ClientKey(0), Pipeline: fleet.Pipeline, Prompt: "started", Tokens: 4, Timeout: 3 * time.Second,
	})
	c.Assert(response.Truncated, qt.IsFalse, qt.Commentf("%v", response.Err))
	c.Assert(h.HasExecuted("started"), qt.IsTrue)
	c.Assert(response.Outcome, qt.Not(qt.Equals), outcome.NotRun, qt.Commentf("%v", response.Err))
	c.Assert(response.Outcome, qt.Not(qt.Equals), outcome.Done)
	c.Logf("the request ended with outcome %s: %v", response.Outcome, response.Err)
}
