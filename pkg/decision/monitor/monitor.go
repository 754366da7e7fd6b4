// Package monitor decides which instances probe a target that streams suspect to be dead.
//
// It answers the load of a failure in a large fleet: when targets stall, the streams of every instance suspect the same
// targets at the same moment. If each instance probed all of its suspects, the probes of one target would grow with the
// number of instances, and the connections alone would make sound targets too slow to respond.
//
// Each target has a few monitors, chosen by rendezvous hashing, so that all instances with the same member list agree
// on them and the work is spread evenly. An instance asks the monitors of its suspects to probe them, and a monitor
// shares the result of one probe between all that ask. If no verdict arrives, the next round asks the next monitors in
// order, since the first ones may be dead or overloaded themselves. After the last round, the first one follows again,
// so that the number of monitors of a target does not grow with the fleet either.
//
// Usage:
//
//	asked := monitor.Assign("w1", round, members)
package monitor

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// perRound is the number of monitors that one round asks. A second one covers lost datagrams and a monitor that has
	// just died.
	perRound = 2
	// rounds is the number of rounds with different monitors.
	rounds = 3
)

// Assign returns the members that probe a target in a round, which counts from 0. If there are at most perRound members,
// it returns all of them.
func Assign(target string, round int, members []netip.AddrPort) []netip.AddrPort {
	if len(members) <= perRound {
		return members
	}
	ranked := make([]scored, len(members))
	hash := xxhash.Sum64String(target)
	for i, m := range members {
		ranked[i] = scored{member: m, score: score(hash, m)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return a.member.Compare(b.member)
	})
	assigned := make([]netip.AddrPort, perRound)
	for i := range assigned {
		assigned[i] = ranked[(round%rounds*perRound+i)%len(ranked)].member
	}
	return assigned
}

// scored is a member with its score for one target.
type scored struct {
	member netip.AddrPort
	score  uint64
}

// score returns a hash of the target's hash and the member.
func score(target uint64, member netip.AddrPort) uint64 {
	var buffer [32]byte
	b := member.AppendTo(buffer[:0])
	for shift := 0; shift < 64; shift += 8 {
		b = append(b, byte(target>>shift))
	}
	return xxhash.Sum64(b)
}
