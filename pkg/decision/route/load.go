package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// historySlots and historyStep cover 6.4 s, more than the lag of a load report (2 s is usual).
	historySlots = 64
	historyStep  = 100 * time.Millisecond
	// reportHalfLife is the age at which the queue in a report counts half. Instances that all
	// trust a late report choose the same targets: with 18 instances and reports 2 s late, a
	// half-life of 1 s lowers goodput from 0.98 to 0.55. Reports 50 ms late still help.
	reportHalfLife = 100 * time.Millisecond
	// forgetHalfLife is the time in which half of a target's deviation from its group's time per
	// unit is forgotten, so that a target whose slow link has recovered is tried again.
	forgetHalfLife = 10 * time.Second
	// smoothing is the weight of one observed answer.
	smoothing = 0.2
	// failurePenalty is added to the estimate after one failure. It doubles with each further failure.
	failurePenalty = 2 * time.Second
	maxDoublings   = 4
	// penaltyHalfLife lets a failed target be probed again after some seconds.
	penaltyHalfLife = time.Second
	// probePenalty keeps further requests away while one probes a failed target.
	probePenalty = 60 * time.Second
	// defaultUnitTime is used before any answer was observed in the group.
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

// past is this instance's outstanding work at the end of one history step.
type past struct {
	step  atomic.Int64
	value float
}

// load is what this instance knows of one target's load. It outlives snapshots.
type load struct {
	outstanding float               // outstanding is the cost sent by this instance and not finished.
	others      float               // others is the last reported load less this instance's part in it.
	reported    atomic.Int64        // reported is when that report was measured, in Unix nanoseconds.
	batch       float               // batch is the number of steps that run side by side.
	unit        float               // unit is the smoothed time in seconds for one unit of cost, 0 before the first answer.
	observed    atomic.Int64        // observed is when unit was last updated.
	failures    atomic.Int64        // failures counts failures since the last answer.
	failed      atomic.Int64        // failed is when the last failure was seen.
	apart       atomic.Int64        // apart is until when an Apart request holds the target.
	recorded    atomic.Int64        // recorded is the last step in history.
	history     *[historySlots]past // history is apart from the fields that Pick reads, so that these share cache lines.
}

func newLoad() *load {
	return &load{history: new([historySlots]past)}
}

// record notes the outstanding work after a change.
func (l *load) record(outstanding float64, now time.Time) {
	step := now.UnixNano() / int64(historyStep)
	slot := &l.history[step%historySlots]
	slot.value.store(outstanding)
	slot.step.Store(step)
	l.recorded.Store(step)
}

// outstandingAt returns the outstanding work as recorded last at or before at.
func (l *load) outstandingAt(at time.Time) float64 {
	step := at.UnixNano() / int64(historyStep)
	if step >= l.recorded.Load() {
		return l.outstanding.load()
	}
	for back := int64(0); back < historySlots; back++ {
		slot := &l.history[(step-back)%historySlots]
		if slot.step.Load() == step-back {
			return slot.value.load()
		}
	}
	return 0
}

func (l *load) sent(cost float64, now time.Time) {
	l.record(l.outstanding.add(cost), now)
}

// finished takes cost out of the outstanding work, which never falls below zero: a target may
// have been replaced under the same name in between.
func (l *load) finished(cost float64, now time.Time) {
	left := l.outstanding.add(-cost)
	if left < 0 {
		l.outstanding.add(-left)
		left = 0
	}
	l.record(left, now)
}

// observeReport keeps the part of a report that is not this instance's own work. A target that
// was idle has none of the work that this instance had counted by then.
func (l *load) observeReport(r Report, now time.Time) {
	own := l.outstandingAt(r.Measured)
	if r.Queued+r.Running == 0 && own > 0 {
		l.finished(own, now)
	}
	l.others.store(max(0, float64(r.Queued+r.Running)-own))
	l.batch.store(float64(max(1, r.MaxBatch)))
	l.reported.Store(r.Measured.UnixNano())
	if l.unit.load() == 0 && r.StepTime > 0 {
		l.unit.store(r.StepTime.Seconds())
		l.observed.Store(r.Measured.UnixNano())
	}
}

// backlog estimates the work that the target has.
func (l *load) backlog(now time.Time) float64 {
	return l.outstanding.load() + l.others.load()*halved(now.UnixNano()-l.reported.Load(), reportHalfLife)
}

// parallel returns the number of steps that the target runs side by side.
func (l *load) parallel() float64 {
	return max(1, l.batch.load())
}

// observeAnswer smooths the time for a unit of cost on a target without backlog.
func (l *load) observeAnswer(cost float64, took time.Duration, now time.Time) float64 {
	sample := took.Seconds() / (cost + l.backlog(now)/l.parallel())
	old := l.unit.load()
	if old == 0 {
		old = sample
	}
	unit := old + smoothing*(sample-old)
	l.unit.store(unit)
	l.observed.Store(now.UnixNano())
	l.failures.Store(0)
	return unit
}

// observeFailure notes a failure. What was outstanding is lost with it.
func (l *load) observeFailure(now time.Time) {
	l.failed.Store(now.UnixNano())
	l.failures.Add(1)
	l.outstanding.store(0)
	l.record(0, now)
}

// unitTime returns the smoothed time for a unit of cost, drawn towards the group's mean with age.
func (l *load) unitTime(mean float64, now time.Time) float64 {
	unit := l.unit.load()
	if unit == 0 {
		return mean
	}
	return drawn(unit, mean, now.UnixNano()-l.observed.Load())
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
	return full * halved(now.UnixNano()-l.failed.Load(), penaltyHalfLife)
}

// finish estimates the seconds until the target has done work of the given cost.
func (l *load) finish(cost, mean float64, now time.Time) float64 {
	work := cost + l.backlog(now)/l.parallel()
	return l.unitTime(mean, now)*work + l.penalty(now)
}

// drawn moves a value of that age towards the mean.
func drawn(value, mean float64, age int64) float64 {
	return mean + (value-mean)*halved(age, forgetHalfLife)
}

func halved(age int64, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, float64(age)) / float64(halfLife))
}
