// Package latency estimates how long a step of a target takes, and derives the deadline after which a
// target that has not responded is considered frozen.
//
// Usage:
//
//	var e latency.Estimator
//	e.Observe(12 * time.Millisecond)
//	deadline := e.Deadline()
package latency

import "time"

const (
	// MinDeadline is the shortest deadline. It tolerates the scheduling delays of a busy host, whose
	// target is slow but not frozen.
	MinDeadline = 150 * time.Millisecond
	// MaxDeadline is the longest deadline, so that a frozen target is detected within 2 s whatever the
	// latencies observed before.
	MaxDeadline = 2 * time.Second
	// deviations is the number of mean deviations added to the smoothed latency.
	deviations = 4
	// smoothing and deviationSmoothing are the divisors 8 and 4 of RFC 6298, for the smoothed latency and
	// for the mean deviation.
	smoothing          = 8
	deviationSmoothing = 4
)

// Estimator keeps a smoothed latency and its mean deviation, as RFC 6298 does for round trips. The zero
// value is ready to use. An Estimator is not safe for concurrent use.
type Estimator struct {
	smoothed  time.Duration
	deviation time.Duration
	observed  bool
}

// Observe adds one measured latency.
func (e *Estimator) Observe(took time.Duration) {
	if !e.observed {
		e.smoothed, e.deviation, e.observed = took, took/2, true
		return
	}
	e.deviation += (abs(e.smoothed-took) - e.deviation) / deviationSmoothing
	e.smoothed += (took - e.smoothed) / smoothing
}

// Smoothed returns the smoothed latency, zero before the first observation.
func (e *Estimator) Smoothed() time.Duration {
	return e.smoothed
}

// Deadline returns the smoothed latency plus four deviations, limited to MinDeadline and MaxDeadline.
// Before the first observation, the deadline is MaxDeadline.
func (e *Estimator) Deadline() time.Duration {
	if !e.observed {
		return MaxDeadline
	}
	return min(max(e.smoothed+deviations*e.deviation, MinDeadline), MaxDeadline)
}

func abs(d time.Duration) time.Duration {
	if d < 0 {
		return -d
	}
	return d
}
