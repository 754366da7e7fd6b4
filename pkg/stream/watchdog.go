package stream

import (
	"context"
	"sync"
	"time"
)

const (
	// confirmTick and confirmTicks confirm that a deadline passed: confirmTicks ticks, confirmTick apart, must
	// come on time, during which a response would have been read. When the process or its machine is starved, all
	// targets seem to stop responding at the same time. With a whole fleet on one busy machine, all false alarms came
	// in a few bursts of up to 75 in 100 ms.
	confirmTick  = 25 * time.Millisecond
	confirmTicks = 2
	// lateTick is how late a tick may come and still count as on time.
	lateTick = 10 * time.Millisecond
	// probeTimeout ends a probe that is no longer needed. Whether a target counts as frozen depends on when a probe was
	// answered, not on this timeout.
	probeTimeout = time.Second
)

// watchdog calls frozen once the target has not responded to any stream or probe for the deadline of a step. It sends
// probes once half of the deadline has passed without a response. A target that responds has the step in its queue and
// gets time up to the limit, since a new generation elsewhere would only add a prefill to the load. The watchdog uses
// the system clock, not the runner's clock, because it waits on timers.
type watchdog struct {
	times    *targetTimes
	probe    func()
	frozen   func()
	deadline time.Duration
	limitAt  time.Time // limitAt is when the limit is reached.

	mu        sync.Mutex
	timer     *time.Timer
	checkDue  time.Time // checkDue is when the timer is due to fire.
	startedAt time.Time
	ticks     int // ticks counts consecutive ticks on time since the deadline passed.
	done      bool
}

// newWatchdog starts a watchdog for a step that is about to be sent. The limit applies to the whole step.
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

// expire runs when the timer fires. It calls frozen or sets the timer for the next check.
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

// nextCheck returns the time until the next check, or zero or less if the target counts as frozen. It sends a probe if
// half of the deadline has passed without a response.
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

// confirm counts a tick after the deadline has passed, and starts over if the tick was late. It returns the time until
// the next tick, or zero if enough ticks came on time or the limit is reached.
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

// probe requests the report of a target in the background, unless a probe of the target is in flight. A target sends
// its report without waiting for its steps.
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
