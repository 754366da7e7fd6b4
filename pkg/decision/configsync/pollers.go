package configsync

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// SetMembers tells the spreader of the live members and decides whether this instance polls. Members
// that are cut off from the others see only themselves and poll, so every part of a divided cluster
// that reaches the table has a poller.
func (s *Syncer) SetMembers(members []membership.Member) {
	own := score(s.self)
	higher := 0
	for _, m := range members {
		if m.Address == s.self.Address || m.DataCentre != s.self.DataCentre {
			continue
		}
		if score(m) > own {
			higher++
		}
	}
	s.polls = higher < pollers
}

// score is the member's rendezvous hash for polling in its data centre.
func score(m membership.Member) uint64 {
	b, _ := m.Address.MarshalBinary() // It never returns an error.
	return xxhash.Sum64(append(b, m.DataCentre...))
}
