package configsync

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// SetMembers sets the live members, which decide when this instance is a poller. In a network partition, the
// members on each side see only each other as live, so every side that reaches the table has a poller.
func (s *Syncer) SetMembers(members []membership.Member) {
	own := rendezvousHash(s.self)
	s.rank, s.standbys = 0, 0
	for _, m := range members {
		if m.Address == s.self.Address || m.DataCentre != s.self.DataCentre {
			continue
		}
		s.standbys++
		if rendezvousHash(m) > own {
			s.rank++
		}
	}
	s.isPoller = s.rank < pollersPerDataCentre
}

// updatePoller decides whether this instance is a poller now. The one with the highest hash always is. The others take turns by the second,
// so that the head row is read although the first one, and some of the others, cannot read it and are taken for live. Clocks that differ
// only make turns overlap.
func (s *Syncer) updatePoller(now time.Time) {
	if s.standbys > 0 {
		turn := 1 + int(now.Unix()%int64(s.standbys))
		s.isPoller = s.rank == 0 || s.rank == turn
	}
}

// rendezvousHash returns the member's rendezvous hash in the choice of its data centre's pollers.
func rendezvousHash(m membership.Member) uint64 {
	b, _ := m.Address.MarshalBinary() // MarshalBinary never returns an error.
	return xxhash.Sum64(append(b, m.DataCentre...))
}
