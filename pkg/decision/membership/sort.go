package membership

import (
	"cmp"
	"maps"
	"slices"
)

// sortedItems returns the keys of the items in a fixed order. The iteration order of a map differs between
// runs, and the same inputs must give the same packets.
func (l *MemberList) sortedItems() []updateKey {
	return slices.SortedFunc(maps.Keys(l.items), func(a, b updateKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key))
	})
}
