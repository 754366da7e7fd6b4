package room

import (
	"math"
	"time"
)

const (
	// turnedAwayTime is the time constant with which the fraction of requests that are turned away is smoothed.
	turnedAwayTime = 2 * time.Second
	// rankTime is the time constant with which the parts of the ranks in the load are smoothed.
	rankTime = 10 * time.Second
	// admissionTime is the time constant with which it is counted how often requests are admitted.
	admissionTime = 20 * time.Second
	// fewRequests is the number of requests below which it is not known how often such requests are admitted.
	fewRequests = 4
)

// rate is a smoothed number of events.
type rate struct {
	number float64
	at     time.Time
}

// add counts n events.
func (r *rate) add(n float64, constant time.Duration, now time.Time) {
	r.number, r.at = r.current(constant, now)+n, now
}

// current returns the number of events, of which those of constant ago count 1/e.
func (r *rate) current(constant time.Duration, now time.Time) float64 {
	return r.number * math.Exp(-max(now.Sub(r.at), 0).Seconds()/constant.Seconds())
}

// admissions says how often requests were admitted lately.
type admissions struct {
	admitted, decided rate
}

func (a *admissions) add(admitted bool, now time.Time) {
	a.decided.add(1, admissionTime, now)
	if admitted {
		a.admitted.add(1, admissionTime, now)
	}
}

// fraction returns the fraction of requests that were admitted, which is 1 as long as it is not known.
func (a *admissions) fraction(now time.Time) float64 {
	decided := a.decided.current(admissionTime, now)
	if decided < fewRequests {
		return 1
	}
	return a.admitted.current(admissionTime, now) / decided
}
