package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Check returns whether requests with this fingerprint may run, and with which restriction; see Verdict. It
// quarantines the content if its crashes can be attributed to it now.
func (d *Detector) Check(fingerprint uint64, now time.Time) Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.check(fingerprint, now)
}

func (d *Detector) check(fingerprint uint64, now time.Time) Verdict {
	if d.quarantined[fingerprint].After(now) {
		return Quarantined
	}
	if d.remoteHolds[fingerprint].After(now) {
		return Held
	}
	s, ok := d.suspects[fingerprint]
	if !ok || now.Sub(s.lastCrash) > suspectTTL {
		return Free
	}
	switch {
	case s.second != nil:
		return d.resolve(s, now)
	case s.crashes >= maxCrashes:
		return Held
	case s.cleared:
		return Free
	default:
		return Suspected
	}
}

// IsQuarantined reports whether the verdict is Quarantined, as Check returns it. Held content may not run
// either, but is not quarantined.
func (d *Detector) IsQuarantined(fingerprint uint64, now time.Time) bool {
	return d.Check(fingerprint, now) == Quarantined
}

// AddQuarantined quarantines content that another instance found to crash targets.
func (d *Detector) AddQuarantined(fingerprint uint64, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	setExpiry(d.quarantined, fingerprint, until)
}

// Quarantine quarantines content that the crashes of all instances show to crash targets. The crashes that this detector
// counts against the content are attributed to it.
func (d *Detector) Quarantine(fingerprint uint64, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	setExpiry(d.quarantined, fingerprint, until)
	s, ok := d.suspects[fingerprint]
	if !ok {
		return
	}
	delete(d.suspects, fingerprint)
	d.attribute(s.first, fingerprint)
	if s.second != nil {
		d.attribute(s.second, fingerprint)
	}
}

// AddHeld makes Check return Held until the given time, because another instance holds the content.
func (d *Detector) AddHeld(fingerprint uint64, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	setExpiry(d.remoteHolds, fingerprint, until)
}

// setExpiry adds an entry or moves its expiry later, and drops the entries that expire first over maxEntries.
func setExpiry(entries map[uint64]time.Time, fingerprint uint64, until time.Time) {
	if until.After(entries[fingerprint]) {
		entries[fingerprint] = until
	}
	dropOldest(entries, maxEntries, func(until time.Time) time.Time { return until })
}

// QuarantinedEntries returns the quarantined fingerprints, ordered by fingerprint. Before that, it
// quarantines the suspects to which their crashes can be attributed now.
func (d *Detector) QuarantinedEntries(now time.Time) []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resolveAll(now)
	var entries []Entry
	for fingerprint, until := range d.quarantined {
		if until.After(now) {
			entries = append(entries, Entry{Fingerprint: fingerprint, Until: until})
		}
	}
	return sortEntries(entries)
}

// HeldEntries returns the fingerprints that this instance itself holds, ordered by fingerprint. Before
// that, it quarantines the suspects to which their crashes can be attributed now. The entries expire
// after holdTTL, since this instance may later find another cause of the crashes and release the content.
func (d *Detector) HeldEntries(now time.Time) []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resolveAll(now)
	var entries []Entry
	for fingerprint, s := range d.suspects {
		if (s.second != nil || s.crashes >= maxCrashes) && now.Sub(s.lastCrash) <= suspectTTL {
			entries = append(entries, Entry{Fingerprint: fingerprint, Until: now.Add(holdTTL)})
		}
	}
	return sortEntries(entries)
}

func sortEntries(entries []Entry) []Entry {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// resolveAll decides on all suspects with two crashes, in the order of their fingerprints.
func (d *Detector) resolveAll(now time.Time) {
	var undecided []*suspect
	for _, s := range d.suspects {
		if s.second != nil {
			undecided = append(undecided, s)
		}
	}
	slices.SortFunc(undecided, func(a, b *suspect) int { return cmp.Compare(a.fingerprint, b.fingerprint) })
	for _, s := range undecided {
		if d.suspects[s.fingerprint] == s && s.second != nil {
			d.resolve(s, now)
		}
	}
}

// resolve returns the verdict on content that was on two crashed targets. It quarantines the content and
// attributes both crashes to it, or returns Held if another cause is possible.
func (d *Detector) resolve(s *suspect, now time.Time) Verdict {
	if s.ambiguous || now.Sub(s.second.at) < crashWindow || !d.conclusive(s) || d.otherCausePossible(s, now) {
		return Held
	}
	setExpiry(d.quarantined, s.fingerprint, s.second.at.Add(Duration))
	delete(d.suspects, s.fingerprint)
	d.attribute(s.first, s.fingerprint)
	d.attribute(s.second, s.fingerprint)
	return Quarantined
}

// otherCausePossible reports whether other content could have caused one of the two crashes of a suspect.
// Until coSuspectTimeout after the second crash, this includes other suspects that may still be cleared
// by progress on other targets.
func (d *Detector) otherCausePossible(s *suspect, now time.Time) bool {
	waiting := now.Sub(s.second.at) < coSuspectTimeout
	return d.otherCauseOfCrash(s, s.first, waiting) || d.otherCauseOfCrash(s, s.second, waiting)
}

// otherCauseOfCrash reports whether content other than that of s could have caused the crash. Another suspect
// with one crash counts until it is cleared, but only while waiting is set. Another suspect with two crashes
// is ruled out if the cause of its other crash is known.
func (d *Detector) otherCauseOfCrash(s *suspect, c *crash, waiting bool) bool {
	for _, fingerprint := range c.fingerprints {
		other, ok := d.suspects[fingerprint]
		switch {
		case !ok || other == s:
		case other.second == nil:
			if !other.cleared && waiting {
				return true
			}
		case !d.causeKnown(other.otherCrash(c)):
			return true
		}
	}
	return false
}

// otherCrash returns the crash of the suspect, out of its two, that is not c.
func (s *suspect) otherCrash(c *crash) *crash {
	if s.first == c {
		return s.second
	}
	return s.first
}

// attribute attributes a crash to the content that caused it, and updates the other suspects of the crash.
// For a suspect with another crash whose cause is also known, this crash no longer counts. If the cause
// of the other crash is not known, the suspect is marked as ambiguous and stays held, because two
// crashing requests may have run on the target of this crash.
func (d *Detector) attribute(c *crash, cause uint64) {
	c.attributed = true
	for _, fingerprint := range c.fingerprints {
		s, ok := d.suspects[fingerprint]
		if !ok || fingerprint == cause {
			continue
		}
		if s.second == nil {
			d.removeIfCleared(s)
			continue
		}
		other := s.otherCrash(c)
		if !d.causeKnown(other) {
			s.ambiguous = true
			continue
		}
		s.first, s.second, s.ambiguous = other, nil, false
		s.crashes--
	}
}

// removeIfCleared removes a suspect with one crash that is cleared, if the crash is attributed to other content.
func (d *Detector) removeIfCleared(s *suspect) {
	if s.cleared && s.second == nil && s.first.attributed {
		delete(d.suspects, s.fingerprint)
	}
}
