package quarantine

import (
	"slices"
	"time"
)

// credible reports whether the second crash speaks against the content: its target was alive
// after the first crash, no other instance ran a suspect there, it did not die together with
// others, and targets do not keep dying for other reasons. Copies that crashed two targets at the
// same time are evidence only if no third one died then.
func (l *Detector) credible(s *suspect) bool {
	if !s.proven || s.second.shared {
		return false
	}
	if s.copied && slices.ContainsFunc(l.near(s.second), func(other *incident) bool { return other != s.first }) {
		return false
	}
	return !l.together(s.second) && l.otherEvents(s) < severalEvents
}

// otherEvents counts the unexplained events about the time of the second crash. Crashes that
// follow each other closely are one event.
func (l *Detector) otherEvents(s *suspect) int {
	events := 0
	var last time.Time
	for _, other := range l.recent {
		if other == s.first || other == s.second || other.at.Sub(s.second.at).Abs() > unrest || !l.unexplained(other) {
			continue
		}
		if other.at.Sub(last) > settle {
			events++
		}
		last = other.at
	}
	return events
}

// together reports whether an incident may have been part of a larger loss. The crashes that one
// other request may have caused count once.
func (l *Detector) together(in *incident) bool {
	count := 0
	var causes []*suspect
	for _, other := range l.near(in) {
		cause := l.cause(other)
		if cause != nil && (slices.Contains(causes, cause) || cause.first == in || cause.second == in) {
			continue
		}
		causes = append(causes, cause)
		count++
	}
	return count >= severalDeaths
}

// accounted reports whether an incident was caused by quarantined content, or was part of a larger
// loss that no suspect can have caused.
func (l *Detector) accounted(in *incident) bool {
	count := 0
	for _, other := range l.near(in) {
		if l.cause(other) == nil {
			count++
		}
	}
	return in.explained || count >= severalDeaths
}

// near returns the other incidents at the time of in that are not explained.
func (l *Detector) near(in *incident) []*incident {
	var list []*incident
	for _, other := range l.recent {
		if other != in && !other.explained && other.at.Sub(in.at).Abs() <= settle {
			list = append(list, other)
		}
	}
	return list
}

// unexplained reports whether no content with two crashes accounts for an incident.
func (l *Detector) unexplained(in *incident) bool {
	return !in.explained && l.cause(in) == nil
}

// cause returns a suspect with two crashes, of which the incident is one, nil if there is none.
func (l *Detector) cause(in *incident) *suspect {
	for _, fingerprint := range in.members {
		s, ok := l.suspects[fingerprint]
		if ok && s.second != nil && s.proven && (s.first == in || s.second == in) {
			return s
		}
	}
	return nil
}
