package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// historySlots and historyStep are the length and the resolution of the history of outstanding work. Together
	// they cover 6.4 s, which is more than the delay of a load report (usually 2 s).
	historySlots = 64
	historyStep  = 100 * time.Millisecond
	// reportHalfLife is the age at which the queue length in a report counts half. Instances that all trust a delayed
	// report choose the same targets: with 18 instances and reports delayed by 2 s, a half-life of 1 s lowered
	// goodput from 0.98 to 0.55. Reports delayed by 50 ms still help.
	reportHalfLife = 100 * time.Millisecond
	// unitTimeHalfLife is the half-life of the deviation of a target's unit time from its group's mean, so that a
	// target whose slow link has recovered is used again.
	unitTimeHalfLife = 10 * time.Second
	// unitTimeSmoothing is the weight of one observed response in a target's smoothed unit time.
	unitTimeSmoothing = 0.2
	// failurePenalty is added to a target's estimated finish time after one failure. The penalty doubles with each
	// further failure, at most maxDoublings times.
	failurePenalty = 2 * time.Second
	maxDoublings   = 4
	// penaltyHalfLife is the half-life of the penalty, so that a request probes a failed target after a few seconds.
	penaltyHalfLife = time.Second
	// probePenalty keeps other requests away while one request probes a failed target.
	probePenalty = 60 * time.Second
	// defaultUnitTime is the mean unit time of a group until a response of one of its targets has been observed.
	defaultUnitTime = 20 * time.Millisecond
)

// atomicFloat is an atomic float64.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

func (f *atomicFloat) add(v float64) float64 {
	for {
		old := f.bits.Load()
		sum := math.Float64frombits(old) + v
		if f.bits.CompareAndSwap(old, math.Float64bits(sum)) {
			return sum
		}
	}
}

// historySample is the outstanding work that this instance had sent to a target at the end of one interval of
// historyStep.
type historySample struct {
	step        atomic.Int64 // step is the number of the interval since the Unix epoch.
	outstanding atomicFloat
}

// load is the state that this instance keeps about a target's load. Successive snapshots share it. Times are in Unix
// nanoseconds.
type load struct {
	outstanding     atomicFloat                  // outstanding is the cost that this instance sent and that is not finished.
	othersLoad      atomicFloat                  // othersLoad is the last reported load without the work of this instance.
	reportedAt      atomic.Int64                 // reportedAt is when othersLoad was measured.
	maxBatch        atomicFloat                  // maxBatch is the number of steps that the target runs concurrently.
	unitTimeSeconds atomicFloat                  // unitTimeSeconds is the smoothed unit time, 0 if not known yet.
	observedAt      atomic.Int64                 // observedAt is when unitTimeSeconds was last updated.
	failures        atomic.Int64                 // failures counts the failures since the last response.
	failedAt        atomic.Int64                 // failedAt is when the last failure was observed.
	exclusiveUntil  atomic.Int64                 // exclusiveUntil is when an exclusive reservation expires, 0 for none.
	lastStep        atomic.Int64                 // lastStep is the step of the last sample in history.
	history         *[historySlots]historySample // history is separate so that the fields that Pick reads share cache lines.
}

func newLoad() *load {
	return &load{history: new([historySlots]historySample)}
}

// record stores the outstanding work after a change in the history.
func (l *load) record(outstanding float64, now time.Time) {
	step := now.UnixNano() / int64(historyStep)
	slot := &l.history[step%historySlots]
	slot.outstanding.store(outstanding)
	slot.step.Store(step)
	l.lastStep.Store(step)
}

// outstandingAt returns the outstanding work that was last recorded at or before the given time, or 0 if the history
// does not reach back far enough.
func (l *load) outstandingAt(at time.Time) float64 {
	step := at.UnixNano() / int64(historyStep)
	if step >= l.lastStep.Load() {
		return l.outstanding.load()
	}
	for back := int64(0); back < historySlots; back++ {
		slot := &l.history[(step-back)%historySlots]
		if slot.step.Load() == step-back {
			return slot.outstanding.load()
		}
	}
	return 0
}

func (l *load) addOutstanding(cost float64, now time.Time) {
	l.record(l.outstanding.add(cost), now)
}

// removeOutstanding subtracts a cost from the outstanding work, but not below zero: the target may have been replaced
// under the same name after the cost was added.
func (l *load) removeOutstanding(cost float64, now time.Time) {
	left := l.outstanding.add(-cost)
	if left < 0 {
		l.outstanding.add(-left)
		left = 0
	}
	l.record(left, now)
}

// applyReport stores the reported load minus this instance's own outstanding work at the time of measurement. If the
// target reported no work, that own work is also removed from the outstanding work, since the target no longer has it.
// The reported step time is used as the unit time until a unit time is known.
func (l *load) applyReport(r Report, now time.Time) {
	own := l.outstandingAt(r.Measured)
	if r.Queued+r.Running == 0 && own > 0 {
		l.removeOutstanding(own, now)
	}
	l.othersLoad.store(max(0, float64(r.Queued+r.Running)-own))
	l.maxBatch.store(float64(max(1, r.MaxBatch)))
	l.reportedAt.Store(r.Measured.UnixNano())
	if l.unitTimeSeconds.load() == 0 && r.StepTime > 0 {
		l.unitTimeSeconds.store(r.StepTime.Seconds())
		l.observedAt.Store(r.Measured.UnixNano())
	}
}

// backlog estimates the outstanding work that all instances sent to the target.
func (l *load) backlog(now time.Time) float64 {
	return l.outstanding.load() + l.othersLoad.load()*decay(now.UnixNano()-l.reportedAt.Load(), reportHalfLife)
}

// parallel returns the number of steps that the target runs concurrently.
func (l *load) parallel() float64 {
	return max(1, l.maxBatch.load())
}

// recordResponse updates the smoothed unit time from a response, resets the failure count and returns the new unit
// time.
func (l *load) recordResponse(cost float64, took time.Duration, now time.Time) float64 {
	sample := took.Seconds() / (cost + l.backlog(now)/l.parallel())
	old := l.unitTimeSeconds.load()
	if old == 0 {
		old = sample
	}
	unit := old + unitTimeSmoothing*(sample-old)
	l.unitTimeSeconds.store(unit)
	l.observedAt.Store(now.UnixNano())
	l.failures.Store(0)
	return unit
}

// recordFailure counts a failure and resets the outstanding work, which the failed target has lost.
func (l *load) recordFailure(now time.Time) {
	l.failedAt.Store(now.UnixNano())
	l.failures.Add(1)
	l.outstanding.store(0)
	l.record(0, now)
}

// unitTime returns the target's unit time in seconds. The smoothed value decays with age towards mean, the mean unit
// time of the group.
func (l *load) unitTime(mean float64, now time.Time) float64 {
	unit := l.unitTimeSeconds.load()
	if unit == 0 {
		return mean
	}
	return decayTowards(unit, mean, now.UnixNano()-l.observedAt.Load())
}

// penalty returns the seconds added to the estimated finish time because of recent failures.
func (l *load) penalty(now time.Time) float64 {
	failures := l.failures.Load()
	if failures == 0 {
		return 0
	}
	if l.outstanding.load() > 0 {
		return probePenalty.Seconds()
	}
	full := failurePenalty.Seconds() * math.Exp2(float64(min(failures-1, maxDoublings)))
	return full * decay(now.UnixNano()-l.failedAt.Load(), penaltyHalfLife)
}

// estimateFinish estimates the seconds until the target has completed new work of the given cost. mean is the mean unit
// time of the group.
func (l *load) estimateFinish(cost, mean float64, now time.Time) float64 {
	work := cost + l.backlog(now)/l.parallel()
	return l.unitTime(mean, now)*work + l.penalty(now)
}

// decayTowards returns a value of the given age in nanoseconds after decay towards the mean.
func decayTowards(value, mean float64, age int64) float64 {
	return mean + (value-mean)*decay(age, unitTimeHalfLife)
}

// decay returns the factor that remains after the age in nanoseconds.
func decay(age int64, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, float64(age)) / float64(halfLife))
}
