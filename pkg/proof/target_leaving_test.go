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
	// leavingLimit is the promised time after which a leaving target receives no new requests.
	leavingLimit = 3 * time.Second
	// timestampTolerance covers the time between a decision and the timestamp of its effect.
	timestampTolerance = 300 * time.Millisecond
	// observationTime is how long a test watches for new requests after the limit.
	observationTime = 1500 * time.Millisecond
	// longTokens makes a stream last from before the target is leaving until after the limit.
	longTokens = 60
)

// Guards against new requests on a target that the list shows as leaving, and against truncating streams that run there
// (P5). The list is delayed by 2 s.
func TestP5ListedAsLeaving(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newHarness(c, proof.Options{Seed: 51, Instances: 2, EnginesPerHalf: 2})
	const lag = 2 * time.Second
	time.Sleep(lag) // The delayed list must not show the state before the fleet was listed.
	h.Platform.SetFaults(platform.Faults{List: platform.Fault{Lag: lag}})
	responses, leaving := startLongStreams(c, h)
	load := h.StartLoad(context.Background(), "listed", 51, 4, 3)
	lookups := startLookups(h)
	listedAt := time.Now().Add(lag)
	h.SetLeaving(leaving.Name(), true)
	h.SetLeaving("s0", true)
	limit := listedAt.Add(leavingLimit + timestampTolerance)
	excludedAt := waitExcluded(c, h, leaving.Name(), limit)
	time.Sleep(time.Until(limit.Add(observationTime)))
	assertNoNewRequests(c, leaving, limit)
	for _, at := range h.Services[0].ArrivalTimes() {
		c.Assert(at.Before(limit), qt.IsTrue, qt.Commentf("a lookup arrived %v after the list showed the target as leaving", at.Sub(listedAt)))
	}
	c.Assert(lookups() > 0, qt.IsTrue)
	assertStreamsComplete(c, h, leaving, responses, excludedAt)
	_, findings := load.Stop()
	c.Assert(findings, qt.HasLen, 0)
}

// Guards against new requests on a target that reports itself as leaving while the list is unavailable (P5).
func TestP5TargetLeavesWhileListDown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newHarness(c, proof.Options{Seed: 52, Instances: 2, EnginesPerHalf: 2})
	responses, leaving := startLongStreams(c, h)
	load := h.StartLoad(context.Background(), "announced", 52, 4, 3)
	h.Platform.SetFaults(platform.Faults{List: platform.Fault{Outage: platform.Refused}})
	announcedAt := time.Now()
	leaving.Leave()
	limit := announcedAt.Add(leavingLimit)
	excludedAt := waitExcluded(c, h, leaving.Name(), limit)
	time.Sleep(time.Until(limit.Add(observationTime)))
	assertNoNewRequests(c, leaving, limit)
	refused := leaving.RefusalsWhileLeaving()
	c.Logf("%d prefills were refused by the leaving engine", len(refused))
	for _, at := range refused {
		c.Assert(at.Before(limit), qt.IsTrue, qt.Commentf("a prefill was sent %v after the announcement", at.Sub(announcedAt)))
	}
	assertStreamsComplete(c, h, leaving, responses, excludedAt)
	_, findings := load.Stop()
	c.Assert(findings, qt.HasLen, 0)
}

// startLongStreams starts long streams and returns an engine that runs the first stage of one of them.
func startLongStreams(c *qt.C, h *proof.Harness) (<-chan caller.Response, *engine.Server) {
	const streams = 4
	c.Assert(h.SetTimeout(context.Background(), time.Minute), qt.IsNil)
	responses := make(chan caller.Response, streams)
	for n := range streams {
		go func() { responses <- h.Chat(context.Background(), h.Instances()[n%2], "long", longTokens) }()
	}
	running := eventually(10*time.Second, func() bool { return len(longRequestIDs(h)) == streams || len(responses) > 0 })
	if len(responses) > 0 {
		response := <-responses
		c.Fatalf("a long stream ended early with outcome %s: %v", response.Outcome, response.Err)
	}
	c.Assert(running, qt.IsTrue, qt.Commentf("%d of %d long streams are running: %s", len(longRequestIDs(h)), streams, h.LogLines("stage failed")))
	first := slices.IndexFunc(h.Engines, func(e *engine.Server) bool {
		return slices.ContainsFunc(e.Executions(), func(x engine.Execution) bool { return strings.Contains(x.Prompt, "long") })
	})
	return responses, h.Engines[first]
}

// longRequestIDs returns the request IDs of the long streams that are or were running.
func longRequestIDs(h *proof.Harness) map[string]bool {
	found := map[string]bool{}
	for _, e := range h.Engines {
		for _, x := range e.Executions() {
			if strings.Contains(x.Prompt, "long") {
				found[x.Request] = true
			}
		}
	}
	return found
}

// waitExcluded waits until no instance accepts the target for new requests, and returns the time at which it observed
// this.
func waitExcluded(c *qt.C, h *proof.Harness, name string, limit time.Time) time.Time {
	excluded := func() bool {
		for _, instance := range h.Instances() {
			state, err := h.Operator(instance).State(context.Background())
			if err != nil || slices.ContainsFunc(state.Targets, func(t target.Target) bool { return t.Name == name && t.AcceptsRequests() }) {
				return false
			}
		}
		return true
	}
	c.Assert(eventually(time.Until(limit), excluded), qt.IsTrue)
	return time.Now()
}

// startLookups sends stock lookups until the returned function is called, which returns the number of complete
// responses.
func startLookups(h *proof.Harness) func() int {
	stop, done := make(chan struct{}), make(chan int)
	go func() {
		completed := 0
		for {
			select {
			case <-stop:
				done <- completed
				return
			case <-time.After(20 * time.Millisecond):
			}
			if h.LookUpStock(context.Background(), h.Instances()[completed%2], "sock").Outcome == outcome.Done {
				completed++
			}
		}
	}()
	return func() int {
		close(stop)
		return <-done
	}
}

func assertNoNewRequests(c *qt.C, e *engine.Server, limit time.Time) {
	for _, x := range e.Executions() {
		late := x.Position == 0 && x.At.After(limit)
		c.Assert(late, qt.IsFalse, qt.Commentf("%s received %s %v after the limit", x.Target, x.Request, x.At.Sub(limit)))
	}
}

// assertStreamsComplete asserts that the long streams have the expected output, that none was migrated because the
// engine is leaving, and that some of their steps ran there after the given time. On a busy machine, a slow step may
// still cause a migration.
func assertStreamsComplete(c *qt.C, h *proof.Harness, e *engine.Server, responses <-chan caller.Response, after time.Time) {
	for range cap(responses) {
		response := <-responses
		c.Assert(response.Outcome, qt.Equals, outcome.Done, qt.Commentf("%v", response.Err))
		c.Assert(response.Text, qt.Equals, proof.ExpectedOutput("long", longTokens))
	}
	ids := longRequestIDs(h)
	steps := 0
	for _, x := range e.Executions() {
		if ids[x.Request] && x.At.After(after) {
			steps++
		}
	}
	migrated := 0
	for request := range ids {
		migrated += len(h.LogLines(request, `"Target":"`+e.Name()+`"`))
		c.Assert(h.LogLines(request, `"Generation":1,`, `"Fault":"Leaving"`), qt.HasLen, 0)
	}
	c.Assert(steps > 0 || migrated > 0, qt.IsTrue, qt.Commentf("no running stream continued on the leaving engine"))
	c.Logf("%d steps of running streams ran on the engine after it was leaving; %d streams were migrated for other reasons", steps, migrated)
}
