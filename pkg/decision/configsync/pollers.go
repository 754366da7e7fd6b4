package configsync

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// SetMembers sets the live members and decides whether this instance is a poller. In a network partition, the
// members on each side see only each other as live, so every side that reaches the table has a poller.
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
	s.isPoller = higher < pollersPerDataCentre
}

// rendezvousHash returns the member's rendezvous hash in the choice of its data centre's pollers.
func rendezvousHash(m membership.Member) uint64 {
	b, _ := m.Address.MarshalBinary() // MarshalBinary never returns an error.
	return xxhash.Sum64(append(b, m.DataCentre...))
}
