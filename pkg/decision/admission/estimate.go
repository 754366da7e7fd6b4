package admission

import "time"

// waitMargin scales estimated waits. The rate varies, and a request that is refused at once is
// better off than one that waits in vain.
const waitMargin = 1.2

// next returns the request to be admitted next. The queue is not empty.
func (q *Queue) next(now time.Time) *item {
	chosen := -1
	for i, c := range q.classes {
		if c.empty() {
			continue
		}
		if chosen < 0 || (c.credit > 0 && now.Sub(c.oldest().arrived) >= ageAfter) {
			chosen = i
		}
	}
	it := q.classes[chosen].head()
	q.credit(chosen, it.ticket.Cost)
	return it
}

// credit gives each waiting class below the chosen one a share of the cost, and charges the
// chosen one if a class above it waits.
func (q *Queue) credit(chosen int, cost float64) {
	above := false
	for i, c := range q.classes {
		switch {
		case c.empty():
		case i < chosen:
			above = true
		case i > chosen:
			c.credit = min(ageCredit, c.credit+ageShare*cost)
		case above:
			c.credit -= cost
		}
	}
}

// ahead returns the cost that is served before a request of that class and workspace: all of the classes above, and of
// each workspace what starts earlier in virtual time. A workspace that returns after a pause starts earlier than one
// that has waited all along, so that its first requests go before the other's.
func (q *Queue) ahead(c *class, t Request, own float64) float64 {
	sum := 0.0
	for _, other := range q.classes {
		if other == c {
			break
		}
		sum += other.cost
	}
	end := c.startOf(t, q.pace.cost) + (own+t.Cost)/float64(t.Weight)
	for _, f := range c.ready {
		if f.workspace == t.Workspace {
			sum += own
			continue
		}
		sum += min(f.cost, max(end-f.start, 0)*f.weight)
	}
	return sum
}

// expectedEnd estimates when a new request would be answered.
func (q *Queue) expectedEnd(now time.Time, c *class, t Request) time.Time {
	own, drain := 0.0, time.Duration(0)
	if f, ok := c.flows[t.Workspace]; ok {
		own = f.cost
		drain = f.drain(own)
	}
	ahead := q.ahead(c, t, own)
	beside := min(q.capacity, q.running+ahead+t.Cost)
	return now.Add(max(drain, q.wait(now, ahead))).Add(q.pace.service(t.Cost, beside))
}

// wait estimates how long a request with that much work ahead of it waits.
func (q *Queue) wait(now time.Time, ahead float64) time.Duration {
	if q.queued == 0 && q.running < q.capacity {
		return 0
	}
	steady := q.pace.drain(ahead, q.capacity)
	return time.Duration(waitMargin * float64(max(steady, q.freed(now, ahead))))
}

// freed estimates how long the running requests take to make room for a request with that much work ahead of it. After a
// crowd has come at once, they have all just begun, and none ends for a while.
func (q *Queue) freed(now time.Time, ahead float64) time.Duration {
	over := q.running + ahead - q.capacity
	for e := q.runs.Front(); e != nil && over >= 0; e = e.Next() {
		it := e.Value.(*item)
		over -= it.ticket.Cost
		if over < 0 {
			return max(it.admitted.Add(q.pace.service(it.ticket.Cost, q.running)).Sub(now), 0)
		}
	}
	return 0 // More than what runs now is ahead, which takes long by the steady pace already.
}

// drainTime estimates how long the whole queue takes.
func (q *Queue) drainTime() time.Duration {
	sum := 0.0
	for _, c := range q.classes {
		sum += c.cost
	}
	return q.pace.drain(sum, q.capacity)
}

// latestStart returns the latest start that meets the deadline at the current pace.
func (q *Queue) latestStart(t Request) time.Time {
	if t.Deadline.IsZero() {
		return time.Time{}
	}
	return t.Deadline.Add(-q.pace.service(t.Cost, q.running))
}

// recheck refuses queued requests, from the end of each workspace's queue, that can no longer
// meet their deadline.
func (q *Queue) recheck(now time.Time) {
	for _, c := range q.classes {
		for _, f := range append(flowHeap(nil), c.ready...) {
			q.recheckFlow(now, c, f)
		}
		c.sweep()
	}
}

func (q *Queue) recheckFlow(now time.Time, c *class, f *flow) {
	for f.items.Len() > 0 {
		it := f.items.Back().Value.(*item)
		if it.due.IsZero() {
			return
		}
		own := f.cost - it.ticket.Cost
		wait := max(f.drain(own), q.wait(now, q.ahead(c, it.ticket, own)))
		if !now.Add(wait).After(it.due) {
			return
		}
		q.giveUp(it, wait)
	}
}
