package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Check returns what is known of the content.
func (l *Ledger) Check(fingerprint uint64, now time.Time) Verdict {
	if l.quarantined[fingerprint].After(now) {
		return Quarantined
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

// Quarantined reports whether the content is quarantined. Held content is not; see Check.
func (l *Ledger) Quarantined(fingerprint uint64, now time.Time) bool {
	return l.Check(fingerprint, now) == Quarantined
}

// Add quarantines content that another instance found to crash targets.
func (l *Ledger) Add(fingerprint uint64, until time.Time) {
	if until.After(l.quarantined[fingerprint]) {
		l.quarantined[fingerprint] = until
	}
	dropOldest(l.quarantined, maxEntries, func(until time.Time) time.Time { return until })
}

// List returns the entries in force, ordered by fingerprint. Verdicts that have become final
// since the last call are included.
func (l *Ledger) List(now time.Time) []Entry {
	l.resolveAll(now)
	var entries []Entry
	for fingerprint, until := range l.quarantined {
		if until.After(now) {
			entries = append(entries, Entry{Fingerprint: fingerprint, Until: until})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

func (l *Ledger) resolveAll(now time.Time) {
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
func (l *Ledger) resolve(s *suspect, now time.Time) Verdict {
	if now.Sub(s.second.at) < settle || !l.credible(s) || !l.companionsCleared(s, now) {
		return Held
	}
	l.Add(s.fingerprint, s.second.at.Add(Duration))
	delete(l.suspects, s.fingerprint)
	l.explain(s.first, s.fingerprint)
	l.explain(s.second, s.fingerprint)
	return Quarantined
}

// credible reports whether the second crash speaks against the content: its target was alive
// after the first crash, no other suspect was there, and it did not die together with others.
func (l *Ledger) credible(s *suspect) bool {
	return s.proven && !s.second.shared && l.othersNear(s.second) < severalDeaths
}

// othersNear counts the crashes at the time of in that no suspect explains.
func (l *Ledger) othersNear(in *incident) int {
	count := 0
	for _, other := range l.recent {
		if other != in && other.alone && other.at.Sub(in.at).Abs() <= settle {
			count++
		}
	}
	return count
}

// companionsCleared reports whether no other suspect of the first crash could have caused it.
func (l *Ledger) companionsCleared(s *suspect, now time.Time) bool {
	for _, fingerprint := range slices.Concat(s.first.members, s.second.members) {
		other, ok := l.suspects[fingerprint]
		if !ok || other == s {
			continue
		}
		if other.second != nil && l.credible(other) {
			return false
		}
		sameFirst := other.first == s.first
		if sameFirst && !other.cleared && other.second == nil && now.Sub(s.second.at) < companionWait {
			return false
		}
	}
	return true
}

// explain takes an incident out of the record of the others that it implicated.
func (l *Ledger) explain(in *incident, guilty uint64) {
	for _, fingerprint := range in.members {
		s, ok := l.suspects[fingerprint]
		if !ok || fingerprint == guilty {
			continue
		}
		switch {
		case s.second == in:
			s.second = nil
			s.crashes--
		case s.first == in && s.second != nil:
			s.first, s.second = s.second, nil
			s.crashes--
		case s.first == in:
			delete(l.suspects, fingerprint)
		}
	}
}
