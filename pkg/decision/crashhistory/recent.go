package crashhistory

import "time"

// recentSet holds the values of the last time, for at least half of the TTL and at most the TTL. It keeps two
// generations, so that dropping old values costs nothing.
type recentSet struct {
	ttl              time.Duration
	limit            int // limit bounds each generation.
	current, earlier map[uint64]struct{}
	currentSince     time.Time
}

func newRecentSet(ttl time.Duration, limit int) *recentSet {
	return &recentSet{ttl: ttl, limit: limit, current: make(map[uint64]struct{})}
}

func (s *recentSet) add(value uint64, now time.Time) {
	s.rotate(now)
	if len(s.current) < s.limit {
		s.current[value] = struct{}{}
	}
}

func (s *recentSet) contains(value uint64, now time.Time) bool {
	s.rotate(now)
	_, inCurrent := s.current[value]
	_, inEarlier := s.earlier[value]
	return inCurrent || inEarlier
}

// rotate starts a new generation after half of the TTL.
func (s *recentSet) rotate(now time.Time) {
	age := now.Sub(s.currentSince)
	switch {
	case age < s.ttl/2:
		return
	case age < s.ttl:
		s.earlier = s.current
	default:
		s.earlier = nil
	}
	s.current, s.currentSince = make(map[uint64]struct{}), now
}
