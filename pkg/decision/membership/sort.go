package membership

import (
	"cmp"
	"maps"
	"slices"
)

// sortedItems returns the keys of the items in a fixed order. The order of a map differs between
// runs, and the same inputs must give the same packets.
func (t *MemberList) sortedItems() []newsKey {
	return slices.SortedFunc(maps.Keys(t.items), func(a, b newsKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key))
	})
}
