package configsync

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// SetMembers sets the live members and decides whether this instance polls. Members behind a network
// partition see only each other, so every partition that reaches the table has a poller.
func (s *Syncer) SetMembers(members []membership.Member) {
	own := rendezvousHash(s.self)
	higher := 0
	for _, m := range members {
		if m.Address == s.self.Address || m.DataCentre != s.self.DataCentre {
			continue
		}
		if rendezvousHash(m) > own {
			higher++
		}
	}
	s.polls = higher < pollersPerDataCentre
}

// rendezvousHash is the member's rendezvous hash for polling in its data centre.
func rendezvousHash(m membership.Member) uint64 {
	b, _ := m.Address.MarshalBinary() // It never returns an error.
	return xxhash.Sum64(append(b, m.DataCentre...))
}
