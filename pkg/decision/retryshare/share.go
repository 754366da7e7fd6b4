// Package retryshare computes the part of a fleet's retry budget that one instance may use.
//
// It answers the load of a failure in a fleet whose instances cannot agree on each retry: all of them retry at the same
// moment, and together they must stay within one budget. Each instance takes an equal part by the number of instances.
// That number is uncertain when it matters most. An instance that has just started knows few others, and an overloaded
// instance loses members that are alive. A number that is too low makes the part too large, so the share uses the highest
// number seen recently, and a small fixed part until the member list had time to settle.
//
// A Share is safe for concurrent use.
//
// Usage:
//
//	share := retryshare.New(587, 10*time.Second, now)
//	share.ObserveInstances(146, now)
//	budget.SetMinRate(share.Limits(now))
package retryshare

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/fleetsize"
)

const (
	// burstFraction and rateFraction are the fractions of the fleet's retries that may be used at once and spread over
	// the window. Their sum is less than 1, since requests and their retries may fall into different windows.
	burstFraction = 0.6
	rateFraction  = 0.25
	// settleTime is how long after the start of an instance its member list may be incomplete.
	settleTime = 1500 * time.Millisecond
	// settlingRate and settlingBurst are the limits during settleTime: retries per second, and retries at once.
	settlingRate  = 0.1
	settlingBurst = 1
)

// InitialRetries is the number of retries that an instance may make right after its start, when it knows no others. After
// the loss of a whole fleet, its requests meet targets whose load no instance knows yet.
const InitialRetries = settlingBurst

// Share computes the limits of one instance.
type Share struct {
	retries   float64
	window    time.Duration
	startedAt time.Time

	instances *fleetsize.Recent
}

// New returns the share of an instance that has started now, of a fleet that may make the given number of retries in
// each window.
func New(retries float64, window time.Duration, now time.Time) *Share {
	return &Share{retries: retries, window: window, startedAt: now, instances: fleetsize.New(now)}
}

// ObserveInstances records the number of live instances, this one included.
func (s *Share) ObserveInstances(n int, now time.Time) {
	s.instances.Observe(n, now)
}

// Limits returns the retries per second and the retries at once that this instance may make.
func (s *Share) Limits(now time.Time) (perSecond, burst float64) {
	if now.Sub(s.startedAt) < settleTime || s.window <= 0 {
		return settlingRate, settlingBurst
	}
	part := s.retries / float64(s.instances.Highest(now))
	return rateFraction * part / s.window.Seconds(), burstFraction * part
}
