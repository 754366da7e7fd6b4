package requestlimit

import (
	"math"
	"time"
)

// demandTime is the time constant with which demand is smoothed.
const demandTime = 4 * time.Second

// demand is a smoothed rate of requests.
type demand struct {
	perSecond float64 // perSecond is the rate at the time at.
	at        time.Time
}

// record counts a request.
func (d *demand) record(now time.Time) {
	d.perSecond, d.at = d.rate(now)+1/demandTime.Seconds(), now
}

// rate returns the rate in requests a second.
func (d *demand) rate(now time.Time) float64 {
	return d.perSecond * math.Exp(-max(now.Sub(d.at), 0).Seconds()/demandTime.Seconds())
}
