package quarantine

import (
	"slices"
	"time"
)

// conclusive reports whether the second crash is evidence against the content: the second target was
// alive after the first crash, no other instance ran a suspect on it, it did not crash as part of a
// larger failure, and targets do not keep crashing for other reasons. Copies that crashed two targets
// at the same time are evidence only if no third target crashed then.
func (d *Detector) conclusive(s *suspect) bool {
	if !s.confirmed || s.second.remoteSuspect {
		return false
	}
	if s.copied && slices.ContainsFunc(d.simultaneous(s.second), func(other *crash) bool { return other != s.first }) {
		return false
	}
	return !d.partOfLargerFailure(s.second) && d.unrelatedEvents(s) < minUnstableEvents
}

// unrelatedEvents counts the crash events without a likely cause around the time of the second crash.
// Crashes within crashWindow of the previous one belong to the same event.
func (d *Detector) unrelatedEvents(s *suspect) int {
	events := 0
	var last time.Time
	for _, other := range d.recent {
		if other == s.first || other == s.second || other.at.Sub(s.second.at).Abs() > unstableWindow ||
			d.hasLikelyCause(other) {
			continue
		}
		if other.at.Sub(last) > crashWindow {
			events++
		}
		last = other.at
	}
	return events
}

// partOfLargerFailure reports whether a crash may have been part of a larger failure, such as that of a
// rack. Other crashes with the same likely cause count once.
func (d *Detector) partOfLargerFailure(c *crash) bool {
	count := 0
	var causes []*suspect
	for _, other := range d.simultaneous(c) {
		cause := d.likelyCause(other)
		if cause != nil && (slices.Contains(causes, cause) || cause.first == c || cause.second == c) {
			continue
		}
		causes = append(causes, cause)
		count++
	}
	return count >= minSimultaneousCrashes
}

// causeKnown reports whether a crash is attributed to quarantined content, or was part of a larger
// failure that no suspect can have caused.
func (d *Detector) causeKnown(c *crash) bool {
	count := 0
	for _, other := range d.simultaneous(c) {
		if d.likelyCause(other) == nil {
			count++
		}
	}
	return c.attributed || count >= minSimultaneousCrashes
}

// simultaneous returns the other crashes within crashWindow of a crash that are not attributed.
func (d *Detector) simultaneous(c *crash) []*crash {
	var list []*crash
	for _, other := range d.recent {
		if other != c && !other.attributed && other.at.Sub(c.at).Abs() <= crashWindow {
			list = append(list, other)
		}
	}
	return list
}

// hasLikelyCause reports whether a crash is attributed to quarantined content, or has a likely cause.
func (d *Detector) hasLikelyCause(c *crash) bool {
	return c.attributed || d.likelyCause(c) != nil
}

// likelyCause returns a suspect that was on this and one other crashed target, if the later of the two
// is confirmed to have been alive after the first crash. It returns nil if there is none.
func (d *Detector) likelyCause(c *crash) *suspect {
	for _, fingerprint := range c.fingerprints {
		s, ok := d.suspects[fingerprint]
		if ok && s.second != nil && s.confirmed && (s.first == c || s.second == c) {
			return s
		}
	}
	return nil
}
