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
	started     uint64 // started is the detector's sequence number at the start.
	progressed  bool
}

// requestPath is where one request runs.
type requestPath struct {
	fingerprint uint64
	targets     []string
}

// crash is the crash of one target.
type crash struct {
	target        string
	at            time.Time
	fingerprints  []uint64 // fingerprints are those of the requests that ran on the target.
	remoteSuspect bool     // remoteSuspect reports that another instance ran a suspect there.
	explained     bool     // explained reports that quarantined content caused the crash.
}

// suspect is content that ran on a crashed target.
type suspect struct {
	fingerprint  uint64
	requests     []string // requests had the content on the target that crashed last.
	crashes      int
	lastSequence uint64 // lastSequence is the sequence number of the last crash.
	lastCrash    time.Time
	cleared      bool // cleared reports progress on a whole path since the last crash.
	first        *crash
	second       *crash // second is a crash that the content may have caused again; nil if there is none.
	ambiguous    bool   // ambiguous reports that other content explains one of the crashes.
	copied       bool   // copied reports that the second crash was of a copy that ran at the same time as the first.
	confirmed    bool   // confirmed reports that the second target was alive after the first crash.
}

// Detector tracks crashes and the requests that may have caused them. It is safe for concurrent use.
type Detector struct {
	mu             sync.Mutex
	sequence       uint64
	running        map[string]map[string]*run // running maps targets to the requests on them.
	paths          map[string]*requestPath    // paths maps requests to where they run.
	ended          map[string][]*run          // ended maps targets to runs that ended there without progress.
	copies         map[uint64]int             // copies counts the running requests with the same content.
	suspects       map[uint64]*suspect
	quarantined    map[uint64]time.Time
	remoteHolds    map[uint64]time.Time // remoteHolds are fingerprints that other instances hold.
	responded      map[string]uint64    // responded is the sequence number of the last response of a target.
	remoteSuspects map[string]time.Time // remoteSuspects are targets on which other instances run suspects.
	recent         []*crash
	pruned         time.Time
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

// RequestStarted records that a request is sent to a target.
func (d *Detector) RequestStarted(request string, fingerprint uint64, target string) {
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
	batch[request] = &run{request: request, fingerprint: fingerprint, started: d.sequence}
}

// RequestFinished records that a request no longer runs on a target. After a crash it has no effect,
// so it must follow TargetCrashed.
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

// keepEnded keeps a run that ended without progress until the target responds. The stream may have
// ended because of another target while this one had crashed, which was not noticed yet.
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
		p = &requestPath{fingerprint: fingerprint}
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
// request, since one that crashes its targets would have crashed one of these.
func (d *Detector) RequestProgressed(request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	path, ok := d.paths[request]
	if !ok {
		return
	}
	started := d.sequence
	for _, target := range path.targets {
		r := d.running[target][request]
		r.progressed = true
		started = min(started, r.started)
		d.recordResponse(target)
	}
	if s, ok := d.suspects[path.fingerprint]; ok && started > s.lastSequence {
		s.cleared = true
		d.removeIfCleared(s)
	}
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

// MarkRemoteSuspect records that another instance runs a suspect on the target until that time.
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

// MayRun reports whether a request may be started on a target. A suspect may not run beside another
// suspect, nor in two copies, and needs a target that responded after the suspect's last crash.
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
