package linkbudget_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/linkbudget"
)

var start = time.Unix(1700000000, 0)

// TestFleet guards against a link with more transfers than it can carry while every instance of two data centres wants
// to send more than its part, and against a link that is left mostly unused then.
func TestFleet(t *testing.T) {
	const (
		occupied = 22 * time.Millisecond // A prompt of 800 tokens takes about this long on a link of 8 Gbit/s.
		duration = 20 * time.Second
		tick     = 10 * time.Millisecond
	)
	for _, instances := range []int{2, 12, 92, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			var budgets []*linkbudget.Budget
			for range instances {
				b := linkbudget.New()
				b.SetInstances(map[string]int{"a": instances / 2, "b": instances / 2, "c": 7})
				budgets = append(budgets, b)
			}
			carried := time.Duration(0)
			for d := time.Duration(0); d < duration; d += tick {
				for _, b := range budgets {
					if b.Allows("a", "b", false, start.Add(d)) {
						b.Take("b", "a", occupied, start.Add(d))
						carried += occupied
					}
				}
			}
			// At the start, each instance may send one request in advance.
			allowed := duration + time.Duration(instances)*occupied
			qt.Assert(t, carried <= allowed, qt.IsTrue, qt.Commentf("%v of transfers in %v", carried, duration))
			qt.Assert(t, carried >= duration*7/10, qt.IsTrue, qt.Commentf("%v of transfers in %v", carried, duration))
		})
	}
}

// TestStarted guards against new requests that keep a started stream from being resumed.
func TestStarted(t *testing.T) {
	b := linkbudget.New()
	b.SetInstances(map[string]int{"a": 10, "b": 10})
	for b.Allows("a", "b", false, start) {
		b.Take("a", "b", 20*time.Millisecond, start)
	}
	qt.Assert(t, b.Allows("b", "a", true, start), qt.IsTrue)
	qt.Assert(t, b.Allows("a", "c", false, start), qt.IsTrue)
	for b.Allows("a", "b", true, start) {
		b.Take("a", "b", 20*time.Millisecond, start)
	}
	qt.Assert(t, b.Allows("a", "b", true, start.Add(2*time.Second)), qt.IsTrue)
	qt.Assert(t, b.Allows("a", "b", false, start.Add(2*time.Second)), qt.IsFalse)
	qt.Assert(t, b.Allows("a", "b", false, start.Add(3*time.Second)), qt.IsTrue)
}
