package admission

import (
	"container/heap"
	"container/list"
	"time"
)

const (
	// DefaultMaxQueued is the default bound on the number of queued requests. At 64 requests/s for each instance, the
	// stated peak, a full queue corresponds to a wait of more than a minute.
	DefaultMaxQueued = 4096
	// minimumRetryAfter and maximumRetryAfter bound the retry delay that refused clients receive.
	minimumRetryAfter = time.Second
	maximumRetryAfter = time.Minute
	// recheckSlowdown is the factor by which the service must have slowed down before the deadlines of the queued
	// requests are checked again. The smoothed service time of a steady load varies by less.
	recheckSlowdown = 1.25
)

type state string

const (
	waiting state = "Waiting"
	running state = "Running"
)

// item is a waiting or running request.
type item struct {
	request          Request
	class            *class
	flow             *flow
	state            state
	arrived          time.Time
	admitted         time.Time
	latestStart      time.Time     // latestStart is the latest admission time that meets the deadline; zero means none.
	latestStartIndex int           // latestStartIndex is the position in the queue's heap of latest starts, -1 if absent.
	run              *list.Element // run is the element in Queue.runs while the request runs.
}

// Queue decides which requests run, wait or are refused. Its capacity is the total cost that may run concurrently.
type Queue struct {
	capacity      float64
	maxQueued     int // maxQueued bounds the number of queued requests; see WithMaxQueued.
	classes       [3]*class
	items         map[string]*item // items are the queued and running requests by ID.
	byLatestStart latestStartHeap
	queued        int
	runningCost   float64    // runningCost is the total cost of the running requests.
	runs          *list.List // runs are the running requests in order of admission.
	stats         serviceStats
	bestUnitTime  time.Duration // bestUnitTime is the shortest time for a unit of cost since the last full recheck.
	pending       []Decision    // pending are the decisions that the next Tick returns.
}

// Option configures a Queue.
type Option func(*Queue)

// WithMaxQueued bounds the number of queued requests. When the queue is full, a workspace with less than its share of
// the queue may still add requests, so the queue holds at most twice as many.
func WithMaxQueued(limit int) Option {
	return func(q *Queue) { q.maxQueued = limit }
}

// New returns an empty queue with capacity 0, which refuses all requests until SetCapacity is called.
func New(options ...Option) *Queue {
	q := &Queue{maxQueued: DefaultMaxQueued, items: map[string]*item{}, runs: list.New()}
	for i := range q.classes {
		q.classes[i] = newClass()
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// Submit decides on a new request. If the decision is Queued, a later Tick returns the final decision.
func (q *Queue) Submit(now time.Time, r Request) Decision {
	r.Weight = max(1, r.Weight)
	r.Cost = max(1, r.Cost)
	if _, known := q.items[r.ID]; known {
		return Decision{ID: r.ID, Verdict: Refused, RetryAfter: minimumRetryAfter, Reason: ReasonDuplicate}
	}
	c := q.classes[r.Priority.Level()]
	if refusal, refused := q.checkRefusal(now, c, r); refused {
		return refusal
	}
	it := &item{request: r, class: c, state: waiting, arrived: now, latestStart: q.latestStart(r), latestStartIndex: -1}
	q.items[r.ID] = it
	q.queued++
	c.push(it, q.stats.meanCost)
	if !it.latestStart.IsZero() {
		heap.Push(&q.byLatestStart, it)
	}
	q.dispatch(now)
	if it.state == running {
		q.dropPending(r.ID)
		return Decision{ID: r.ID, Verdict: Admitted}
	}
	return Decision{ID: r.ID, Verdict: Queued}
}

// checkRefusal reports whether a new request is to be refused without queueing, and returns the refusal.
func (q *Queue) checkRefusal(now time.Time, c *class, r Request) (Decision, bool) {
	if q.capacity <= 0 {
		return refusal(r.ID, minimumRetryAfter, ReasonNoCapacity), true
	}
	if q.queued >= q.maxQueued && c.exceedsShare(r, q.maxQueued) {
		return refusal(r.ID, q.drainTime(), ReasonQueueFull), true
	}
	if r.Deadline.IsZero() {
		return Decision{}, false
	}
	late := q.estimateCompletion(now, c, r).Sub(r.Deadline)
	if late > 0 {
		return refusal(r.ID, late, ReasonDeadline), true
	}
	return Decision{}, false
}

func refusal(id string, retryAfter time.Duration, reason string) Decision {
	bounded := min(max(retryAfter, minimumRetryAfter), maximumRetryAfter)
	return Decision{ID: id, Verdict: Refused, RetryAfter: bounded, Reason: reason}
}

// Done ends a request that ran to completion, and records how long it took.
func (q *Queue) Done(now time.Time, id string) {
	it, ok := q.items[id]
	if !ok || it.state != running {
		return
	}
	q.stats.observe(it.request.Cost, now.Sub(it.admitted), q.runningCost)
	q.release(it)
	q.recheckIfSlower(now)
}

// recheckIfSlower checks all deadlines again if the service has slowed down. Otherwise requests that can no longer
// meet their deadline would be refused only at their latest start.
func (q *Queue) recheckIfSlower(now time.Time) {
	unit := q.stats.drainTime(1, q.capacity)
	switch {
	case q.bestUnitTime == 0 || unit < q.bestUnitTime:
		q.bestUnitTime = unit
	case float64(unit) > recheckSlowdown*float64(q.bestUnitTime):
		q.bestUnitTime = unit
		q.recheck(now)
	}
}

// Cancel ends a waiting or running request that its client cancelled. The service time is not recorded.
func (q *Queue) Cancel(_ time.Time, id string) {
	it, ok := q.items[id]
	if !ok {
		return
	}
	q.dropPending(id)
	if it.state == running {
		q.release(it)
		return
	}
	q.remove(it)
}

// Tick refuses queued requests whose latest start has passed and admits others while capacity is left. It returns all
// decisions on queued requests since the last call.
func (q *Queue) Tick(now time.Time) []Decision {
	q.expire(now)
	q.dispatch(now)
	decisions := q.pending
	q.pending = nil
	return decisions
}

// SetCapacity sets the total cost that may run concurrently. If the capacity decreases, queued requests that can no
// longer meet their deadline are refused, and the next Tick returns these refusals.
func (q *Queue) SetCapacity(now time.Time, capacity float64) {
	fell := capacity < q.capacity
	q.capacity = capacity
	if fell {
		q.recheck(now)
	}
}

// Queued returns the number of queued requests.
func (q *Queue) Queued() int {
	return q.queued
}

// RunningCost returns the total cost of the running requests.
func (q *Queue) RunningCost() float64 {
	return q.runningCost
}

// WorkspaceCount returns the number of workspaces for which state is kept. A workspace counts once for each priority
// class.
func (q *Queue) WorkspaceCount() int {
	n := 0
	for _, c := range q.classes {
		n += len(c.flows)
	}
	return n
}

// dispatch admits requests while capacity is left. The last admitted request may exceed the capacity; otherwise a
// large request could never run.
func (q *Queue) dispatch(now time.Time) {
	for q.queued > 0 && q.runningCost < q.capacity {
		it := q.selectNext(now)
		q.remove(it)
		q.items[it.request.ID] = it
		it.state = running
		it.admitted = now
		q.runningCost += it.request.Cost
		it.run = q.runs.PushBack(it)
		it.class.charge(it)
		q.pending = append(q.pending, Decision{ID: it.request.ID, Verdict: Admitted})
	}
}

// expire refuses queued requests whose latest start has passed.
func (q *Queue) expire(now time.Time) {
	for len(q.byLatestStart) > 0 && q.byLatestStart[0].latestStart.Before(now) {
		q.refuseQueued(q.byLatestStart[0], q.drainTime())
	}
}

func (q *Queue) refuseQueued(it *item, retryAfter time.Duration) {
	q.remove(it)
	q.pending = append(q.pending, refusal(it.request.ID, retryAfter, ReasonExpired))
}

// remove removes a queued request.
func (q *Queue) remove(it *item) {
	delete(q.items, it.request.ID)
	q.queued--
	it.class.remove(it)
	if it.latestStartIndex >= 0 {
		heap.Remove(&q.byLatestStart, it.latestStartIndex)
	}
}

// release removes a running request and frees its capacity.
func (q *Queue) release(it *item) {
	delete(q.items, it.request.ID)
	q.runningCost -= it.request.Cost
	q.runs.Remove(it.run)
	if q.runs.Len() == 0 {
		q.runningCost = 0 // Clears the rounding errors of the sum.
	}
}

// dropPending removes a request's decision from those that the next Tick returns.
func (q *Queue) dropPending(id string) {
	kept := q.pending[:0]
	for _, d := range q.pending {
		if d.ID != id {
			kept = append(kept, d)
		}
	}
	q.pending = kept
}
