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

// engine has 4 layers; a pass over all takes 4 ms, and reading one prompt token 1 ms.
func engine() *catalogue.Engine {
	return &catalogue.Engine{
		Layers: 4, LayerBytes: 10, KVBytesPerToken: 4, BaseStepTime: 4 * time.Millisecond, PrefillRate: 1000,
		Accelerators: map[string]catalogue.Accelerator{"k": {MemoryBytes: 120, StepFactor: 1, PrefillFactor: 1}},
		Delays:       map[[2]string]time.Duration{{"a", "b"}: 10 * time.Millisecond},
	}
}

// holder is a target with two layers, which leave memory for 100 cells: 50 tokens.
func holder(name, centre string, first int) target.Target {
	return target.Target{
		Name: name, Kind: target.Engine, DataCentre: centre, Accelerator: "k", State: target.Live,
		Layers: layer.Range{First: first, End: first + 2}, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

func through(targets ...target.Target) path.Path {
	var p path.Path
	for _, t := range targets {
		p = append(p, path.Stage{Target: t, Layers: t.Layers})
	}
	return p
}

// TestAlone guards against times that differ from the engine's figures for a request without others.
func TestAlone(t *testing.T) {
	for _, test := range []struct {
		about  string
		second target.Target
		first  time.Duration // first is when the first event comes.
		next   time.Duration // next is the time between events.
	}{
		// Two passes of 2 ms, and 10 tokens of 0.5 ms each through both targets; then 2 passes for each token.
		{"in one data centre", holder("y", "a", 2), 14 * time.Millisecond, 4 * time.Millisecond},
		{"in two", holder("y", "b", 2), 24 * time.Millisecond, 14 * time.Millisecond},
	} {
		t.Run(test.about, func(t *testing.T) {
			x := holder("x", "a", 0)
			e := emulator.New(engine(), []target.Target{x, test.second}, emulator.WithStride(1))
			var events []time.Duration
			ended := false
			_, err := e.Open(through(x, test.second), emulator.Work{Prompt: 10, Answer: 3}, emulator.Watcher{
				Event: func(at time.Duration) { events = append(events, at) },
				End:   func(time.Duration) { ended = true },
			})
			qt.Assert(t, err, qt.IsNil)
			e.Run(time.Second)
			qt.Assert(t, events, qt.DeepEquals, []time.Duration{test.first, test.first + test.next, test.first + 2*test.next})
			qt.Assert(t, ended, qt.IsTrue)
			qt.Assert(t, e.Used("x"), qt.Equals, 0.0)
		})
	}
}

// TestRoom guards against a target that takes more than its memory holds.
func TestRoom(t *testing.T) {
	x, y := holder("x", "a", 0), holder("y", "a", 2)
	e := emulator.New(engine(), []target.Target{x, y})
	_, err := e.Open(through(x, y), emulator.Work{Prompt: 40, Answer: 2}, emulator.Watcher{})
	qt.Assert(t, err, qt.IsNil)
	_, err = e.Open(through(x, y), emulator.Work{Prompt: 11, Answer: 2}, emulator.Watcher{})
	qt.Assert(t, errorx.IsOfType(err, emulator.NoRoom), qt.IsTrue)
	e.Kill("y")
	_, err = e.Open(through(x, y), emulator.Work{Prompt: 1, Answer: 2}, emulator.Watcher{})
	qt.Assert(t, errorx.IsOfType(err, emulator.Dead), qt.IsTrue)
}

// TestPreempted guards against requests that stand still for ever, or lose tokens, where memory runs out.
func TestPreempted(t *testing.T) {
	x, y := holder("x", "a", 0), holder("y", "a", 2)
	e := emulator.New(engine(), []target.Target{x, y})
	ended := 0
	for range 2 {
		_, err := e.Open(through(x, y), emulator.Work{Prompt: 20, Answer: 20}, emulator.Watcher{End: func(time.Duration) { ended++ }})
		qt.Assert(t, err, qt.IsNil)
	}
	e.Run(time.Minute)
	qt.Assert(t, ended, qt.Equals, 2)
	qt.Assert(t, e.Counts().Preempted > 0, qt.IsTrue)
	qt.Assert(t, e.Counts().Again > 0, qt.IsTrue)
}

// TestRepath guards against a stream that loses or repeats tokens as its path changes around a dead target.
func TestRepath(t *testing.T) {
	x, y, z := holder("x", "a", 0), holder("y", "a", 2), holder("z", "a", 2)
	e := emulator.New(engine(), []target.Target{x, y, z}, emulator.WithStride(1))
	events, ended := 0, false
	s, err := e.Open(through(x, y), emulator.Work{Prompt: 10, Answer: 8}, emulator.Watcher{
		Event: func(time.Duration) { events++ }, End: func(time.Duration) { ended = true },
	})
	qt.Assert(t, err, qt.IsNil)
	e.Run(20 * time.Millisecond)
	e.Kill("y")
	e.Run(100 * time.Millisecond)
	before := events
	qt.Assert(t, before < 8, qt.IsTrue)
	qt.Assert(t, s.Repath(through(x, z)), qt.IsNil)
	e.Run(time.Second)
	qt.Assert(t, events, qt.Equals, 8)
	qt.Assert(t, ended, qt.IsTrue)
	qt.Assert(t, e.Used("z"), qt.Equals, 0.0)
}

// TestMemoryProperty guards against memory that stays with a target after all requests have ended, or goes below zero,
// and against requests that never end though no target has died.
func TestMemoryProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := []target.Target{holder("x", "a", 0), holder("y", "b", 0), holder("z", "a", 2), holder("w", "b", 2)}
		e := emulator.New(engine(), targets)
		opened, ended := 0, 0
		var streams []*emulator.Stream
		draw := func(label string) path.Path {
			first := rapid.IntRange(0, 1).Draw(t, label+" first")
			return through(targets[first], targets[2+rapid.IntRange(0, 1).Draw(t, label+" second")])
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			w := emulator.Work{Prompt: rapid.IntRange(1, 30).Draw(t, "prompt"), Answer: rapid.IntRange(1, 15).Draw(t, "answer")}
			p := draw(fmt.Sprint("request ", i))
			e.At(time.Duration(rapid.IntRange(0, 100).Draw(t, "at"))*time.Millisecond, func() {
				if s, err := e.Open(p, w, emulator.Watcher{End: func(time.Duration) { ended++ }}); err == nil {
					opened++
					streams = append(streams, s)
				}
			})
		}
		e.Run(50 * time.Millisecond)
		for i, s := range streams {
			if !s.Ended() && rapid.Bool().Draw(t, "changes") {
				_ = s.Repath(draw(fmt.Sprint("change ", i))) // A refused change leaves the stream where it is.
			}
		}
		e.Run(time.Hour)
		if ended != opened {
			t.Fatalf("%d of %d requests have ended", ended, opened)
		}
		for _, m := range targets {
			if e.Used(m.Name) != 0 {
				t.Fatalf("%s holds %v of its memory", m.Name, e.Used(m.Name))
			}
		}
	})
}
