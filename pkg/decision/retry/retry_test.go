package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/retry"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestAmplification guards against retries that multiply the load during an outage. Every attempt
// fails, and every request wants up to 9 retries. The bound is 1.1, plus the minimum of
// 3 retries a second divided by the request rate, plus the 3 tokens of a new bucket divided by the
// offered requests.
func TestAmplification(t *testing.T) {
	const seconds = 60
	for _, rate := range []int{1, 10, 100, 1000} {
		t.Run(fmt.Sprintf("rate=%d", rate), func(t *testing.T) {
			budget := retry.New()
			random := rand.New(rand.NewPCG(1, uint64(rate)))
			waiting := map[int][]int{} // waiting holds attempt numbers by the millisecond of the next attempt.
			offered, sent := 0, 0
			for ms := range seconds * 1000 {
				now := epoch.Add(time.Duration(ms) * time.Millisecond)
				attempts := waiting[ms]
				delete(waiting, ms)
				if ms*rate/1000 != (ms+1)*rate/1000 {
					budget.RecordRequest("w", now)
					offered++
					sent++
					attempts = append(attempts, 1)
				}
				for _, attempt := range attempts {
					if attempt > 1 {
						if !budget.Allow("w", now) {
							continue
						}
						sent++
					}
					if attempt < 10 {
						at := ms + 1 + int(retry.Backoff(attempt, random.Int64N).Milliseconds())
						waiting[at] = append(waiting[at], attempt+1)
					}
				}
			}
			amplification := float64(sent) / float64(offered)
			bound := 1.1 + 3/float64(rate) + 3/float64(offered)
			t.Logf("offered %d, sent %d, amplification %.3f, bound %.3f", offered, sent, amplification, bound)
			qt.Check(t, amplification <= bound, qt.IsTrue)
			qt.Check(t, amplification > 1.05, qt.IsTrue)
		})
	}
}

// TestAllowAll guards against a refused AllowAll that takes a token of any key: if one key has no token left,
// the other keys keep theirs.
func TestAllowAll(t *testing.T) {
	budget := retry.New()
	for range 3 {
		qt.Assert(t, budget.Allow("target", epoch), qt.IsTrue)
	}
	qt.Assert(t, budget.AllowAll(epoch, "workspace", "target"), qt.IsFalse)
	for range 3 {
		qt.Assert(t, budget.Allow("workspace", epoch), qt.IsTrue)
	}
	qt.Assert(t, budget.Allow("workspace", epoch), qt.IsFalse)
}

// TestIdleKeys guards against memory that grows with each key ever used. Keys idle for a minute are removed at most
// once a minute, so at one new key a second up to about two minutes of keys remain.
func TestIdleKeys(t *testing.T) {
	budget := retry.New()
	for i := range 10000 {
		budget.RecordRequest(fmt.Sprint(i), epoch.Add(time.Duration(i)*time.Second))
	}
	qt.Assert(t, budget.Len() <= 121, qt.IsTrue)
}

// TestBackoff guards against delays without jitter or beyond their bound.
func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for attempt, bound := range map[int]time.Duration{1: 25 * time.Millisecond, 3: 100 * time.Millisecond, 50: time.Second} {
		low, high := bound, time.Duration(0)
		for range 1000 {
			delay := retry.Backoff(attempt, random.Int64N)
			low, high = min(low, delay), max(high, delay)
		}
		qt.Check(t, low < bound/20 && high > bound*19/20 && high <= bound, qt.IsTrue, qt.Commentf("attempt %d: %v to %v", attempt, low, high))
	}
}
