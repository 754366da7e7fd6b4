package bench

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

var t0 = time.Unix(1_700_000_000, 0)

// steadyStream returns a request whose response has a token every 100 ms for the given seconds, except in the gap.
func steadyStream(seconds float64, gapFrom, gapTo float64) sentRequest {
	response := caller.Response{Started: t0, Ended: t0.Add(4 * time.Second), Outcome: outcome.Done}
	for s := 0.05; s < seconds; s += 0.1 {
		if s < gapFrom || s > gapTo {
			response.ChunkTimes = append(response.ChunkTimes, t0.Add(time.Duration(s*float64(time.Second))))
		}
	}
	return sentRequest{response: response}
}

// TestArrivals guards against policies that are compared on different arrivals, or at another load than stated.
func TestArrivals(t *testing.T) {
	c := qt.New(t)
	const rate, length = 1000.0, 100 * time.Second
	drawn := drawArrivals(3, rate, length)
	c.Assert(slices.Equal(drawArrivals(3, rate, length), drawn), qt.IsTrue)
	tokens := 0
	for _, a := range drawn {
		tokens += a.outputTokens
	}
	c.Assert(float64(tokens)/length.Seconds()/rate, qt.Satisfies, func(ratio float64) bool { return ratio > 0.95 && ratio < 1.05 })
}

// TestLongestWait guards against a recovery time that ends at a token sent before the failure took effect.
func TestLongestWait(t *testing.T) {
	wait, ok := steadyStream(4, 1.1, 2.9).longestWait(t0.Add(time.Second))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, wait.Round(100*time.Millisecond), qt.Equals, 1900*time.Millisecond)
}

// TestGoodputRecovery guards against goodput that counts as recovered although it has not, and the other way round.
func TestGoodputRecovery(t *testing.T) {
	failed, end := t0.Add(4*time.Second), t0.Add(20*time.Second)
	tests := []struct {
		name     string
		requests []sentRequest
		want     float64
	}{
		{"no effect", []sentRequest{steadyStream(20, 0, 0)}, 0},
		// The window of 2 s that starts 0.2 s before the end of the gap has 0.9 of the rate.
		{"recovers after a gap", []sentRequest{steadyStream(20, 4, 7)}, 2800},
		{"never recovers", []sentRequest{steadyStream(20, 4, 20)}, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, goodputRecoveryMillis(tt.requests, failed, end), qt.Equals, tt.want)
		})
	}
}

// TestEngineClient guards against direct requests that make the engine do other work than those through an instance.
func TestEngineClient(t *testing.T) {
	c := qt.New(t)
	held := layer.Range{End: fleet.Layers}
	e, err := engine.New(engine.WithModel(fleet.Model, fleet.Layers, held))
	c.Assert(err, qt.IsNil)
	defer e.Close()
	a := newEngineClient().generate(context.Background(), e.Addr(), arrival{id: "q-1", promptWords: 3, outputTokens: 5})
	c.Assert(a.Outcome, qt.Equals, outcome.Done)
	c.Assert(a.ChunkTimes, qt.HasLen, 5)
	c.Assert(e.Executions(), qt.HasLen, 5)
}

// TestPlot guards against results that cannot be plotted.
func TestPlot(t *testing.T) {
	file := filepath.Join(t.TempDir(), "recovery.svg")
	r := RecoveryResult{Failures: []FailureResult{{Failure: "StageKilled", GoodputRecovery: -1}, {Failure: "TableDown"}}}
	qt.Assert(t, r.Plot(file), qt.IsNil)
	info, err := os.Stat(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, info.Size() > 1000, qt.IsTrue)
}
