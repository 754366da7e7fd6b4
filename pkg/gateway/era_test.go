package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/revision"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// engineRow returns the row of an engine that has accepted a number of assignments since its start.
func engineRow(name string, at revision.Revision, state target.State, assignments uint64, started int64) Row {
	t := target.Target{
		Service: "model", State: state, Address: netip.MustParseAddrPort("10.0.0.1:80"), Assignments: assignments,
		Layers: layer.Range{First: 0, End: int(assignments)}, StartTime: time.Unix(started, 0).UTC(),
	}
	return Row{Name: name, Value: []byte(encode(t)), Revision: at}
}

// TestCopiedConfiguration guards against a configuration that goes back with the store, against one that is ignored since
// its number was given out again, and against taking an older version in the store for a confirmation.
func TestCopiedConfiguration(t *testing.T) {
	cache := newTestCache()
	for _, step := range []struct {
		value   string
		at      revision.Revision
		want    uint64
		newest  bool // newest means that the store's row is the active configuration.
		comment string
	}{
		{"5", revision.New(1, 10), 5, true, "before the return"},
		{"7", revision.New(1, 57), 7, true, "before the return"},
		{"5", revision.New(2, 10), 7, false, "the copy has an older version"},
		{"8", revision.New(1, 58), 7, false, "a late row of the older era"},
		{"7", revision.New(2, 31), 7, true, "written again"},
		{"8", revision.New(2, 57), 8, true, "a number that was given out again"},
	} {
		cache.applyConfiguration(Row{Name: "config", Value: []byte(step.value), Revision: step.at})
		version, at := cache.configurationVersion()
		qt.Check(t, version, qt.Equals, step.want, qt.Commentf("%+v", step))
		qt.Check(t, cache.storedConfigurationIsActive(), qt.Equals, step.newest, qt.Commentf("%+v", step))
		qt.Check(t, at.Before(step.at), qt.IsFalse, qt.Commentf("%+v", step))
	}
}

// TestPeerConfiguration guards against an instance that started after the return of the store, read the older version, and
// keeps it although the others have a newer one.
func TestPeerConfiguration(t *testing.T) {
	cache := newTestCache()
	cache.applyConfiguration(Row{Name: "config", Value: []byte("5"), Revision: revision.New(2, 10)})
	cache.applyPeerConfiguration([]byte("7"), revision.New(2, 10))
	version, at := cache.configurationVersion()
	qt.Assert(t, version, qt.Equals, uint64(7))
	qt.Assert(t, at, qt.Equals, revision.New(2, 10))
	qt.Assert(t, cache.storedConfigurationIsActive(), qt.IsFalse)
	cache.applyPeerConfiguration([]byte("6"), revision.New(2, 11))
	version, _ = cache.configurationVersion()
	qt.Assert(t, version, qt.Equals, uint64(7))
}

// TestCopiedTargets guards against what a copy of the target list may undo: targets that have joined since, have left,
// are leaving, or hold other layers.
func TestCopiedTargets(t *testing.T) {
	known := []Row{
		engineRow("kept", revision.New(1, 2), target.Live, 1, 1),
		engineRow("joined", revision.New(1, 3), target.Live, 1, 1),
		engineRow("leaving", revision.New(1, 4), target.Leaving, 1, 1),
		engineRow("assigned", revision.New(1, 5), target.Live, 3, 1),
		engineRow("gone", revision.New(1, 6), target.Live, 1, 1),
		engineRow("restarted", revision.New(1, 7), target.Live, 3, 1),
	}
	copied := []Row{
		engineRow("kept", revision.New(2, 2), target.Live, 1, 1),
		engineRow("leaving", revision.New(2, 3), target.Live, 1, 1),
		engineRow("assigned", revision.New(2, 4), target.Live, 2, 1),
		engineRow("gone", revision.New(2, 5), target.Live, 1, 1),
		engineRow("restarted", revision.New(2, 6), target.Live, 0, 9),
	}
	read := func() *stateCache {
		cache := newTestCache()
		cache.applyTargets(Change{Full: true, Rows: known, Revision: revision.New(1, 7)}, 0, epoch)
		cache.applyTargets(Change{Rows: []Row{{Name: "gone", Revision: revision.New(1, 9), Removed: true}}, Revision: revision.New(1, 9)}, 0, epoch)
		cache.applyTargets(Change{Full: true, Rows: copied, Revision: revision.New(2, 6)}, 0, epoch.Add(time.Second))
		return cache
	}

	cache := read()
	for _, name := range []string{"kept", "joined", "leaving", "assigned", "restarted"} {
		qt.Check(t, has(cache, name), qt.IsTrue, qt.Commentf("%s is lost", name))
	}
	qt.Check(t, has(cache, "gone"), qt.IsFalse)
	leaving, _ := cache.target("leaving")
	qt.Check(t, leaving.State, qt.Equals, target.Leaving)
	assigned, _ := cache.target("assigned")
	qt.Check(t, assigned.Layers.End, qt.Equals, 3)
	restarted, _ := cache.target("restarted")
	qt.Check(t, restarted.Layers.End, qt.Equals, 0)

	// What the targets write again, with lower numbers than before, is in force at once.
	cache.applyTargets(Change{Revision: revision.New(2, 9), Rows: []Row{
		engineRow("joined", revision.New(2, 7), target.Leaving, 1, 1),
		{Name: "kept", Revision: revision.New(2, 8), Removed: true},
		engineRow("assigned", revision.New(2, 9), target.Live, 4, 1),
	}}, 0, epoch.Add(2*time.Second))
	joined, _ := cache.target("joined")
	qt.Check(t, joined.State, qt.Equals, target.Leaving)
	qt.Check(t, has(cache, "kept"), qt.IsFalse)
	assigned, _ = cache.target("assigned")
	qt.Check(t, assigned.Layers.End, qt.Equals, 4)
	cache.expire(epoch.Add(time.Second + entryGracePeriod))
	qt.Check(t, has(cache, "joined"), qt.IsTrue)

	// An entry that is not written again is gone after the grace period.
	cache = read()
	cache.expire(epoch.Add(time.Second + entryGracePeriod))
	qt.Check(t, has(cache, "joined"), qt.IsFalse)

	// A removed target that writes its entry after the return is used at once.
	cache.applyTargets(Change{Revision: revision.New(2, 20), Rows: []Row{engineRow("gone", revision.New(2, 20), target.Live, 1, 1)}}, 0, epoch.Add(2*time.Second))
	qt.Check(t, has(cache, "gone"), qt.IsTrue)

	// One whose entry stays in the store without a change is used in the end, when the whole list is read again.
	cache = read()
	end := epoch.Add(time.Second + copiedEntryTTL)
	qt.Check(t, cache.copiedEraEnded(end.Add(-time.Millisecond)), qt.IsFalse)
	qt.Check(t, cache.copiedEraEnded(end), qt.IsTrue)
	qt.Check(t, cache.copiedEraEnded(end), qt.IsFalse)
	cache.applyTargets(Change{Full: true, Rows: copied, Revision: revision.New(2, 6)}, 0, end)
	qt.Check(t, has(cache, "gone"), qt.IsTrue)
}

// TestReturnFromCopy guards against instances that keep trusting numbers after the store came back from an older copy: a
// change of the configuration that is ignored, a lease that nobody holds, and different states of the instances.
func TestReturnFromCopy(t *testing.T) {
	store := newFakeStore()
	control := &fakeTargetControl{store: store}
	store.put("configuration", "config", "5")
	store.put("targets", "w1", encode(target.Target{Service: "model", Kind: target.Engine, State: target.Live, Accelerator: "k", Address: netip.MustParseAddrPort("10.0.0.1:80")}))
	first := start(t, "i1", store, control)
	second := start(t, "i2", store, control, first)
	instances := []*Gateway{first, second}
	versions := func(want uint64) func() bool {
		return func() bool {
			for _, g := range instances {
				if version, _ := g.cache.configurationVersion(); version != want {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "the first configuration", versions(5))
	eventually(t, "a holder of the lease", func() bool { return first.leader.holds() || second.leader.holds() })
	older := store.copy()
	for range 5 {
		store.put("configuration", "other", "-")
	}
	store.put("configuration", "config", "7")
	eventually(t, "the next configuration", versions(7))
	highest := max(first.leader.highestFencingToken(), second.leader.highestFencingToken())

	store.setDown(true)
	time.Sleep(300 * time.Millisecond)
	store.restore(older)
	store.setDown(false)
	third := start(t, "i3", store, control, first, second) // It reads the older version from the store.
	instances = append(instances, third)
	eventually(t, "the newest configuration on the instance that started later", versions(7))
	store.put("configuration", "config", "7")
	eventually(t, "a confirmation in the new era", func() bool {
		for _, g := range instances {
			if !g.cache.Fresh() || g.State().Era != 1 {
				return false
			}
		}
		return true
	})
	store.put("configuration", "config", "8") // Its number is lower than that of version 7 was.
	eventually(t, "a change in the new era", versions(8))
	eventually(t, "one holder of the lease with a higher fencing token", func() bool {
		holders := 0
		for _, g := range instances {
			if _, ok := g.leader.heldLease(); ok && g.leader.era() == 1 && g.leader.highestFencingToken() > highest {
				holders++
			}
		}
		return holders == 1
	})
}

// TestLostFencingToken guards against a holder of the lease whose assignments are refused for good, since the store and all
// instances have lost the highest fencing token, and against assignments under a token that was refused before.
func TestLostFencingToken(t *testing.T) {
	store := newFilledStore()
	store.era = 1
	targets := len(store.rows["targets"])
	control := &fakeTargetControl{store: store, minToken: 6}
	start(t, "i1", store, control)
	eventually(t, "an accepted assignment", func() bool {
		list := control.list()
		return len(list) > 0 && list[len(list)-1].FencingToken >= control.minToken
	})
	assignments, refused := control.list(), make(map[uint64]int)
	for i, a := range assignments {
		if a.FencingToken < control.minToken {
			refused[a.FencingToken]++
		}
		qt.Check(t, i == 0 || a.FencingToken >= assignments[i-1].FencingToken, qt.IsTrue)
	}
	for token, n := range refused {
		// One round of the plan may send an assignment to each target before the first refusal arrives.
		qt.Check(t, n <= targets, qt.IsTrue, qt.Commentf("token %d: %d assignments", token, n))
	}
}

// TestAwaitsPeers guards against an instance that is ready with the configuration of a copy before another instance could
// tell it a newer one, and against one that waits although no other instance answers.
func TestAwaitsPeers(t *testing.T) {
	store := newFakeStore()
	store.era = 1
	store.put("configuration", "config", "5")
	g := start(t, "i1", store, &fakeTargetControl{store: store})
	eventually(t, "readiness without seeds", g.Ready)
	later := start(t, "i2", store, &fakeTargetControl{store: store}, g)
	eventually(t, "the configuration", func() bool { version, _ := later.cache.configurationVersion(); return version == 5 })
	later.peers.mu.Lock()
	later.peers.receivedAny = false
	later.peers.mu.Unlock()
	now := later.peers.startedAt
	qt.Assert(t, later.peers.awaitsPeers(now.Add(peerWait/2)), qt.IsTrue)
	qt.Assert(t, later.peers.awaitsPeers(now.Add(peerWait+time.Millisecond)), qt.IsFalse)
	eventually(t, "readiness", later.Ready)
}

// listFleet is a store with engines that write their entries, and instances that read the list or receive it from others.
type listFleet struct {
	store   *fakeStore
	copies  []*fakeStore
	engines map[string]target.Target // engines holds the running engines.
	caches  []*stateCache
	after   []revision.Revision // after holds the revision up to which each instance has read.
	now     time.Time
	starts  int64
}

func newListFleet() *listFleet {
	f := &listFleet{store: newFakeStore(), engines: make(map[string]target.Target), now: epoch}
	f.copies = []*fakeStore{f.store.copy()}
	for range 2 {
		f.caches = append(f.caches, newTestCache())
		f.after = append(f.after, revision.Revision{})
	}
	return f
}

// write writes the entry of an engine.
func (f *listFleet) write(t target.Target) {
	f.engines[t.Name] = t
	f.store.put("targets", t.Name, encode(t))
}

// read lets an instance read the changes of the list, or the whole list.
func (f *listFleet) read(i int, outage time.Duration) {
	change, err := f.store.since("targets", f.after[i], !f.after[i].Exists())
	if err != nil {
		change, _ = f.store.since("targets", revision.Revision{}, true)
	}
	f.caches[i].applyTargets(change, outage, f.now)
	f.after[i] = change.Revision
}

// incarnation identifies one run of an engine.
func incarnation(t target.Target) string { return fmt.Sprint(t.Name, "/", t.StartTime.Unix()) }

// TestListProperty guards against an instance that uses a target again that has left, after the store came back from a copy,
// and against instances whose lists differ from the store's for good.
func TestListProperty(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		f := newListFleet()
		knownLeaving := make([]map[string]bool, len(f.caches)) // knownLeaving holds what each instance has seen leaving.
		for i := range knownLeaving {
			knownLeaving[i] = make(map[string]bool)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				f.starts++
				name := rapid.SampledFrom(names).Draw(t, "name")
				if _, running := f.engines[name]; running {
					t.Skip("runs already")
				}
				f.write(target.Target{
					Name: name, Service: "model", State: target.Live, Address: netip.MustParseAddrPort("10.0.0.1:80"), StartTime: time.Unix(f.starts, 0).UTC(),
				})
			},
			"assign": func(t *rapid.T) {
				engine, ok := f.engines[rapid.SampledFrom(names).Draw(t, "name")]
				if !ok {
					t.Skip("does not run")
				}
				engine.Assignments++
				engine.Layers = layer.Range{First: 0, End: 1 + int(engine.Assignments%4)}
				f.write(engine)
			},
			"leave": func(t *rapid.T) {
				engine, ok := f.engines[rapid.SampledFrom(names).Draw(t, "name")]
				if !ok {
					t.Skip("does not run")
				}
				engine.State = target.Leaving
				f.write(engine)
			},
			"end": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "name")
				if _, ok := f.engines[name]; !ok {
					t.Skip("does not run")
				}
				delete(f.engines, name)
				f.store.remove("targets", name)
			},
			"copy": func(*rapid.T) { f.copies = append(f.copies, f.store.copy()) },
			"return from a copy": func(t *rapid.T) {
				f.store.restore(rapid.SampledFrom(f.copies).Draw(t, "copy"))
				f.copies = []*fakeStore{f.store.copy()}
			},
			"read": func(t *rapid.T) {
				f.read(rapid.IntRange(0, 1).Draw(t, "instance"), 0)
			},
			"relay": func(t *rapid.T) { // One instance sends an entry to the other, as watchers do.
				from, name := rapid.IntRange(0, 1).Draw(t, "from"), rapid.SampledFrom(names).Draw(t, "name")
				if e := f.caches[from].targets[name]; e != nil && e.dropAt.IsZero() && !e.newerThanRow {
					f.caches[1-from].applyTargets(Change{Rows: []Row{{Name: name, Value: e.content, Revision: e.revision}}}, 0, f.now)
				}
			},
			"pass": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				for _, cache := range f.caches {
					cache.expire(f.now)
				}
			},
			"": func(t *rapid.T) {
				for i, cache := range f.caches {
					for _, name := range names {
						used, ok := cache.target(name)
						switch {
						case ok && !used.AcceptsRequests():
							knownLeaving[i][incarnation(used)] = true
						case ok && knownLeaving[i][incarnation(used)] && cache.inCopiedEra(f.now):
							t.Fatalf("instance %d uses %s again, which was leaving", i, incarnation(used))
						}
					}
				}
			},
		})
		f.settle(t, names)
	})
}

// settle lets the engines write their entries again and the platform remove those of ended ones. All instances must then
// have the list of the store.
func (f *listFleet) settle(t *rapid.T, names []string) {
	for _, name := range names {
		if engine, runs := f.engines[name]; runs {
			f.write(engine)
		} else {
			f.store.remove("targets", name)
		}
	}
	for i, cache := range f.caches {
		f.read(i, 0)
		f.now = f.now.Add(copiedEntryTTL)
		cache.expire(f.now)
		f.after[i] = revision.Revision{}
		f.read(i, 0)
		for _, name := range names {
			engine, runs := f.engines[name]
			listed, ok := cache.target(name)
			if ok != runs || runs && listed != engine {
				t.Fatalf("instance %d lists %v (%t), the engine is %v (%t)", i, listed, ok, engine, runs)
			}
		}
	}
}
