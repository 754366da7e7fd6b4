package path_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

func engine() *catalogue.Engine {
	return &catalogue.Engine{
		Layers: 80, LayerBytes: 1750e6, KVBytesPerToken: 426000, BaseStepTime: 850 * time.Microsecond, StepTimePerSequence: 2760 * time.Nanosecond,
		PrefillRate: 272000, ActivationBytes: 21300, LinkBandwidth: 1.1625e9,
		Accelerators: map[string]catalogue.Accelerator{
			"a100s": {MemoryBytes: 36000e6, StepFactor: 3.1, PrefillFactor: 3.2}, "l4": {MemoryBytes: 21600e6, StepFactor: 16, PrefillFactor: 8.2},
		},
	}
}

func newTarget(name, centre, kind string, first, end int) *target.Target {
	return &target.Target{
		Name: name, Kind: target.Engine, DataCentre: centre, Accelerator: kind, State: target.Live,
		Layers: layer.Range{First: first, End: end}, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func names(p path.Path) []string {
	var list []string
	for _, stage := range p {
		list = append(list, fmt.Sprint(stage.Target.Name, stage.Layers))
	}
	return list
}

// TestFind guards against paths that leave a data centre without need, contain excluded targets, or give a stage all
// layers of its target where only some of them run.
func TestFind(t *testing.T) {
	all := []*target.Target{
		newTarget("a1", "a", "a100s", 0, 16), newTarget("a2", "a", "a100s", 16, 48), newTarget("a3", "a", "a100s", 40, 80),
		newTarget("b1", "b", "a100s", 0, 40), newTarget("b2", "b", "a100s", 40, 80),
	}
	big := engine()
	big.LayerBytes = 1e6 // Small enough for every range below to fit into memory.
	request := path.Request{To: 80, PromptTokens: 700, OutputTokens: 140, DataCentre: "a"}
	for _, test := range []struct {
		about  string
		change func(*path.Request)
		want   []string
	}{
		{"a request of data centre b", func(q *path.Request) { q.DataCentre = "b" }, []string{"b1[0,40)", "b2[40,80)"}},
		{"a gap in its data centre", func(q *path.Request) {
			q.Excluded = func(name string) bool { return name == "a2" }
		}, []string{"b1[0,40)", "b2[40,80)"}},
		{"a fixed first target", func(q *path.Request) {
			q.FirstAllowed = func(name string) bool { return name == "a1" }
		}, []string{"a1[0,16)", "a2[16,48)", "a3[48,80)"}},
		{"layers in the middle", func(q *path.Request) { q.From, q.To = 16, 40 }, []string{"a2[16,40)"}},
	} {
		t.Run(test.about, func(t *testing.T) {
			q := request
			test.change(&q)
			p, err := path.New(big, all).Find(newRand(), q)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, names(p), qt.DeepEquals, test.want)
		})
	}
}

// TestNoPath guards against confusing a layer that no target holds, which takes long to load elsewhere, with a lack of
// KV cache.
func TestNoPath(t *testing.T) {
	half := []*target.Target{newTarget("a1", "a", "a100s", 0, 16)}
	_, err := path.New(engine(), half).Find(newRand(), path.Request{To: 80, PromptTokens: 10, OutputTokens: 10})
	qt.Assert(t, errorx.IsOfType(err, path.Uncovered), qt.IsTrue)

	full := []*target.Target{newTarget("a1", "a", "a100s", 0, 16)}
	loads := []path.Load{{KVCells: engine().KVCells("a100s", 16)}}
	_, err = path.New(engine(), full).Find(newRand(), path.Request{To: 16, PromptTokens: 10, OutputTokens: 10, Loads: loads})
	qt.Assert(t, errorx.IsOfType(err, path.NoCapacity), qt.IsTrue)
}

// TestJitter guards against all instances choosing the same of two equal targets.
func TestJitter(t *testing.T) {
	equal := []*target.Target{newTarget("x", "a", "a100s", 0, 16), newTarget("y", "a", "a100s", 0, 16)}
	finder, random := path.New(engine(), equal), newRand()
	count := make(map[string]int)
	for range 1000 {
		p, err := finder.Find(random, path.Request{To: 16, PromptTokens: 700, OutputTokens: 140, DataCentre: "a"})
		qt.Assert(t, err, qt.IsNil)
		count[p[0].Target.Name]++
	}
	qt.Assert(t, count["x"] > 400 && count["y"] > 400, qt.IsTrue, qt.Commentf("%v", count))
}

// TestLeastLoaded guards against filling one target while an equal one is idle.
func TestLeastLoaded(t *testing.T) {
	targets := []*target.Target{newTarget("x", "a", "a100s", 0, 16), newTarget("y", "a", "a100s", 0, 16)}
	loads := []path.Load{{KVCells: engine().KVCells("a100s", 16) * 9 / 10}, {}}
	p, err := path.New(engine(), targets).Find(newRand(), path.Request{To: 16, PromptTokens: 700, OutputTokens: 140, DataCentre: "a", Loads: loads})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p[0].Target.Name, qt.Equals, "y")
}

// TestCompleteProperty guards against paths that skip or repeat a layer, run it on a target that does not hold it, or
// contain an excluded target.
func TestCompleteProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine()
		var targets []*target.Target
		var loads []path.Load
		for i := range rapid.IntRange(1, 40).Draw(t, "targets") {
			first := rapid.IntRange(0, 79).Draw(t, "first")
			end := rapid.IntRange(first+1, min(80, first+12)).Draw(t, "end")
			targets = append(targets, newTarget(fmt.Sprint("w", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre"), "l4", first, end))
			loads = append(loads, path.Load{KVCells: rapid.Int64Range(0, 1200000).Draw(t, "cells")})
		}
		excluded := rapid.IntRange(0, 45).Draw(t, "excluded")
		q := path.Request{
			To: 80, PromptTokens: 700, OutputTokens: 140, DataCentre: "a", Loads: loads,
			Excluded: func(name string) bool { return name == fmt.Sprint("w", excluded) },
		}
		p, err := path.New(e, targets).Find(newRand(), q)
		if err != nil {
			return
		}
		if !p.Complete(80) {
			t.Fatalf("incomplete path: %s", p)
		}
		for _, stage := range p {
			if q.Excluded(stage.Target.Name) {
				t.Fatalf("the path contains an excluded target: %s", p)
			}
		}
	})
}
