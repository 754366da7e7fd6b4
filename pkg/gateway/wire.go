package gateway

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
	"github.com/cuminroute/cuminroute/pkg/revision"
)

// sampleLoads returns the loads for a status update. If there are more than maxLoads, it returns a random sample, scaled up
// so that the sum over many updates of many instances is right.
func sampleLoads(loads map[string]targetstats.Load) []*instancepb.TargetLoad {
	scale := max(1, float64(len(loads))/maxLoads)
	names := slices.Collect(maps.Keys(loads))
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	sample := make([]*instancepb.TargetLoad, 0, maxLoads)
	for _, name := range names[:min(len(names), maxLoads)] {
		load := loads[name]
		sample = append(sample, &instancepb.TargetLoad{
			Target: targetstats.TargetHash(name), Cells: int64(scale * float64(load.KVCells)), Streams: uint32(math.Round(scale * float64(load.Streams))),
		})
	}
	return sample
}

// encodeRow returns a row as it is sent to other instances.
func encodeRow(r Row) *instancepb.Row {
	return &instancepb.Row{Name: r.Name, Value: r.Value, Revision: r.Revision.Number, Era: encodeEra(r.Revision), Removed: r.Removed}
}

// decodeRow returns a row that another instance sent. An instance of an older build sends no era: its revision then
// belongs to the era of this instance.
func decodeRow(r *instancepb.Row, ownEra uint64) Row {
	return Row{
		Name: r.GetName(), Value: r.GetValue(), Revision: decodeRevision(r.GetEra(), r.GetRevision(), ownEra), Removed: r.GetRemoved(),
	}
}

// encodeEra returns the era of a revision as it is sent to other instances: one more, since older builds send none.
func encodeEra(r revision.Revision) uint64 { return r.Era + 1 }

// decodeRevision returns a revision that another instance sent with an encoded era, or in the era of this instance.
func decodeRevision(era, number, ownEra uint64) revision.Revision {
	if era == 0 {
		return revision.New(ownEra, number)
	}
	return revision.New(era-1, number)
}
