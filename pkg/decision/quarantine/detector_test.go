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

// TestWorld guards against a third target lost to a crashing request, against quarantine of its
// neighbours, and against neighbours that are not run again, while racks are lost as well.
func TestWorld(t *testing.T) {
	innocents, held, guilty, quarantined := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(10, 40).Draw(t, "targets"), rapid.IntRange(1, 3).Draw(t, "stages"))
		crashing := rapid.IntRange(0, 3).Draw(t, "crashing")
		racks := rapid.IntRange(0, 2).Draw(t, "racks")
		for i := range 400 {
			if i < 200 && i%3 == 0 {
				w.submit(fmt.Sprint("innocent ", i), false)
			}
			if i%10 == 0 && i < 300 {
				for c := range crashing {
					if i/20 >= c {
						w.resend(fmt.Sprint("crash ", c))
					}
				}
			}
			if racks > 0 && i > 20 && w.random.IntN(60) == 0 {
				w.rack(3 + w.random.IntN(4))
			}
			w.step()
		}
		for range 800 {
			w.step()
		}
		for content, killed := range w.killed {
			guilty++
			if w.ledger.IsQuarantined(content, w.now) {
				quarantined++
			} else if racks == 0 && crashing <= 1 {
				t.Fatalf("the crashing request is not quarantined")
			}
			if killed > 2 {
				t.Fatalf("%d targets were lost to one request", killed)
			}
		}
		for _, j := range w.jobs {
			switch {
			case j.crashes:
			case w.ledger.IsQuarantined(j.print, w.now):
				t.Fatalf("neighbour %s is quarantined", j.id)
			default:
				innocents++
				if !j.finished {
					held++
					if !j.refused || (racks == 0 && crashing <= 1) {
						t.Fatalf("neighbour %s is not complete (refused: %v)", j.id, j.refused)
					}
				}
			}
		}
	})
	t.Logf("%d crashing requests, of which %d were quarantined and the others held; %d neighbours, of which %d were held",
		guilty, quarantined, innocents, held)
}

// TestRackLoss guards against neighbours that are refused, and against a crashing request that may
// run again, when one rack of 4 of 40 targets is lost within a second of the first crash. A second
// crash at the very time of the rack loss leaves the request held.
func TestRackLoss(t *testing.T) {
	const runs = 25
	neighbours, held, quarantined := 0, 0, 0
	for seed := range uint64(runs) {
		w := newWorld(seed, 40, 2)
		for i := range 300 {
			if i < 200 && i%2 == 0 {
				w.submit(fmt.Sprint("innocent ", i), false)
			}
			if i >= 50 && i%10 == 0 {
				w.resend("crash")
			}
			if i == 50+int(seed*100/runs) {
				w.rack(4)
			}
			w.step()
		}
		for range 800 {
			w.step()
		}
		for _, j := range w.jobs {
			if j.crashes {
				continue
			}
			neighbours++
			if !j.finished {
				held++
			}
			qt.Check(t, w.ledger.IsQuarantined(j.print, w.now), qt.IsFalse)
		}
		content := quarantine.Fingerprint("w", []byte("crash"))
		qt.Check(t, w.killed[content] <= 2, qt.IsTrue)
		verdict := w.ledger.Check(content, w.now)
		if verdict == quarantine.Quarantined {
			quarantined++
		} else {
			qt.Check(t, verdict, qt.Equals, quarantine.Held)
		}
	}
	t.Logf("%d of %d crashing requests were quarantined, %d of %d neighbours were refused", quarantined, runs, held, neighbours)
	qt.Check(t, quarantined >= runs/2, qt.IsTrue)
	qt.Check(t, held <= neighbours/1000, qt.IsTrue)
}

// TestBounds guards against memory that grows with crashes, and against entries that never end.
func TestBounds(t *testing.T) {
	l := quarantine.New()
	for i := range uint64(10000) {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		target, request := fmt.Sprint("t", i), fmt.Sprint("r", i)
		l.RequestStarted(request, i, target)
		l.TargetCrashed(target, now)
		l.AddQuarantined(i, now.Add(quarantine.Duration))
	}
	qt.Check(t, l.SuspectCount() > 3000 && l.SuspectCount() <= 4096, qt.IsTrue)
	entries := len(l.QuarantinedEntries(epoch))
	qt.Check(t, entries > 3000 && entries <= 4096, qt.IsTrue)
	qt.Check(t, l.QuarantinedEntries(epoch.Add(time.Hour)), qt.HasLen, 0)
	l.TargetCrashed("t", epoch.Add(time.Hour))
	qt.Check(t, l.SuspectCount(), qt.Equals, 0)
}

// TestExchange guards against a resend that another instance runs, and against quarantine of a
// request whose target another instance's suspect may have crashed.
func TestExchange(t *testing.T) {
	crash := func(remote bool) *quarantine.Detector {
		l := quarantine.New()
		l.RequestStarted("a", 1, "t1")
		l.TargetCrashed("t1", epoch)
		l.TargetResponded("t2")
		if remote {
			l.MarkRemoteSuspect("t2", epoch.Add(time.Minute))
			qt.Check(t, l.MayRun("a", 1, "t2", epoch), qt.IsFalse)
		}
		l.RequestStarted("a", 1, "t2")
		l.TargetCrashed("t2", epoch.Add(time.Second))
		return l
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

// TestCopies guards against a third target lost to copies of one request that run at the same
// time: the first copy leaves its dead target, because of the second copy, before its death is noticed.
func TestCopies(t *testing.T) {
	l := quarantine.New()
	l.RequestStarted("r1", 1, "a")
	l.RequestStarted("r1", 1, "b")
	l.RequestStarted("r2", 1, "b")
	l.TargetCrashed("b", epoch)
	l.RequestFinished("r1", "a")
	suspects := l.TargetCrashed("a", epoch.Add(20*time.Millisecond))
	qt.Check(t, suspects, qt.HasLen, 0) // Neither ran there any more.
	qt.Check(t, l.Check(1, epoch.Add(30*time.Millisecond)), qt.Equals, quarantine.Held)
	qt.Check(t, l.Check(1, epoch.Add(time.Second)), qt.Equals, quarantine.Quarantined)
}

// TestLateNotice guards against a second crash that does not count, because the death of another
// target of the first route was noticed only after the request was started again.
func TestLateNotice(t *testing.T) {
	l := quarantine.New()
	l.RequestStarted("r", 1, "a")
	l.RequestStarted("r", 1, "b")
	l.TargetCrashed("a", epoch)
	l.RequestFinished("r", "b")
	l.TargetResponded("c")
	l.RequestStarted("r", 1, "c")
	l.TargetCrashed("b", epoch.Add(50*time.Millisecond))
	qt.Check(t, l.Check(1, epoch.Add(50*time.Millisecond)), qt.Equals, quarantine.Suspected)
	l.TargetCrashed("c", epoch.Add(time.Second))
	qt.Check(t, l.Check(1, epoch.Add(2*time.Second)), qt.Equals, quarantine.Quarantined)
}
