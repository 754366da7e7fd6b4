package targetstats_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/target"
)

var start = time.Unix(1700000000, 0)

// TestReserve guards against load that stays after its request has ended, or is taken off twice.
func TestReserve(t *testing.T) {
	m := targetstats.New()
	release := m.Reserve(path.Path{{Target: target.Target{Name: "w"}, Layers: layer.Range{First: 10, End: 16}}}, 100)
	qt.Assert(t, m.Load("w"), qt.Equals, targetstats.Load{KVCells: 600, Streams: 1})
	release()
	release()
	qt.Assert(t, m.Load("w"), qt.Equals, targetstats.Load{})
}

// TestTold guards against an instance's old load staying beside its new one, and against the load of instances that were
// lost.
func TestTold(t *testing.T) {
	m := targetstats.New()
	key := targetstats.TargetHash("w")
	m.SetRemoteLoads("i1", map[uint64]targetstats.Load{key: {KVCells: 5, Streams: 1}}, start)
	m.SetRemoteLoads("i2", map[uint64]targetstats.Load{key: {KVCells: 7, Streams: 2}}, start)
	m.SetRemoteLoads("i1", map[uint64]targetstats.Load{key: {KVCells: 1, Streams: 1}}, start.Add(time.Second))
	qt.Assert(t, m.Load("w"), qt.Equals, targetstats.Load{KVCells: 8, Streams: 3})
	m.SetRemoteLoads("i1", nil, start.Add(10*time.Second))
	qt.Assert(t, m.Load("w"), qt.Equals, targetstats.Load{})
}

// TestScale guards against taking a sample of the instances for all of them.
func TestScale(t *testing.T) {
	m := targetstats.New()
	m.SetInstanceCount(21)
	key := targetstats.TargetHash("w")
	for _, name := range []string{"i1", "i2", "i3", "i4"} {
		m.SetRemoteLoads(name, map[uint64]targetstats.Load{key: {KVCells: 10, Streams: 1}}, start)
	}
	qt.Assert(t, m.Load("w"), qt.Equals, targetstats.Load{KVCells: 200, Streams: 20})
}

// TestAvoided guards against a failing target that is used again at once, and a working one that is not.
func TestAvoided(t *testing.T) {
	m := targetstats.New()
	m.RecordFailure("w", start)
	qt.Assert(t, m.Ejected("w", start.Add(100*time.Millisecond)), qt.IsTrue)
	qt.Assert(t, m.Ejected("w", start.Add(300*time.Millisecond)), qt.IsFalse)
	for range 9 {
		m.RecordFailure("w", start)
	}
	qt.Assert(t, m.Ejected("w", start.Add(3*time.Second)), qt.IsTrue)
	qt.Assert(t, m.Ejected("w", start.Add(5*time.Second)), qt.IsFalse)
	m.RecordSuccess("w", time.Millisecond)
	qt.Assert(t, m.Ejected("w", start), qt.IsFalse)
}

// TestRefused guards against taking a full target for a failing one: its layers may have no other holder.
func TestRefused(t *testing.T) {
	m := targetstats.New()
	m.RecordRefusal("w", start)
	qt.Assert(t, m.Ejected("w", start), qt.IsFalse)
	qt.Assert(t, m.Saturated("w", start), qt.IsTrue)
	qt.Assert(t, m.Saturated("w", start.Add(time.Second)), qt.IsFalse)
}

// TestKeep guards against memory that grows with each target that ever answered, and against losing the load of one
// that left with requests in progress.
func TestKeep(t *testing.T) {
	m := targetstats.New()
	none := func(string) bool { return false }
	release := m.Reserve(path.Path{{Target: target.Target{Name: "w"}, Layers: layer.Range{First: 10, End: 16}}}, 100)
	m.MarkDead("w", start.Add(time.Second))
	m.MarkDead("known", start.Add(time.Second))
	m.MarkDead("left", start.Add(time.Second))
	m.Retain(func(name string) bool { return name == "known" })
	qt.Assert(t, m.IsDead("known", start), qt.IsTrue)
	qt.Assert(t, m.IsDead("left", start), qt.IsFalse)
	qt.Assert(t, m.Load("w"), qt.Equals, targetstats.Load{KVCells: 600, Streams: 1})
	release()
	m.Retain(none)
	qt.Assert(t, m.IsDead("w", start), qt.IsFalse)
}

// TestDead guards against a target that answers again and is still kept out of use.
func TestDead(t *testing.T) {
	m := targetstats.New()
	m.MarkDead("w", start.Add(2*time.Second))
	qt.Assert(t, m.IsDead("w", start.Add(time.Second)), qt.IsTrue)
	m.MarkAlive("w")
	qt.Assert(t, m.IsDead("w", start.Add(time.Second)), qt.IsFalse)
}
