package gateway

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
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

// TestSampleLoads guards against an instance with many streams whose load on most targets the others do not count.
func TestSampleLoads(t *testing.T) {
	loads := make(map[string]targetstats.Load)
	for i := range 3 * maxLoads {
		loads[fmt.Sprint("w", i)] = targetstats.Load{KVCells: 1000, Streams: 1}
	}
	sample := sampleLoads(loads)
	qt.Assert(t, sample, qt.HasLen, maxLoads)
	cells, streams := int64(0), 0
	for _, l := range sample {
		cells, streams = cells+l.GetCells(), streams+int(l.GetStreams())
	}
	qt.Assert(t, cells, qt.Equals, int64(3*maxLoads*1000))
	qt.Assert(t, streams, qt.Equals, 3*maxLoads)
	qt.Assert(t, sampleLoads(nil), qt.HasLen, 0)
}
