package admission

import "time"

// waitMargin scales estimated waits. The service rate varies, and a request is better refused on arrival than after
// waiting past its deadline.
const waitMargin = 1.2

// selectNext chooses the queued request to admit next and updates the aging credits of the classes. The request stays
// in the queue, which must not be empty.
func (q *Queue) selectNext(now time.Time) *item {
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

// updateCredits adds a fraction of the cost to the credit of each lower class with queued requests, and subtracts the
// cost from the credit of the chosen class if a higher class has queued requests.
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

// costAhead estimates the cost that is served before r, a request of class c: all requests of the higher classes, the
// requests of the same workspace that are ahead of r, whose cost is own, and the requests of the other workspaces with
// an earlier virtual start. A workspace that returns after idling has an earlier virtual start than a workspace that
// has had queued requests throughout, so the first requests of the returning workspace are served first.
func (q *Queue) costAhead(c *class, r Request, own float64) float64 {
	sum := 0.0
	for _, other := range q.classes {
		if other == c {
			break
		}
		sum += other.queuedCost
	}
	end := c.virtualStartOf(r, q.stats.meanCost) + (own+r.Cost)/float64(r.Weight)
	for _, f := range c.ready {
		if f.workspace == r.Workspace {
			sum += own
			continue
		}
		sum += min(f.cost, max(end-f.virtualStart, 0)*f.weight)
	}
	return sum
}

// estimateCompletion estimates when a new request would complete if it were queued now.
func (q *Queue) estimateCompletion(now time.Time, c *class, r Request) time.Time {
	own, drain := 0.0, time.Duration(0)
	if f, ok := c.flows[r.Workspace]; ok {
		own = f.cost
		drain = f.drainTime(own)
	}
	ahead := q.costAhead(c, r, own)
	beside := min(q.capacity, q.runningCost+ahead+r.Cost)
	return now.Add(max(drain, q.estimateWait(now, ahead))).Add(q.stats.serviceTime(r.Cost, beside))
}

// estimateWait estimates how long a request waits for admission if requests with the cost ahead are served before it.
func (q *Queue) estimateWait(now time.Time, ahead float64) time.Duration {
	if q.queued == 0 && q.runningCost < q.capacity {
		return 0
	}
	steady := q.stats.drainTime(ahead, q.capacity)
	return time.Duration(waitMargin * float64(max(steady, q.timeUntilFreed(now, ahead))))
}

// timeUntilFreed estimates how long until enough running requests have ended to admit a request after others with the
// cost ahead. After a burst of arrivals, all running requests have just started and none ends soon.
func (q *Queue) timeUntilFreed(now time.Time, ahead float64) time.Duration {
	over := q.runningCost + ahead - q.capacity
	for e := q.runs.Front(); e != nil && over >= 0; e = e.Next() {
		it := e.Value.(*item)
		over -= it.request.Cost
		if over < 0 {
			return max(it.admitted.Add(q.stats.serviceTime(it.request.Cost, q.runningCost)).Sub(now), 0)
		}
	}
	return 0 // The cost ahead exceeds what runs now, which the steady-state estimate covers already.
}

// drainTime estimates how long the whole queue takes to drain.
func (q *Queue) drainTime() time.Duration {
	sum := 0.0
	for _, c := range q.classes {
		sum += c.queuedCost
	}
	return q.stats.drainTime(sum, q.capacity)
}

// latestStart returns the latest admission time at which r meets its deadline at the current service time, or the zero
// time if r has no deadline.
func (q *Queue) latestStart(r Request) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	return r.Deadline.Add(-q.stats.serviceTime(r.Cost, q.runningCost))
}

// recheck refuses queued requests that can no longer meet their deadline, starting at the end of each flow. It also
// drops idle flows; see dropIdleFlows.
func (q *Queue) recheck(now time.Time) {
	for _, c := range q.classes {
		for _, f := range append(flowHeap(nil), c.ready...) {
			q.recheckFlow(now, c, f)
		}
		c.dropIdleFlows()
	}
}

// recheckFlow refuses requests from the end of the flow, up to the first one that has no deadline or can meet it.
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
