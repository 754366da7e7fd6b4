package responseconn_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/responseconn"
)

// TestReadBody guards against a body that is cut at its reader's limit and taken for a whole one.
func TestReadBody(t *testing.T) {
	content, err := responseconn.ReadBody(strings.NewReader("four"), 4)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(content), qt.Equals, "four")
	content, err = responseconn.ReadBody(strings.NewReader("fives"), 4)
	qt.Assert(t, err, qt.ErrorMatches, "the body is too long: more than 4 bytes")
	qt.Assert(t, content, qt.IsNil)
}
