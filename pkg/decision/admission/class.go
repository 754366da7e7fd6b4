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
	// agingFraction is that fraction of the cost admitted from the classes above.
	agingFraction = 0.1
	// maxAgingCredit bounds the service that a class accumulates, in requests of usual cost.
	maxAgingCredit = 1000
)

const (
	// burstRequests is the burst allowance of a workspace below its share, in requests of mean cost. Without it, a
	// workspace that uses 0.95 of its share waits as if on a small system of its own: beside a workspace at ten times
	// its share, the wait at the 95th percentile was 1.0 s instead of 0.5 s.
	burstRequests = 20
	// rateHalfLife is the half-life of past admissions in a flow's observed rate.
	rateHalfLife = 5 * time.Second
	// minRateWindow is the waiting time that must have been observed before that rate is used.
	minRateWindow = 500 * time.Millisecond
)

// flow is the queue of one workspace in one class.
type flow struct {
	workspace     string
	weight        float64
	items         *list.List // items are in order of arrival.
	cost          float64    // cost is the sum over items.
	virtualStart  float64    // virtualStart is the virtual start time of the next request.
	index         int        // index is the position in the class's heap, -1 if the flow is idle.
	lastAdmission time.Time  // lastAdmission is when a request was last admitted, or when the flow became active.
	admittedCost  float64    // admittedCost is the cost admitted while other requests waited, with exponential decay.
	elapsed       float64    // elapsed is the time in seconds in which it was admitted, with the same decay.
}

// class is one priority class.
type class struct {
	flows       map[string]*flow
	ready       flowHeap
	virtualTime float64 // virtualTime is the virtual start time of the last admitted request.
	cost        float64 // cost is the sum over the queued requests.
	burst       float64 // burst is how far the virtual start of a flow may lie behind virtualTime.
	weight      float64 // weight is the sum over the flows with queued requests.
	byArrival   *list.List
	positions   map[*item]positions
	credit      float64 // credit is the service that the class may take ahead of higher classes.
}

// positions are the list elements of a queued request.
type positions struct {
	inFlow  *list.Element
	inClass *list.Element
}

func newClass() *class {
	return &class{flows: map[string]*flow{}, byArrival: list.New(), positions: map[*item]positions{}}
}

// push queues a request behind the others of its workspace.
func (c *class) push(it *item, meanCost float64) {
	f := c.flow(it.request.Workspace)
	it.flow = f
	if f.index < 0 {
		f.weight = float64(it.request.Weight)
		c.burst = c.burstWith(f.weight, meanCost)
		c.weight += f.weight
		f.virtualStart = max(f.virtualStart, c.virtualTime-c.burst)
		f.lastAdmission, f.admittedCost, f.elapsed = it.arrived, 0, 0
	}
	c.positions[it] = positions{inFlow: f.items.PushBack(it), inClass: c.byArrival.PushBack(it)}
	f.cost += it.request.Cost
	c.cost += it.request.Cost
	if f.index < 0 {
		heap.Push(&c.ready, f)
	}
}

// burstWith returns the burst after a flow of that weight has joined those with queued requests.
func (c *class) burstWith(weight, meanCost float64) float64 {
	return burstRequests * meanCost * float64(len(c.ready)+1) / (c.weight + weight)
}

// virtualStartOf returns the virtual start time of the first queued request of the request's workspace. If none is
// queued, it is that of the request itself.
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

func (c *class) flow(workspace string) *flow {
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

// remove removes a request from its queues.
func (c *class) remove(it *item) {
	p := c.positions[it]
	delete(c.positions, it)
	c.byArrival.Remove(p.inClass)
	f := it.flow
	f.items.Remove(p.inFlow)
	f.cost -= it.request.Cost
	c.cost -= it.request.Cost
	if f.items.Len() == 0 {
		f.cost = 0
		c.weight -= f.weight
		heap.Remove(&c.ready, f.index)
		c.dropIfIdle(f)
	}
	if c.empty() {
		c.cost, c.weight, c.credit = 0, 0, 0
	}
}

// charge adds the cost of a request that was just admitted to its flow.
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

// recordAdmission updates the flow's observed rate.
func (f *flow) recordAdmission(cost float64, now time.Time) {
	gap := now.Sub(f.lastAdmission)
	kept := math.Exp2(-float64(gap) / float64(rateHalfLife))
	f.admittedCost = f.admittedCost*kept + cost
	f.elapsed = f.elapsed*kept + gap.Seconds()
	f.lastAdmission = now
}

// drainTime returns the time to serve a cost at the rate at which the flow was recently served. It is 0 if the flow
// has not waited long enough for an estimate.
func (f *flow) drainTime(cost float64) time.Duration {
	if f.elapsed < minRateWindow.Seconds() {
		return 0
	}
	return seconds(waitMargin * cost * f.elapsed / f.admittedCost)
}

// dropIfIdle drops an idle flow once its virtual start has passed, and all flows once the class is empty. A flow that
// has used more than its share is kept until then; otherwise it could return with no record of that use.
func (c *class) dropIfIdle(f *flow) {
	if c.empty() {
		clear(c.flows)
		return
	}
	if f.virtualStart <= c.virtualTime-c.burst {
		delete(c.flows, f.workspace)
	}
}

// dropIdleFlows drops the idle flows whose virtual start the class's virtual time has passed.
func (c *class) dropIdleFlows() {
	for name, f := range c.flows {
		if f.index < 0 && f.virtualStart <= c.virtualTime-c.burst {
			delete(c.flows, name)
		}
	}
}

// exceedsShare reports whether the workspace already has its share, or more, of a queue of that length.
func (c *class) exceedsShare(r Request, limit int) bool {
	weight := float64(r.Weight)
	total := c.weight
	queued := 0
	if f, ok := c.flows[r.Workspace]; ok && f.index >= 0 {
		queued = f.items.Len()
	} else {
		total += weight
	}
	return float64(queued) >= float64(limit)*weight/total
}
