package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/engine"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	standin "github.com/cuminroute/cuminroute/pkg/standin/engine"
)

// serve starts an engine that calls write to respond to a batch of steps.
func serve(c *qt.C, write func(w http.ResponseWriter, r *http.Request, batch *enginepb.StepBatch)) netip.AddrPort {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		batch := &enginepb.StepBatch{}
		if err != nil || proto.Unmarshal(body, batch) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		write(w, r, batch)
	}))
	c.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func send(w http.ResponseWriter, result *enginepb.StepResult) {
	_, _ = protodelim.MarshalTo(w, result)
	w.(http.Flusher).Flush()
}

func resultOf(s *enginepb.Step) *enginepb.StepResult {
	return &enginepb.StepResult{
		Request: s.Request, Generation: s.Generation, Position: s.Position, Count: s.Count,
		FirstLayer: s.FirstLayer, EndLayer: s.EndLayer, Status: enginepb.StepStatus_STEP_STATUS_OK, Token: s.Tokens[0],
	}
}

func step(request string, position, token uint32) *enginepb.Step {
	return &enginepb.Step{Request: request, Generation: 2, Position: position, Count: 1, EndLayer: 4, Tokens: []uint32{token}}
}

// TestMismatchedResults guards against a result that is delivered to the wrong step: late results of an earlier
// generation, results for another position, count, layer range or request, and duplicates.
func TestMismatchedResults(t *testing.T) {
	c := qt.New(t)
	mismatches := []func(*enginepb.StepResult){
		func(r *enginepb.StepResult) { r.Generation-- },
		func(r *enginepb.StepResult) { r.Position++ },
		func(r *enginepb.StepResult) { r.Count++ },
		func(r *enginepb.StepResult) { r.FirstLayer++ },
		func(r *enginepb.StepResult) { r.EndLayer-- },
		func(r *enginepb.StepResult) { r.Request += "x" },
	}
	address := serve(c, func(w http.ResponseWriter, _ *http.Request, batch *enginepb.StepBatch) {
		for i := len(batch.Steps) - 1; i >= 0; i-- {
			for _, change := range mismatches {
				r := resultOf(batch.Steps[i])
				r.Token = 999999
				change(r)
				send(w, r)
			}
			send(w, resultOf(batch.Steps[i]))
		}
	})
	registry := metrics.NewRegistry()
	e := engine.New(address, engine.WithRegistry(registry), engine.WithInFlight(2))
	defer e.Close()
	const streams, steps = 200, 10
	var running sync.WaitGroup
	for i := range streams {
		running.Go(func() {
			for position := range uint32(steps) {
				token := uint32(i)*steps + position
				r, err := e.Step(t.Context(), step(fmt.Sprint("r", i), position+1, token))
				if c.Check(err, qt.IsNil) {
					c.Check(r.Token, qt.Equals, token)
				}
			}
		})
	}
	running.Wait()
	counter := func(name string) int64 { return registry.Get("engine." + name).(metrics.Counter).Count() }
	c.Assert(counter("steps"), qt.Equals, int64(streams*steps))
	// A call ends when its last pending step completes, so only the mismatched results before that are
	// certain to be read and dropped.
	c.Assert(counter("results_dropped") >= int64(streams*steps*len(mismatches)), qt.IsTrue)
	c.Assert(counter("calls") < counter("steps")/4, qt.IsTrue, qt.Commentf("%d calls", counter("calls")))
}

// TestSlowPrefill guards against a prefill that blocks decode steps, and against a result that is held back until its
// batch is complete.
func TestSlowPrefill(t *testing.T) {
	c := qt.New(t)
	address := serve(c, func(w http.ResponseWriter, r *http.Request, batch *enginepb.StepBatch) {
		for _, s := range batch.Steps {
			if s.Position == 0 {
				<-r.Context().Done()
				return
			}
			send(w, resultOf(s))
		}
	})
	e := engine.New(address, engine.WithInFlight(1))
	defer e.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var prefills sync.WaitGroup
	for i := range 3 {
		prefills.Go(func() {
			_, err := e.Step(ctx, step(fmt.Sprint("p", i), 0, 1))
			c.Check(err, qt.ErrorIs, context.Canceled)
		})
	}
	bounded, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	for position := range uint32(20) {
		_, err := e.Step(bounded, step("d", position+1, 1))
		c.Assert(err, qt.IsNil)
	}
	cancel()
	prefills.Wait()
	c.Assert(e.Idle(), qt.IsTrue)
}

// TestOutcome guards against an error with outcome NotRun after bytes of the request were sent.
func TestOutcome(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	unused := netip.MustParseAddrPort(closed.Addr().String())
	_ = closed.Close()
	var served atomic.Int32
	tests := []struct {
		name  string
		write func(http.ResponseWriter, *http.Request, *enginepb.StepBatch)
		want  outcome.Outcome
	}{
		{"connection refused", nil, outcome.NotRun},
		{"connection aborted", func(http.ResponseWriter, *http.Request, *enginepb.StepBatch) { panic(http.ErrAbortHandler) }, outcome.Unknown},
		{"response without a result", func(w http.ResponseWriter, _ *http.Request, _ *enginepb.StepBatch) { w.WriteHeader(200) }, outcome.Unknown},
		{"server error", func(w http.ResponseWriter, _ *http.Request, _ *enginepb.StepBatch) { w.WriteHeader(500) }, outcome.Unknown},
		{"no response", func(_ http.ResponseWriter, r *http.Request, _ *enginepb.StepBatch) { <-r.Context().Done() }, outcome.Unknown},
		{"redirect", func(w http.ResponseWriter, r *http.Request, _ *enginepb.StepBatch) {
			served.Add(1)
			http.Redirect(w, r, "/v1/steps", http.StatusTemporaryRedirect)
		}, outcome.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address := unused
			if test.write != nil {
				address = serve(c, test.write)
			}
			e := engine.New(address)
			defer e.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := e.Step(ctx, step("r", 1, 1))
			c.Assert(err, qt.IsNotNil)
			c.Assert(refusal.OutcomeOf(err), qt.Equals, test.want, qt.Commentf("%v", err))
		})
	}
	qt.Assert(t, served.Load(), qt.Equals, int32(1))
}

// TestUnaryCalls guards against a wrong path, method or message in the unary calls.
func TestUnaryCalls(t *testing.T) {
	c := qt.New(t)
	held := layer.Range{First: 0, End: 4}
	s, err := standin.New(standin.WithModel("darning", 4, held), standin.WithEvents(0, 0))
	c.Assert(err, qt.IsNil)
	defer s.Close()
	e := engine.New(s.Addr())
	defer e.Close()
	ctx := t.Context()
	_, err = e.Step(ctx, &enginepb.Step{Request: "r", Generation: 1, EndLayer: 4, Prompt: "a b c", Model: "darning"})
	c.Assert(err, qt.IsNil)

	report, err := e.Report(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(report.EndLayer, qt.Equals, uint32(4))
	events, err := e.Events(ctx, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(events.Events, qt.HasLen, 1)
	cache, err := e.Export(ctx, "r", 1)
	c.Assert(err, qt.IsNil)
	c.Assert(cache.Positions, qt.Equals, uint32(3))
	c.Assert(e.Cancel(ctx, "r", 1), qt.IsNil)
	_, err = e.Export(ctx, "r", 1)
	c.Assert(errors.Is(err, engine.ErrNoCache), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(e.Import(ctx, cache), qt.IsNil)
	next, err := e.Step(ctx, &enginepb.Step{Request: "r", Generation: 1, Position: 3, Count: 1, EndLayer: 4, Tokens: []uint32{5}, Model: "darning"})
	c.Assert(err, qt.IsNil)
	c.Assert(next.Status, qt.Equals, enginepb.StepStatus_STEP_STATUS_OK)
	result, err := e.Assign(ctx, &enginepb.Assignment{Fence: 3, Model: "darning", Version: "1", EndLayer: 4})
	c.Assert(err, qt.IsNil)
	c.Assert(result.Accepted, qt.IsTrue, qt.Commentf("%s", result.Message))
	stale, err := e.Assign(ctx, &enginepb.Assignment{Fence: 2, Model: "darning", Version: "1", EndLayer: 4})
	c.Assert(err, qt.IsNil)
	c.Assert(stale.Accepted, qt.IsFalse)
}
