package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Check returns the verdict on the content.
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

// IsQuarantined reports whether the content is quarantined. Held content is not; see Check.
func (d *Detector) IsQuarantined(fingerprint uint64, now time.Time) bool {
	return d.Check(fingerprint, now) == Quarantined
}

// AddQuarantined quarantines content that another instance found to crash targets.
func (d *Detector) AddQuarantined(fingerprint uint64, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	extend(d.quarantined, fingerprint, until)
}

// AddHeld holds content that another instance holds.
func (d *Detector) AddHeld(fingerprint uint64, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	extend(d.remoteHolds, fingerprint, until)
}

func extend(entries map[uint64]time.Time, fingerprint uint64, until time.Time) {
	if until.After(entries[fingerprint]) {
		entries[fingerprint] = until
	}
	dropOldest(entries, maxEntries, func(until time.Time) time.Time { return until })
}

// QuarantinedEntries returns the quarantined fingerprints, ordered by fingerprint. Verdicts that have
// become final since the last call are included.
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

// HeldEntries returns the fingerprints that this instance itself holds, ordered by fingerprint. They
// expire after holdTTL at the other instances, since a verdict may release them.
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

func (d *Detector) resolveAll(now time.Time) {
	var open []*suspect
	for _, s := range d.suspects {
		if s.second != nil {
			open = append(open, s)
		}
	}
	slices.SortFunc(open, func(a, b *suspect) int { return cmp.Compare(a.fingerprint, b.fingerprint) })
	for _, s := range open {
		if d.suspects[s.fingerprint] == s && s.second != nil {
			d.resolve(s, now)
		}
	}
}

// resolve decides on content that was on two crashed targets.
func (d *Detector) resolve(s *suspect, now time.Time) Verdict {
	if s.ambiguous || now.Sub(s.second.at) < crashWindow || !d.conclusive(s) || !d.noOtherCause(s, now) {
		return Held
	}
	extend(d.quarantined, s.fingerprint, s.second.at.Add(Duration))
	delete(d.suspects, s.fingerprint)
	d.explain(s.first, s.fingerprint)
	d.explain(s.second, s.fingerprint)
	return Quarantined
}

// noOtherCause reports whether no other request could have caused the two crashes. It waits up to
// coSuspectTimeout for a request that may still make progress elsewhere.
func (d *Detector) noOtherCause(s *suspect, now time.Time) bool {
	waiting := now.Sub(s.second.at) < coSuspectTimeout
	return d.onlyCause(s, s.first, waiting) && d.onlyCause(s, s.second, waiting)
}

// onlyCause reports whether no other content on the crashed target could have caused the crash.
// Content that was on another crashed target too is ruled out if that crash has a different
// explanation.
func (d *Detector) onlyCause(s *suspect, c *crash, waiting bool) bool {
	for _, fingerprint := range c.fingerprints {
		other, ok := d.suspects[fingerprint]
		switch {
		case !ok || other == s:
		case other.second == nil:
			if !other.cleared && waiting {
				return false
			}
		case !d.accountedFor(other.otherCrash(c)):
			return false
		}
	}
	return true
}

// otherCrash returns the other one of the two crashes of a suspect.
func (s *suspect) otherCrash(c *crash) *crash {
	if s.first == c {
		return s.second
	}
	return s.first
}

// explain marks a crash as explained, and releases other suspects of it and of a second crash, if
// that crash has an explanation too. If it has none, two crashing requests may have run on the same
// target, so the content stays held.
func (d *Detector) explain(c *crash, culprit uint64) {
	c.explained = true
	for _, fingerprint := range c.fingerprints {
		s, ok := d.suspects[fingerprint]
		if !ok || fingerprint == culprit {
			continue
		}
		if s.second == nil {
			d.removeIfCleared(s)
			continue
		}
		rest := s.otherCrash(c)
		if !d.accountedFor(rest) {
			s.ambiguous = true
			continue
		}
		s.first, s.second, s.ambiguous = rest, nil, false
		s.crashes--
	}
}

// removeIfCleared removes a suspect that has made progress since its crash, if that is explained.
func (d *Detector) removeIfCleared(s *suspect) {
	if s.cleared && s.second == nil && s.first.explained {
		delete(d.suspects, s.fingerprint)
	}
}
