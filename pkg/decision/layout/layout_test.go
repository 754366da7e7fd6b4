package layout_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/layout"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

func engine() *catalogue.Engine {
	return &catalogue.Engine{
		Layers: 80, LayerBytes: 1750e6, KVBytesPerToken: 426000, KVCapacity: 100000,
		Accelerators: map[string]catalogue.Accelerator{
			"a100s": {MemoryBytes: 36000e6}, "l4": {MemoryBytes: 21600e6}, "t4": {MemoryBytes: 14400e6},
		},
	}
}

// fleet is the fleet of both users: a few large, many small accelerators in three data centres.
func fleet() []target.Target {
	var all []target.Target
	add := func(centre, kind string, n int) {
		for range n {
			all = append(all, target.Target{
				Name: fmt.Sprintf("%s-%s-%d", centre, kind, len(all)), DataCentre: centre, Accelerator: kind, State: target.Live,
			})
		}
	}
	add("a", "a100s", 2)
	add("a", "l4", 5)
	add("a", "t4", 8)
	add("b", "a100s", 1)
	add("b", "l4", 7)
	add("b", "t4", 5)
	add("c", "a100s", 2)
	add("c", "l4", 3)
	add("c", "t4", 5)
	return all
}

// settle carries out plans until nothing is left to do.
func settle(t interface{ Fatalf(string, ...any) }, targets []target.Target, returning map[string]int) []target.Target {
	planner := layout.New(engine())
	for range 60 {
		orders := planner.Plan(targets, returning)
		if len(orders) == 0 {
			return targets
		}
		for _, o := range orders {
			if most := engine().MaxLayers(o.Target.Accelerator); o.Layers.Len() > most {
				t.Fatalf("%s is ordered to hold %d layers, its memory holds %d", o.Target.Name, o.Layers.Len(), most)
			}
			if !o.Layers.Valid() || o.Layers.End > 80 {
				t.Fatalf("%s is ordered to hold %s", o.Target.Name, o.Layers)
			}
			for i := range targets {
				if targets[i].Name == o.Target.Name {
					targets[i].Layers = o.Layers
				}
			}
		}
	}
	t.Fatalf("the plan does not settle")
	return nil
}

// holes returns the layers without a holder in a data centre, or anywhere for "".
func holes(targets []target.Target, centre string) []int {
	var open []int
	for l := range 80 {
		held := false
		for _, t := range targets {
			held = held || t.AcceptsRequests() && (centre == "" || t.DataCentre == centre) && t.Layers.Contains(layer.Range{First: l, End: l + 1})
		}
		if !held {
			open = append(open, l)
		}
	}
	return open
}

// TestSizes guards against filling all memory with layers, which leaves no room for requests.
func TestSizes(t *testing.T) {
	qt.Assert(t, layout.New(engine()).LayersPerTarget(fleet()), qt.DeepEquals, map[string]int{"a100s": 16, "l4": 9, "t4": 6})
}

// TestSizesFewTargets guards against a fleet that leaves room for requests but not all layers held.
func TestSizesFewTargets(t *testing.T) {
	few := fleet()[:12]
	sizes := layout.New(engine()).LayersPerTarget(few)
	total := 0
	for _, w := range few {
		total += sizes[w.Accelerator]
	}
	qt.Assert(t, total >= 80, qt.IsTrue, qt.Commentf("%v", sizes))
}

// TestFirstPlan guards against data centres that could hold all layers and have a hole, which sends the activations of
// every token through the pipes between data centres.
func TestFirstPlan(t *testing.T) {
	placed := settle(t, fleet(), nil)
	for _, centre := range []string{"a", "b", "c"} {
		qt.Assert(t, holes(placed, centre), qt.HasLen, 0, qt.Commentf("data centre %s", centre))
	}
}

// TestLoss guards against holes that stay open after any one target is lost for good.
func TestLoss(t *testing.T) {
	placed := settle(t, fleet(), nil)
	for lost := range placed {
		rest := append(append([]target.Target{}, placed[:lost]...), placed[lost+1:]...)
		rest = settle(t, rest, nil)
		qt.Assert(t, holes(rest, ""), qt.HasLen, 0)
		for _, centre := range []string{"a", "b"} { // Data centre c has no layers to spare.
			qt.Assert(t, holes(rest, centre), qt.HasLen, 0, qt.Commentf("without %s", placed[lost].Name))
		}
	}
}

// TestReturn guards against dealing out a data centre anew when the target that it lost comes back at once.
func TestReturn(t *testing.T) {
	placed := settle(t, fleet(), nil)
	var rest []target.Target
	for _, w := range placed {
		if w.Name != "c-a100s-28" {
			rest = append(rest, w)
		}
	}
	qt.Assert(t, rest, qt.HasLen, len(placed)-1)
	for _, o := range layout.New(engine()).Plan(rest, map[string]int{"c": 1}) {
		var others []target.Target
		for _, w := range rest {
			if w.DataCentre == o.Target.DataCentre && w.Name != o.Target.Name {
				others = append(others, w)
			}
		}
		for l := o.Target.Layers.First; l < o.Target.Layers.End; l++ {
			qt.Assert(t, holes(others, o.Target.DataCentre), qt.Not(qt.Contains), l, qt.Commentf("%v gives up its only layer %d", o, l))
		}
	}
}

// TestLeaving guards against counting on targets that leave.
func TestLeaving(t *testing.T) {
	placed := settle(t, fleet(), nil)
	for i := range placed {
		if placed[i].Name == "a-a100s-0" {
			placed[i].State = target.Leaving
		}
	}
	for _, o := range layout.New(engine()).Plan(placed, nil) {
		qt.Assert(t, o.Target.Name, qt.Not(qt.Equals), "a-a100s-0")
	}
	qt.Assert(t, holes(settle(t, placed, nil), "a"), qt.HasLen, 0)
}

// TestChurnProperty guards against plans that never settle, exceed a target's memory, or leave a layer without a holder
// that could have one, whatever targets come and go.
func TestChurnProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := settle(t, fleet(), nil)
		for change := range rapid.IntRange(1, 12).Draw(t, "changes") {
			i := rapid.IntRange(0, len(targets)-1).Draw(t, "target")
			switch rapid.SampledFrom([]string{"crash", "leave", "join"}).Draw(t, "change") {
			case "crash":
				targets[i].Layers = layer.Range{}
			case "leave":
				if len(targets) > 20 {
					targets = append(targets[:i], targets[i+1:]...)
				}
			case "join":
				joined := targets[i]
				joined.Name, joined.Layers = fmt.Sprintf("new-%d", change), layer.Range{}
				targets = append(targets, joined)
			}
			targets = settle(t, targets, nil)
		}
		if open := holes(targets, ""); len(open) > 0 {
			t.Fatalf("layers %v have no holder", open)
		}
	})
}
