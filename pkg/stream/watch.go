package stream

import (
	"sync"
	"time"
)

// lateTimer is how late a timer may fire before this process itself counts as paused. Steps and answers then wait in this
// process, and a passed deadline says nothing about the target.
const lateTimer = 50 * time.Millisecond

// watch calls frozen once the target has been silent for a step's deadline. A target that answers other streams in the meantime
// has the step in its queue and gets up to the limit. The watch does not use the runner's clock, since it waits.
type watch struct {
	times    *observed
	deadline time.Duration
	ends     time.Time // ends is when the limit is reached.
	frozen   func()

	mu    sync.Mutex
	timer *time.Timer
	due   time.Time
	done  bool
}

func newWatch(times *observed, deadline, limit time.Duration, frozen func()) *watch {
	now := time.Now()
	w := &watch{times: times, deadline: deadline, ends: now.Add(limit), frozen: frozen, due: now.Add(deadline)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(deadline, w.expire)
	return w
}

func (w *watch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	now := time.Now()
	if more := w.extension(now); more > 0 {
		w.due = now.Add(more)
		w.timer.Reset(more)
		return
	}
	w.frozen()
}

// extension returns how much longer to wait, zero where the target counts as frozen.
func (w *watch) extension(now time.Time) time.Duration {
	if now.Sub(w.due) > lateTimer {
		return w.deadline
	}
	silent := now.Sub(w.times.latestAnswer())
	return min(w.deadline-silent, w.ends.Sub(now))
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
}
