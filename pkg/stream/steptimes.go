package stream

import (
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/latency"
)

// prefillUnit is the prompt size in bytes to which prefill times are normalised. Shorter prefills count as one unit,
// since their time does not decrease with the size of the prompt.
const prefillUnit = 1000

// maxTargets bounds the number of targets for which times are kept. 7,000 targets take a few hundred kilobytes.
const maxTargets = 16384

// stepTimes keeps the observed step times of each target, separately for decode steps and for prefills per unit of
// prompt.
type stepTimes struct {
	mu      sync.Mutex
	targets map[string]*targetTimes
}

// targetTimes holds the observed times of one target.
type targetTimes struct {
	mu           sync.Mutex
	decode       latency.Estimator
	prefill      latency.Estimator
	lastResponse time.Time // lastResponse is when the target last responded to any step or probe, by the system clock.
	probing      bool      // probing means that a probe is in flight.
}

func newStepTimes() *stepTimes {
	return &stepTimes{targets: map[string]*targetTimes{}}
}

// forTarget returns the times of the target, and creates them if there are none. When maxTargets are kept, it first
// drops the times of all targets.
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

// decodeDeadline returns the time without a response after which a target that runs a decode step counts as frozen.
func (t *targetTimes) decodeDeadline() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.decode.Deadline()
}

// prefillDeadline returns the time without a response after which a target that runs a prefill counts as frozen. The
// deadline grows with the size of the prompt in bytes.
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

// beginProbe marks a probe as in flight, and reports whether the caller may send the probe because none was before.
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

// maxPrefillDeadline returns the longest time that a prefill may take, even if the target responds to other steps.
func maxPrefillDeadline(size int) time.Duration {
	return time.Duration(float64(latency.MaxDeadline) * prefillUnits(size))
}

// prefillUnits returns the size of a prompt in multiples of prefillUnit, at least 1.
func prefillUnits(size int) float64 {
	return max(1, float64(size)/prefillUnit)
}

// crashReports records when a crash of each target was last reported. One crash fails many steps and is reported once.
type crashReports struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func newCrashReports() *crashReports {
	return &crashReports{last: map[string]time.Time{}}
}

// once calls report unless a crash of the target was reported since startedAt, when the failed generation started. It
// returns only after the crash has been reported, so that every response that the crash affected reads the verdict
// that follows from the crash.
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
