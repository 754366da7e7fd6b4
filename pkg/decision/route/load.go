package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// historySlots and historyStep cover 6.4 s, which is more than the delay of a load report (usually 2 s).
	historySlots = 64
	historyStep  = 100 * time.Millisecond
	// reportHalfLife is the age at which the queue length in a report counts half. Instances that all trust a delayed
	// report choose the same targets: with 18 instances and reports delayed by 2 s, a half-life of 1 s lowered
	// goodput from 0.98 to 0.55. Reports delayed by 50 ms still help.
	reportHalfLife = 100 * time.Millisecond
	// unitTimeHalfLife is the half-life of the deviation of a target's unit time from its group's mean, so that a
	// target whose slow link has recovered is used again.
	unitTimeHalfLife = 10 * time.Second
	// unitTimeSmoothing is the weight of one observed response.
	unitTimeSmoothing = 0.2
	// failurePenalty is added to the estimate after one failure. It doubles with each further failure, at most
	// maxDoublings times.
	failurePenalty = 2 * time.Second
	maxDoublings   = 4
	// penaltyHalfLife lets a failed target be probed again after a few seconds.
	penaltyHalfLife = time.Second
	// probePenalty keeps other requests away while one request probes a failed target.
	probePenalty = 60 * time.Second
	// defaultUnitTime is used until a response was observed in the group.
	defaultUnitTime = 20 * time.Millisecond
)

// float is an atomic float64.
type float struct{ bits atomic.Uint64 }

func (f *float) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *float) store(v float64) { f.bits.Store(math.Float64bits(v)) }

func (f *float) add(v float64) float64 {
	for {
		old := f.bits.Load()
		sum := math.Float64frombits(old) + v
		if f.bits.CompareAndSwap(old, math.Float64bits(sum)) {
			return sum
		}
	}
}

// historySample is the outstanding work of this instance at the end of one history step.
type historySample struct {
	step        atomic.Int64
	outstanding float
}

// load is what this instance knows of a target's load. It is kept across snapshots.
type load struct {
	outstanding     float                        // outstanding is the cost that this instance sent and that is not finished.
	othersLoad      float                        // othersLoad is the last reported load without this instance's part of it.
	reportedAt      atomic.Int64                 // reportedAt is when that load was measured, in Unix nanoseconds.
	batch           float                        // batch is the number of steps that run concurrently.
	unitTimeSeconds float                        // unitTimeSeconds is the smoothed seconds for a unit of cost, 0 before the first response.
	observedAt      atomic.Int64                 // observedAt is when unitTimeSeconds was last updated.
	failures        atomic.Int64                 // failures counts the failures since the last response.
	failedAt        atomic.Int64                 // failedAt is when the last failure was observed.
	exclusiveUntil  atomic.Int64                 // exclusiveUntil is when the reservation by an exclusive request expires.
	recorded        atomic.Int64                 // recorded is the last step in history.
	history         *[historySlots]historySample // history is separate so that the fields that Pick reads share cache lines.
}

func newLoad() *load {
	return &load{history: new([historySlots]historySample)}
}

// record adds the outstanding work after a change to the history.
func (l *load) record(outstanding float64, now time.Time) {
	step := now.UnixNano() / int64(historyStep)
	slot := &l.history[step%historySlots]
	slot.outstanding.store(outstanding)
	slot.step.Store(step)
	l.recorded.Store(step)
}

// outstandingAt returns the outstanding work that was last recorded at or before that time.
func (l *load) outstandingAt(at time.Time) float64 {
	step := at.UnixNano() / int64(historyStep)
	if step >= l.recorded.Load() {
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

// removeOutstanding subtracts a cost from the outstanding work, which never falls below zero: the target may have
// been replaced under the same name in the meantime.
func (l *load) removeOutstanding(cost float64, now time.Time) {
	left := l.outstanding.add(-cost)
	if left < 0 {
		l.outstanding.add(-left)
		left = 0
	}
	l.record(left, now)
}

// applyReport keeps the part of a report that is not this instance's own work. A target that reports itself idle no
// longer has the work that this instance had counted at the time of measurement.
func (l *load) applyReport(r Report, now time.Time) {
	own := l.outstandingAt(r.Measured)
	if r.Queued+r.Running == 0 && own > 0 {
		l.removeOutstanding(own, now)
	}
	l.othersLoad.store(max(0, float64(r.Queued+r.Running)-own))
	l.batch.store(float64(max(1, r.MaxBatch)))
	l.reportedAt.Store(r.Measured.UnixNano())
	if l.unitTimeSeconds.load() == 0 && r.StepTime > 0 {
		l.unitTimeSeconds.store(r.StepTime.Seconds())
		l.observedAt.Store(r.Measured.UnixNano())
	}
}

// backlog estimates the target's outstanding work.
func (l *load) backlog(now time.Time) float64 {
	return l.outstanding.load() + l.othersLoad.load()*decay(now.UnixNano()-l.reportedAt.Load(), reportHalfLife)
}

// parallel returns the number of steps that the target runs concurrently.
func (l *load) parallel() float64 {
	return max(1, l.batch.load())
}

// recordResponse updates the smoothed time for a unit of cost on a target without backlog.
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

// recordFailure records a failure. The outstanding work is lost with it.
func (l *load) recordFailure(now time.Time) {
	l.failedAt.Store(now.UnixNano())
	l.failures.Add(1)
	l.outstanding.store(0)
	l.record(0, now)
}

// unitTime returns the smoothed time for a unit of cost. With age, it decays towards the group's mean.
func (l *load) unitTime(mean float64, now time.Time) float64 {
	unit := l.unitTimeSeconds.load()
	if unit == 0 {
		return mean
	}
	return decayTowards(unit, mean, now.UnixNano()-l.observedAt.Load())
}

// penalty returns the seconds added to the estimate because of recent failures.
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

// estimateFinish estimates the seconds until the target has completed work of the given cost.
func (l *load) estimateFinish(cost, mean float64, now time.Time) float64 {
	work := cost + l.backlog(now)/l.parallel()
	return l.unitTime(mean, now)*work + l.penalty(now)
}

// decayTowards moves a value of that age towards the mean.
func decayTowards(value, mean float64, age int64) float64 {
	return mean + (value-mean)*decay(age, unitTimeHalfLife)
}

func decay(age int64, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, float64(age)) / float64(halfLife))
}
