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
	"github.com/cuminroute/cuminroute/pkg/target"
)

var epoch = time.Unix(1700000000, 0)

func newTestKnowledge() *knowledge {
	k := newKnowledge(fakePlatform(newFakeStore(), nil), silent(), 5*time.Second)
	k.configure(Row{Name: "config", Value: []byte("1"), Revision: 1})
	return k
}

func entryRow(name string, revision uint64, state target.State) Row {
	t := target.Target{Service: "model", State: state, Address: netip.MustParseAddrPort("10.0.0.1:80")}
	return Row{Name: name, Value: []byte(encode(t)), Revision: revision}
}

func has(k *knowledge, name string) bool {
	_, ok := k.target(name)
	return ok
}

// TestVersions guards against a configuration that goes back.
func TestVersions(t *testing.T) {
	k := newTestKnowledge()
	for _, step := range []struct {
		value    string
		revision uint64
		want     uint64
	}{
		{"5", 10, 5}, {"4", 9, 5}, {"4", 11, 5}, {"broken", 12, 5}, {"7", 13, 7},
	} {
		k.configure(Row{Name: "config", Value: []byte(step.value), Revision: step.revision})
		version, _ := k.version()
		qt.Assert(t, version, qt.Equals, step.want, qt.Commentf("%+v", step))
	}
}

// TestConfigurationProperty guards against a configuration that goes back, or a newest one that is not taken, in whatever
// order readers, peers and the store tell of them, and against a proof that an older one shortens.
func TestConfigurationProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newKnowledge(fakePlatform(newFakeStore(), nil), silent(), 5*time.Second)
		now := bootTime()
		version, revision, newest := uint64(0), uint64(0), time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"told of a configuration": func(t *rapid.T) {
				row := Row{Name: "config", Revision: rapid.Uint64Range(1, 20).Draw(t, "revision")}
				told := rapid.Uint64Range(1, 20).Draw(t, "version")
				row.Value = []byte(fmt.Sprint(told))
				valid := rapid.IntRange(0, 4).Draw(t, "fault") > 0
				if !valid {
					row.Value = []byte("broken")
				}
				k.configure(row)
				if valid && row.Revision > revision {
					revision, version = row.Revision, max(version, told)
				}
			},
			"told of a proof": func(t *rapid.T) {
				at := now - time.Duration(rapid.IntRange(0, 9000).Draw(t, "age, ms"))*time.Millisecond
				k.prove(at)
				newest = max(newest, at)
			},
			"": func(t *rapid.T) {
				if got, at := k.version(); got != version || version > 0 && at != revision {
					t.Fatalf("version %d of revision %d is in force, want %d of %d", got, at, version, revision)
				}
				// The test's own time is far below the margin.
				const margin = 500 * time.Millisecond
				if age := now - newest; newest > 0 && age < 5*time.Second-margin && !k.Fresh() {
					t.Fatalf("a proof of %v ago does not hold", age)
				}
				if age := now - newest; (newest == 0 || age > 5*time.Second) && k.Fresh() {
					t.Fatalf("a proof of %v ago holds", age)
				}
			},
		})
	})
}

// TestFresh guards against serving keys on a proof that is too old, also after the machine was suspended.
func TestFresh(t *testing.T) {
	k := newTestKnowledge()
	qt.Assert(t, k.Fresh(), qt.IsFalse)
	now := bootTime()
	k.prove(now - 6*time.Second)
	qt.Assert(t, k.Fresh(), qt.IsFalse)
	k.prove(now - time.Second)
	qt.Assert(t, k.Fresh(), qt.IsTrue)
	k.prove(now - 8*time.Second)
	qt.Assert(t, k.Fresh(), qt.IsTrue)
}

// TestMissing guards against giving work to a target that is gone, and against dropping all targets because the store
// was away and their entries lapsed.
func TestMissing(t *testing.T) {
	for _, test := range []struct {
		about  string
		silent time.Duration
		kept   bool
	}{
		{"in a watched list", 0, false},
		{"after a short silence", time.Second, false},
		{"after an outage", 4 * time.Second, true},
	} {
		t.Run(test.about, func(t *testing.T) {
			k := newTestKnowledge()
			k.list(Change{Rows: []Row{entryRow("w", 2, target.Live)}, Revision: 2}, 0, epoch)
			k.list(Change{Rows: []Row{{Name: "w", Revision: 3, Removed: true}}, Revision: 3}, test.silent, epoch)
			qt.Assert(t, has(k, "w"), qt.Equals, test.kept)
			k.expire(epoch.Add(returnGrace))
			qt.Assert(t, has(k, "w"), qt.IsFalse)
		})
	}
}

// TestReturned guards against dropping a target whose entry came back in time.
func TestReturned(t *testing.T) {
	k := newTestKnowledge()
	k.list(Change{Rows: []Row{entryRow("w", 2, target.Live)}, Revision: 2}, 0, epoch)
	k.list(Change{Full: true, Revision: 9}, 4*time.Second, epoch)
	k.list(Change{Rows: []Row{entryRow("w", 10, target.Live)}, Revision: 10}, 0, epoch.Add(time.Second))
	k.expire(epoch.Add(returnGrace))
	qt.Assert(t, has(k, "w"), qt.IsTrue)
}

// TestOldNews guards against an entry that arrives late from another instance and goes before a newer one.
func TestOldNews(t *testing.T) {
	k := newTestKnowledge()
	k.list(Change{Rows: []Row{entryRow("w", 5, target.Leaving)}}, 0, epoch)
	k.list(Change{Rows: []Row{entryRow("w", 4, target.Live)}}, 0, epoch)
	w, _ := k.target("w")
	qt.Assert(t, w.State, qt.Equals, target.Leaving)
	k.list(Change{Rows: []Row{{Name: "w", Revision: 6, Removed: true}}}, 0, epoch)
	k.list(Change{Rows: []Row{entryRow("w", 5, target.Leaving)}}, 0, epoch)
	qt.Assert(t, has(k, "w"), qt.IsFalse)
}

// TestForeignEntries guards against an entry of another writer that hides the others.
func TestForeignEntries(t *testing.T) {
	k := newTestKnowledge()
	k.list(Change{Full: true, Rows: []Row{{Name: "x", Value: []byte("?"), Revision: 2}, entryRow("w", 3, target.Live)}}, 0, epoch)
	qt.Assert(t, has(k, "w"), qt.IsTrue)
	qt.Assert(t, has(k, "x"), qt.IsFalse)
}

// TestDiscovery guards against a view that differs from what the list says of a target through its life.
func TestDiscovery(t *testing.T) {
	whole := layer.Range{First: 0, End: 4}
	entry := func(state target.State, port uint16, layers layer.Range, started int64) Row {
		return Row{Name: "w", Value: []byte(encode(target.Target{
			Service: "model", State: state, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), Layers: layers,
			StartTime: time.Unix(started, 0).UTC(),
		}))}
	}
	live := entry(target.Live, 80, whole, 1)
	for _, test := range []struct {
		about  string
		news   []Row // news follow the entry of a live target.
		listed bool
		want   func(target.Target) bool
	}{
		{"the same again", []Row{live}, true, func(w target.Target) bool { return w.AcceptsRequests() && w.Layers == whole }},
		{"it leaves", []Row{entry(target.Leaving, 80, whole, 1)}, true, func(w target.Target) bool { return !w.AcceptsRequests() }},
		{"it has left", []Row{{Name: "w", Removed: true}}, false, nil},
		{"it left without a word and comes back", []Row{{Name: "w", Removed: true}, live}, true, target.Target.AcceptsRequests},
		{
			"it starts anew, elsewhere and empty",
			[]Row{entry(target.Live, 81, layer.Range{}, 2)},
			true,
			func(w target.Target) bool {
				return w.Address.Port() == 81 && !w.Layers.Valid() && w.StartTime.Unix() == 2
			},
		},
		{"another writer's entry in its place", []Row{{Name: "w", Value: []byte("?")}}, false, nil},
		{"its own again after that", []Row{{Name: "w", Value: []byte("?")}, live}, true, target.Target.AcceptsRequests},
		{"the address of another service", []Row{{Name: "w", Value: []byte(encode(target.Target{
			Service: "orders", State: target.Live, Address: netip.MustParseAddrPort("10.0.0.1:80"),
		}))}}, true, func(w target.Target) bool { return w.Service == "orders" }},
	} {
		t.Run(test.about, func(t *testing.T) {
			k := newTestKnowledge()
			for i, row := range append([]Row{live}, test.news...) {
				row.Revision = uint64(i + 2)
				k.list(Change{Rows: []Row{row}, Revision: row.Revision}, 0, epoch)
			}
			w, listed := k.target("w")
			qt.Assert(t, listed, qt.Equals, test.listed)
			if listed {
				qt.Assert(t, test.want(w), qt.IsTrue, qt.Commentf("%+v", w))
			}
		})
	}
}

// TestHear guards against keeping a report for longer than its target's next entry.
func TestHear(t *testing.T) {
	k := newTestKnowledge()
	k.list(Change{Rows: []Row{entryRow("w", 2, target.Live)}}, 0, epoch)
	var left []string
	k.vacated = func(t target.Target) { left = append(left, t.Name) }
	k.hear("w", layer.Range{First: 0, End: 2}, time.Now())
	w, _ := k.target("w")
	qt.Assert(t, w.Layers, qt.Equals, layer.Range{First: 0, End: 2})
	k.hear("w", layer.Range{}, time.Now())
	qt.Assert(t, left, qt.DeepEquals, []string{"w"})
	entry := target.Target{Service: "model", State: target.Live, Address: netip.MustParseAddrPort("10.0.0.1:80"), Layers: layer.Range{First: 2, End: 4}}
	k.list(Change{Rows: []Row{{Name: "w", Value: []byte(encode(entry)), Revision: 3}}}, 0, epoch)
	w, _ = k.target("w")
	qt.Assert(t, w.Layers, qt.Equals, layer.Range{First: 2, End: 4})
}

// TestViewNeedsList guards against refusing requests for want of targets before the list was read.
func TestViewNeedsList(t *testing.T) {
	k := newTestKnowledge()
	qt.Assert(t, k.Snapshot(), qt.IsNil)
	k.list(Change{Full: true}, 0, epoch)
	qt.Assert(t, k.Snapshot(), qt.IsNotNil)
}

// TestShared guards against making the targets of a service anew, and the finder of its paths with them, for each change
// of another service.
func TestShared(t *testing.T) {
	k := newTestKnowledge()
	row := func(name, service string, revision uint64, layers layer.Range) Row {
		entry := target.Target{Service: service, State: target.Live, Address: netip.MustParseAddrPort("10.0.0.1:80"), Layers: layers}
		return Row{Name: name, Value: []byte(encode(entry)), Revision: revision}
	}
	whole := layer.Range{First: 0, End: 4}
	k.list(Change{Rows: []Row{row("a", "one", 2, whole), row("b", "one", 3, whole), row("c", "two", 4, whole)}}, 0, epoch)
	before := k.Snapshot()
	k.list(Change{Rows: []Row{row("c", "two", 5, layer.Range{First: 0, End: 2})}}, 0, epoch)
	after := k.Snapshot()
	qt.Assert(t, after.Targets["one"], qt.Equals, before.Targets["one"])
	qt.Assert(t, after.Targets["two"], qt.Not(qt.Equals), before.Targets["two"])
	qt.Assert(t, before.Targets["two"].Targets()[0].Layers, qt.Equals, whole)
	k.list(Change{Rows: []Row{row("c", "one", 6, whole)}}, 0, epoch) // The target moves to the other service.
	moved := k.Snapshot()
	qt.Assert(t, moved.Targets["one"].Targets(), qt.HasLen, 3)
	qt.Assert(t, moved.Targets["two"].Targets(), qt.HasLen, 0)
}

// TestViewProperty guards against a view that differs from the newest entries, in whatever order news of them arrives and
// however often, and against a digest that depends on that.
func TestViewProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newTestKnowledge()
		k.list(Change{Full: true}, 0, epoch)
		want := make(map[string]target.Target)
		var news []Row
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			row := Row{Name: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), Revision: uint64(i + 2)}
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
			news = append(news, row)
			if rapid.IntRange(0, 4).Draw(t, "again") == 0 {
				news = append(news, row)
			}
		}
		for _, row := range rapid.Permutation(news).Draw(t, "order") {
			k.list(Change{Rows: []Row{row}}, 0, epoch)
		}
		found := make(map[string]target.Target)
		digest := uint64(0)
		for service, pool := range k.Snapshot().Targets {
			for _, listed := range pool.Targets() {
				if listed.Service != service {
					t.Fatalf("%s of %s is in %s", listed.Name, listed.Service, service)
				}
				found[listed.Name] = *listed
				digest ^= digestOf(*listed)
			}
		}
		if !maps.Equal(found, want) {
			t.Fatalf("the view has %v, the entries are %v", found, want)
		}
		if digest != k.digest.Load() {
			t.Fatalf("the digest is %x, that of the view %x", k.digest.Load(), digest)
		}
	})
}
