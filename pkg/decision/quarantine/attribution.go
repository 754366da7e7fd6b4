package quarantine

import (
	"slices"
	"time"
)

// conclusive reports whether the second crash is evidence against the content: its target was
// alive after the first crash, no other instance ran a suspect there, it did not crash together with
// others, and targets do not keep crashing for other reasons. Copies that crashed two targets at the
// same time are evidence only if no third target crashed then.
func (d *Detector) conclusive(s *suspect) bool {
	if !s.confirmed || s.second.remoteSuspect {
		return false
	}
	if s.copied && slices.ContainsFunc(d.simultaneous(s.second), func(other *crash) bool { return other != s.first }) {
		return false
	}
	return !d.partOfLargerFailure(s.second) && d.unrelatedEvents(s) < minUnstableEvents
}

// unrelatedEvents counts the unexplained events around the time of the second crash. Crashes in
// close succession are one event.
func (d *Detector) unrelatedEvents(s *suspect) int {
	events := 0
	var last time.Time
	for _, other := range d.recent {
		if other == s.first || other == s.second || other.at.Sub(s.second.at).Abs() > unstableWindow || !d.unexplained(other) {
			continue
		}
		if other.at.Sub(last) > crashWindow {
			events++
		}
		last = other.at
	}
	return events
}

// partOfLargerFailure reports whether a crash may have been part of a larger failure. The crashes
// that one other request may have caused count once.
func (d *Detector) partOfLargerFailure(c *crash) bool {
	count := 0
	var causes []*suspect
	for _, other := range d.simultaneous(c) {
		cause := d.cause(other)
		if cause != nil && (slices.Contains(causes, cause) || cause.first == c || cause.second == c) {
			continue
		}
		causes = append(causes, cause)
		count++
	}
	return count >= minSimultaneousCrashes
}

// accountedFor reports whether a crash was caused by quarantined content, or was part of a larger
// failure that no suspect can have caused.
func (d *Detector) accountedFor(c *crash) bool {
	count := 0
	for _, other := range d.simultaneous(c) {
		if d.cause(other) == nil {
			count++
		}
	}
	return c.explained || count >= minSimultaneousCrashes
}

// simultaneous returns the other crashes at the time of a crash that are not explained.
func (d *Detector) simultaneous(c *crash) []*crash {
	var list []*crash
	for _, other := range d.recent {
		if other != c && !other.explained && other.at.Sub(c.at).Abs() <= crashWindow {
			list = append(list, other)
		}
	}
	return list
}

// unexplained reports whether no content with two crashes accounts for a crash.
func (d *Detector) unexplained(c *crash) bool {
	return !c.explained && d.cause(c) == nil
}

// cause returns a suspect with two crashes, of which this is one, or nil if there is none.
func (d *Detector) cause(c *crash) *suspect {
	for _, fingerprint := range c.fingerprints {
		s, ok := d.suspects[fingerprint]
		if ok && s.second != nil && s.confirmed && (s.first == c || s.second == c) {
			return s
		}
	}
	return nil
}
