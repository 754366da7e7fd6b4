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

// steady returns an answer with a token each 100 ms for the given seconds, without those in the gap.
func steady(seconds float64, gapFrom, gapTo float64) sent {
	a := caller.Response{Started: t0, Ended: t0.Add(4 * time.Second), Outcome: outcome.Done}
	for s := 0.05; s < seconds; s += 0.1 {
		if s < gapFrom || s > gapTo {
			a.ChunkTimes = append(a.ChunkTimes, t0.Add(time.Duration(s*float64(time.Second))))
		}
	}
	return sent{answer: a}
}

// Guards against policies that are compared on different arrivals, or at another load than stated.
func TestArrivals(t *testing.T) {
	c := qt.New(t)
	const rate, length = 1000.0, 100 * time.Second
	drawn := arrivals(3, rate, length)
	c.Assert(slices.Equal(arrivals(3, rate, length), drawn), qt.IsTrue)
	tokens := 0
	for _, a := range drawn {
		tokens += a.tokens
	}
	c.Assert(float64(tokens)/length.Seconds()/rate, qt.Satisfies, func(ratio float64) bool { return ratio > 0.95 && ratio < 1.05 })
}

// Guards against a recovery time that ends at a token sent before the failure took effect.
func TestLongestWait(t *testing.T) {
	wait, ok := steady(4, 1.1, 2.9).longestWait(t0.Add(time.Second))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, wait.Round(100*time.Millisecond), qt.Equals, 1900*time.Millisecond)
}

// Guards against goodput that counts as back although it is not, and the other way round.
func TestGoodputBack(t *testing.T) {
	failed, end := t0.Add(4*time.Second), t0.Add(20*time.Second)
	tests := []struct {
		name    string
		answers []sent
		want    float64
	}{
		{"no effect", []sent{steady(20, 0, 0)}, 0},
		// The window that starts 0.2 s before the end of the gap holds nine tenths of the rate.
		{"back after a gap", []sent{steady(20, 4, 7)}, 2800},
		{"never back", []sent{steady(20, 4, 20)}, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, goodputBackAfter(tt.answers, failed, end), qt.Equals, tt.want)
		})
	}
}

// Guards against a direct way that asks the engine something else than an entry instance does.
func TestDirectAnswers(t *testing.T) {
	c := qt.New(t)
	held := layer.Range{End: fleet.Layers}
	e, err := engine.New(engine.WithModel(fleet.Model, fleet.Layers, held))
	c.Assert(err, qt.IsNil)
	defer e.Close()
	a := newDirect().ask(context.Background(), e.Addr(), arrival{id: "q-1", words: 3, tokens: 5})
	c.Assert(a.Outcome, qt.Equals, outcome.Done)
	c.Assert(a.ChunkTimes, qt.HasLen, 5)
	c.Assert(e.Executions(), qt.HasLen, 5)
}

// Guards against plots that cannot be drawn from a result.
func TestPlot(t *testing.T) {
	file := filepath.Join(t.TempDir(), "recovery.svg")
	r := RecoveryResult{Failures: []FailureResult{{Failure: "StageKilled", GoodputBack: -1}, {Failure: "TableDown"}}}
	qt.Assert(t, r.Plot(file), qt.IsNil)
	info, err := os.Stat(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, info.Size() > 1000, qt.IsTrue)
}
