package monitor_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/monitor"
)

func members(n int) []netip.AddrPort {
	list := make([]netip.AddrPort, n)
	for i := range list {
		list[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i % 250)}), 7340)
	}
	return list
}

// TestAssign guards against instances that disagree on the monitors of a target, against asking the same monitors again
// after a round without a verdict, against monitors of a target that grow with the rounds, and against one instance that
// monitors most targets.
func TestAssign(t *testing.T) {
	list := members(146)
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	load := make(map[netip.AddrPort]int)
	for i := range 96 {
		name := fmt.Sprintf("w%d", i)
		first := monitor.Assign(name, 0, list)
		qt.Assert(t, first, qt.HasLen, 2)
		qt.Assert(t, slices.Equal(monitor.Assign(name, 0, reversed), first), qt.IsTrue)
		for _, m := range monitor.Assign(name, 1, list) {
			qt.Assert(t, slices.Contains(first, m), qt.IsFalse)
		}
		asked := make(map[netip.AddrPort]bool)
		for round := range 20 {
			for _, m := range monitor.Assign(name, round, list) {
				asked[m] = true
			}
		}
		qt.Assert(t, asked, qt.HasLen, 6)
		for _, m := range first {
			load[m]++
		}
	}
	for m, n := range load {
		qt.Assert(t, n <= 8, qt.IsTrue, qt.Commentf("%s monitors %d of 96 targets", m, n))
	}
	qt.Assert(t, slices.Equal(monitor.Assign("w1", 3, list[:2]), list[:2]), qt.IsTrue)
	qt.Assert(t, monitor.Assign("w1", 3, nil), qt.HasLen, 0)
}
