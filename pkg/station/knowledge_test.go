package station

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
	k.list(Change{Whole: true, Revision: 9}, 4*time.Second, epoch)
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
	k.list(Change{Whole: true, Rows: []Row{{Name: "x", Value: []byte("?"), Revision: 2}, entryRow("w", 3, target.Live)}}, 0, epoch)
	qt.Assert(t, has(k, "w"), qt.IsTrue)
	qt.Assert(t, has(k, "x"), qt.IsFalse)
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
	qt.Assert(t, k.View(), qt.IsNil)
	k.list(Change{Whole: true}, 0, epoch)
	qt.Assert(t, k.View(), qt.IsNotNil)
}
