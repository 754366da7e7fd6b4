package gateway

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// TestNewsReach guards against news of each entry that crosses data centres in a large fleet, and against instances of a
// small one that hear of a change from their own reader only.
func TestNewsReach(t *testing.T) {
	members := func(n int) []membership.Member {
		var list []membership.Member
		for i := range n {
			list = append(list, membership.Member{
				DataCentre: fmt.Sprint("dc", i%3), Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i)),
			})
		}
		return list
	}
	qt.Assert(t, newsReach(members(bulletinReach), "dc1"), qt.HasLen, bulletinReach)
	large := newsReach(members(3*bulletinReach), "dc1")
	qt.Assert(t, large, qt.HasLen, bulletinReach)
	for _, m := range large {
		qt.Assert(t, m.DataCentre, qt.Equals, "dc1")
	}
}
