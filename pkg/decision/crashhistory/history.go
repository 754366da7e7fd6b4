package crashhistory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// minCrashes is the number of crashes after which content is a cause.
	minCrashes = 3
	// minRequests is the number of different requests under which it must have crashed them: one request that is retried
	// while several targets fail may meet each of them.
	minRequests = 2
	// minContents is the number of different contents under which a part of them must have crashed targets.
	minContents = 2
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
	maxCauses        = 4096
	maxRunsPerCrash  = 256
	maxRecentContent = 4096 // maxRecentContent bounds the contents of each half of progressTTL.
)

// Run is a request that ran on a crashed target and had made no progress.
type Run struct {
	Request uint64 // Request is a hash of the request's ID.
	Attempt uint64 // Attempt is a hash of the request's ID and of the number of its attempt.
	// Contents are the fingerprints of what may have caused the crash, from the least to the most specific: of the parts
	// of the content that other requests may share, and of the content as a whole.
	Contents []uint64
}

// Report says which requests of one instance ran on a target that crashed.
type Report struct {
	Target string
	Own    bool // Own means that the report is of this instance.
	Runs   []Run
}

// Without returns the report without the given contents, and without runs of nothing else.
func (r Report) Without(contents []uint64) Report {
	kept := Report{Target: r.Target, Own: r.Own}
	for _, run := range r.Runs {
		left := slices.DeleteFunc(slices.Clone(run.Contents), func(content uint64) bool { return slices.Contains(contents, content) })
		if len(left) > 0 {
			kept.Runs = append(kept.Runs, Run{Request: run.Request, Attempt: run.Attempt, Contents: left})
		}
	}
	return kept
}

// Cause is content that crashes targets.
type Cause struct {
	Content uint64
	Own     bool // Own means that this instance has reported one of the crashes.
}

// crash is the crash of one target.
type crash struct {
	target string
	at     time.Time
	own    bool // own means that requests of this instance ran on the target.
	runs   []Run
}

// History holds the crashes of the fleet. It is safe for concurrent use.
type History struct {
	mu          sync.Mutex
	crashes     []*crash            // crashes are ordered by time.
	byContent   map[uint64][]*crash // byContent holds the crashes of each content.
	progressed  *recentSet
	causes      map[uint64]time.Time // causes holds until when contents are known to crash targets.
	changed     bool                 // changed means that crashes were added or have settled since the last evaluation.
	evaluatedAt time.Time
}

// New returns a history without crashes.
func New() *History {
	return &History{
		byContent: make(map[uint64][]*crash), progressed: newRecentSet(progressTTL, maxRecentContent),
		causes: make(map[uint64]time.Time),
	}
}

// Add records a report of this or another instance. It returns the contents that have just made progress at this
// instance, of which the other instances should be told. These are not recorded.
func (h *History) Add(report Report, now time.Time) (innocent []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropOldest(now)
	c := h.crashOf(report.Target, now)
	c.own = c.own || report.Own && len(report.Runs) > 0
	for _, r := range report.Runs {
		suspects, cleared := h.divide(r.Contents, now)
		for _, content := range cleared {
			if !slices.Contains(innocent, content) {
				innocent = append(innocent, content)
			}
		}
		h.addRun(c, Run{Request: r.Request, Attempt: r.Attempt, Contents: suspects})
	}
	h.changed = true
	return innocent
}

// divide returns the contents that may have caused a crash, and those that have just made progress.
func (h *History) divide(contents []uint64, now time.Time) (suspects, cleared []uint64) {
	for _, content := range contents {
		if h.progressed.contains(content, now) {
			cleared = append(cleared, content)
		} else {
			suspects = append(suspects, content)
		}
	}
	return suspects, cleared
}

// addRun adds a run to a crash, unless it is known.
func (h *History) addRun(c *crash, r Run) {
	known := slices.ContainsFunc(c.runs, func(other Run) bool { return other.Attempt == r.Attempt })
	if len(r.Contents) == 0 || known || len(c.runs) >= maxRunsPerCrash {
		return
	}
	c.runs = append(c.runs, r)
	h.index(c, r)
}

// index adds the crash to those of the run's contents.
func (h *History) index(c *crash, r Run) {
	for _, content := range r.Contents {
		if crashes := h.byContent[content]; !slices.Contains(crashes, c) {
			h.byContent[content] = append(crashes, c)
		}
	}
}

// AddCause records that the content was found to crash targets and is not run until the given time.
func (h *History) AddCause(content uint64, until, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addCause(content, until, now)
	h.changed = true
}

func (h *History) addCause(content uint64, until, now time.Time) {
	maps.DeleteFunc(h.causes, func(_ uint64, until time.Time) bool { return !until.After(now) })
	if len(h.causes) >= maxCauses {
		delete(h.causes, oldest(h.causes))
	}
	h.causes[content] = until
}

// oldest returns the key with the earliest time.
func oldest(times map[uint64]time.Time) (key uint64) {
	var earliest time.Time
	for k, at := range times {
		if earliest.IsZero() || at.Before(earliest) {
			key, earliest = k, at
		}
	}
	return key
}

func (h *History) isCause(content uint64, now time.Time) bool {
	return h.causes[content].After(now)
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
	return c
}

// dropOldest drops the crashes that have expired and, if there are maxCrashes, the older half: the index is then made anew.
func (h *History) dropOldest(now time.Time) {
	before := len(h.crashes)
	h.crashes = slices.DeleteFunc(h.crashes, func(c *crash) bool { return now.Sub(c.at) > crashTTL })
	if len(h.crashes) >= maxCrashes {
		h.crashes = slices.Delete(h.crashes, 0, len(h.crashes)/2)
	}
	if len(h.crashes) == before {
		return
	}
	clear(h.byContent)
	for _, c := range h.crashes {
		for _, r := range c.runs {
			h.index(c, r)
		}
	}
}

// Progressed records that a request with the contents made progress at this instance, which clears them. It returns those
// against which crashes counted.
func (h *History) Progressed(contents []uint64, now time.Time) (cleared []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, content := range contents {
		h.progressed.add(content, now)
		if h.forget(content) {
			cleared = append(cleared, content)
		}
	}
	return cleared
}

// Clear clears contents that made progress at another instance.
func (h *History) Clear(contents []uint64, now time.Time) {
	h.Progressed(contents, now)
}

// forget removes the content from all crashes and reports whether it was in one.
func (h *History) forget(content uint64) (found bool) {
	crashes, found := h.byContent[content]
	for _, c := range crashes {
		for i := range c.runs {
			c.runs[i].Contents = slices.DeleteFunc(c.runs[i].Contents, func(other uint64) bool { return other == content })
		}
	}
	delete(h.byContent, content)
	return found
}

// Causes returns the contents that are newly found to crash targets.
func (h *History) Causes(now time.Time) []Cause {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.changed || now.Sub(h.evaluatedAt) < evaluationInterval {
		return nil
	}
	h.evaluatedAt = now
	h.changed = h.settling(now)
	var causes []Cause
	for {
		content, ok := h.findCause(now)
		if !ok {
			return causes
		}
		h.addCause(content, now.Add(crashTTL), now) // It explains the crashes for as long as they count.
		causes = append(causes, Cause{Content: content, Own: h.reportedHere(content)})
	}
}

// reportedHere reports whether this instance has reported a crash that involves the content.
func (h *History) reportedHere(content uint64) bool {
	return slices.ContainsFunc(h.byContent[content], func(c *crash) bool { return c.own })
}

// settling reports whether a crash does not count yet.
func (h *History) settling(now time.Time) bool {
	return len(h.crashes) > 0 && now.Sub(h.crashes[len(h.crashes)-1].at) < settleTime
}

// findCause returns the content with the most crashes, if these are enough. Of contents with the same number it returns
// the most specific one, which leaves the others to requests without it.
func (h *History) findCause(now time.Time) (cause uint64, ok bool) {
	best := candidate{}
	for content, crashes := range h.byContent {
		if len(crashes) < minCrashes || h.isCause(content, now) {
			continue
		}
		if c := h.count(content, now); c.isCause() && c.precedes(best) {
			best, ok = c, true
		}
	}
	return best.content, ok
}

// candidate is content that may be a cause.
type candidate struct {
	content     uint64
	crashes     int
	whole       bool // whole means that it is the whole content of the requests, not a part.
	requests    int  // requests counts the different requests that ran.
	contents    int  // contents counts the different whole contents of the requests that ran.
	specificity int  // specificity is the position in Run.Contents.
}

// isCause reports whether the crashes are enough. The crashes of a part must be of different contents: otherwise the whole
// content is the cause.
func (c candidate) isCause() bool {
	return c.crashes >= minCrashes && c.requests >= minRequests && (c.whole || c.contents >= minContents)
}

// precedes reports whether the candidate is the more likely cause. The fingerprint makes the order the same everywhere.
func (c candidate) precedes(other candidate) bool {
	return cmp.Or(cmp.Compare(c.crashes, other.crashes), cmp.Compare(c.specificity, other.specificity),
		cmp.Compare(c.content, other.content)) > 0
}

// count counts the crashes that count against the content. An attempt counts once, although several targets of its path may
// have crashed.
func (h *History) count(content uint64, now time.Time) candidate {
	result := candidate{content: content}
	attempts := make(map[uint64]bool)
	requests := make(map[uint64]bool)
	contents := make(map[uint64]bool)
	for _, c := range h.byContent[content] {
		if now.Sub(c.at) < settleTime || h.explained(c, content, now) || h.partOfLargerFailure(c, content, now) {
			continue
		}
		further := false
		for _, r := range c.runs {
			position := slices.Index(r.Contents, content)
			if position < 0 || attempts[r.Attempt] {
				continue
			}
			result.specificity = max(result.specificity, position)
			attempts[r.Attempt], requests[r.Request], contents[r.whole()] = true, true, true
			result.whole = result.whole || r.whole() == content
			further = true
		}
		if further {
			result.crashes++
		}
	}
	result.requests, result.contents = len(requests), len(contents)
	return result
}

// explained reports whether a known cause explains the crash, so that it does not count against the content. A whole
// content explains it for other requests only: a part of the content may be what crashed the target.
func (h *History) explained(c *crash, content uint64, now time.Time) bool {
	for _, r := range c.runs {
		for _, cause := range r.Contents {
			if h.isCause(cause, now) && (cause != r.whole() || !r.involves(content)) {
				return true
			}
		}
	}
	return false
}

// partOfLargerFailure reports whether several targets without the content crashed at the time of a crash, without a known
// cause.
func (h *History) partOfLargerFailure(c *crash, content uint64, now time.Time) bool {
	others := 0
	for _, other := range h.crashes {
		if other != c && other.at.Sub(c.at).Abs() <= simultaneous && !other.involves(content) && !h.explained(other, content, now) {
			others++
		}
	}
	return others >= minOtherCrashes
}

func (c *crash) involves(content uint64) bool {
	return slices.ContainsFunc(c.runs, func(r Run) bool { return r.involves(content) })
}

func (r Run) involves(content uint64) bool { return slices.Contains(r.Contents, content) }

// whole returns the fingerprint of the whole content. It is the last: what clears it clears the parts as well.
func (r Run) whole() uint64 {
	if len(r.Contents) == 0 {
		return 0
	}
	return r.Contents[len(r.Contents)-1]
}
