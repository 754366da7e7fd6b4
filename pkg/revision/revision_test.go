package revision_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/revision"
)

// TestOrder guards against a number of an older era that takes precedence over one that was given out again.
func TestOrder(t *testing.T) {
	for _, test := range []struct {
		older, newer revision.Revision
	}{
		{revision.Revision{}, revision.New(0, 1)},
		{revision.New(1, 5), revision.New(1, 6)},
		{revision.New(1, 57), revision.New(2, 31)},
		{revision.New(1, 57), revision.New(2, 0)},
	} {
		qt.Check(t, test.newer.After(test.older), qt.IsTrue, qt.Commentf("%v", test))
		qt.Check(t, test.older.Before(test.newer), qt.IsTrue, qt.Commentf("%v", test))
		qt.Check(t, test.older.After(test.newer), qt.IsFalse, qt.Commentf("%v", test))
		qt.Check(t, test.newer.Compare(test.newer), qt.Equals, 0)
		qt.Check(t, revision.Max(test.older, test.newer), qt.Equals, test.newer)
	}
}
