package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Check returns what is known of the content.
func (l *Detector) Check(fingerprint uint64, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(fingerprint, now)
}

func (l *Detector) check(fingerprint uint64, now time.Time) Verdict {
	if l.quarantined[fingerprint].After(now) {
		return Quarantined
	}
	if l.holds[fingerprint].After(now) {
		return Held
	}
	s, ok := l.suspects[fingerprint]
	if !ok || now.Sub(s.at) > suspectLife {
		return Free
	}
	switch {
	case s.second != nil:
		return l.resolve(s, now)
	case s.crashes >= maxCrashes:
		return Held
	case s.cleared:
		return Free
	default:
		return Suspected
	}
}

// IsQuarantined reports whether the content is quarantined. Held content is not; see Check.
func (l *Detector) IsQuarantined(fingerprint uint64, now time.Time) bool {
	return l.Check(fingerprint, now) == Quarantined
}

// AddQuarantined quarantines content that another instance found to crash targets.
func (l *Detector) AddQuarantined(fingerprint uint64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	extend(l.quarantined, fingerprint, until)
}

// AddHeld holds content that another instance holds.
func (l *Detector) AddHeld(fingerprint uint64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	extend(l.holds, fingerprint, until)
}

func extend(entries map[uint64]time.Time, fingerprint uint64, until time.Time) {
	if until.After(entries[fingerprint]) {
		entries[fingerprint] = until
	}
	dropOldest(entries, maxEntries, func(until time.Time) time.Time { return until })
}

// QuarantinedEntries returns the quarantined entries in force, ordered by fingerprint. Verdicts that have
// become final since the last call are included.
func (l *Detector) QuarantinedEntries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resolveAll(now)
	var entries []Entry
	for fingerprint, until := range l.quarantined {
		if until.After(now) {
			entries = append(entries, Entry{Fingerprint: fingerprint, Until: until})
		}
	}
	return sorted(entries)
}

// HeldEntries returns the contents that this instance itself holds, ordered by fingerprint. They are
// exchanged for a short time each, since a verdict may free them: holdLife from now.
func (l *Detector) HeldEntries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resolveAll(now)
	var entries []Entry
	for fingerprint, s := range l.suspects {
		if (s.second != nil || s.crashes >= maxCrashes) && now.Sub(s.at) <= suspectLife {
			entries = append(entries, Entry{Fingerprint: fingerprint, Until: now.Add(holdLife)})
		}
	}
	return sorted(entries)
}

func sorted(entries []Entry) []Entry {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

func (l *Detector) resolveAll(now time.Time) {
	var open []*suspect
	for _, s := range l.suspects {
		if s.second != nil {
			open = append(open, s)
		}
	}
	slices.SortFunc(open, func(a, b *suspect) int { return cmp.Compare(a.fingerprint, b.fingerprint) })
	for _, s := range open {
		if l.suspects[s.fingerprint] == s && s.second != nil {
			l.resolve(s, now)
		}
	}
}

// resolve decides on content that was hit by two crashes.
func (l *Detector) resolve(s *suspect, now time.Time) Verdict {
	if s.doubtful || now.Sub(s.second.at) < settle || !l.credible(s) || !l.othersCleared(s, now) {
		return Held
	}
	extend(l.quarantined, s.fingerprint, s.second.at.Add(Duration))
	delete(l.suspects, s.fingerprint)
	l.explain(s.first, s.fingerprint)
	l.explain(s.second, s.fingerprint)
	return Quarantined
}

// othersCleared reports whether no other request could have caused the two crashes. One that may
// still make progress elsewhere is waited for.
func (l *Detector) othersCleared(s *suspect, now time.Time) bool {
	waiting := now.Sub(s.second.at) < companionWait
	return l.cleared(s, s.first, waiting) && l.cleared(s, s.second, waiting)
}

// cleared reports whether none of the other members of an incident could have caused it. One that
// was hit by another crash too is ruled out if that crash has a different explanation.
func (l *Detector) cleared(s *suspect, in *incident, waiting bool) bool {
	for _, fingerprint := range in.members {
		other, ok := l.suspects[fingerprint]
		switch {
		case !ok || other == s:
		case other.second == nil:
			if !other.cleared && waiting {
				return false
			}
		case !l.accounted(other.otherThan(in)):
			return false
		}
	}
	return true
}

// otherThan returns the other one of the two crashes of a suspect.
func (s *suspect) otherThan(in *incident) *incident {
	if s.first == in {
		return s.second
	}
	return s.first
}

// explain closes an incident, and frees the others that were hit by it and by another crash, if
// that one has an explanation too. Where it has none, two crashing requests may have met on one
// target, so the content stays held.
func (l *Detector) explain(in *incident, guilty uint64) {
	in.explained = true
	for _, fingerprint := range in.members {
		s, ok := l.suspects[fingerprint]
		if !ok || fingerprint == guilty {
			continue
		}
		if s.second == nil {
			l.acquit(s)
			continue
		}
		rest := s.otherThan(in)
		if !l.accounted(rest) {
			s.doubtful = true
			continue
		}
		s.first, s.second, s.doubtful = rest, nil, false
		s.crashes--
	}
}

// acquit forgets a suspect that has made progress since a crash that is explained.
func (l *Detector) acquit(s *suspect) {
	if s.cleared && s.second == nil && s.first.explained {
		delete(l.suspects, s.fingerprint)
	}
}
