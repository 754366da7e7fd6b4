package room

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/decayingcount"
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

// admissions says how often requests were admitted lately.
type admissions struct {
	admitted, decided decayingcount.Count
}

func (a *admissions) add(admitted bool, now time.Time) {
	a.decided.Add(admissionTime, now)
	if admitted {
		a.admitted.Add(admissionTime, now)
	}
}

// fraction returns the fraction of requests that were admitted, which is 1 as long as it is not known.
func (a *admissions) fraction(now time.Time) float64 {
	decided := a.decided.Value(admissionTime, now)
	if decided < fewRequests {
		return 1
	}
	return a.admitted.Value(admissionTime, now) / decided
}
