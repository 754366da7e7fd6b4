package admission

import (
	"container/heap"
	"container/list"
	"math"
	"time"
)

const (
	// agingThreshold is how long the oldest request of a lower class must have waited before the class gets a
	// fraction of the service.
	agingThreshold = 2 * time.Second
	// agingFraction is the part of the cost admitted from higher classes that a waiting lower class gets as credit.
	agingFraction = 0.1
	// maxAgingCredit bounds the credit that a class accumulates, in units of cost.
	maxAgingCredit = 1000
)

const (
	// burstRequests is the burst allowance of a workspace below its share, in requests of mean cost. Without it, a
	// workspace that uses 0.95 of its share waits as if on a small system of its own: when another workspace asked
	// for ten times its share, the wait at the 95th percentile was 1.0 s instead of 0.5 s.
	burstRequests = 20
	// rateHalfLife is the half-life of past admissions in the observed admission rate of a flow.
	rateHalfLife = 5 * time.Second
	// minRateWindow is the waiting time that must have been observed before a flow's admission rate is used.
	minRateWindow = 500 * time.Millisecond
)

// flow is the queue of one workspace in one class.
type flow struct {
	workspace     string
	weight        float64
	items         *list.List // items are in order of arrival.
	cost          float64    // cost is the total cost of items.
	virtualStart  float64    // virtualStart is the virtual start time of the next request; see the package comment.
	index         int        // index is the position in the class's heap, -1 if the flow is idle.
	lastAdmission time.Time  // lastAdmission is when a request was last admitted, or when the flow became active.
	admittedCost  float64    // admittedCost is the cost admitted while other requests waited, with exponential decay.
	elapsed       float64    // elapsed is the time in seconds over which admittedCost was admitted, with the same decay.
}

// class holds the queued requests of one priority class.
type class struct {
	flows        map[string]*flow
	ready        flowHeap   // ready are the flows with queued requests.
	virtualTime  float64    // virtualTime is the virtual start time of the last admitted request.
	queuedCost   float64    // queuedCost is the total cost of the queued requests.
	burst        float64    // burst is how far the virtual start of a newly active flow may lie behind virtualTime.
	activeWeight float64    // activeWeight is the total weight of the flows with queued requests.
	byArrival    *list.List // byArrival holds the queued requests of all flows in order of arrival.
	positions    map[*item]positions
	credit       float64 // credit is the cost that may be admitted from the class ahead of higher classes.
}

// positions are the list elements of a queued request.
type positions struct {
	inFlow  *list.Element
	inClass *list.Element
}

func newClass() *class {
	return &class{flows: map[string]*flow{}, byArrival: list.New(), positions: map[*item]positions{}}
}

// push queues a request behind the others of its workspace. meanCost is the mean cost of finished requests, which
// scales the burst allowance.
func (c *class) push(it *item, meanCost float64) {
	f := c.flowFor(it.request.Workspace)
	it.flow = f
	if f.index < 0 {
		f.weight = float64(it.request.Weight)
		c.burst = c.burstWith(f.weight, meanCost)
		c.activeWeight += f.weight
		f.virtualStart = max(f.virtualStart, c.virtualTime-c.burst)
		f.lastAdmission, f.admittedCost, f.elapsed = it.arrived, 0, 0
	}
	c.positions[it] = positions{inFlow: f.items.PushBack(it), inClass: c.byArrival.PushBack(it)}
	f.cost += it.request.Cost
	c.queuedCost += it.request.Cost
	if f.index < 0 {
		heap.Push(&c.ready, f)
	}
}

// burstWith returns the burst allowance, in virtual time, once a flow of the given weight has joined the flows with
// queued requests.
func (c *class) burstWith(weight, meanCost float64) float64 {
	return burstRequests * meanCost * float64(len(c.ready)+1) / (c.activeWeight + weight)
}

// virtualStartOf returns the virtual start time of the first queued request of r's workspace. If the workspace has no
// queued request, r would be its first, and the result is the virtual start time that r would get.
func (c *class) virtualStartOf(r Request, meanCost float64) float64 {
	f, known := c.flows[r.Workspace]
	if known && f.index >= 0 {
		return f.virtualStart
	}
	start := c.virtualTime - c.burstWith(float64(r.Weight), meanCost)
	if known {
		start = max(start, f.virtualStart)
	}
	return start
}

// flowFor returns the flow of the workspace, and creates the flow if the class has none.
func (c *class) flowFor(workspace string) *flow {
	f, ok := c.flows[workspace]
	if !ok {
		f = &flow{workspace: workspace, items: list.New(), index: -1, virtualStart: math.Inf(-1)}
		c.flows[workspace] = f
	}
	return f
}

// head returns the request to serve next. The class must not be empty.
func (c *class) head() *item {
	return c.ready[0].items.Front().Value.(*item)
}

// oldest returns the request that has waited longest. The class must not be empty.
func (c *class) oldest() *item {
	return c.byArrival.Front().Value.(*item)
}

func (c *class) empty() bool {
	return c.byArrival.Len() == 0
}

// remove removes a queued request from its flow and from the class.
func (c *class) remove(it *item) {
	p := c.positions[it]
	delete(c.positions, it)
	c.byArrival.Remove(p.inClass)
	f := it.flow
	f.items.Remove(p.inFlow)
	f.cost -= it.request.Cost
	c.queuedCost -= it.request.Cost
	if f.items.Len() == 0 {
		f.cost = 0
		c.activeWeight -= f.weight
		heap.Remove(&c.ready, f.index)
		c.dropIfIdle(f)
	}
	if c.empty() {
		c.queuedCost, c.activeWeight, c.credit = 0, 0, 0
	}
}

// charge advances the virtual times of the class and of the flow by an admitted request. The request must have been
// removed from the queue before. If that removal dropped the flow, charge restores the flow unless dropIfIdle drops it.
func (c *class) charge(it *item) {
	f := it.flow
	c.virtualTime = max(c.virtualTime, f.virtualStart)
	f.virtualStart += it.request.Cost / f.weight
	f.recordAdmission(it.request.Cost, it.admitted)
	if f.index >= 0 {
		heap.Fix(&c.ready, f.index)
		return
	}
	c.flows[f.workspace] = f
	c.dropIfIdle(f)
}

// recordAdmission updates the flow's observed admission rate.
func (f *flow) recordAdmission(cost float64, now time.Time) {
	gap := now.Sub(f.lastAdmission)
	kept := math.Exp2(-float64(gap) / float64(rateHalfLife))
	f.admittedCost = f.admittedCost*kept + cost
	f.elapsed = f.elapsed*kept + gap.Seconds()
	f.lastAdmission = now
}

// drainTime estimates the time to admit the given cost at the recent admission rate of the flow. The result is 0 if
// the flow has waited too briefly for an estimate.
func (f *flow) drainTime(cost float64) time.Duration {
	if f.elapsed < minRateWindow.Seconds() {
		return 0
	}
	return seconds(waitMargin * cost * f.elapsed / f.admittedCost)
}

// dropIfIdle drops a flow without queued requests once its virtual start is behind the class's virtual time by at
// least the burst allowance, and drops all flows once the class is empty. A flow that has used more than its share is
// kept until then; otherwise its workspace could return with no record of that use.
func (c *class) dropIfIdle(f *flow) {
	if c.empty() {
		clear(c.flows)
		return
	}
	if f.virtualStart <= c.virtualTime-c.burst {
		delete(c.flows, f.workspace)
	}
}

// dropIdleFlows drops all flows without queued requests whose virtual start is behind the class's virtual time by at
// least the burst allowance.
func (c *class) dropIdleFlows() {
	for name, f := range c.flows {
		if f.index < 0 && f.virtualStart <= c.virtualTime-c.burst {
			delete(c.flows, name)
		}
	}
}

// exceedsShare reports whether the workspace of r already has its share, or more, of a queue of limit requests.
func (c *class) exceedsShare(r Request, limit int) bool {
	weight := float64(r.Weight)
	total := c.activeWeight
	queued := 0
	if f, ok := c.flows[r.Workspace]; ok && f.index >= 0 {
		queued = f.items.Len()
	} else {
		total += weight
	}
	return float64(queued) >= float64(limit)*weight/total
}
