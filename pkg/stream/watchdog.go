package stream

import (
	"context"
	"sync"
	"time"
)

const (
	// confirmTick and confirmTicks confirm that a deadline passed: that many ticks must come on time, during which a
	// response would have been read. When the process or its machine is starved, all targets seem to stop responding
	// at once. With a whole fleet on one busy machine, all false alarms came in a few bursts of up to 75 in 100 ms.
	confirmTick  = 25 * time.Millisecond
	confirmTicks = 2
	// lateTick is how late a tick may come and still count.
	lateTick = 10 * time.Millisecond
	// probeTimeout ends a probe that is no longer needed. Deadlines depend on when a probe was answered.
	probeTimeout = time.Second
)

// watchdog calls frozen once the target has not responded for a step's deadline. Responses to any stream count, and
// so does the response to a probe, which is sent when half of the deadline has passed without one. A target that is
// alive has the step in its queue and gets time up to the limit, since a new generation elsewhere would only add a
// prefill to the load. The watchdog uses the system clock, not the runner's, because it waits.
type watchdog struct {
	times    *targetTimes
	probe    func()
	frozen   func()
	deadline time.Duration
	limitAt  time.Time // limitAt is when the limit is reached.

	mu        sync.Mutex
	timer     *time.Timer
	checkDue  time.Time
	startedAt time.Time
	ticks     int // ticks counts consecutive ticks on time since the deadline passed.
	done      bool
}

func newWatchdog(times *targetTimes, deadline, limit time.Duration, probe, frozen func()) *watchdog {
	now := time.Now()
	w := &watchdog{
		times: times, probe: probe, frozen: frozen, deadline: deadline, limitAt: now.Add(limit),
		startedAt: now, checkDue: now.Add(deadline / 2),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(deadline/2, w.expire)
	return w
}

func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	now := time.Now()
	wait := w.nextCheck(now)
	if wait <= 0 {
		w.frozen()
		return
	}
	w.checkDue = now.Add(wait)
	w.timer.Reset(wait)
}

// nextCheck returns the time until the next check, or zero or less if the target counts as frozen.
func (w *watchdog) nextCheck(now time.Time) time.Duration {
	sinceResponse := now.Sub(laterOf(w.startedAt, w.times.lastResponseAt()))
	remaining := min(w.deadline-sinceResponse, w.limitAt.Sub(now))
	if sinceResponse >= w.deadline/2 {
		w.probe()
	}
	if sinceResponse >= w.deadline {
		return w.confirm(now)
	}
	w.ticks = 0
	if sinceResponse < w.deadline/2 {
		return min(w.deadline/2-sinceResponse, remaining)
	}
	return remaining
}

// confirm returns the time until the next tick, or zero if the deadline is confirmed or the limit is reached.
func (w *watchdog) confirm(now time.Time) time.Duration {
	if now.Sub(w.checkDue) > lateTick {
		w.ticks = 0
	}
	if w.ticks >= confirmTicks || !now.Before(w.limitAt) {
		return 0
	}
	w.ticks++
	return confirmTick
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
}

// probe requests the report of a target, which does not wait for steps, unless a probe is in flight.
func (r *Runner) probe(s Stage, times *targetTimes) {
	if !times.beginProbe() {
		return
	}
	r.cleanup.Go(func() {
		defer times.endProbe()
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		r.counters.probes.Inc(1)
		if _, err := s.Report(ctx); err == nil {
			times.recordResponse()
		}
	})
}
