package proof_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/proof"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

// Guards against a saturated fleet that delays refusals, refuses as NotRun what it executed, or returns the response of
// another client (P3, P2).
func TestP3FullFleetRefusesAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const (
		requestCount = 100
		tokens       = 10
		timeout      = 3 * time.Second
		refusalLimit = time.Second
		warmUp       = 60 // warmUp is the number of responses after which the rates measured by the instances are stable.
	)
	h := newHarness(c, proof.Options{Seed: 31, Instances: 2, EnginesPerHalf: 2, Slowdown: 16})
	// The instances estimate from the rate of finished responses whether a deadline can be met, so the fleet is saturated
	// for some time first.
	load := h.StartLoad(context.Background(), "crowd", 31, 20, tokens)
	c.Assert(eventually(15*time.Second, func() bool { return load.Completed() >= warmUp }), qt.IsTrue, qt.Commentf("%d responses", load.Completed()))
	responses := make([]caller.Response, requestCount)
	var sending sync.WaitGroup
	for n := range responses {
		sending.Go(func() {
			responses[n] = h.Client.Chat(context.Background(), caller.ChatRequest{
				Address: h.Instances()[n%2].ClientAddress(), Key: fleet.ClientKey(n % fleet.Workspaces), Pipeline: fleet.Pipeline,
				Prompt: prompt(n), Tokens: tokens, Timeout: timeout,
			})
		})
	}
	sending.Wait()
	counts, late := map[outcome.Outcome]int{}, 0
	for n, response := range responses {
		counts[response.Outcome]++
		if response.Outcome != outcome.NotRun {
			assertPartialOrDone(c, response, n, tokens)
			continue
		}
		c.Assert(proof.CheckResponse(response, prompt(n), tokens), qt.IsNil)
		c.Assert(h.HasExecuted(word(n)), qt.IsFalse, qt.Commentf("%s was executed although it was refused as NotRun", word(n)))
		if response.Ended.Sub(response.Started) > refusalLimit {
			late++
			c.Logf("late refusal of %s by %s after %v: %d %s %v", word(n), h.Instances()[n%2].ClientAddress(), response.Ended.Sub(response.Started), response.Status, response.Code, response.Err)
		}
	}
	c.Assert(counts[outcome.NotRun] > requestCount/3, qt.IsTrue, qt.Commentf("%v", counts))
	c.Logf("outcomes %v; %d refusals came after %v", counts, late, refusalLimit)
	// If the machine slows down, queued requests that could still meet their deadline before are refused later.
	c.Assert(late <= counts[outcome.NotRun]/4, qt.IsTrue, qt.Commentf("%d refusals came after %v", late, refusalLimit))
	outcomes, findings := load.Stop()
	c.Assert(findings, qt.HasLen, 0)
	c.Assert(outcomes[outcome.Done] > 0, qt.IsTrue, qt.Commentf("%v", outcomes))
}

func word(n int) string   { return fmt.Sprintf("<%d>", n) }
func prompt(n int) string { return "how to darn " + word(n) }

// assertPartialOrDone asserts that the response to an executed request is the expected output, or a prefix of it with a
// stated end.
func assertPartialOrDone(c *qt.C, response caller.Response, n, tokens int) {
	c.Assert(response.Truncated, qt.IsFalse, qt.Commentf("%v", response.Err))
	expected := proof.ExpectedOutput(prompt(n), tokens)
	if response.Outcome == outcome.Done {
		c.Assert(response.Text, qt.Equals, expected)
		return
	}
	c.Assert(len(response.Text) < len(expected) && expected[:len(response.Text)] == response.Text, qt.IsTrue, qt.Commentf("%q is not a prefix of %q", response.Text, expected))
}
