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

func holder(name, centre, kind string, first, end int) *target.Target {
	return &target.Target{
		Name: name, Kind: target.Engine, DataCentre: centre, Accelerator: kind, State: target.Live,
		Layers: layer.Range{First: first, End: end}, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func names(p path.Path) []string {
	var list []string
	for _, part := range p {
		list = append(list, fmt.Sprint(part.Target.Name, part.Layers))
	}
	return list
}

// TestFind guards against paths that leave a data centre without need, use what is to be avoided, or count a holder's
// layers that a part does not run.
func TestFind(t *testing.T) {
	whole := []*target.Target{
		holder("a1", "a", "a100s", 0, 16), holder("a2", "a", "a100s", 16, 48), holder("a3", "a", "a100s", 40, 80),
		holder("b1", "b", "a100s", 0, 40), holder("b2", "b", "a100s", 40, 80),
	}
	big := engine()
	big.LayerBytes = 1e6 // All of these ranges fit.
	request := path.Request{To: 80, PromptTokens: 700, OutputTokens: 140, DataCentre: "a"}
	for _, test := range []struct {
		about  string
		change func(*path.Request)
		want   []string
	}{
		{"a request of data centre b", func(q *path.Request) { q.DataCentre = "b" }, []string{"b1[0,40)", "b2[40,80)"}},
		{"a hole in its data centre", func(q *path.Request) {
			q.Excluded = func(name string) bool { return name == "a2" }
		}, []string{"b1[0,40)", "b2[40,80)"}},
		{"a fixed first target", func(q *path.Request) {
			q.FirstAllowed = func(name string) bool { return name == "a1" }
		}, []string{"a1[0,16)", "a2[16,48)", "a3[48,80)"}},
		{"a part in the middle", func(q *path.Request) { q.From, q.To = 16, 40 }, []string{"a2[16,40)"}},
	} {
		t.Run(test.about, func(t *testing.T) {
			q := request
			test.change(&q)
			p, err := path.New(big, whole).Find(source(), q)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, names(p), qt.DeepEquals, test.want)
		})
	}
}

// TestNoPath guards against confusing a lack of holders, which time mends slowly, with a lack of room.
func TestNoPath(t *testing.T) {
	half := []*target.Target{holder("a1", "a", "a100s", 0, 16)}
	_, err := path.New(engine(), half).Find(source(), path.Request{To: 80, PromptTokens: 10, OutputTokens: 10})
	qt.Assert(t, errorx.IsOfType(err, path.Uncovered), qt.IsTrue)

	full := []*target.Target{holder("a1", "a", "a100s", 0, 16)}
	loads := []path.Load{{KVCells: engine().KVCells("a100s", 16)}}
	_, err = path.New(engine(), full).Find(source(), path.Request{To: 16, PromptTokens: 10, OutputTokens: 10, Loads: loads})
	qt.Assert(t, errorx.IsOfType(err, path.NoCapacity), qt.IsTrue)
}

// TestSpread guards against all instances choosing the same of two equal targets.
func TestSpread(t *testing.T) {
	equal := []*target.Target{holder("x", "a", "a100s", 0, 16), holder("y", "a", "a100s", 0, 16)}
	finder, random := path.New(engine(), equal), source()
	count := make(map[string]int)
	for range 1000 {
		p, err := finder.Find(random, path.Request{To: 16, PromptTokens: 700, OutputTokens: 140, DataCentre: "a"})
		qt.Assert(t, err, qt.IsNil)
		count[p[0].Target.Name]++
	}
	qt.Assert(t, count["x"] > 400 && count["y"] > 400, qt.IsTrue, qt.Commentf("%v", count))
}

// TestLoaded guards against filling one holder while another has room.
func TestLoaded(t *testing.T) {
	holders := []*target.Target{holder("x", "a", "a100s", 0, 16), holder("y", "a", "a100s", 0, 16)}
	loads := []path.Load{{KVCells: engine().KVCells("a100s", 16) * 9 / 10}, {}}
	p, err := path.New(engine(), holders).Find(source(), path.Request{To: 16, PromptTokens: 700, OutputTokens: 140, DataCentre: "a", Loads: loads})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p[0].Target.Name, qt.Equals, "y")
}

// TestWholeProperty guards against any path that does not run each layer once and in order, on targets that hold it,
// are not avoided and have room.
func TestWholeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine()
		var holders []*target.Target
		var loads []path.Load
		for i := range rapid.IntRange(1, 40).Draw(t, "targets") {
			first := rapid.IntRange(0, 79).Draw(t, "first")
			end := rapid.IntRange(first+1, min(80, first+12)).Draw(t, "end")
			holders = append(holders, holder(fmt.Sprint("w", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre"), "l4", first, end))
			loads = append(loads, path.Load{KVCells: rapid.Int64Range(0, 1200000).Draw(t, "cells")})
		}
		avoided := rapid.IntRange(0, 45).Draw(t, "avoided")
		q := path.Request{
			To: 80, PromptTokens: 700, OutputTokens: 140, DataCentre: "a", Loads: loads,
			Excluded: func(name string) bool { return name == fmt.Sprint("w", avoided) },
		}
		p, err := path.New(e, holders).Find(source(), q)
		if err != nil {
			return
		}
		if !p.Complete(80) {
			t.Fatalf("not whole: %s", p)
		}
		for _, part := range p {
			if q.Excluded(part.Target.Name) {
				t.Fatalf("an avoided target is used: %s", p)
			}
		}
	})
}
