package quarantine

import (
	"slices"
	"sync"
	"time"
)

// Verdict tells whether requests with some content may run, and with which restriction.
type Verdict string

const (
	// Free content may run anywhere. No crash counts against it, or it was cleared by progress.
	Free Verdict = "Free"
	// Suspected content was on a crashed target. It may run on targets without another suspect; see MayRun.
	Suspected Verdict = "Suspected"
	// Held content was on several crashed targets, but the crashes may have another cause. Held content may
	// not run until the crashes are attributed to a request or expire. See also AddHeld.
	Held Verdict = "Held"
	// Quarantined content was found to crash targets. It may not run until the quarantine expires.
	Quarantined Verdict = "Quarantined"
)

// Suspect is a request that ran on a crashed target.
type Suspect struct {
	Request     string
	Fingerprint uint64
	Verdict     Verdict
}

// Entry is a quarantined or held fingerprint, which instances send to each other.
type Entry struct {
	Fingerprint uint64
	Until       time.Time
}

// run is one request on one target.
type run struct {
	request     string
	fingerprint uint64
	started     uint64 // started is the detector's sequence number at the start.
	progressed  bool   // progressed reports that a step of the request has passed its whole path.
	parts       []uint64
	attempt     uint64 // attempt is that of the path.
}

// contents returns the fingerprints of the parts and of the whole content.
func (r *run) contents() []uint64 {
	return append(slices.Clone(r.parts), r.fingerprint)
}

// requestPath is the path of targets on which one request runs.
type requestPath struct {
	fingerprint uint64
	attempt     uint64 // attempt distinguishes the paths of one request, each of which is a further attempt.
	targets     []string
}

// crash is the crash of one target.
type crash struct {
	target        string
	at            time.Time
	fingerprints  []uint64 // fingerprints are those of the requests that ran on the target.
	remoteSuspect bool     // remoteSuspect reports that another instance ran a suspect there.
	attributed    bool     // attributed reports that the crash was attributed to content that is now quarantined.
}

// suspect is content that ran on a crashed target.
type suspect struct {
	fingerprint  uint64
	requests     []string // requests are the copies that ran on the target that crashed last.
	crashes      int      // crashes counts the crashes that count against the content.
	lastSequence uint64   // lastSequence is the sequence number of the last crash.
	lastCrash    time.Time
	cleared      bool // cleared reports that a run started after the last crash made progress on its whole path.
	first        *crash
	second       *crash // second is the next crash that counts against the content; nil if there is none.
	ambiguous    bool   // ambiguous reports that one of the two crashes is attributed to other content.
	copied       bool   // copied reports that the second crash was of a copy that ran at the same time as the first.
	confirmed    bool   // confirmed reports that the second target was alive after the first crash, or ran a copy.
}

// Detector tracks crashes and the requests that may have caused them. It is safe for concurrent use.
type Detector struct {
	mu             sync.Mutex
	sequence       uint64                     // sequence orders starts, responses and crashes.
	running        map[string]map[string]*run // running maps targets to the requests on them.
	paths          map[string]*requestPath    // paths maps requests to where they run.
	ended          map[string][]*run          // ended maps targets to runs that ended there without progress; see keepEnded.
	copies         map[uint64]int             // copies counts the running requests with the same content.
	suspects       map[uint64]*suspect        // suspects maps fingerprints to suspects.
	quarantined    map[uint64]time.Time       // quarantined maps fingerprints to the end of their quarantine.
	remoteHolds    map[uint64]time.Time       // remoteHolds maps fingerprints that other instances hold to their expiry.
	responded      map[string]uint64          // responded maps targets to the sequence number of their last response.
	remoteSuspects map[string]time.Time       // remoteSuspects maps targets that run other instances' suspects to expiries.
	recent         []*crash                   // recent lists the last crashes, oldest first.
	lastPruned     time.Time
}

// New returns a detector without crashes.
func New() *Detector {
	return &Detector{
		running:        map[string]map[string]*run{},
		paths:          map[string]*requestPath{},
		copies:         map[uint64]int{},
		ended:          map[string][]*run{},
		suspects:       map[uint64]*suspect{},
		quarantined:    map[uint64]time.Time{},
		remoteHolds:    map[uint64]time.Time{},
		responded:      map[string]uint64{},
		remoteSuspects: map[string]time.Time{},
	}
}

// RequestStarted records that a request is sent to a target. parts are the fingerprints of those parts of its content that
// other requests may share, from the least to the most specific. The detector only passes them on, see RunsWithoutProgress.
func (d *Detector) RequestStarted(request string, fingerprint uint64, target string, parts ...uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	batch, ok := d.running[target]
	if !ok {
		batch = map[string]*run{}
		d.running[target] = batch
	}
	if _, known := batch[request]; !known {
		d.addToPath(request, fingerprint, target)
	}
	batch[request] = &run{request: request, fingerprint: fingerprint, started: d.sequence, parts: parts, attempt: d.paths[request].attempt}
}

// Run is an attempt of a request on a target.
type Run struct {
	Request  string
	Attempt  uint64   // Attempt distinguishes the attempts of the request.
	Contents []uint64 // Contents are the fingerprints of the parts of the content and of the whole, the most specific last.
}

// RunsWithoutProgress returns the runs that may cause a crash of the target: those that are running and those that ended
// since the target last responded, unless they made progress.
func (d *Detector) RunsWithoutProgress(target string) []Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	var runs []Run
	for _, r := range d.withEnded(target, d.running[target]) {
		if !r.progressed {
			runs = append(runs, Run{Request: r.request, Attempt: r.attempt, Contents: r.contents()})
		}
	}
	return runs
}

// RequestFinished records that a request no longer runs on a target. If the target crashed,
// TargetCrashed must be called first; RequestFinished then has no effect.
func (d *Detector) RequestFinished(request, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	batch := d.running[target]
	r, ok := batch[request]
	if !ok {
		return
	}
	delete(batch, request)
	d.keepEnded(target, r)
	if len(batch) == 0 {
		delete(d.running, target)
	}
	d.removeFromPath(request, target)
}

// keepEnded keeps a run that ended without progress until the target responds. The run may have ended
// because of another target of its path, while an earlier crash of this one was not noticed yet.
func (d *Detector) keepEnded(target string, r *run) {
	if r.progressed {
		return
	}
	if len(d.ended) >= maxEndedTargets {
		clear(d.ended)
	}
	runs := d.ended[target]
	d.ended[target] = append(runs[max(0, len(runs)-maxEndedRuns):], r)
}

func (d *Detector) addToPath(request string, fingerprint uint64, target string) {
	p, ok := d.paths[request]
	if !ok {
		p = &requestPath{fingerprint: fingerprint, attempt: d.sequence}
		d.paths[request] = p
		d.copies[fingerprint]++
	}
	p.targets = append(p.targets, target)
}

func (d *Detector) removeFromPath(request, target string) {
	p := d.paths[request]
	p.targets = slices.DeleteFunc(p.targets, func(name string) bool { return name == target })
	if len(p.targets) > 0 {
		return
	}
	delete(d.paths, request)
	d.copies[p.fingerprint]--
	if d.copies[p.fingerprint] == 0 {
		delete(d.copies, p.fingerprint)
	}
}

// RequestProgressed records that a step of the request has passed its whole path. This clears the
// request's content if all its runs on the path started after the last crash: content that crashes
// targets would have crashed one of them. It returns the fingerprints of the parts and of the whole content, or nil if the
// request is not running.
func (d *Detector) RequestProgressed(request string) (contents []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	path, ok := d.paths[request]
	if !ok {
		return nil
	}
	started := d.sequence
	for _, target := range path.targets {
		r := d.running[target][request]
		r.progressed = true
		contents = r.contents()
		started = min(started, r.started)
		d.recordResponse(target)
	}
	if s, ok := d.suspects[path.fingerprint]; ok && started > s.lastSequence {
		s.cleared = true
		d.removeIfCleared(s)
	}
	return contents
}

// RequestCompleted records that a request with this content got its whole response, which clears the
// content.
func (d *Detector) RequestCompleted(fingerprint uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspects, fingerprint)
}

// TargetResponded records any response or report of a target.
func (d *Detector) TargetResponded(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordResponse(target)
}

func (d *Detector) recordResponse(target string) {
	delete(d.ended, target)
	if len(d.suspects) == 0 {
		return
	}
	d.sequence++
	d.responded[target] = d.sequence
}

// MarkRemoteSuspect records that another instance runs a suspect on the target. The record expires at the given time.
func (d *Detector) MarkRemoteSuspect(target string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remoteSuspects[target] = until
}

// SuspectTargets returns the targets on which suspects of this instance run, for the other instances.
func (d *Detector) SuspectTargets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for target, batch := range d.running {
		for _, r := range batch {
			if d.isSuspect(r.fingerprint) {
				names = append(names, target)
				break
			}
		}
	}
	slices.Sort(names)
	return names
}

// MayRun reports whether a request may be started on a target. A suspect may not run on the same target as
// another suspect, nor in two copies, and needs a target that responded after the suspect's last crash.
// MayRun does not check for held and quarantined content; see Check.
func (d *Detector) MayRun(request string, fingerprint uint64, target string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isSuspect(fingerprint) {
		return true
	}
	if _, runs := d.paths[request]; !runs && d.copies[fingerprint] > 0 {
		return false
	}
	if d.responded[target] <= d.suspects[fingerprint].lastSequence || d.remoteSuspects[target].After(now) {
		return false
	}
	for _, r := range d.running[target] {
		if r.fingerprint != fingerprint && d.isSuspect(r.fingerprint) {
			return false
		}
	}
	return true
}

// SuspectCount returns the number of suspects, cleared ones included.
func (d *Detector) SuspectCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.suspects)
}

// isSuspect reports whether the content is a suspect that is not cleared.
func (d *Detector) isSuspect(fingerprint uint64) bool {
	s, ok := d.suspects[fingerprint]
	return ok && !s.cleared
}
