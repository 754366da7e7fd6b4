package requestlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	reportInterval = 300 * time.Millisecond
	fanout         = 24 // fanout is the number of instances to which each instance reports at a time.
	window         = 4 * time.Second
)

// fleet is a simulated fleet that sends requests to one limited target.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	limiters []*Limiter
	weights  []float64 // weights holds the fraction of the requests that each instance gets.
	sent     []time.Time
}

func newFleet(instances int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	sum := 0.0
	for range instances {
		f.limiters = append(f.limiters, New(f.random, f.now))
		f.weights = append(f.weights, 0.2+f.random.ExpFloat64())
		sum += f.weights[len(f.weights)-1]
	}
	for i := range f.weights {
		f.weights[i] /= sum
	}
	return f
}

// run sends requests for a time, at a total rate, and lets instances report to each other. The target names limit in each
// response, or none if limit is negative.
func (f *fleet) run(length time.Duration, perSecond, limit float64) {
	const step = 5 * time.Millisecond
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for i, l := range f.limiters {
			if f.random.Float64() < perSecond*f.weights[i]*step.Seconds() {
				f.request(l, limit)
			}
			if f.random.Float64() < step.Seconds()/reportInterval.Seconds() {
				f.report(i)
			}
		}
	}
}

func (f *fleet) request(l *Limiter, limit float64) {
	l.RecordDemand("t", f.now)
	if !l.Acquire("t", f.now) {
		return
	}
	f.sent = append(f.sent, f.now)
	if limit < 0 {
		l.RecordNone("t", f.now)
	} else {
		l.RecordLimit("t", limit, f.now)
	}
}

func (f *fleet) report(from int) {
	f.limiters[from].ObserveInstances(len(f.limiters), f.now)
	reports := f.limiters[from].Reports(f.now)
	if len(reports) == 0 {
		return
	}
	for n, to := range f.random.Perm(len(f.limiters)) {
		if to != from && n < fanout {
			f.limiters[to].AddReports(fmt.Sprint(from), reports, f.now)
		}
	}
}

// busiest returns the most requests that were sent in any window after a time.
func (f *fleet) busiest(after time.Time) int {
	most := 0
	for i, first := range f.sent {
		n := 0
		for _, at := range f.sent[i:] {
			if at.Sub(first) >= window {
				break
			}
			n++
		}
		if !first.Before(after) {
			most = max(most, n)
		}
	}
	return most
}

// sentSince returns the number of requests that were sent after a time.
func (f *fleet) sentSince(after time.Time) int {
	n := 0
	for _, at := range f.sent {
		if at.After(after) {
			n++
		}
	}
	return n
}

// TestFleetKeepsLimit guards against a fleet that sends a target more than one and a half times its limit and 5 requests in 4 s,
// that leaves most of the limit unused, or that keeps a limit that has ended, whatever its size and however suddenly the demand
// rises.
func TestFleetKeepsLimit(t *testing.T) {
	for _, test := range []struct {
		instances   int
		limit, load float64 // load is the demand in requests a second.
		seeds       int
	}{
		{1, 5, 40, 10},
		{18, 1, 60, 10},
		{18, 14, 60, 10},
		{18, 14, 16, 10},
		{60, 6, 200, 3},
		{146, 1, 100, 2},
		{146, 14, 300, 2},
		{146, 60, 300, 2},
	} {
		t.Run(fmt.Sprintf("%d instances, limit %v, load %v", test.instances, test.limit, test.load), func(t *testing.T) {
			t.Parallel()
			used, after := 0, 0
			for seed := range test.seeds {
				f := newFleet(test.instances, uint64(seed))
				f.run(2*time.Second, test.load, -1)
				named := f.now
				f.run(10*time.Second, test.load, test.limit)
				f.run(6*time.Second, 0.2*test.limit, test.limit)
				f.run(10*time.Second, test.load, test.limit)
				allowed := 1.5*test.limit*window.Seconds() + 5
				most := f.busiest(named.Add(3 * time.Second))
				qt.Check(t, float64(most) <= allowed, qt.IsTrue, qt.Commentf("seed %d: %d requests in %v, allowed %v", seed, most, window, allowed))
				used += f.sentSince(f.now.Add(-7 * time.Second))
				f.run(3*time.Second, test.load, -1)
				ended := f.now
				f.run(2*time.Second, test.load, -1)
				after += f.sentSince(ended)
			}
			seeds := float64(test.seeds)
			qt.Check(t, float64(used) >= 0.5*7*test.limit*seeds, qt.IsTrue, qt.Commentf("%d requests in 7 s of %v seeds", used, seeds))
			qt.Check(t, float64(after) >= 0.75*2*test.load*seeds, qt.IsTrue, qt.Commentf("%d requests after the limit had ended, in %v seeds", after, seeds))
		})
	}
}
