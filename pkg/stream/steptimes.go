package stream

import (
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/latency"
)

// prefillUnit is the prompt size to which prefill times are normalised. Shorter prefills count as one unit, since
// their time does not decrease with the prompt.
const prefillUnit = 1000

// maxTargets bounds the number of targets for which times are kept. 7,000 targets take a few hundred kilobytes.
const maxTargets = 16384

// stepTimes keeps the observed step times of each target, separately for decode steps and for prefills per unit of
// prompt.
type stepTimes struct {
	mu      sync.Mutex
	targets map[string]*targetTimes
}

type targetTimes struct {
	mu           sync.Mutex
	decode       latency.Estimator
	prefill      latency.Estimator
	lastResponse time.Time // lastResponse is when the target last responded to a step or a probe of any stream, by the system clock.
	probing      bool
}

func newStepTimes() *stepTimes {
	return &stepTimes{targets: map[string]*targetTimes{}}
}

func (s *stepTimes) forTarget(name string) *targetTimes {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, found := s.targets[name]; found {
		return t
	}
	if len(s.targets) >= maxTargets {
		clear(s.targets)
	}
	t := &targetTimes{}
	s.targets[name] = t
	return t
}

// decodeDeadline is the time without a response after which a target that runs a decode step counts as frozen.
func (t *targetTimes) decodeDeadline() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.decode.Deadline()
}

// prefillDeadline is the same for a prefill. It grows with the size of the prompt.
func (t *targetTimes) prefillDeadline(size int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(t.prefill.Deadline()) * prefillUnits(size))
}

func (t *targetTimes) observeDecode(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decode.Observe(took)
}

func (t *targetTimes) observePrefill(took time.Duration, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prefill.Observe(time.Duration(float64(took) / prefillUnits(size)))
}

func (t *targetTimes) recordResponse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastResponse = time.Now()
}

// beginProbe reports whether no other probe is in flight.
func (t *targetTimes) beginProbe() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	free := !t.probing
	t.probing = true
	return free
}

func (t *targetTimes) endProbe() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probing = false
}

func (t *targetTimes) lastResponseAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastResponse
}

// maxPrefillDeadline is the longest time that a prefill may take.
func maxPrefillDeadline(size int) time.Duration {
	return time.Duration(float64(latency.MaxDeadline) * prefillUnits(size))
}

func prefillUnits(size int) float64 {
	return max(1, float64(size)/prefillUnit)
}

// crashReports records when a crash of a target was last reported. One crash fails many steps and is reported once.
type crashReports struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func newCrashReports() *crashReports {
	return &crashReports{last: map[string]time.Time{}}
}

// once calls report unless a crash of the target was reported since the failed work started there. It returns after
// the crash has been reported, so that every response that the crash affected reads the verdict that follows from it.
func (c *crashReports) once(name string, startedAt, now time.Time, report func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, found := c.last[name]
	if found && !last.Before(startedAt) {
		return
	}
	if len(c.last) >= maxTargets {
		clear(c.last)
	}
	c.last[name] = now
	report()
}
