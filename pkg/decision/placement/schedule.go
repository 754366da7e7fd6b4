package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// loadProgress is the progress of one load.
type loadProgress struct {
	load *Load
	left float64 // left is the number of bytes still to load.
	rate float64 // rate is the current rate in bytes/s.
}

// schedule sets the start and end times of the loads, given in order of priority, and sorts them by
// end. Earlier loads get the store's rate first.
func (r *loadScheduler) schedule(loads []Load) {
	open := make([]*loadProgress, len(loads))
	for i := range loads {
		loads[i].Start = -1
		open[i] = &loadProgress{load: &loads[i], left: float64(loads[i].Bytes)}
	}
	clock := 0.0
	for len(open) > 0 {
		active, step := r.divideStoreRate(open, clock)
		clock += step
		for _, p := range active {
			p.left -= p.rate * step
		}
		open = slices.DeleteFunc(open, func(p *loadProgress) bool {
			if p.left > 0.5 || p.load.Start < 0 {
				return false
			}
			p.load.End = duration(clock)
			return true
		})
	}
	slices.SortStableFunc(loads, func(a, b Load) int { return cmp.Compare(a.End, b.End) })
}

// divideStoreRate divides the store's rate among the first of the open loads, which have not ended, and
// sets their rates and, where not yet set, their start times. It returns these loads and the seconds
// until the first of them ends.
func (r *loadScheduler) divideStoreRate(open []*loadProgress, clock float64) ([]*loadProgress, float64) {
	free, step := r.storeRate, math.Inf(1)
	for i, p := range open {
		if free < r.storeRate*1e-9 {
			return open[:i], step
		}
		p.rate = min(free, r.loadRate(p.load.Assignment))
		free -= p.rate
		if p.load.Start < 0 {
			p.load.Start = duration(clock)
		}
		step = min(step, p.left/p.rate)
	}
	return open, step
}

func duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// reset restores the missing assignments and the rates to what they were before any of the loads.
func (r *loadScheduler) reset(loads []Load) {
	for _, l := range loads {
		r.missing = append(r.missing, l.Assignment)
	}
	r.rates = map[string]rangeRates{}
	for _, m := range r.modelOrder {
		r.rates[m.Name] = rangeRates{}
	}
	for _, a := range r.present {
		r.rates[a.Model][a.Layers] += r.tokenRate(a)
	}
}
