package limit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/limit"
)

const (
	step   = 20 * time.Millisecond
	budget = 40 * time.Millisecond
)

// TestLimit guards against a limit that leaves a target idle, that keeps it overloaded, or that
// does not recover. The target's steps take 20 ms up to its batch, and longer in proportion above
// it; the budget is 40 ms, so twice the batch is what it can carry.
func TestLimit(t *testing.T) {
	l := limit.New()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name      string
		batch     int
		low, high int // low and high bound the mean limit in the last 10 of 40 s.
	}{
		{"fast", 100, 150, 210},
		{"four times slower", 25, 35, 53},
		{"very slow", 1, 1, 3},
		{"recovered", 100, 150, 210},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sum, count, late := 0, 0, 0
			for end := now.Add(40 * time.Second); now.Before(end); {
				for l.Acquire() { // Always as many requests as the limit allows.
				}
				running := l.Running()
				took := step * time.Duration(max(test.batch, running)) / time.Duration(test.batch)
				now = now.Add(took)
				for range running {
					l.Observe(now, took, budget)
				}
				for l.Running() > l.Limit() {
					l.Release()
				}
				if end.Sub(now) < 10*time.Second {
					sum += l.Limit()
					count++
					if took > budget {
						late++
					}
				}
			}
			t.Logf("batch %d: mean limit %d, %d of %d steps above their budget", test.batch, sum/count, late, count)
			qt.Check(t, sum/count >= test.low && sum/count <= test.high, qt.IsTrue)
			qt.Check(t, late <= count/4, qt.IsTrue)
		})
	}
}

// TestIdle guards against a limit that grows without bound on a target that is hardly used.
func TestIdle(t *testing.T) {
	l := limit.New()
	qt.Assert(t, l.Acquire(), qt.IsTrue)
	for range 10000 {
		l.Observe(time.Time{}, step, budget)
	}
	qt.Check(t, l.Limit(), qt.Equals, limit.Initial)
}
