package membership

import (
	"cmp"
	"maps"
	"slices"
)

// The order of a map differs between runs. Where it decides which packets are sent, keys are sorted,
// so that the same inputs always give the same outputs.

func (t *Table) sortedSuspects() []*record {
	if len(t.suspects) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(t.suspects), compareRecord)
}

func (t *Table) sortedGone() []*record {
	if len(t.gone) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(t.gone), compareRecord)
}

func (t *Table) sortedItems() []newsKey {
	return slices.SortedFunc(maps.Keys(t.items), func(a, b newsKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key))
	})
}

func compareRecord(a, b *record) int {
	return a.Address.Compare(b.Address)
}

func (t *Table) sortedRelays() []uint64 {
	if len(t.relays) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(t.relays))
}
