package stream

import (
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/latency"
)

// prefillUnit is the prompt size to which prefill times are scaled. Shorter prefills count as one unit,
// since their time does not shrink with the prompt.
const prefillUnit = 1000

// maxTargets bounds the targets that are remembered. 7,000 workers take a few hundred kilobytes.
const maxTargets = 16384

// deadlines keeps the observed step times of each target, apart for decode steps and for prefills per
// unit of prompt.
type deadlines struct {
	mu      sync.Mutex
	targets map[string]*observed
}

type observed struct {
	mu      sync.Mutex
	decode  latency.Estimator
	prefill latency.Estimator
	latest  time.Time // latest is when the target last answered a step or a probe of any stream, by the machine's clock.
	probing bool
}

func newDeadlines() *deadlines {
	return &deadlines{targets: map[string]*observed{}}
}

func (d *deadlines) of(name string) *observed {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o, found := d.targets[name]; found {
		return o
	}
	if len(d.targets) >= maxTargets {
		clear(d.targets)
	}
	o := &observed{}
	d.targets[name] = o
	return o
}

// decodeDeadline is the time after which a decode step counts as frozen.
func (o *observed) decodeDeadline() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.decode.Deadline()
}

// prefillDeadline grows with the size of the prompt.
func (o *observed) prefillDeadline(size int) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Duration(float64(o.prefill.Deadline()) * units(size))
}

func (o *observed) observeDecode(took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decode.Observe(took)
}

func (o *observed) observePrefill(took time.Duration, size int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.prefill.Observe(time.Duration(float64(took) / units(size)))
}

func (o *observed) answered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.latest = time.Now()
}

// beginProbe reports whether no other probe is under way.
func (o *observed) beginProbe() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	free := !o.probing
	o.probing = true
	return free
}

func (o *observed) endProbe() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.probing = false
}

func (o *observed) latestSign() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latest
}

// prefillCap is the longest time that a prefill may take.
func prefillCap(size int) time.Duration {
	return time.Duration(float64(latency.MaxDeadline) * units(size))
}

func units(size int) float64 {
	return max(1, float64(size)/prefillUnit)
}

// crashes remembers when a crash of a target was last reported. One crash fails many steps and is
// reported once.
type crashes struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func newCrashes() *crashes {
	return &crashes{last: map[string]time.Time{}}
}

// report calls tell unless a crash of the target was reported since the time at which the failed
// work began there. It returns after the crash has been told, so that every answer that met the
// crash reads the verdict that follows from it.
func (c *crashes) report(name string, began, now time.Time, tell func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, found := c.last[name]
	if found && !last.Before(began) {
		return
	}
	if len(c.last) >= maxTargets {
		clear(c.last)
	}
	c.last[name] = now
	tell()
}
