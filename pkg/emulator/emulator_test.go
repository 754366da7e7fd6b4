package emulator_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/emulator"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// engine returns an engine with 4 layers. A pass over all layers takes 4 ms, and the prefill of one token 1 ms.
func engine() *catalogue.Engine {
	return &catalogue.Engine{
		Layers: 4, LayerBytes: 10, KVBytesPerToken: 4, BaseStepTime: 4 * time.Millisecond, PrefillRate: 1000,
		Accelerators: map[string]catalogue.Accelerator{"k": {MemoryBytes: 120, StepFactor: 1, PrefillFactor: 1}},
		Delays:       map[[2]string]time.Duration{{"a", "b"}: 10 * time.Millisecond},
	}
}

// newTarget returns a target with two layers, which leave memory for 100 KV cells: 50 tokens.
func newTarget(name, centre string, first int) target.Target {
	return target.Target{
		Name: name, Kind: target.Engine, DataCentre: centre, Accelerator: "k", State: target.Live,
		Layers: layer.Range{First: first, End: first + 2}, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

func pathThrough(targets ...target.Target) path.Path {
	var p path.Path
	for _, t := range targets {
		p = append(p, path.Stage{Target: t, Layers: t.Layers})
	}
	return p
}

// TestSingleRequestTimes guards against event times of a lone request that differ from the engine's figures.
func TestSingleRequestTimes(t *testing.T) {
	for _, test := range []struct {
		name   string
		second target.Target
		first  time.Duration // first is the time of the first event.
		next   time.Duration // next is the time between events.
	}{
		// The first event takes 2 passes of 2 ms and 10 prompt tokens of 0.5 ms on each target; each later token takes 2 passes.
		{"in one data centre", newTarget("y", "a", 2), 14 * time.Millisecond, 4 * time.Millisecond},
		{"in two data centres", newTarget("y", "b", 2), 24 * time.Millisecond, 14 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			x := newTarget("x", "a", 0)
			e := emulator.New(engine(), []target.Target{x, test.second}, emulator.WithTokensPerPass(1))
			var events []time.Duration
			ended := false
			_, err := e.Open(pathThrough(x, test.second), emulator.TokenCounts{Prompt: 10, Output: 3}, emulator.Callbacks{
				Event: func(at time.Duration) { events = append(events, at) },
				End:   func(time.Duration) { ended = true },
			})
			qt.Assert(t, err, qt.IsNil)
			e.Run(time.Second)
			qt.Assert(t, events, qt.DeepEquals, []time.Duration{test.first, test.first + test.next, test.first + 2*test.next})
			qt.Assert(t, ended, qt.IsTrue)
			qt.Assert(t, e.MemoryUsage("x"), qt.Equals, 0.0)
		})
	}
}

// TestCapacity guards against requests admitted to a target that is dead or lacks the memory for their prompts.
func TestCapacity(t *testing.T) {
	x, y := newTarget("x", "a", 0), newTarget("y", "a", 2)
	e := emulator.New(engine(), []target.Target{x, y})
	_, err := e.Open(pathThrough(x, y), emulator.TokenCounts{Prompt: 40, Output: 2}, emulator.Callbacks{})
	qt.Assert(t, err, qt.IsNil)
	_, err = e.Open(pathThrough(x, y), emulator.TokenCounts{Prompt: 11, Output: 2}, emulator.Callbacks{})
	qt.Assert(t, errorx.IsOfType(err, emulator.NoCapacity), qt.IsTrue)
	e.Kill("y")
	_, err = e.Open(pathThrough(x, y), emulator.TokenCounts{Prompt: 1, Output: 2}, emulator.Callbacks{})
	qt.Assert(t, errorx.IsOfType(err, emulator.Dead), qt.IsTrue)
}

// TestPreemption guards against requests that stall for ever or lose tokens when a target runs out of memory.
func TestPreemption(t *testing.T) {
	x, y := newTarget("x", "a", 0), newTarget("y", "a", 2)
	e := emulator.New(engine(), []target.Target{x, y})
	ended := 0
	for range 2 {
		_, err := e.Open(pathThrough(x, y), emulator.TokenCounts{Prompt: 20, Output: 20}, emulator.Callbacks{End: func(time.Duration) { ended++ }})
		qt.Assert(t, err, qt.IsNil)
	}
	e.Run(time.Minute)
	qt.Assert(t, ended, qt.Equals, 2)
	qt.Assert(t, e.Stats().Preempted > 0, qt.IsTrue)
	qt.Assert(t, e.Stats().RecomputedTokens > 0, qt.IsTrue)
}

// TestChangePath guards against a stream that loses or repeats tokens when its path changes to avoid a dead target.
func TestChangePath(t *testing.T) {
	x, y, z := newTarget("x", "a", 0), newTarget("y", "a", 2), newTarget("z", "a", 2)
	e := emulator.New(engine(), []target.Target{x, y, z}, emulator.WithTokensPerPass(1))
	events, ended := 0, false
	s, err := e.Open(pathThrough(x, y), emulator.TokenCounts{Prompt: 10, Output: 8}, emulator.Callbacks{
		Event: func(time.Duration) { events++ }, End: func(time.Duration) { ended = true },
	})
	qt.Assert(t, err, qt.IsNil)
	e.Run(20 * time.Millisecond)
	e.Kill("y")
	e.Run(100 * time.Millisecond)
	before := events
	qt.Assert(t, before < 8, qt.IsTrue)
	qt.Assert(t, s.ChangePath(pathThrough(x, z)), qt.IsNil)
	e.Run(time.Second)
	qt.Assert(t, events, qt.Equals, 8)
	qt.Assert(t, ended, qt.IsTrue)
	qt.Assert(t, e.MemoryUsage("z"), qt.Equals, 0.0)
}

// TestMemoryProperty guards against KV cells that stay allocated, or a negative number of them, after all requests
// have ended, and against requests that never end although no target has died.
func TestMemoryProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := []target.Target{newTarget("x", "a", 0), newTarget("y", "b", 0), newTarget("z", "a", 2), newTarget("w", "b", 2)}
		e := emulator.New(engine(), targets)
		opened, ended := 0, 0
		var streams []*emulator.Stream
		drawPath := func(label string) path.Path {
			first := rapid.IntRange(0, 1).Draw(t, label+" first")
			return pathThrough(targets[first], targets[2+rapid.IntRange(0, 1).Draw(t, label+" second")])
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			size := emulator.TokenCounts{Prompt: rapid.IntRange(1, 30).Draw(t, "prompt"), Output: rapid.IntRange(1, 15).Draw(t, "answer")}
			p := drawPath(fmt.Sprint("request ", i))
			e.Schedule(time.Duration(rapid.IntRange(0, 100).Draw(t, "at"))*time.Millisecond, func() {
				if s, err := e.Open(p, size, emulator.Callbacks{End: func(time.Duration) { ended++ }}); err == nil {
					opened++
					streams = append(streams, s)
				}
			})
		}
		e.Run(50 * time.Millisecond)
		for i, s := range streams {
			if !s.Ended() && rapid.Bool().Draw(t, "changes") {
				_ = s.ChangePath(drawPath(fmt.Sprint("change ", i))) // On an error the stream keeps its path.
			}
		}
		e.Run(time.Hour)
		if ended != opened {
			t.Fatalf("%d of %d requests have ended", ended, opened)
		}
		for _, spec := range targets {
			if e.MemoryUsage(spec.Name) != 0 {
				t.Fatalf("%s still has a fraction of %v of its memory allocated", spec.Name, e.MemoryUsage(spec.Name))
			}
		}
	})
}
