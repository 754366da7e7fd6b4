package gateway

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// TestUpdateRecipients guards against updates of entries that cross data centres in a large fleet, and against
// instances of a small fleet that receive changes from the watcher of their data centre only.
func TestUpdateRecipients(t *testing.T) {
	members := func(n int) []membership.Member {
		var list []membership.Member
		for i := range n {
			list = append(list, membership.Member{
				DataCentre: fmt.Sprint("dc", i%3), Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i)),
			})
		}
		return list
	}
	qt.Assert(t, updateRecipients(members(statusFanout), "dc1"), qt.HasLen, statusFanout)
	large := updateRecipients(members(3*statusFanout), "dc1")
	qt.Assert(t, large, qt.HasLen, statusFanout)
	for _, m := range large {
		qt.Assert(t, m.DataCentre, qt.Equals, "dc1")
	}
}
