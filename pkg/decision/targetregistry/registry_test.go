package targetregistry_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/targetregistry"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// TestState guards against new requests for a target that is leaving according to the list, the target itself or an
// operator (P5).
func TestState(t *testing.T) {
	start := time.Date(2026, 3, 3, 8, 0, 0, 0, time.UTC)
	live := target.Target{Name: "w1", Address: netip.MustParseAddrPort("127.0.0.1:1"), State: target.Live}
	leaving := live
	leaving.State = target.Leaving
	moved := live
	moved.Address = netip.MustParseAddrPort("127.0.0.1:2")
	list := func(targets ...target.Target) func(*targetregistry.Registry, time.Time) {
		return func(r *targetregistry.Registry, now time.Time) { r.UpdateListed(targets, now) }
	}
	reports := func(leaving bool) func(*targetregistry.Registry, time.Time) {
		return func(r *targetregistry.Registry, _ time.Time) {
			r.UpdateReport("w1", targetregistry.TargetReport{Leaving: leaving})
		}
	}
	drain := func(names ...string) func(*targetregistry.Registry, time.Time) {
		return func(r *targetregistry.Registry, _ time.Time) { r.SetDrained(names) }
	}
	tests := []struct {
		name   string
		events []func(*targetregistry.Registry, time.Time)
		want   target.State
	}{
		{"listed live", []func(*targetregistry.Registry, time.Time){list(live)}, target.Live},
		{"listed leaving", []func(*targetregistry.Registry, time.Time){list(live), list(leaving)}, target.Leaving},
		{"missing from the list", []func(*targetregistry.Registry, time.Time){list(live), list()}, target.Leaving},
		{"listed again", []func(*targetregistry.Registry, time.Time){list(live), list(), list(live)}, target.Live},
		{"report overrides a stale list", []func(*targetregistry.Registry, time.Time){list(live), reports(true), list(live)}, target.Leaving},
		{"report withdrawn", []func(*targetregistry.Registry, time.Time){list(live), reports(true), reports(false)}, target.Live},
		{"list overrides a stale report", []func(*targetregistry.Registry, time.Time){list(leaving), reports(false)}, target.Leaving},
		{"new process with the same name", []func(*targetregistry.Registry, time.Time){list(live), reports(true), list(moved)}, target.Live},
		{"drained", []func(*targetregistry.Registry, time.Time){list(live), drain("w1")}, target.Leaving},
		{"drain ended", []func(*targetregistry.Registry, time.Time){list(live), drain("w1"), drain()}, target.Live},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := targetregistry.New()
			for i, event := range test.events {
				event(r, start.Add(time.Duration(i)*time.Second))
			}
			qt.Assert(t, r.Targets(), qt.HasLen, 1)
			qt.Assert(t, r.Targets()[0].State, qt.Equals, test.want)
		})
	}
}

// TestRemoveUnlisted guards against a registry that grows with every replaced target.
func TestRemoveUnlisted(t *testing.T) {
	start := time.Date(2026, 3, 3, 8, 0, 0, 0, time.UTC)
	r := targetregistry.New()
	r.UpdateListed([]target.Target{{Name: "w1", State: target.Live}}, start)
	r.UpdateListed(nil, start.Add(targetregistry.UnlistedRetention))
	qt.Assert(t, r.Targets(), qt.HasLen, 1)
	r.UpdateListed(nil, start.Add(targetregistry.UnlistedRetention+time.Second))
	qt.Assert(t, r.Targets(), qt.HasLen, 0)
}

// TestReportedLayers guards against routing by the layers in the instance list after an assignment changed the
// layers that the target holds.
func TestReportedLayers(t *testing.T) {
	r := targetregistry.New()
	listed := target.Target{Name: "w1", State: target.Live, Model: "old", Layers: layer.Range{First: 0, End: 8}}
	r.UpdateListed([]target.Target{listed}, time.Time{})
	r.UpdateReport("w1", targetregistry.TargetReport{Model: "new", ModelLayers: 32, Layers: layer.Range{First: 8, End: 16}})
	got := r.Targets()[0]
	qt.Assert(t, got.Model, qt.Equals, "new")
	qt.Assert(t, got.Layers, qt.Equals, layer.Range{First: 8, End: 16})
}
