package requestlimit

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// permitTime and permitCount say how long a permit may be used: the fleet has as many unused permits as arise in
	// permitTime, and permitCount. This bounds what it sends at once after a time with less demand.
	permitTime  = time.Second
	permitCount = 2.0
)

// permits are the requests that an instance may send to a target. They arise at a rate that may change.
type permits struct {
	number   float64
	progress float64 // progress is the fraction of the time to the next permit that has passed.
	at       time.Time
}

// newPermits returns no permits, and a random time to the first.
func newPermits(random *rand.Rand, now time.Time) permits {
	return permits{progress: random.Float64(), at: now}
}

// take uses a permit, and reports whether there was one. Since the last call, permits arose at fleetRate a second, of which
// this instance gets a part.
func (p *permits) take(fleetRate, part float64, now time.Time) bool {
	rate := part * fleetRate
	ttl := permitTime.Seconds() + permitCount/fleetRate
	p.progress += rate * max(now.Sub(p.at), 0).Seconds()
	p.at = now
	arisen := math.Floor(p.progress)
	p.progress -= arisen
	p.number = min(p.number+arisen, max(1, math.Floor(rate*ttl)))
	if sinceLast := p.progress / rate; sinceLast > ttl {
		p.number = 0
	}
	if p.number < 1 {
		return false
	}
	p.number--
	return true
}
