package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/quarantine"
	"github.com/cuminroute/cuminroute/pkg/proxy"
)

// TestCrashesAreCountedByTheFleet guards against content that crashes targets again at each instance to which it is sent.
func TestCrashesAreCountedByTheFleet(t *testing.T) {
	for _, test := range []struct {
		name         string
		otherCrashes int  // otherCrashes counts the crashes of targets that run other content, before the first wave.
		byPart       bool // byPart means that the requests share a part only.
	}{
		{"alone", 0, false},
		{"after other crashes", 3, false},
		{"by a part", 0, true},
		{"by a part, after other crashes", 3, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const (
				instances    = 6
				waves        = 3
				waveInterval = 3500 * time.Millisecond
				reactionTime = 3 * time.Second // reactionTime is how long after the third crash the content may still be retried freely.
				maxRetries   = 3               // maxRetries bounds the retries after reactionTime.
				part         = 7
			)
			contentOf := func(wave, instance int) uint64 {
				if test.byPart {
					return uint64(100*wave + instance + 1)
				}
				return 42
			}
			gateways := startFleet(t, instances)
			for n := range test.otherCrashes {
				for i, g := range gateways {
					crash(g, fmt.Sprint("other-", n, "-", i), uint64(1000+10*n+i), fmt.Sprint("other-target-", n, "-", i))
				}
				time.Sleep(300 * time.Millisecond)
			}
			var thirdCrash time.Time
			crashes, late := 0, 0
			for wave := range waves {
				var running []*Gateway
				for i, g := range gateways { // All copies of a wave start before the first of them crashes its target.
					request, name := fmt.Sprint("r", wave, "-", i), fmt.Sprint("t", wave, "-", i)
					g.crashTracker.TargetResponded(name)
					content := contentOf(wave, i)
					if !mayStart(g, request, content, name, part) {
						continue
					}
					g.crashTracker.RequestStarted(request, content, name, part)
					running = append(running, g)
					if crashes >= 3 && time.Since(thirdCrash) > reactionTime {
						late++
					}
				}
				for i, g := range gateways {
					if len(running) > 0 && running[0] == g {
						running = running[1:]
						g.crashTracker.TargetCrashed(fmt.Sprint("t", wave, "-", i), time.Now())
						if crashes++; crashes == 3 {
							thirdCrash = time.Now()
						}
					}
				}
				time.Sleep(waveInterval)
			}
			qt.Assert(t, late <= maxRetries, qt.IsTrue, qt.Commentf("%d retries later than %v after the third crash, %d crashes", late, reactionTime, crashes))
			for _, g := range gateways {
				qt.Assert(t, g.crashTracker.Check(contentOf(waves, 0), time.Now(), part), qt.Equals, quarantine.Quarantined)
				qt.Assert(t, test.byPart || g.crashTracker.Check(1, time.Now(), part) == quarantine.Free, qt.IsTrue)
			}
		})
	}
}

// startFleet starts instances that know each other.
func startFleet(t *testing.T, instances int) []*Gateway {
	return startFleetWith(t, instances, newFilledStore(), nil)
}

// startFleetWith starts instances that know each other, on a store and with an upstream, which may be nil.
func startFleetWith(t *testing.T, instances int, store *fakeStore, upstream proxy.Upstream) []*Gateway {
	platform := fakePlatform(store, &fakeTargetControl{store: store})
	platform.Upstream = upstream
	gateways := []*Gateway{startOn(t, "i0", platform)}
	for i := 1; i < instances; i++ {
		gateways = append(gateways, startOn(t, fmt.Sprint("i", i), platform, gateways[0]))
	}
	for _, g := range gateways {
		eventually(t, "all instances", func() bool { return len(g.peers.node.Members()) == instances })
	}
	return gateways
}

// crash makes a target crash that runs a request with the given content.
func crash(g *Gateway, request string, content uint64, name string) {
	g.crashTracker.RequestStarted(request, content, name)
	g.crashTracker.TargetCrashed(name, time.Now())
}

// mayStart reports whether an instance may start a request on a target now.
func mayStart(g *Gateway, request string, content uint64, name string, part uint64) bool {
	now := time.Now()
	verdict := g.crashTracker.Check(content, now, part)
	return verdict != quarantine.Held && verdict != quarantine.Quarantined && g.crashTracker.MayRun(request, content, name, now)
}
