package operator_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/standin/brokenresponse"
)

// TestChangeAfterLostResponse guards against a change that may have been made and is said not to have been made, since the instance
// cannot be reached when the client sends it again.
func TestChangeAfterLostResponse(t *testing.T) {
	s, err := brokenresponse.New("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"Ver", brokenresponse.WithEnd())
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	client := operator.NewClient("http://"+s.Address().String(), "key", operator.WithRetryDelay(time.Millisecond))
	_, err = client.Apply(context.Background(), api.Change{ID: "c"})
	var refusal *api.Error
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
	qt.Assert(t, refusal.Code, qt.Equals, api.Unknown, qt.Commentf("%v", err))
	qt.Assert(t, s.Requests(), qt.Equals, 1)
}
