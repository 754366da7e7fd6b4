// Package revision orders the rows of a store that may come back from an older copy.
//
// A store numbers its transactions. After it has come back from a copy, it gives out numbers again that it gave out
// before, so that a number alone says nothing about which row is newer. Each return raises the store's era. A Revision
// therefore consists of the era and the number, and is ordered by the era first.
//
// Usage:
//
//	known := revision.New(1, 57)
//	read := revision.New(2, 31)
//	if read.After(known) { ... } // true: the store came back from a copy in between.
//	if !read.SameEra(known) { ... } // Changes since known cannot be read one by one; read the whole table.
package revision

import (
	"cmp"
	"fmt"
)

// Revision is the position of a row or of a read in the history of a store. The zero value comes before all others.
type Revision struct {
	Era    uint64 `json:"Era"`    // Era counts the returns of the store from a copy. It is 0 for a store without eras.
	Number uint64 `json:"Number"` // Number is the store's number of the transaction within the era; 0 means no row.
}

// New returns a revision.
func New(era, number uint64) Revision {
	return Revision{Era: era, Number: number}
}

// Compare returns a negative number if r comes before other, a positive number if it comes after it, and otherwise 0.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r comes after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Before reports whether r comes before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// SameEra reports whether the numbers of both revisions can be compared.
func (r Revision) SameEra(other Revision) bool { return r.Era == other.Era }

// Exists reports whether r is the revision of a row, rather than of a row that does not exist.
func (r Revision) Exists() bool { return r.Number > 0 }

// String returns the era and the number, such as "2/31".
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }

// Max returns the later of two revisions.
func Max(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}
