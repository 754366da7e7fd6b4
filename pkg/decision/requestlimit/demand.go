package requestlimit

import (
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/decayingcount"
)

// demandTime is the time constant with which demand is smoothed.
const demandTime = 4 * time.Second

// demand is a smoothed rate of requests.
type demand struct {
	count decayingcount.Count
}

// record counts a request.
func (d *demand) record(now time.Time) { d.count.Add(demandTime, now) }

// rate returns the rate in requests a second.
func (d *demand) rate(now time.Time) float64 {
	return d.count.Value(demandTime, now) / demandTime.Seconds()
}
