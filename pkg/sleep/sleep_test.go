package sleep_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/sleep"
)

// TestFor guards against a wait that outlasts its context, a wait that ends early, and a loop that runs once more after
// its context has ended.
func TestFor(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	for _, test := range []struct {
		name    string
		ctx     context.Context
		d       time.Duration
		want    error
		atLeast time.Duration
	}{
		{"full duration", context.Background(), 20 * time.Millisecond, nil, 20 * time.Millisecond},
		{"zero duration", context.Background(), 0, nil, 0},
		{"context ended before", ended, time.Hour, context.Canceled, 0},
		{"context ended before, zero duration", ended, 0, context.Canceled, 0},
		{"context ends during the wait", short, time.Hour, context.DeadlineExceeded, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			started := time.Now()
			qt.Assert(t, sleep.For(test.ctx, test.d), qt.Equals, test.want)
			qt.Assert(t, time.Since(started) >= test.atLeast, qt.IsTrue)
			qt.Assert(t, time.Since(started) < time.Minute, qt.IsTrue)
		})
	}
}
