package stream

import (
	"context"
	"sync"
	"time"
)

const (
	// confirmTick and confirmTicks are what a passed deadline is confirmed by: ticks that come on time,
	// in which signs of life would be read. When the process or its machine is starved, every target
	// seems silent at once; in a fleet on one busy machine all false alarms came in a few bursts of up
	// to 75 in 100 ms.
	confirmTick  = 25 * time.Millisecond
	confirmTicks = 2
	// lateTick is how late a tick may come and still count.
	lateTick = 10 * time.Millisecond
	// probeTimeout ends a probe that nobody waits for any more. Deadlines are judged by when a probe
	// was answered.
	probeTimeout = time.Second
)

// watch calls frozen once the target has shown no sign of life for a step's deadline. Signs of life are
// answers to any stream, and to a probe that is sent when half of the deadline has passed in silence. A
// target that lives has the step in its queue, and gets up to the limit: a new generation elsewhere
// would only add a prefill to the load. The watch does not use the runner's clock, since it waits.
type watch struct {
	times    *observed
	probe    func()
	frozen   func()
	deadline time.Duration
	ends     time.Time // ends is when the limit is reached.

	mu    sync.Mutex
	timer *time.Timer
	due   time.Time
	began time.Time
	ticks int // ticks counts the ticks since the deadline passed, of which the last ones came on time.
	done  bool
}

func newWatch(times *observed, deadline, limit time.Duration, probe, frozen func()) *watch {
	now := time.Now()
	w := &watch{
		times: times, probe: probe, frozen: frozen, deadline: deadline, ends: now.Add(limit),
		began: now, due: now.Add(deadline / 2),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(deadline/2, w.expire)
	return w
}

func (w *watch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	now := time.Now()
	wait := w.next(now)
	if wait <= 0 {
		w.frozen()
		return
	}
	w.due = now.Add(wait)
	w.timer.Reset(wait)
}

// next returns when to look again, zero or less where the target counts as frozen.
func (w *watch) next(now time.Time) time.Duration {
	silent := now.Sub(later(w.began, w.times.latestSign()))
	left := min(w.deadline-silent, w.ends.Sub(now))
	if silent >= w.deadline/2 {
		w.probe()
	}
	if silent >= w.deadline {
		return w.confirm(now)
	}
	w.ticks = 0
	if silent < w.deadline/2 {
		return min(w.deadline/2-silent, left)
	}
	return left
}

// confirm returns the next tick, or zero where the deadline is confirmed or the limit is reached.
func (w *watch) confirm(now time.Time) time.Duration {
	if now.Sub(w.due) > lateTick {
		w.ticks = 0
	}
	if w.ticks >= confirmTicks || !now.Before(w.ends) {
		return 0
	}
	w.ticks++
	return confirmTick
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
}

// probe asks a target for its report, which does not wait for steps, unless a probe is under way.
func (r *Runner) probe(s Stage, times *observed) {
	if !times.beginProbe() {
		return
	}
	r.cleanup.Go(func() {
		defer times.endProbe()
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		r.counters.probes.Inc(1)
		if _, err := s.Report(ctx); err == nil {
			times.answered()
		}
	})
}
