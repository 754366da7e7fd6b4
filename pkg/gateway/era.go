package gateway

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/revision"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// copiedEntryTTL is how long after a return of the store from a copy its entries may be older than what this instance
// knew. Targets write their entries again within a few seconds, and the platform removes those of ended targets.
const copiedEntryTTL = 10 * time.Second

// observeEra records the era of a change of the target list, and reports whether the change is the first whole list of a new
// era: the store came back from a copy that may be older than the list that this instance knew.
func (s *stateCache) observeEra(c Change, now time.Time) bool {
	if era := c.era(); era > s.targetsEra {
		s.targetsEra, s.eraFirst = era, revision.Revision{}
		if s.targetsLoaded {
			s.eraStartedAt = now
			s.logger.Warn().Uint64("Era", era).Msg("the store came back from a copy, its target list may be older")
		}
	}
	if !c.Full || c.Revision.Era < s.targetsEra || s.eraStartedAt.IsZero() || s.eraFirst.Exists() {
		return false
	}
	s.eraFirst = c.Revision
	return true
}

// era returns the highest era of a change.
func (c Change) era() uint64 {
	era := c.Revision.Era
	for _, row := range c.Rows {
		era = max(era, row.Revision.Era)
	}
	return era
}

// listEra returns the era of the target list.
func (s *stateCache) listEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targetsEra
}

// inCopiedEra reports whether the entries of the store may still be those of a copy.
func (s *stateCache) inCopiedEra(now time.Time) bool {
	return !s.eraStartedAt.IsZero() && now.Sub(s.eraStartedAt) < copiedEntryTTL
}

// copiedEraEnded reports, once for each return of the store from a copy, that its entries are no longer those of a copy. The
// whole list must then be read again, since entries that were passed over before may not change any more.
func (s *stateCache) copiedEraEnded(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eraStartedAt.IsZero() || s.inCopiedEra(now) {
		return false
	}
	s.eraStartedAt = time.Time{}
	return true
}

// isGone reports whether the row's target was removed. After a return of the store from a copy, the row of a target that
// was removed before may be listed again: it counts as removed until copiedEntryTTL is over, unless it was written after the
// return.
func (s *stateCache) isGone(row Row, now time.Time) bool {
	removedAt, ok := s.tombstones[row.Name]
	if !ok {
		return false
	}
	if removedAt.SameEra(row.Revision) || removedAt.After(row.Revision) {
		return row.Revision.Before(removedAt)
	}
	return s.inCopiedEra(now) && !(s.eraFirst.Exists() && row.Revision.After(s.eraFirst))
}

// isStaleCopy reports whether the row of a target is older than the known entry although its era is higher: the store came
// back from a copy, and the target has not written its entry again. A target that leaves never takes requests again, and
// the number of its assignments only rises, until it starts again.
func (s *stateCache) isStaleCopy(known *entry, copied target.Target, row Row, now time.Time) bool {
	if known.invalid || known.revision.SameEra(row.Revision) || !s.inCopiedEra(now) {
		return false
	}
	switch copied.StartTime.Compare(known.target.StartTime) {
	case -1:
		return true
	case 1:
		return false
	}
	leaves := !known.target.AcceptsRequests() && copied.AcceptsRequests()
	return leaves || copied.Assignments < known.target.Assignments
}
