package admission

import "time"

// waitMargin scales estimated waits. The service rate varies, and a request is better refused at once than after a
// wait in vain.
const waitMargin = 1.2

// next returns the request to admit next. The queue must not be empty.
func (q *Queue) next(now time.Time) *item {
	chosen := -1
	for i, c := range q.classes {
		if c.empty() {
			continue
		}
		if chosen < 0 || (c.credit > 0 && now.Sub(c.oldest().arrived) >= agingThreshold) {
			chosen = i
		}
	}
	it := q.classes[chosen].head()
	q.updateCredits(chosen, it.request.Cost)
	return it
}

// updateCredits credits each waiting class below the chosen one with a fraction of the cost, and charges the chosen
// class if a class above it waits.
func (q *Queue) updateCredits(chosen int, cost float64) {
	above := false
	for i, c := range q.classes {
		switch {
		case c.empty():
		case i < chosen:
			above = true
		case i > chosen:
			c.credit = min(maxAgingCredit, c.credit+agingFraction*cost)
		case above:
			c.credit -= cost
		}
	}
}

// costAhead returns the cost that is served before a request of that class and workspace: all requests of the classes
// above, and the requests of the other workspaces whose virtual start is earlier. A workspace that returns after
// idling starts earlier than one that has waited throughout, so its first requests are served first.
func (q *Queue) costAhead(c *class, r Request, own float64) float64 {
	sum := 0.0
	for _, other := range q.classes {
		if other == c {
			break
		}
		sum += other.cost
	}
	end := c.virtualStartOf(r, q.stats.cost) + (own+r.Cost)/float64(r.Weight)
	for _, f := range c.ready {
		if f.workspace == r.Workspace {
			sum += own
			continue
		}
		sum += min(f.cost, max(end-f.virtualStart, 0)*f.weight)
	}
	return sum
}

// estimateCompletion estimates when a new request would be completed.
func (q *Queue) estimateCompletion(now time.Time, c *class, r Request) time.Time {
	own, drain := 0.0, time.Duration(0)
	if f, ok := c.flows[r.Workspace]; ok {
		own = f.cost
		drain = f.drainTime(own)
	}
	ahead := q.costAhead(c, r, own)
	beside := min(q.capacity, q.running+ahead+r.Cost)
	return now.Add(max(drain, q.estimateWait(now, ahead))).Add(q.stats.serviceTime(r.Cost, beside))
}

// estimateWait estimates the wait of a request with that cost ahead of it.
func (q *Queue) estimateWait(now time.Time, ahead float64) time.Duration {
	if q.queued == 0 && q.running < q.capacity {
		return 0
	}
	steady := q.stats.drainTime(ahead, q.capacity)
	return time.Duration(waitMargin * float64(max(steady, q.timeUntilFreed(now, ahead))))
}

// timeUntilFreed estimates how long until the running requests free capacity for a request with that cost ahead of
// it. After a burst of arrivals, all running requests have just started and none ends soon.
func (q *Queue) timeUntilFreed(now time.Time, ahead float64) time.Duration {
	over := q.running + ahead - q.capacity
	for e := q.runs.Front(); e != nil && over >= 0; e = e.Next() {
		it := e.Value.(*item)
		over -= it.request.Cost
		if over < 0 {
			return max(it.admitted.Add(q.stats.serviceTime(it.request.Cost, q.running)).Sub(now), 0)
		}
	}
	return 0 // The cost ahead exceeds what runs now, which the steady-state estimate covers already.
}

// drainTime estimates how long the whole queue takes to drain.
func (q *Queue) drainTime() time.Duration {
	sum := 0.0
	for _, c := range q.classes {
		sum += c.cost
	}
	return q.stats.drainTime(sum, q.capacity)
}

// latestStart returns the latest start that meets the deadline at the current service time.
func (q *Queue) latestStart(r Request) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	return r.Deadline.Add(-q.stats.serviceTime(r.Cost, q.running))
}

// recheck refuses queued requests, from the end of each workspace's queue, that can no longer meet their deadline.
func (q *Queue) recheck(now time.Time) {
	for _, c := range q.classes {
		for _, f := range append(flowHeap(nil), c.ready...) {
			q.recheckFlow(now, c, f)
		}
		c.dropIdleFlows()
	}
}

func (q *Queue) recheckFlow(now time.Time, c *class, f *flow) {
	for f.items.Len() > 0 {
		it := f.items.Back().Value.(*item)
		if it.latestStart.IsZero() {
			return
		}
		own := f.cost - it.request.Cost
		wait := max(f.drainTime(own), q.estimateWait(now, q.costAhead(c, it.request, own)))
		if !now.Add(wait).After(it.latestStart) {
			return
		}
		q.refuseQueued(it, wait)
	}
}
