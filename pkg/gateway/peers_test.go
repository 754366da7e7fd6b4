package gateway

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/revision"
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

// TestRevisionOnTheWire guards against a revision of the first era that is taken for one of the receiver's era, and against
// an instance of an older build, which sends no era, whose changes are ignored.
func TestRevisionOnTheWire(t *testing.T) {
	for _, r := range []revision.Revision{revision.New(0, 9), revision.New(1, 9), revision.New(7, 1)} {
		qt.Check(t, decodeRevision(encodeEra(r), r.Number, 4), qt.Equals, r)
		row := Row{Name: "w", Value: []byte("v"), Revision: r, Removed: true}
		qt.Check(t, decodeRow(encodeRow(row), 4), qt.DeepEquals, row)
	}
	qt.Check(t, decodeRevision(0, 9, 4), qt.Equals, revision.New(4, 9))
}
