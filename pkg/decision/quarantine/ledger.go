package quarantine

import (
	"slices"
	"time"
)

const (
	// Duration is how long a request stays quarantined.
	Duration = 10 * time.Minute
	// suspectLife is how long a crash counts against a request.
	suspectLife = Duration
	// settle is the time within which crashes count as simultaneous, and for which a verdict waits
	// for reports of further crashes. Broken connections show within milliseconds.
	settle = 250 * time.Millisecond
	// severalDeaths is the number of other deaths that make a crash part of a larger loss.
	severalDeaths = 2
	// companionWait bounds the wait for the other suspects of a crash to make progress elsewhere.
	companionWait = 5 * time.Second
	// maxCrashes bounds the targets that a request may lose even if it answered steps on each of them.
	maxCrashes = 4

	// maxSuspects and maxEntries bound the memory (about 200 bytes each); the oldest are dropped.
	maxSuspects = 4096
	maxEntries  = 4096
	// maxRecent bounds the crashes kept to recognise simultaneous ones.
	maxRecent = 64
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

// incident is the crash of one target.
type incident struct {
	target  string
	at      time.Time
	members []uint64 // members are the fingerprints that ran on the target.
	alone   bool     // alone reports that no suspect ran there before.
	shared  bool     // shared reports that another instance ran a suspect there.
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
	proven      bool      // proven reports that the second target answered something after the first crash.
}

// Ledger keeps what is known of crashes.
type Ledger struct {
	sequence    uint64
	running     map[string]map[string]*run // running maps targets to the requests on them.
	routes      map[string][]string        // routes maps requests to their targets.
	suspects    map[uint64]*suspect
	quarantined map[uint64]time.Time
	alive       map[string]uint64    // alive is the sequence number of the last answer of a target.
	remote      map[string]time.Time // remote are targets on which other instances run suspects.
	recent      []*incident
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		running:     map[string]map[string]*run{},
		routes:      map[string][]string{},
		suspects:    map[uint64]*suspect{},
		quarantined: map[uint64]time.Time{},
		alive:       map[string]uint64{},
		remote:      map[string]time.Time{},
	}
}

// Start notes that a request is sent to a target.
func (l *Ledger) Start(request string, fingerprint uint64, target string) {
	l.sequence++
	batch, ok := l.running[target]
	if !ok {
		batch = map[string]*run{}
		l.running[target] = batch
	}
	if _, known := batch[request]; !known {
		l.routes[request] = append(l.routes[request], target)
	}
	batch[request] = &run{request: request, fingerprint: fingerprint, started: l.sequence}
}

// Finish notes that a request no longer runs on a target. After a crash it has no effect, so it
// must follow Crash.
func (l *Ledger) Finish(request, target string) {
	batch := l.running[target]
	if _, ok := batch[request]; !ok {
		return
	}
	delete(batch, request)
	if len(batch) == 0 {
		delete(l.running, target)
	}
	l.leave(request, target)
}

func (l *Ledger) leave(request, target string) {
	left := slices.DeleteFunc(l.routes[request], func(name string) bool { return name == target })
	if len(left) == 0 {
		delete(l.routes, request)
		return
	}
	l.routes[request] = left
}

// Progress notes that a step of the request has come through its whole route. This clears the
// request: a request that crashes its targets would have crashed one of these.
func (l *Ledger) Progress(request string) {
	route := l.routes[request]
	if len(route) == 0 {
		return
	}
	var fingerprint uint64
	started := l.sequence
	for _, target := range route {
		r := l.running[target][request]
		r.progressed = true
		fingerprint = r.fingerprint
		started = min(started, r.started)
		l.Alive(target)
	}
	if s, ok := l.suspects[fingerprint]; ok && started > s.last {
		s.cleared = true
	}
}

// Completed notes that a request with this content was answered in full, which exonerates it.
func (l *Ledger) Completed(fingerprint uint64) {
	delete(l.suspects, fingerprint)
}

// Alive notes that a target answered something. It is cheap while there are no suspects.
func (l *Ledger) Alive(target string) {
	if len(l.suspects) == 0 {
		return
	}
	l.sequence++
	l.alive[target] = l.sequence
}

// RemoteSuspect notes that another instance runs a suspect on the target until then.
func (l *Ledger) RemoteSuspect(target string, until time.Time) {
	l.remote[target] = until
}

// Busy returns the targets on which suspects of this instance run, for the other instances.
func (l *Ledger) Busy() []string {
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

// MayRun reports whether content may be started on a target. A suspect may not join another
// suspect, and needs a target that answered something since the suspect's last crash.
func (l *Ledger) MayRun(fingerprint uint64, target string, now time.Time) bool {
	if !l.uncleared(fingerprint) {
		return true
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

// uncleared reports whether the content is under suspicion.
func (l *Ledger) uncleared(fingerprint uint64) bool {
	s, ok := l.suspects[fingerprint]
	return ok && !s.cleared
}
