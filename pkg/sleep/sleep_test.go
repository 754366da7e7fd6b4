package sleep_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/sleep"
)

// TestFor guards against a pause that outlasts its context, one that ends early, and a loop that takes one more turn
// after the end of its context.
func TestFor(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	for _, test := range []struct {
		about   string
		ctx     context.Context
		d       time.Duration
		want    error
		atLeast time.Duration
	}{
		{"whole", context.Background(), 20 * time.Millisecond, nil, 20 * time.Millisecond},
		{"none", context.Background(), 0, nil, 0},
		{"ended before", ended, time.Hour, context.Canceled, 0},
		{"ended before, none", ended, 0, context.Canceled, 0},
		{"ends meanwhile", short, time.Hour, context.DeadlineExceeded, 0},
	} {
		t.Run(test.about, func(t *testing.T) {
			started := time.Now()
			qt.Assert(t, sleep.For(test.ctx, test.d), qt.Equals, test.want)
			qt.Assert(t, time.Since(started) >= test.atLeast, qt.IsTrue)
			qt.Assert(t, time.Since(started) < time.Minute, qt.IsTrue)
		})
	}
}
