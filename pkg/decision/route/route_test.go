package route_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/decision/route"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func request(now time.Time) route.Request {
	return route.Request{Model: "m", Layers: modelLayers, Now: now}
}

// TestPartition guards against routes that skip or repeat a layer or use an excluded target, and against refusals
// where a route exists. The oracle is reachability over layer boundaries.
func TestPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 6).Draw(t, "layers")
		var list []target.Target
		req := route.Request{Model: "m", Layers: layers, Now: epoch, Exclusive: rapid.Bool().Draw(t, "exclusive")}
		reachable := map[int]bool{0: true}
		for i := range rapid.IntRange(0, 12).Draw(t, "targets") {
			first := rapid.IntRange(0, layers-1).Draw(t, "first")
			held := layer.Range{First: first, End: rapid.IntRange(first+1, layers).Draw(t, "end")}
			state := rapid.SampledFrom([]target.State{target.Live, target.Live, target.Leaving}).Draw(t, "state")
			list = append(list, target.Target{Name: fmt.Sprint(i), Kind: target.Engine, Model: "m", State: state, Layers: held})
			if rapid.IntRange(0, 3).Draw(t, "excluded") == 0 {
				req.Excluded = append(req.Excluded, fmt.Sprint(i))
				list[i].State = target.Live
			}
		}
		excluded := map[string]bool{}
		for _, name := range req.Excluded {
			excluded[name] = true
		}
		for range layers {
			for _, w := range list {
				if w.AcceptsRequests() && !excluded[w.Name] && reachable[w.Layers.First] {
					reachable[w.Layers.End] = true
				}
			}
		}
		picker := route.NewPicker()
		picker.SetTargets(list)
		chosen, err := picker.Pick(random(), req)
		if !reachable[layers] {
			var none *route.NoRouteError
			if !errors.As(err, &none) {
				t.Fatalf("got route %v and error %v, where none exists", chosen.Names(), err)
			}
			return
		}
		if err != nil {
			t.Fatalf("no route was found: %v", err)
		}
		var ranges []layer.Range
		for _, s := range chosen.Stages {
			ranges = append(ranges, s.Layers)
			if !s.AcceptsRequests() || excluded[s.Name] {
				t.Fatalf("target %s is excluded", s.Name)
			}
		}
		if !layer.IsPartition(ranges, layers) {
			t.Fatalf("ranges %v do not partition %d layers", ranges, layers)
		}
	})
}

// TestNoRouteError guards against an error that does not name the missing layers.
func TestNoRouteError(t *testing.T) {
	tests := []struct {
		name     string
		held     []layer.Range
		excluded []string
		want     string
	}{
		{"none", nil, nil, `no target holds layers \[0,32\) of model m`},
		{"gaps", []layer.Range{{First: 4, End: 8}, {First: 6, End: 20}}, nil, `no target holds layers \[0,4\), \[20,32\) of model m`},
		{"excluded", []layer.Range{{First: 0, End: 16}, {First: 16, End: 32}}, []string{"1"}, `layers \[16,32\) of model m are held only by .*`},
		{"overlap", []layer.Range{{First: 0, End: 20}, {First: 16, End: 32}}, nil, `the ranges held of model m do not tile its 32 layers`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var list []target.Target
			for i, r := range test.held {
				list = append(list, target.Target{Name: fmt.Sprint(i), Model: "m", State: target.Live, Layers: r})
			}
			picker := route.NewPicker()
			picker.SetTargets(list)
			req := request(epoch)
			req.Excluded = test.excluded
			_, err := picker.Pick(random(), req)
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}

// TestLeaving guards against new work for a target after it announced in a response or a report that it is leaving,
// even while the target list still shows it as live.
func TestLeaving(t *testing.T) {
	picker := route.NewPicker()
	picker.SetTargets(targets(1, 3))
	picker.MarkLeaving("g0-0", epoch)
	picker.UpdateReport("g0-1", route.Report{Leaving: true, Measured: epoch}, epoch)
	picker.SetTargets(targets(1, 3))
	picker.UpdateReport("g0-0", route.Report{Measured: epoch.Add(-time.Second)}, epoch.Add(time.Second)) // Measured before the announcement.
	r, used := random(), map[string]bool{}
	pick := func() {
		for range 100 {
			chosen, err := picker.Pick(r, request(epoch))
			qt.Assert(t, err, qt.IsNil)
			used[chosen.Stages[0].Name] = true
		}
	}
	pick()
	qt.Assert(t, used, qt.DeepEquals, map[string]bool{"g0-2": true})
	picker.UpdateReport("g0-0", route.Report{Measured: epoch.Add(time.Second)}, epoch.Add(2*time.Second)) // Measured after a restart.
	pick()
	qt.Assert(t, used, qt.DeepEquals, map[string]bool{"g0-0": true, "g0-2": true})
}

// TestFailedTarget guards against further requests to a failed target, against more than one probe at a time, and
// against a target that is never tried again.
func TestFailedTarget(t *testing.T) {
	picker := route.NewPicker()
	picker.SetTargets(targets(1, 2))
	r := random()
	now := epoch
	picks := func() int {
		count := 0
		for range 1000 {
			chosen, err := picker.Pick(r, request(now))
			qt.Assert(t, err, qt.IsNil)
			if chosen.Stages[0].Name == "g0-0" {
				count++
			}
		}
		return count
	}
	picker.RequestSent("g0-0", 1, now)
	picker.TargetFailed("g0-0", now)
	qt.Check(t, picks(), qt.Equals, 0)
	now = now.Add(15 * time.Second)
	qt.Check(t, picks() > 100, qt.IsTrue)
	picker.RequestSent("g0-0", 1, now) // One probe is in flight.
	qt.Check(t, picks(), qt.Equals, 0)
	picker.RequestFinished("g0-0", 1, 20*time.Millisecond, now)
	qt.Check(t, picks() > 100, qt.IsTrue)
}

// TestExclusive guards against two exclusive requests on one target. Requests that are suspected of a crash are
// exclusive.
func TestExclusive(t *testing.T) {
	picker := route.NewPicker()
	picker.SetTargets(targets(2, 4))
	r := random()
	req := request(epoch)
	req.Exclusive = true
	used := map[string]bool{}
	var last route.Route
	for range 4 {
		chosen, err := picker.Pick(r, req)
		qt.Assert(t, err, qt.IsNil)
		for _, name := range chosen.Names() {
			qt.Assert(t, used[name], qt.IsFalse)
			used[name] = true
		}
		last = chosen
	}
	_, err := picker.Pick(r, req)
	qt.Assert(t, err, qt.ErrorMatches, "layers .* are held only by targets that the request excludes")
	picker.ReleaseExclusive(last)
	again, err := picker.Pick(r, req)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.Names(), qt.DeepEquals, last.Names())
}

// TestPrefixHolder guards against a cached prefix that is not used, and against a prefix that draws more load to its
// target than the bound allows.
func TestPrefixHolder(t *testing.T) {
	picker := route.NewPicker()
	picker.SetTargets(targets(1, 20))
	picker.UpdatePrefix("g0-3", 99, true)
	req := request(epoch)
	req.PrefixHash = 99
	req.PromptBytes = 16 << 10
	r := random()
	holds := func() int {
		count := 0
		for range 100 {
			chosen, err := picker.Pick(r, req)
			qt.Assert(t, err, qt.IsNil)
			if chosen.Stages[0].Name == "g0-3" {
				count++
			}
		}
		return count
	}
	qt.Check(t, holds(), qt.Equals, 100)
	picker.RequestSent("g0-3", 2, epoch)
	qt.Check(t, holds() < 30, qt.IsTrue)
	picker.UpdatePrefix("g0-3", 99, false)
	picker.RequestFinished("g0-3", 2, time.Second, epoch)
	qt.Check(t, holds() < 30, qt.IsTrue)
}

// TestConcurrent guards against data races between updates of the target list and requests, and against a choice from
// a half-built list. It is meant to run under the race detector.
func TestConcurrent(t *testing.T) {
	picker := route.NewPicker()
	picker.SetTargets(targets(2, 10))
	var group sync.WaitGroup
	for seed := range uint64(4) {
		group.Go(func() {
			r := rand.New(rand.NewPCG(seed, 1))
			for i := range 500 {
				req := request(epoch.Add(time.Duration(i) * time.Millisecond))
				req.Exclusive = i%50 == 0
				chosen, err := picker.Pick(r, req)
				if !qt.Check(t, err, qt.IsNil) {
					return
				}
				for _, name := range chosen.Names() {
					picker.RequestSent(name, 1, req.Now)
					picker.RequestFinished(name, 1, time.Millisecond, req.Now)
				}
				if req.Exclusive {
					picker.ReleaseExclusive(chosen)
				}
			}
		})
	}
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		picker.SetTargets(targets(2, 8+i%3))
		picker.UpdateReport("g0-1", route.Report{Running: 1, Measured: now}, now)
		picker.UpdatePrefix("g1-1", 7, i%2 == 0)
		picker.TargetFailed("g0-2", now)
	}
	group.Wait()
}
