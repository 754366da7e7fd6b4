package gateway

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/revision"
	"github.com/cuminroute/cuminroute/pkg/target"
)

var epoch = time.Unix(1700000000, 0)

// at returns a revision of a store without eras.
func at(number uint64) revision.Revision { return revision.New(0, number) }

func newTestCache() *stateCache {
	cache := newStateCache(fakePlatform(newFakeStore(), nil), discardLogger(), 5*time.Second)
	cache.applyConfiguration(Row{Name: "config", Value: []byte("1"), Revision: at(1)})
	return cache
}

func targetRow(name string, number uint64, state target.State) Row {
	t := target.Target{Service: "model", State: state, Address: netip.MustParseAddrPort("10.0.0.1:80")}
	return Row{Name: name, Value: []byte(encode(t)), Revision: at(number)}
}

func has(cache *stateCache, name string) bool {
	_, ok := cache.target(name)
	return ok
}

// TestVersions guards against a configuration that is replaced by one with a lower version or revision.
func TestVersions(t *testing.T) {
	cache := newTestCache()
	for _, step := range []struct {
		value    string
		revision uint64
		want     uint64
	}{
		{"5", 10, 5}, {"4", 9, 5}, {"4", 11, 5}, {"broken", 12, 5}, {"7", 13, 7},
	} {
		cache.applyConfiguration(Row{Name: "config", Value: []byte(step.value), Revision: at(step.revision)})
		version, _ := cache.configurationVersion()
		qt.Assert(t, version, qt.Equals, step.want, qt.Commentf("%+v", step))
	}
}

// TestConfigurationProperty guards against a configuration that is replaced by an older one, or a newest one that is
// not activated, in whatever order watchers, peers and the store send them, and against a confirmation that is replaced
// by an older one.
func TestConfigurationProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := newStateCache(fakePlatform(newFakeStore(), nil), discardLogger(), 5*time.Second)
		now := timeSinceBoot()
		version, newestAt, newest := uint64(0), revision.Revision{}, time.Duration(0)
		stored := make(map[revision.Revision]uint64) // stored holds the version in each row of the store.
		t.Repeat(map[string]func(*rapid.T){
			"receive a configuration": func(t *rapid.T) {
				row := Row{Name: "config", Revision: revision.New(rapid.Uint64Range(1, 3).Draw(t, "era"), rapid.Uint64Range(1, 20).Draw(t, "revision"))}
				received := rapid.Uint64Range(1, 20).Draw(t, "version")
				if known, ok := stored[row.Revision]; ok {
					received = known // A row of one revision never changes.
				}
				stored[row.Revision] = received
				row.Value = []byte(fmt.Sprint(received))
				valid := rapid.IntRange(0, 4).Draw(t, "fault") > 0
				if !valid {
					row.Value = []byte("broken")
				}
				cache.applyConfiguration(row)
				if valid && row.Revision.After(newestAt) {
					newestAt, version = row.Revision, max(version, received)
				}
			},
			"receive a confirmation": func(t *rapid.T) {
				at := now - time.Duration(rapid.IntRange(0, 9000).Draw(t, "age, ms"))*time.Millisecond
				cache.confirm(at)
				newest = max(newest, at)
			},
			"": func(t *rapid.T) {
				if got, at := cache.configurationVersion(); got != version || version > 0 && at != newestAt {
					t.Fatalf("version %d of revision %d is active, want %d of %d", got, at, version, newestAt)
				}
				// The test's own run time is far below the margin.
				const margin = 500 * time.Millisecond
				if age := now - newest; newest > 0 && age < 5*time.Second-margin && !cache.Fresh() {
					t.Fatalf("the configuration is stale %v after its confirmation", age)
				}
				if age := now - newest; (newest == 0 || age > 5*time.Second) && cache.Fresh() {
					t.Fatalf("the configuration is not stale %v after its confirmation", age)
				}
			},
		})
	})
}

// TestFresh guards against accepting API keys from a configuration that is stale, also after the machine was suspended.
func TestFresh(t *testing.T) {
	cache := newTestCache()
	qt.Assert(t, cache.Fresh(), qt.IsFalse)
	now := timeSinceBoot()
	cache.confirm(now - 6*time.Second)
	qt.Assert(t, cache.Fresh(), qt.IsFalse)
	cache.confirm(now - time.Second)
	qt.Assert(t, cache.Fresh(), qt.IsTrue)
	cache.confirm(now - 8*time.Second)
	qt.Assert(t, cache.Fresh(), qt.IsTrue)
}

// TestMissing guards against sending requests to a removed target, and against dropping all targets because their
// entries expired during an outage of the store.
func TestMissing(t *testing.T) {
	for _, test := range []struct {
		name   string
		outage time.Duration
		kept   bool
	}{
		{"without an outage", 0, false},
		{"after a short outage", time.Second, false},
		{"after a long outage", 4 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			cache := newTestCache()
			cache.applyTargets(Change{Rows: []Row{targetRow("w", 2, target.Live)}, Revision: at(2)}, 0, epoch)
			cache.applyTargets(Change{Rows: []Row{{Name: "w", Revision: at(3), Removed: true}}, Revision: at(3)}, test.outage, epoch)
			qt.Assert(t, has(cache, "w"), qt.Equals, test.kept)
			cache.expire(epoch.Add(entryGracePeriod))
			qt.Assert(t, has(cache, "w"), qt.IsFalse)
		})
	}
}

// TestReturned guards against dropping a target whose entry returned within the grace period.
func TestReturned(t *testing.T) {
	cache := newTestCache()
	cache.applyTargets(Change{Rows: []Row{targetRow("w", 2, target.Live)}, Revision: at(2)}, 0, epoch)
	cache.applyTargets(Change{Full: true, Revision: at(9)}, 4*time.Second, epoch)
	cache.applyTargets(Change{Rows: []Row{targetRow("w", 10, target.Live)}, Revision: at(10)}, 0, epoch.Add(time.Second))
	cache.expire(epoch.Add(entryGracePeriod))
	qt.Assert(t, has(cache, "w"), qt.IsTrue)
}

// TestLateUpdate guards against an entry that arrives late from another instance and replaces a newer one.
func TestLateUpdate(t *testing.T) {
	cache := newTestCache()
	cache.applyTargets(Change{Rows: []Row{targetRow("w", 5, target.Leaving)}}, 0, epoch)
	cache.applyTargets(Change{Rows: []Row{targetRow("w", 4, target.Live)}}, 0, epoch)
	w, _ := cache.target("w")
	qt.Assert(t, w.State, qt.Equals, target.Leaving)
	cache.applyTargets(Change{Rows: []Row{{Name: "w", Revision: at(6), Removed: true}}}, 0, epoch)
	cache.applyTargets(Change{Rows: []Row{targetRow("w", 5, target.Leaving)}}, 0, epoch)
	qt.Assert(t, has(cache, "w"), qt.IsFalse)
}

// TestForeignEntries guards against an undecodable entry of another writer that hides the other entries.
func TestForeignEntries(t *testing.T) {
	cache := newTestCache()
	cache.applyTargets(Change{Full: true, Rows: []Row{{Name: "x", Value: []byte("?"), Revision: at(2)}, targetRow("w", 3, target.Live)}}, 0, epoch)
	qt.Assert(t, has(cache, "w"), qt.IsTrue)
	qt.Assert(t, has(cache, "x"), qt.IsFalse)
}

// TestDiscovery guards against a published target that differs from its entries, through the life cycle of a target.
func TestDiscovery(t *testing.T) {
	allLayers := layer.Range{First: 0, End: 4}
	entry := func(state target.State, port uint16, layers layer.Range, started int64) Row {
		return Row{Name: "w", Value: []byte(encode(target.Target{
			Service: "model", State: state, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), Layers: layers,
			StartTime: time.Unix(started, 0).UTC(),
		}))}
	}
	live := entry(target.Live, 80, allLayers, 1)
	for _, test := range []struct {
		name    string
		updates []Row // updates follow the entry of a live target.
		listed  bool
		want    func(target.Target) bool
	}{
		{"unchanged entry", []Row{live}, true, func(w target.Target) bool { return w.AcceptsRequests() && w.Layers == allLayers }},
		{"leaving", []Row{entry(target.Leaving, 80, allLayers, 1)}, true, func(w target.Target) bool { return !w.AcceptsRequests() }},
		{"removed", []Row{{Name: "w", Removed: true}}, false, nil},
		{"removed without leaving, then listed again", []Row{{Name: "w", Removed: true}, live}, true, target.Target.AcceptsRequests},
		{
			"restarted at another address without layers",
			[]Row{entry(target.Live, 81, layer.Range{}, 2)},
			true,
			func(w target.Target) bool {
				return w.Address.Port() == 81 && !w.Layers.Valid() && w.StartTime.Unix() == 2
			},
		},
		{"replaced by an undecodable entry", []Row{{Name: "w", Value: []byte("?")}}, false, nil},
		{"listed again after an undecodable entry", []Row{{Name: "w", Value: []byte("?")}, live}, true, target.Target.AcceptsRequests},
		{"moved to another service at the same address", []Row{{Name: "w", Value: []byte(encode(target.Target{
			Service: "orders", State: target.Live, Address: netip.MustParseAddrPort("10.0.0.1:80"),
		}))}}, true, func(w target.Target) bool { return w.Service == "orders" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			cache := newTestCache()
			for i, row := range append([]Row{live}, test.updates...) {
				row.Revision = at(uint64(i + 2))
				cache.applyTargets(Change{Rows: []Row{row}, Revision: row.Revision}, 0, epoch)
			}
			w, listed := cache.target("w")
			qt.Assert(t, listed, qt.Equals, test.listed)
			if listed {
				qt.Assert(t, test.want(w), qt.IsTrue, qt.Commentf("%+v", w))
			}
		})
	}
}

// TestLayerReport guards against a report that takes precedence over its target's next entry.
func TestLayerReport(t *testing.T) {
	cache := newTestCache()
	cache.applyTargets(Change{Rows: []Row{targetRow("w", 2, target.Live)}}, 0, epoch)
	var left []string
	cache.onDrain = func(t target.Target) { left = append(left, t.Name) }
	cache.applyReport("w", layer.Range{First: 0, End: 2}, time.Now())
	w, _ := cache.target("w")
	qt.Assert(t, w.Layers, qt.Equals, layer.Range{First: 0, End: 2})
	cache.applyReport("w", layer.Range{}, time.Now())
	qt.Assert(t, left, qt.DeepEquals, []string{"w"})
	entry := target.Target{Service: "model", State: target.Live, Address: netip.MustParseAddrPort("10.0.0.1:80"), Layers: layer.Range{First: 2, End: 4}}
	cache.applyTargets(Change{Rows: []Row{{Name: "w", Value: []byte(encode(entry)), Revision: at(3)}}}, 0, epoch)
	w, _ = cache.target("w")
	qt.Assert(t, w.Layers, qt.Equals, layer.Range{First: 2, End: 4})
}

// TestSnapshotNeedsList guards against refusing requests for lack of targets before the target list was read.
func TestSnapshotNeedsList(t *testing.T) {
	cache := newTestCache()
	qt.Assert(t, cache.Snapshot(), qt.IsNil)
	cache.applyTargets(Change{Full: true}, 0, epoch)
	qt.Assert(t, cache.Snapshot(), qt.IsNotNil)
}

// TestSharedServices guards against rebuilding the targets of a service, and their path finder, for each change of
// another service.
func TestSharedServices(t *testing.T) {
	cache := newTestCache()
	row := func(name, service string, number uint64, layers layer.Range) Row {
		entry := target.Target{Service: service, State: target.Live, Address: netip.MustParseAddrPort("10.0.0.1:80"), Layers: layers}
		return Row{Name: name, Value: []byte(encode(entry)), Revision: at(number)}
	}
	allLayers := layer.Range{First: 0, End: 4}
	cache.applyTargets(Change{Rows: []Row{row("a", "one", 2, allLayers), row("b", "one", 3, allLayers), row("c", "two", 4, allLayers)}}, 0, epoch)
	before := cache.Snapshot()
	cache.applyTargets(Change{Rows: []Row{row("c", "two", 5, layer.Range{First: 0, End: 2})}}, 0, epoch)
	after := cache.Snapshot()
	qt.Assert(t, after.Targets["one"], qt.Equals, before.Targets["one"])
	qt.Assert(t, after.Targets["two"], qt.Not(qt.Equals), before.Targets["two"])
	qt.Assert(t, before.Targets["two"].Targets()[0].Layers, qt.Equals, allLayers)
	cache.applyTargets(Change{Rows: []Row{row("c", "one", 6, allLayers)}}, 0, epoch) // The target moves to the other service.
	moved := cache.Snapshot()
	qt.Assert(t, moved.Targets["one"].Targets(), qt.HasLen, 3)
	qt.Assert(t, moved.Targets["two"].Targets(), qt.HasLen, 0)
}

// TestSnapshotProperty guards against a snapshot that differs from the newest entries, in whatever order and however
// often updates of them arrive, and against a digest that depends on this order.
func TestSnapshotProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := newTestCache()
		cache.applyTargets(Change{Full: true}, 0, epoch)
		want := make(map[string]target.Target)
		var updates []Row
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			row := Row{Name: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), Revision: at(uint64(i + 2))}
			if row.Removed = rapid.Bool().Draw(t, "removed"); row.Removed {
				delete(want, row.Name)
			} else {
				entry := target.Target{
					Name: row.Name, State: target.Live, Address: netip.MustParseAddrPort("10.0.0.1:80"),
					Service: rapid.SampledFrom([]string{"one", "two"}).Draw(t, "service"),
					Layers:  layer.Range{First: 0, End: rapid.IntRange(1, 4).Draw(t, "end")},
				}
				row.Value = []byte(encode(entry))
				want[row.Name] = entry
			}
			updates = append(updates, row)
			if rapid.IntRange(0, 4).Draw(t, "again") == 0 {
				updates = append(updates, row)
			}
		}
		for _, row := range rapid.Permutation(updates).Draw(t, "order") {
			cache.applyTargets(Change{Rows: []Row{row}}, 0, epoch)
		}
		found := make(map[string]target.Target)
		digest := uint64(0)
		for service, pool := range cache.Snapshot().Targets {
			for _, listed := range pool.Targets() {
				if listed.Service != service {
					t.Fatalf("%s of %s is in %s", listed.Name, listed.Service, service)
				}
				found[listed.Name] = *listed
				digest ^= targetDigest(*listed)
			}
		}
		if !maps.Equal(found, want) {
			t.Fatalf("the snapshot has %v, the entries are %v", found, want)
		}
		if digest != cache.digest.Load() {
			t.Fatalf("the digest is %x, that of the snapshot %x", cache.digest.Load(), digest)
		}
	})
}
