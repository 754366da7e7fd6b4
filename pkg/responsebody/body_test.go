package responsebody_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/responsebody"
)

// TestRead guards against a body that is cut at its reader's limit and taken for a whole one.
func TestRead(t *testing.T) {
	content, err := responsebody.Read(strings.NewReader("four"), 4)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(content), qt.Equals, "four")
	content, err = responsebody.Read(strings.NewReader("fives"), 4)
	qt.Assert(t, err, qt.ErrorMatches, "the body is too long: more than 4 bytes")
	qt.Assert(t, content, qt.IsNil)
}
