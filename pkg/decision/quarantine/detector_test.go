package quarantine_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/decision/quarantine"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
	_ = flag.Set("rapid.checks", "25")
}

// TestSimulation guards against a third target crashed by one request, and against other
// requests that are quarantined or not retried, while whole racks fail as well.
func TestSimulation(t *testing.T) {
	others, held, causes, quarantined := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(10, 40).Draw(t, "targets"), rapid.IntRange(1, 3).Draw(t, "stages"))
		crashing := rapid.IntRange(0, 3).Draw(t, "crashing")
		racks := rapid.IntRange(0, 2).Draw(t, "racks")
		for i := range 400 {
			if i < 200 && i%3 == 0 {
				sim.submit(fmt.Sprint("innocent ", i), false)
			}
			if i%10 == 0 && i < 300 {
				for c := range crashing {
					if i/20 >= c {
						sim.resend(fmt.Sprint("crash ", c))
					}
				}
			}
			if racks > 0 && i > 20 && sim.random.IntN(60) == 0 {
				sim.failRack(3 + sim.random.IntN(4))
			}
			sim.step()
		}
		for range 800 {
			sim.step()
		}
		for content, crashes := range sim.crashes {
			causes++
			if sim.detector.IsQuarantined(content, sim.now) {
				quarantined++
			} else if racks == 0 && crashing <= 1 {
				t.Fatalf("the crashing request is not quarantined")
			}
			if crashes > 2 {
				t.Fatalf("one request crashed %d targets", crashes)
			}
		}
		for _, j := range sim.jobs {
			switch {
			case j.crashes:
			case sim.detector.IsQuarantined(j.fingerprint, sim.now):
				t.Fatalf("non-crashing request %s is quarantined", j.id)
			default:
				others++
				if !j.finished {
					held++
					if !j.refused || (racks == 0 && crashing <= 1) {
						t.Fatalf("non-crashing request %s has not completed (refused: %v)", j.id, j.refused)
					}
				}
			}
		}
	})
	t.Logf("%d crashing requests, of which %d were quarantined and the others held; %d non-crashing requests, of which %d were held",
		causes, quarantined, others, held)
}

// TestRackFailure guards against non-crashing requests that are refused, and against a crashing
// request that may run again after its second crash, when a rack of 4 of 40 targets fails within a second of the first crash.
// If the second crash coincides with the rack failure, the request stays held.
func TestRackFailure(t *testing.T) {
	const runs = 25
	others, held, quarantined := 0, 0, 0
	for seed := range uint64(runs) {
		sim := newSimulation(seed, 40, 2)
		for i := range 300 {
			if i < 200 && i%2 == 0 {
				sim.submit(fmt.Sprint("innocent ", i), false)
			}
			if i >= 50 && i%10 == 0 {
				sim.resend("crash")
			}
			if i == 50+int(seed*100/runs) {
				sim.failRack(4)
			}
			sim.step()
		}
		for range 800 {
			sim.step()
		}
		for _, j := range sim.jobs {
			if j.crashes {
				continue
			}
			others++
			if !j.finished {
				held++
			}
			qt.Check(t, sim.detector.IsQuarantined(j.fingerprint, sim.now), qt.IsFalse)
		}
		content := quarantine.Fingerprint("w", []byte("crash"))
		qt.Check(t, sim.crashes[content] <= 2, qt.IsTrue)
		verdict := sim.detector.Check(content, sim.now)
		if verdict == quarantine.Quarantined {
			quarantined++
		} else {
			qt.Check(t, verdict, qt.Equals, quarantine.Held)
		}
	}
	t.Logf("%d of %d crashing requests were quarantined, %d of %d non-crashing requests were refused", quarantined, runs, held, others)
	qt.Check(t, quarantined >= runs/2, qt.IsTrue)
	qt.Check(t, held <= others/1000, qt.IsTrue)
}

// TestBounds guards against memory that grows with crashes, and against entries that never expire.
func TestBounds(t *testing.T) {
	d := quarantine.New()
	for i := range uint64(10000) {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		target, request := fmt.Sprint("t", i), fmt.Sprint("r", i)
		d.RequestStarted(request, i, target)
		d.TargetCrashed(target, now)
		d.AddQuarantined(i, now.Add(quarantine.Duration))
	}
	qt.Check(t, d.SuspectCount() > 3000 && d.SuspectCount() <= 4096, qt.IsTrue)
	entries := len(d.QuarantinedEntries(epoch))
	qt.Check(t, entries > 3000 && entries <= 4096, qt.IsTrue)
	qt.Check(t, d.QuarantinedEntries(epoch.Add(time.Hour)), qt.HasLen, 0)
	d.TargetCrashed("t", epoch.Add(time.Hour))
	qt.Check(t, d.SuspectCount(), qt.Equals, 0)
}

// TestExchange guards against an instance that runs a request which another instance quarantined or held,
// and against quarantine of a request whose target may have been crashed by another instance's suspect.
func TestExchange(t *testing.T) {
	crash := func(remote bool) *quarantine.Detector {
		d := quarantine.New()
		d.RequestStarted("a", 1, "t1")
		d.TargetCrashed("t1", epoch)
		d.TargetResponded("t2")
		if remote {
			d.MarkRemoteSuspect("t2", epoch.Add(time.Minute))
			qt.Check(t, d.MayRun("a", 1, "t2", epoch), qt.IsFalse)
		}
		d.RequestStarted("a", 1, "t2")
		d.TargetCrashed("t2", epoch.Add(time.Second))
		return d
	}
	later := epoch.Add(2 * time.Second)
	first, second := crash(false), quarantine.New()
	for _, e := range first.QuarantinedEntries(later) {
		second.AddQuarantined(e.Fingerprint, e.Until)
	}
	qt.Check(t, second.IsQuarantined(1, later), qt.IsTrue)
	first, second = crash(true), quarantine.New()
	qt.Check(t, first.QuarantinedEntries(later), qt.HasLen, 0)
	for _, e := range first.HeldEntries(later) {
		second.AddHeld(e.Fingerprint, e.Until)
	}
	qt.Check(t, second.Check(1, later), qt.Equals, quarantine.Held)
}

// TestCopies guards against a third target crashed by concurrent copies of one request. Both copies run on
// target b, and the first one also on target a. The crash of b ends the first copy's run on a before the
// crash of a is noticed.
func TestCopies(t *testing.T) {
	d := quarantine.New()
	d.RequestStarted("r1", 1, "a")
	d.RequestStarted("r1", 1, "b")
	d.RequestStarted("r2", 1, "b")
	d.TargetCrashed("b", epoch)
	d.RequestFinished("r1", "a")
	suspects := d.TargetCrashed("a", epoch.Add(20*time.Millisecond))
	qt.Check(t, suspects, qt.HasLen, 0) // Neither copy runs there any more.
	qt.Check(t, d.Check(1, epoch.Add(30*time.Millisecond)), qt.Equals, quarantine.Held)
	qt.Check(t, d.Check(1, epoch.Add(time.Second)), qt.Equals, quarantine.Quarantined)
}

// TestLateNotice guards against a second crash that does not count because the crash of another
// target of the first path was noticed only after the request was retried.
func TestLateNotice(t *testing.T) {
	d := quarantine.New()
	d.RequestStarted("r", 1, "a")
	d.RequestStarted("r", 1, "b")
	d.TargetCrashed("a", epoch)
	d.RequestFinished("r", "b")
	d.TargetResponded("c")
	d.RequestStarted("r", 1, "c")
	d.TargetCrashed("b", epoch.Add(50*time.Millisecond))
	qt.Check(t, d.Check(1, epoch.Add(50*time.Millisecond)), qt.Equals, quarantine.Suspected)
	d.TargetCrashed("c", epoch.Add(time.Second))
	qt.Check(t, d.Check(1, epoch.Add(2*time.Second)), qt.Equals, quarantine.Quarantined)
}
