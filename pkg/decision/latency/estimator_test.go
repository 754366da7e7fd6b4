package latency_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/latency"
)

// TestDeadline guards against a deadline that aborts normal steps, exceeds MaxDeadline, or does not grow
// after slow steps.
func TestDeadline(t *testing.T) {
	repeat := func(d time.Duration, n int) []time.Duration {
		times := make([]time.Duration, n)
		for i := range times {
			times[i] = d
		}
		return times
	}
	const ms = time.Millisecond
	tests := []struct {
		name     string
		observed []time.Duration
		low      time.Duration
		high     time.Duration
	}{
		{"no observation", nil, latency.MaxDeadline, latency.MaxDeadline},
		{"fast", repeat(2*ms, 50), latency.MinDeadline, latency.MinDeadline},
		{"steady", repeat(300*ms, 50), 300 * ms, 320 * ms},
		{"uneven", append(repeat(100*ms, 20), 300*ms, 100*ms, 300*ms, 100*ms), 300 * ms, 600 * ms},
		{"one outlier", append(repeat(100*ms, 50), 900*ms), 600 * ms, latency.MaxDeadline},
		{"slow", repeat(5*time.Second, 10), latency.MaxDeadline, latency.MaxDeadline},
		{"fast again", append(repeat(time.Second, 10), repeat(2*ms, 60)...), latency.MinDeadline, 160 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var e latency.Estimator
			for _, took := range test.observed {
				e.Observe(took)
			}
			d := e.Deadline()
			qt.Assert(t, d >= test.low && d <= test.high, qt.IsTrue, qt.Commentf("%s", d))
		})
	}
}
