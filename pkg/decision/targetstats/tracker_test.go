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

// TestReserve guards against load that remains after its request has ended, or is subtracted twice.
func TestReserve(t *testing.T) {
	tracker := targetstats.New()
	release := tracker.Reserve(path.Path{{Target: target.Target{Name: "w"}, Layers: layer.Range{First: 10, End: 16}}}, 100)
	qt.Assert(t, tracker.Load("w"), qt.Equals, targetstats.Load{KVCells: 600, Streams: 1})
	release()
	release()
	qt.Assert(t, tracker.Load("w"), qt.Equals, targetstats.Load{})
}

// TestSetRemoteLoads guards against counting an instance's previous report in addition to the new one, and against
// keeping the reports of instances that stopped reporting.
func TestSetRemoteLoads(t *testing.T) {
	tracker := targetstats.New()
	hash := targetstats.TargetHash("w")
	tracker.SetRemoteLoads("i1", map[uint64]targetstats.Load{hash: {KVCells: 5, Streams: 1}}, start)
	tracker.SetRemoteLoads("i2", map[uint64]targetstats.Load{hash: {KVCells: 7, Streams: 2}}, start)
	tracker.SetRemoteLoads("i1", map[uint64]targetstats.Load{hash: {KVCells: 1, Streams: 1}}, start.Add(time.Second))
	qt.Assert(t, tracker.Load("w"), qt.Equals, targetstats.Load{KVCells: 8, Streams: 3})
	tracker.SetRemoteLoads("i1", nil, start.Add(10*time.Second))
	qt.Assert(t, tracker.Load("w"), qt.Equals, targetstats.Load{})
}

// TestExtrapolation guards against counting only the load of the instances that reported.
func TestExtrapolation(t *testing.T) {
	tracker := targetstats.New()
	tracker.SetInstanceCount(21)
	hash := targetstats.TargetHash("w")
	for _, name := range []string{"i1", "i2", "i3", "i4"} {
		tracker.SetRemoteLoads(name, map[uint64]targetstats.Load{hash: {KVCells: 10, Streams: 1}}, start)
	}
	qt.Assert(t, tracker.Load("w"), qt.Equals, targetstats.Load{KVCells: 200, Streams: 20})
}

// TestEjected guards against using a failed target again at once, and against a target that stays ejected after a good
// response.
func TestEjected(t *testing.T) {
	tracker := targetstats.New()
	tracker.RecordFailure("w", start)
	qt.Assert(t, tracker.Ejected("w", start.Add(100*time.Millisecond)), qt.IsTrue)
	qt.Assert(t, tracker.Ejected("w", start.Add(300*time.Millisecond)), qt.IsFalse)
	for range 9 {
		tracker.RecordFailure("w", start)
	}
	qt.Assert(t, tracker.Ejected("w", start.Add(3*time.Second)), qt.IsTrue)
	qt.Assert(t, tracker.Ejected("w", start.Add(5*time.Second)), qt.IsFalse)
	tracker.RecordSuccess("w", time.Millisecond)
	qt.Assert(t, tracker.Ejected("w", start), qt.IsFalse)
}

// TestRecordRefusal guards against ejecting a saturated target, which may be the only target with its layers.
func TestRecordRefusal(t *testing.T) {
	tracker := targetstats.New()
	tracker.RecordRefusal("w", start)
	qt.Assert(t, tracker.Ejected("w", start), qt.IsFalse)
	qt.Assert(t, tracker.Saturated("w", start), qt.IsTrue)
	qt.Assert(t, tracker.Saturated("w", start.Add(time.Second)), qt.IsFalse)
}

// TestRecordNeedlessRefusal guards against choosing a target again and again that refuses all requests, and against avoiding it for long
// after refusals that came together or long ago.
func TestRecordNeedlessRefusal(t *testing.T) {
	tracker := targetstats.New()
	now := start
	for range 20 {
		tracker.RecordNeedlessRefusal("w", now) // Requests that were under way together.
	}
	qt.Assert(t, tracker.Ejected("w", now.Add(200*time.Millisecond)), qt.IsTrue)
	qt.Assert(t, tracker.Ejected("w", now.Add(300*time.Millisecond)), qt.IsFalse)
	refusals := 0
	for end := now.Add(8 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		if !tracker.Ejected("w", now) {
			tracker.RecordNeedlessRefusal("w", now)
			refusals++
		}
	}
	qt.Check(t, refusals <= 6, qt.IsTrue, qt.Commentf("%d requests went to a target that refuses all", refusals))
	now = now.Add(10 * time.Second)
	tracker.RecordNeedlessRefusal("w", now)
	qt.Check(t, tracker.Ejected("w", now.Add(300*time.Millisecond)), qt.IsFalse)
}

// TestRetain guards against memory that grows with each target that was ever recorded, and against removing the load of
// an unknown target that still runs requests.
func TestRetain(t *testing.T) {
	tracker := targetstats.New()
	none := func(string) bool { return false }
	release := tracker.Reserve(path.Path{{Target: target.Target{Name: "w"}, Layers: layer.Range{First: 10, End: 16}}}, 100)
	tracker.MarkDead("w", start.Add(time.Second))
	tracker.MarkDead("known", start.Add(time.Second))
	tracker.MarkDead("left", start.Add(time.Second))
	tracker.Retain(func(name string) bool { return name == "known" })
	qt.Assert(t, tracker.IsDead("known", start), qt.IsTrue)
	qt.Assert(t, tracker.IsDead("left", start), qt.IsFalse)
	qt.Assert(t, tracker.Load("w"), qt.Equals, targetstats.Load{KVCells: 600, Streams: 1})
	release()
	tracker.Retain(none)
	qt.Assert(t, tracker.IsDead("w", start), qt.IsFalse)
}

// TestMarkAlive guards against a target that responds again and still counts as dead.
func TestMarkAlive(t *testing.T) {
	tracker := targetstats.New()
	tracker.MarkDead("w", start.Add(2*time.Second))
	qt.Assert(t, tracker.IsDead("w", start.Add(time.Second)), qt.IsTrue)
	tracker.MarkAlive("w")
	qt.Assert(t, tracker.IsDead("w", start.Add(time.Second)), qt.IsFalse)
}
