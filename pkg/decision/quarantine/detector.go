package quarantine

import (
	"slices"
	"sync"
	"time"
)

// Verdict is what is known of a request's content.
type Verdict string

const (
	// Free content may run anywhere.
	Free Verdict = "Free"
	// Suspected content may run apart from other suspects.
	Suspected Verdict = "Suspected"
	// Held content may not run until a crash is explained.
	Held Verdict = "Held"
	// Quarantined content may not run.
	Quarantined Verdict = "Quarantined"
)

// Suspect is a request that ran on a crashed target.
type Suspect struct {
	Request     string
	Fingerprint uint64
	Verdict     Verdict
}

// Entry is a quarantined fingerprint. Instances exchange entries.
type Entry struct {
	Fingerprint uint64
	Until       time.Time
}

// run is one request on one target.
type run struct {
	request     string
	fingerprint uint64
	started     uint64 // started is the ledger's sequence number at the start.
	progressed  bool
}

// route is where one request runs.
type route struct {
	fingerprint uint64
	targets     []string
}

// incident is the crash of one target.
type incident struct {
	target    string
	at        time.Time
	members   []uint64 // members are the fingerprints that ran on the target.
	shared    bool     // shared reports that another instance ran a suspect there.
	explained bool     // explained reports that quarantined content caused it.
}

// suspect is content that was on a crashed target.
type suspect struct {
	fingerprint uint64
	requests    []string // requests had the content on the target that crashed last.
	crashes     int
	last        uint64 // last is the sequence number of the last crash.
	at          time.Time
	cleared     bool // cleared reports progress on a whole route since the last crash.
	first       *incident
	second      *incident // second is a crash that the content may have caused again; nil if none.
	doubtful    bool      // doubtful reports that other content explains one of the crashes.
	copied      bool      // copied reports that the second crash was of a copy that ran at the same time as the first.
	proven      bool      // proven reports that the second target answered something after the first crash.
}

// Detector keeps what is known of crashes. It is safe for concurrent use.
type Detector struct {
	mu          sync.Mutex
	sequence    uint64
	running     map[string]map[string]*run // running maps targets to the requests on them.
	routes      map[string]*route          // routes maps requests to where they run.
	left        map[string][]*run          // left maps targets to runs that ended there without progress.
	copies      map[uint64]int             // copies counts the running requests with the same content.
	suspects    map[uint64]*suspect
	quarantined map[uint64]time.Time
	holds       map[uint64]time.Time // holds are contents that other instances hold.
	alive       map[string]uint64    // alive is the sequence number of the last answer of a target.
	remote      map[string]time.Time // remote are targets on which other instances run suspects.
	recent      []*incident
	pruned      time.Time
}

// New returns an empty ledger.
func New() *Detector {
	return &Detector{
		running:     map[string]map[string]*run{},
		routes:      map[string]*route{},
		copies:      map[uint64]int{},
		left:        map[string][]*run{},
		suspects:    map[uint64]*suspect{},
		quarantined: map[uint64]time.Time{},
		holds:       map[uint64]time.Time{},
		alive:       map[string]uint64{},
		remote:      map[string]time.Time{},
	}
}

// RequestStarted notes that a request is sent to a target.
func (l *Detector) RequestStarted(request string, fingerprint uint64, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	batch, ok := l.running[target]
	if !ok {
		batch = map[string]*run{}
		l.running[target] = batch
	}
	if _, known := batch[request]; !known {
		l.enter(request, fingerprint, target)
	}
	batch[request] = &run{request: request, fingerprint: fingerprint, started: l.sequence}
}

// RequestFinished notes that a request no longer runs on a target. After a crash it has no effect, so it
// must follow Crash.
func (l *Detector) RequestFinished(request, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.running[target]
	r, ok := batch[request]
	if !ok {
		return
	}
	delete(batch, request)
	l.keep(target, r)
	if len(batch) == 0 {
		delete(l.running, target)
	}
	l.leave(request, target)
}

// keep remembers a run that ended without progress until the target answers something: its stream
// may have left because of another target, while this one was dead and not yet noticed.
func (l *Detector) keep(target string, r *run) {
	if r.progressed {
		return
	}
	if len(l.left) >= maxLeft {
		clear(l.left)
	}
	runs := l.left[target]
	l.left[target] = append(runs[max(0, len(runs)-maxLeftRuns):], r)
}

func (l *Detector) enter(request string, fingerprint uint64, target string) {
	r, ok := l.routes[request]
	if !ok {
		r = &route{fingerprint: fingerprint}
		l.routes[request] = r
		l.copies[fingerprint]++
	}
	r.targets = append(r.targets, target)
}

func (l *Detector) leave(request, target string) {
	r := l.routes[request]
	r.targets = slices.DeleteFunc(r.targets, func(name string) bool { return name == target })
	if len(r.targets) > 0 {
		return
	}
	delete(l.routes, request)
	l.copies[r.fingerprint]--
	if l.copies[r.fingerprint] == 0 {
		delete(l.copies, r.fingerprint)
	}
}

// RequestProgressed notes that a step of the request has come through its whole route. This clears the
// request: a request that crashes its targets would have crashed one of these.
func (l *Detector) RequestProgressed(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	route, ok := l.routes[request]
	if !ok {
		return
	}
	started := l.sequence
	for _, target := range route.targets {
		r := l.running[target][request]
		r.progressed = true
		started = min(started, r.started)
		l.sign(target)
	}
	if s, ok := l.suspects[route.fingerprint]; ok && started > s.last {
		s.cleared = true
		l.acquit(s)
	}
}

// RequestCompleted notes that a request with this content was answered in full, which exonerates it.
func (l *Detector) RequestCompleted(fingerprint uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.suspects, fingerprint)
}

// TargetResponded notes that a target answered something.
func (l *Detector) TargetResponded(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sign(target)
}

func (l *Detector) sign(target string) {
	delete(l.left, target)
	if len(l.suspects) == 0 {
		return
	}
	l.sequence++
	l.alive[target] = l.sequence
}

// MarkRemoteSuspect notes that another instance runs a suspect on the target until then.
func (l *Detector) MarkRemoteSuspect(target string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remote[target] = until
}

// SuspectTargets returns the targets on which suspects of this instance run, for the other instances.
func (l *Detector) SuspectTargets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for target, batch := range l.running {
		for _, r := range batch {
			if l.uncleared(r.fingerprint) {
				names = append(names, target)
				break
			}
		}
	}
	slices.Sort(names)
	return names
}

// MayRun reports whether a request may be started on a target. A suspect may not run beside
// another suspect, nor in two copies, and needs a target that answered something since its last crash.
func (l *Detector) MayRun(request string, fingerprint uint64, target string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.uncleared(fingerprint) {
		return true
	}
	if _, runs := l.routes[request]; !runs && l.copies[fingerprint] > 0 {
		return false
	}
	if l.alive[target] <= l.suspects[fingerprint].last || l.remote[target].After(now) {
		return false
	}
	for _, r := range l.running[target] {
		if r.fingerprint != fingerprint && l.uncleared(r.fingerprint) {
			return false
		}
	}
	return true
}

// SuspectCount returns the number of contents under suspicion.
func (l *Detector) SuspectCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspects)
}

// uncleared reports whether the content is under suspicion.
func (l *Detector) uncleared(fingerprint uint64) bool {
	s, ok := l.suspects[fingerprint]
	return ok && !s.cleared
}
