// Package layer describes contiguous ranges of a model's layers.
//
// Usage:
//
//	r := layer.Range{First: 0, End: 16}
//	next := layer.Range{First: 16, End: 32}
//	if r.Precedes(next) { ... }
package layer

import "fmt"

// Range is the half-open interval [First, End) of layer numbers.
type Range struct {
	First int `json:"First" yaml:"First"`
	End   int `json:"End" yaml:"End"`
}

// Len returns the number of layers in r.
func (r Range) Len() int {
	return r.End - r.First
}

// Valid reports whether r is not empty and starts at zero or above.
func (r Range) Valid() bool {
	return r.First >= 0 && r.End > r.First
}

// Contains reports whether every layer of other lies in r.
func (r Range) Contains(other Range) bool {
	return r.First <= other.First && other.End <= r.End
}

// Precedes reports whether next starts at the layer where r ends, without a gap or overlap.
func (r Range) Precedes(next Range) bool {
	return r.End == next.First
}

// String returns r as "[first,end)".
func (r Range) String() string {
	return fmt.Sprintf("[%d,%d)", r.First, r.End)
}

// IsPartition reports whether ranges, in the given order, cover [0, layers) without gaps or overlaps.
func IsPartition(ranges []Range, layers int) bool {
	next := 0
	for _, r := range ranges {
		if !r.Valid() || r.First != next {
			return false
		}
		next = r.End
	}
	return len(ranges) > 0 && next == layers
}
