package crashhistory

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// minCrashes is the number of crashes after which content is a cause.
	minCrashes = 3
	// settleTime is how long after a crash it counts: the reports of other instances arrive meanwhile.
	settleTime = 250 * time.Millisecond
	// crashTTL is how long a crash counts.
	crashTTL = 10 * time.Minute
	// mergeWindow is the time within which reports on the same target are about the same crash. A target takes longer to
	// start again.
	mergeWindow = 2 * time.Second
	// simultaneous and minOtherCrashes define a larger failure, such as that of a rack: so many crashes of targets without
	// the content, so close to a crash, that they say nothing about the content.
	simultaneous    = 250 * time.Millisecond
	minOtherCrashes = 2
	// progressTTL is how long progress clears content of new crashes.
	progressTTL = 10 * time.Second
	// evaluationInterval bounds how often the causes are searched for.
	evaluationInterval = 50 * time.Millisecond

	maxCrashes       = 128
	maxRunsPerCrash  = 256
	maxRecentContent = 4096 // maxRecentContent bounds the contents of each half of progressTTL.
)

// Run is a request that ran on a crashed target and had made no progress.
type Run struct {
	Request uint64 // Request is a hash of the request's ID.
	Content uint64 // Content is the fingerprint of the request's content.
}

// Report says which requests of one instance ran on a target that crashed.
type Report struct {
	Target string
	Runs   []Run
}

// crash is the crash of one target.
type crash struct {
	target     string
	at         time.Time
	runs       []Run
	attributed bool // attributed means that the cause has been found.
}

// History holds the crashes of the fleet. It is safe for concurrent use.
type History struct {
	mu          sync.Mutex
	crashes     []*crash // crashes are ordered by time.
	progressed  *recentSet
	causes      *recentSet // causes are the contents that are known to crash targets.
	changed     bool       // changed means that crashes were added or have settled since the last evaluation.
	evaluatedAt time.Time
}

// New returns a history without crashes.
func New() *History {
	return &History{progressed: newRecentSet(progressTTL, maxRecentContent), causes: newRecentSet(2*crashTTL, maxRecentContent)}
}

// Add records a report of this or another instance. It returns the contents that have just made progress at this
// instance, of which the other instances should be told. These are not recorded.
func (h *History) Add(report Report, now time.Time) (innocent []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired(now)
	c := h.crashOf(report.Target, now)
	for _, r := range report.Runs {
		switch {
		case h.progressed.contains(r.Content, now):
			if !slices.Contains(innocent, r.Content) {
				innocent = append(innocent, r.Content)
			}
		case len(c.runs) < maxRunsPerCrash && !slices.Contains(c.runs, r):
			c.runs = append(c.runs, r)
			c.attributed = c.attributed || h.causes.contains(r.Content, now)
		}
	}
	h.changed = true
	return innocent
}

// AddCause records that another instance found the content to crash targets.
func (h *History) AddCause(content uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attribute(content, now)
}

// crashOf returns the crash that a report received now is about. It is new if there is none yet.
func (h *History) crashOf(target string, now time.Time) *crash {
	for _, c := range slices.Backward(h.crashes) {
		if c.target == target && now.Sub(c.at) < mergeWindow {
			return c
		}
	}
	c := &crash{target: target, at: now}
	h.crashes = append(h.crashes, c)
	if len(h.crashes) > maxCrashes {
		h.crashes = slices.Delete(h.crashes, 0, len(h.crashes)-maxCrashes)
	}
	return c
}

func (h *History) dropExpired(now time.Time) {
	h.crashes = slices.DeleteFunc(h.crashes, func(c *crash) bool { return now.Sub(c.at) > crashTTL })
}

// Progressed records that a request with the content made progress at this instance, which clears the content. It
// reports whether crashes counted against it.
func (h *History) Progressed(content uint64, now time.Time) (cleared bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.progressed.add(content, now)
	return h.forget(content)
}

// Clear clears content that made progress at another instance.
func (h *History) Clear(content uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.progressed.add(content, now)
	h.forget(content)
}

// forget removes the content from all crashes and reports whether it was in one.
func (h *History) forget(content uint64) (found bool) {
	for _, c := range h.crashes {
		before := len(c.runs)
		c.runs = slices.DeleteFunc(c.runs, func(r Run) bool { return r.Content == content })
		found = found || len(c.runs) < before
	}
	return found
}

// Causes returns the contents that are newly found to crash targets.
func (h *History) Causes(now time.Time) []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.changed || now.Sub(h.evaluatedAt) < evaluationInterval {
		return nil
	}
	h.evaluatedAt = now
	h.changed = h.settling(now)
	var causes []uint64
	for {
		cause, ok := h.findCause(now)
		if !ok {
			return causes
		}
		h.attribute(cause, now)
		causes = append(causes, cause)
	}
}

// settling reports whether a crash does not count yet.
func (h *History) settling(now time.Time) bool {
	return len(h.crashes) > 0 && now.Sub(h.crashes[len(h.crashes)-1].at) < settleTime
}

// findCause returns the content with the most crashes, if these are enough.
func (h *History) findCause(now time.Time) (cause uint64, ok bool) {
	counts := make(map[uint64]int)
	for _, c := range h.crashes {
		for _, r := range c.runs {
			if _, counted := counts[r.Content]; !counted && !c.attributed {
				counts[r.Content] = h.count(r.Content, now)
			}
		}
	}
	most := minCrashes - 1
	for content, n := range counts {
		if n > most || n == most && ok && cmp.Less(content, cause) {
			cause, most, ok = content, n, true
		}
	}
	return cause, ok
}

// count returns the number of crashes that count against the content. A request counts once, although several targets of
// its path may have crashed.
func (h *History) count(content uint64, now time.Time) int {
	n := 0
	counted := make(map[uint64]bool) // counted holds the requests of the crashes so far.
	for _, c := range h.crashes {
		if c.attributed || now.Sub(c.at) < settleTime || h.partOfLargerFailure(c, content) {
			continue
		}
		further := false
		for _, r := range c.runs {
			if r.Content == content && !counted[r.Request] {
				counted[r.Request] = true
				further = true
			}
		}
		if further {
			n++
		}
	}
	return n
}

// partOfLargerFailure reports whether several targets without the content crashed at the time of a crash.
func (h *History) partOfLargerFailure(c *crash, content uint64) bool {
	others := 0
	for _, other := range h.crashes {
		if other != c && !other.attributed && other.at.Sub(c.at).Abs() <= simultaneous && !other.involves(content) {
			others++
		}
	}
	return others >= minOtherCrashes
}

func (c *crash) involves(content uint64) bool {
	return slices.ContainsFunc(c.runs, func(r Run) bool { return r.Content == content })
}

// attribute attributes the crashes that involve the content to it, also later ones.
func (h *History) attribute(cause uint64, now time.Time) {
	h.causes.add(cause, now)
	for _, c := range h.crashes {
		c.attributed = c.attributed || c.involves(cause)
	}
}
