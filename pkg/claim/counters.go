package claim

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha are the size and the decay factor that go-metrics recommends for exponentially decaying
// samples.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// counters are the claimer's metrics.
type counters struct {
	writes     metrics.Counter   // writes counts transactions.
	operations metrics.Histogram // operations is the number of operations in a transaction.
	wait       metrics.Histogram // wait is the duration of a claim in microseconds.
	won        metrics.Counter
	repeated   metrics.Counter // repeated counts claims that were not won because an earlier one exists.
	refused    metrics.Counter // refused counts claims that failed with an error.
	swept      metrics.Counter // swept counts expired rows that the sweep deleted.
}

func newCounters(r metrics.Registry) counters {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return counters{
		writes:     metrics.GetOrRegisterCounter("claim.writes", r),
		operations: histogram("claim.operations"),
		wait:       histogram("claim.waitmicros"),
		won:        metrics.GetOrRegisterCounter("claim.won", r),
		repeated:   metrics.GetOrRegisterCounter("claim.repeated", r),
		refused:    metrics.GetOrRegisterCounter("claim.refused", r),
		swept:      metrics.GetOrRegisterCounter("claim.swept", r),
	}
}

func (c counters) recordTransaction(operations int) {
	c.writes.Inc(1)
	c.operations.Update(int64(operations))
}

func (c counters) recordClaim(claim Claim, err error, took time.Duration) {
	c.wait.Update(took.Microseconds())
	switch {
	case err != nil:
		c.refused.Inc(1)
	case claim.State == Won:
		c.won.Inc(1)
	default:
		c.repeated.Inc(1)
	}
}
