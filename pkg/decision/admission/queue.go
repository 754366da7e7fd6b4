package admission

import (
	"container/heap"
	"container/list"
	"time"
)

const (
	// DefaultMaxQueued bounds the queue. At 64 requests/s for each instance, the stated peak, it is
	// more than a minute of waiting.
	DefaultMaxQueued = 4096
	// minimumRetryAfter and maximumRetryAfter bound what refused callers are told.
	minimumRetryAfter = time.Second
	maximumRetryAfter = time.Minute
	// slowed is how many times slower than before the service must have become for the queued requests to be looked at
	// again. Smoothed over the last requests, the pace of a steady service varies by less.
	slowed = 1.25
)

// state is the state of a request that the queue knows.
type state string

const (
	waiting state = "Waiting"
	running state = "Running"
)

// item is a request that waits or runs.
type item struct {
	ticket   Request
	class    *class
	flow     *flow
	state    state
	arrived  time.Time
	admitted time.Time
	due      time.Time     // due is the latest start that meets the deadline; zero means none.
	dueIndex int           // dueIndex is the place in the queue's heap of due times, -1 if absent.
	run      *list.Element // run is the place among the requests that run.
}

// Queue decides on admission. Capacity is the cost that may run at once.
type Queue struct {
	capacity float64
	limit    int
	classes  [3]*class
	items    map[string]*item
	due      dueHeap
	queued   int
	running  float64    // running is the cost of the requests that run.
	runs     *list.List // runs are the requests that run, in the order of their admission.
	pace     pace
	fastest  time.Duration // fastest is the shortest time for a unit of cost since the deadlines of all were looked at.
	pending  []Decision    // pending are decisions to be returned by Tick.
}

// Option changes a Queue.
type Option func(*Queue)

// WithMaxQueued bounds the number of queued requests. A workspace within its share may exceed the
// bound, so at most twice as many are ever queued.
func WithMaxQueued(limit int) Option {
	return func(q *Queue) { q.limit = limit }
}

// New returns an empty queue without capacity.
func New(options ...Option) *Queue {
	q := &Queue{limit: DefaultMaxQueued, items: map[string]*item{}, runs: list.New()}
	for i := range q.classes {
		q.classes[i] = newClass()
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// Submit decides on a new request. A queued request is decided on by a later Tick.
func (q *Queue) Submit(now time.Time, t Request) Decision {
	t.Weight = max(1, t.Weight)
	t.Cost = max(1, t.Cost)
	if _, known := q.items[t.ID]; known {
		return Decision{ID: t.ID, Verdict: Refused, RetryAfter: minimumRetryAfter, Reason: ReasonDuplicate}
	}
	c := q.classes[t.Priority.Level()]
	if refusal, refused := q.refuse(now, c, t); refused {
		return refusal
	}
	it := &item{ticket: t, class: c, state: waiting, arrived: now, due: q.latestStart(t), dueIndex: -1}
	q.items[t.ID] = it
	q.queued++
	c.push(it, q.pace.cost)
	if !it.due.IsZero() {
		heap.Push(&q.due, it)
	}
	q.dispatch(now)
	if it.state == running {
		q.dropPending(t.ID)
		return Decision{ID: t.ID, Verdict: Admitted}
	}
	return Decision{ID: t.ID, Verdict: Queued}
}

// refuse decides whether a new request is refused at once.
func (q *Queue) refuse(now time.Time, c *class, t Request) (Decision, bool) {
	if q.capacity <= 0 {
		return refusal(t.ID, minimumRetryAfter, ReasonNoCapacity), true
	}
	if q.queued >= q.limit && c.overShare(t, q.limit) {
		return refusal(t.ID, q.drainTime(), ReasonQueueFull), true
	}
	if t.Deadline.IsZero() {
		return Decision{}, false
	}
	late := q.expectedEnd(now, c, t).Sub(t.Deadline)
	if late > 0 {
		return refusal(t.ID, late, ReasonDeadline), true
	}
	return Decision{}, false
}

func refusal(id string, retryAfter time.Duration, reason string) Decision {
	bounded := min(max(retryAfter, minimumRetryAfter), maximumRetryAfter)
	return Decision{ID: id, Verdict: Refused, RetryAfter: bounded, Reason: reason}
}

// Done ends a request that ran to its end, and observes how long it took.
func (q *Queue) Done(now time.Time, id string) {
	it, ok := q.items[id]
	if !ok || it.state != running {
		return
	}
	q.pace.observe(it.ticket.Cost, now.Sub(it.admitted), q.running)
	q.release(it)
	q.noteSlowdown(now)
}

// noteSlowdown looks at all deadlines again if the service has become slower: requests that waited in vain would
// otherwise learn it at their latest start only.
func (q *Queue) noteSlowdown(now time.Time) {
	unit := q.pace.drain(1, q.capacity)
	switch {
	case q.fastest == 0 || unit < q.fastest:
		q.fastest = unit
	case float64(unit) > slowed*float64(q.fastest):
		q.fastest = unit
		q.recheck(now)
	}
}

// Cancel ends a request that waits, or that runs and was given up by its caller.
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

// Tick returns the decisions on queued requests that have become due.
func (q *Queue) Tick(now time.Time) []Decision {
	q.expire(now)
	q.dispatch(now)
	decisions := q.pending
	q.pending = nil
	return decisions
}

// SetCapacity sets the cost that may run at once. If it falls, queued requests that can no longer
// meet their deadline are refused by the next Tick.
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

// RunningCost returns the cost of the requests that run.
func (q *Queue) RunningCost() float64 {
	return q.running
}

// WorkspaceCount returns the number of workspaces for which state is kept.
func (q *Queue) WorkspaceCount() int {
	n := 0
	for _, c := range q.classes {
		n += len(c.flows)
	}
	return n
}

// dispatch admits requests while capacity is left. The last one may exceed the capacity, so that
// none is too large to ever run.
func (q *Queue) dispatch(now time.Time) {
	for q.queued > 0 && q.running < q.capacity {
		it := q.next(now)
		q.remove(it)
		q.items[it.ticket.ID] = it
		it.state = running
		it.admitted = now
		q.running += it.ticket.Cost
		it.run = q.runs.PushBack(it)
		it.class.served(it)
		q.pending = append(q.pending, Decision{ID: it.ticket.ID, Verdict: Admitted})
	}
}

// expire refuses queued requests whose latest start has passed.
func (q *Queue) expire(now time.Time) {
	for len(q.due) > 0 && q.due[0].due.Before(now) {
		q.giveUp(q.due[0], q.drainTime())
	}
}

// giveUp refuses a queued request.
func (q *Queue) giveUp(it *item, retryAfter time.Duration) {
	q.remove(it)
	q.pending = append(q.pending, refusal(it.ticket.ID, retryAfter, ReasonExpired))
}

// remove takes a queued request out of the queue.
func (q *Queue) remove(it *item) {
	delete(q.items, it.ticket.ID)
	q.queued--
	it.class.remove(it)
	if it.dueIndex >= 0 {
		heap.Remove(&q.due, it.dueIndex)
	}
}

// release ends a running request.
func (q *Queue) release(it *item) {
	delete(q.items, it.ticket.ID)
	q.running -= it.ticket.Cost
	q.runs.Remove(it.run)
	if q.runs.Len() == 0 {
		q.running = 0 // Removes the rounding errors of the sum.
	}
}

func (q *Queue) dropPending(id string) {
	kept := q.pending[:0]
	for _, d := range q.pending {
		if d.ID != id {
			kept = append(kept, d)
		}
	}
	q.pending = kept
}
