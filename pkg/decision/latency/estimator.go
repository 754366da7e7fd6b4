// Package latency estimates how long a step takes, and derives the deadline after which the target
// counts as frozen.
//
// Usage:
//
//	var e latency.Estimator
//	e.Observe(12 * time.Millisecond)
//	deadline := e.Deadline()
package latency

import "time"

const (
	// MinDeadline is the shortest deadline. It covers pauses of a busy machine that do not mean that a target
	// is frozen.
	MinDeadline = 150 * time.Millisecond
	// MaxDeadline is the longest deadline, so that a frozen target is noticed within 2 s whatever was observed before.
	MaxDeadline = 2 * time.Second
	// deviations is the number of mean deviations above the smoothed time.
	deviations = 4
	// smoothing and deviationSmoothing are the divisors 8 and 4 of RFC 6298.
	smoothing          = 8
	deviationSmoothing = 4
)

// Estimator keeps a smoothed time and its mean deviation, as RFC 6298 does for round trips. The zero
// value has observed nothing. It is not safe for concurrent use.
type Estimator struct {
	smoothed  time.Duration
	deviation time.Duration
	observed  bool
}

// Observe adds one measured time.
func (e *Estimator) Observe(took time.Duration) {
	if !e.observed {
		e.smoothed, e.deviation, e.observed = took, took/2, true
		return
	}
	e.deviation += (abs(e.smoothed-took) - e.deviation) / deviationSmoothing
	e.smoothed += (took - e.smoothed) / smoothing
}

// Smoothed returns the smoothed time, zero before the first observation.
func (e *Estimator) Smoothed() time.Duration {
	return e.smoothed
}

// Deadline returns the smoothed time plus four deviations, between Floor and Cap. Before the first
// observation it is Cap.
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
