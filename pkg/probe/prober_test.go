package probe_test

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/probe"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// host responds to a probe after a delay.
type host struct {
	responds bool
	after    time.Duration
	err      error
	probes   int
}

func (h *host) Probe(ctx context.Context, _ target.Target) error {
	h.probes++
	if !h.responds {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(h.after):
		return h.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestJudge guards against taking a target for dead because this process was paused or its link is busy, and against waiting for the wall time of a slow process if the target is dead.
func TestJudge(t *testing.T) {
	const paused = 100 * time.Millisecond // The processor quota of a small instance runs out for about this long.
	tests := []struct {
		name       string
		host       host
		tick       time.Duration // tick is how long a tick takes in wall time.
		control    host          // control is another host, which responds at once if it is the zero value.
		conclusive bool
		want       probe.Verdict
		probes     int
		within     time.Duration
	}{
		{name: "accepts", host: host{responds: true, after: time.Millisecond}, tick: probe.Tick, want: probe.Alive, probes: 1, within: 5 * time.Millisecond},
		{name: "refuses", host: host{responds: true, err: syscall.ECONNREFUSED}, tick: probe.Tick, want: probe.Ended, probes: 1, within: 5 * time.Millisecond},
		{name: "silent", tick: probe.Tick, want: probe.Silent, probes: 2, within: 100 * time.Millisecond},
		{name: "silent, conclusive", tick: probe.Tick, conclusive: true, want: probe.Silent, probes: 1, within: 20 * time.Millisecond},
		{
			name: "accepts while the process is paused", host: host{responds: true, after: 90 * time.Millisecond}, tick: paused,
			want: probe.Alive, probes: 1, within: paused,
		},
		{
			name: "accepts while the process is paused, conclusive", host: host{responds: true, after: 90 * time.Millisecond}, tick: paused,
			conclusive: true, want: probe.Alive, probes: 1, within: paused,
		},
		{name: "silent, and so is the control", tick: probe.Tick, control: host{after: time.Hour}, want: probe.Alive, probes: 1, within: 50 * time.Millisecond},
		{
			name: "silent, and the control is cut off", tick: probe.Tick, control: host{err: syscall.EHOSTUNREACH}, want: probe.Alive,
			probes: 1, within: 50 * time.Millisecond,
		},
		{name: "silent, and the process is too slow to judge it", tick: paused, want: probe.Alive, probes: 1, within: 500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tick := func() <-chan time.Time { return time.After(test.tick) }
				test.control.responds = true
				control := func(ctx context.Context) error { return test.control.Probe(ctx, target.Target{}) }
				prober := probe.New(&test.host, func(string, time.Time) bool { return false }, probe.WithTicks(tick), probe.WithControl(control))
				started := time.Now()
				qt.Assert(t, prober.Judge(target.Target{Name: "w"}, test.conclusive), qt.Equals, test.want)
				qt.Assert(t, test.host.probes, qt.Equals, test.probes)
				qt.Assert(t, time.Since(started) <= test.within, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
			})
		})
	}
}

// TestSharedProbe guards against a connection for each stream that suspects the same target.
func TestSharedProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &host{responds: true, after: time.Millisecond}
		prober := probe.New(h, func(string, time.Time) bool { return false })
		for range 50 {
			go prober.Judge(target.Target{Name: "w"}, false)
		}
		synctest.Wait()
		time.Sleep(50 * time.Millisecond)
		prober.Judge(target.Target{Name: "w"}, false)
		qt.Assert(t, h.probes, qt.Equals, 1)
	})
}

// TestRepeatedSuspicion guards against many connections to a target that works but is slow, and is therefore suspected
// all the time.
func TestRepeatedSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &host{responds: true, after: time.Millisecond}
		prober := probe.New(h, func(string, time.Time) bool { return false })
		for range 500 { // 10 s
			prober.Judge(target.Target{Name: "w"}, false)
			time.Sleep(20 * time.Millisecond)
		}
		qt.Assert(t, h.probes <= 16, qt.IsTrue, qt.Commentf("%d probes", h.probes))
		time.Sleep(2 * time.Second)
		h.probes = 0
		prober.Judge(target.Target{Name: "w"}, false)
		time.Sleep(110 * time.Millisecond)
		prober.Judge(target.Target{Name: "w"}, false)
		qt.Assert(t, h.probes, qt.Equals, 2)
	})
}

// TestJudgeBroken guards against taking a target for alive because a probe from before its connections broke succeeded.
func TestJudgeBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &host{responds: true, after: time.Millisecond}
		prober := probe.New(h, func(string, time.Time) bool { return false })
		qt.Assert(t, prober.Judge(target.Target{Name: "t"}, false), qt.Equals, probe.Alive)
		time.Sleep(50 * time.Millisecond)
		h.err = syscall.ECONNREFUSED
		qt.Assert(t, prober.JudgeBroken(target.Target{Name: "t"}, time.Now()), qt.Equals, probe.Ended)
		qt.Assert(t, prober.JudgeBroken(target.Target{Name: "t"}, time.Now()), qt.Equals, probe.Ended)
		qt.Assert(t, h.probes, qt.Equals, 2)
	})
}
