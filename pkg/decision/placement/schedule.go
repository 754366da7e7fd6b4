package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// progress is a load under way.
type progress struct {
	load *Load
	left float64 // left is in bytes.
	rate float64 // rate is in bytes/s.
}

// schedule sets the times of the loads, which are in order of importance, and sorts them by their
// end. The store's rate goes to the first loads that can use it.
func (r *reloading) schedule(loads []Load) {
	open := make([]*progress, len(loads))
	for i := range loads {
		loads[i].Start = -1
		open[i] = &progress{load: &loads[i], left: float64(loads[i].Bytes)}
	}
	clock := 0.0
	for len(open) > 0 {
		active, step := r.share(open, clock)
		clock += step
		for _, p := range active {
			p.left -= p.rate * step
		}
		open = slices.DeleteFunc(open, func(p *progress) bool {
			if p.left > 0.5 || p.load.Start < 0 {
				return false
			}
			p.load.End = duration(clock)
			return true
		})
	}
	slices.SortStableFunc(loads, func(a, b Load) int { return cmp.Compare(a.End, b.End) })
}

// share divides the store's rate among the first of the open loads, and returns them and the
// seconds until the first of them ends.
func (r *reloading) share(open []*progress, clock float64) ([]*progress, float64) {
	free, step := r.store, math.Inf(1)
	for i, p := range open {
		if free < r.store*1e-9 {
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

// restart sets the state back to what was loaded at first.
func (r *reloading) restart(loads []Load) {
	for _, l := range loads {
		r.missing = append(r.missing, l.Assignment)
	}
	r.rates = map[string]flows{}
	for _, m := range r.order {
		r.rates[m.Name] = flows{}
	}
	for _, a := range r.present {
		r.rates[a.Model][a.Layers] += r.rate(a)
	}
}
