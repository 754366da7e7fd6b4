package admission

import (
	"container/heap"
	"container/list"
	"math"
	"time"
)

const (
	// ageAfter is the wait from which a lower class gets a share of the service.
	ageAfter = 2 * time.Second
	// ageShare is that share, as a part of what the classes above are given.
	ageShare = 0.1
	// ageCredit bounds the service that a class saves up, in requests of usual cost.
	ageCredit = 1000
)

const (
	// burstRequests is the credit of a workspace below its share, in requests of mean cost. Without
	// it, a workspace that uses 0.95 of its share waits as on a small system of its own: 1.0 s
	// instead of 0.5 s at the 95th percentile beside one at ten times its share.
	burstRequests = 20
	// rateHalfLife is the memory of a flow's observed rate.
	rateHalfLife = 5 * time.Second
	// rateAfter is the time of waiting after which that rate is used.
	rateAfter = 500 * time.Millisecond
)

// flow is the queue of one workspace in one class.
type flow struct {
	workspace string
	weight    float64
	items     *list.List // items are in order of arrival.
	cost      float64    // cost is the sum over items.
	start     float64    // start is the virtual time at which the next request starts.
	index     int        // index is the place in the class's heap, -1 if the flow is idle.
	last      time.Time  // last is when a request was admitted last, or when the flow became active.
	admitted  float64    // admitted is the cost admitted while others waited, with older cost forgotten.
	elapsed   float64    // elapsed is the time in seconds for it.
}

// class is one priority class.
type class struct {
	flows   map[string]*flow
	ready   flowHeap
	virtual float64 // virtual is the virtual start time of the request served last.
	cost    float64 // cost is the sum over the queued requests.
	burst   float64 // burst is how far the start of a flow may lie behind the virtual time.
	weight  float64 // weight is the sum over the flows with queued requests.
	order   *list.List
	places  map[*item]places
	credit  float64 // credit is the service that the class may take out of turn.
}

// places are the positions of a queued request.
type places struct {
	inFlow  *list.Element
	inClass *list.Element
}

func newClass() *class {
	return &class{flows: map[string]*flow{}, order: list.New(), places: map[*item]places{}}
}

// push queues a request behind those of its workspace.
func (c *class) push(it *item, meanCost float64) {
	f := c.flow(it.ticket.Workspace)
	it.flow = f
	if f.index < 0 {
		f.weight = float64(it.ticket.Weight)
		c.burst = c.burstWith(f.weight, meanCost)
		c.weight += f.weight
		f.start = max(f.start, c.virtual-c.burst)
		f.last, f.admitted, f.elapsed = it.arrived, 0, 0
	}
	c.places[it] = places{inFlow: f.items.PushBack(it), inClass: c.order.PushBack(it)}
	f.cost += it.ticket.Cost
	c.cost += it.ticket.Cost
	if f.index < 0 {
		heap.Push(&c.ready, f)
	}
}

// burstWith returns the burst once a flow of that weight has joined those with queued requests.
func (c *class) burstWith(weight, meanCost float64) float64 {
	return burstRequests * meanCost * float64(len(c.ready)+1) / (c.weight + weight)
}

// startOf returns the virtual time at which the first queued request of the ticket's workspace starts, or the ticket
// itself would.
func (c *class) startOf(t Request, meanCost float64) float64 {
	f, known := c.flows[t.Workspace]
	if known && f.index >= 0 {
		return f.start
	}
	start := c.virtual - c.burstWith(float64(t.Weight), meanCost)
	if known {
		start = max(start, f.start)
	}
	return start
}

func (c *class) flow(workspace string) *flow {
	f, ok := c.flows[workspace]
	if !ok {
		f = &flow{workspace: workspace, items: list.New(), index: -1, start: math.Inf(-1)}
		c.flows[workspace] = f
	}
	return f
}

// head returns the request to be served next. The class is not empty.
func (c *class) head() *item {
	return c.ready[0].items.Front().Value.(*item)
}

// oldest returns the request that has waited longest. The class is not empty.
func (c *class) oldest() *item {
	return c.order.Front().Value.(*item)
}

func (c *class) empty() bool {
	return c.order.Len() == 0
}

// remove takes a request out of its queues.
func (c *class) remove(it *item) {
	p := c.places[it]
	delete(c.places, it)
	c.order.Remove(p.inClass)
	f := it.flow
	f.items.Remove(p.inFlow)
	f.cost -= it.ticket.Cost
	c.cost -= it.ticket.Cost
	if f.items.Len() == 0 {
		f.cost = 0
		c.weight -= f.weight
		heap.Remove(&c.ready, f.index)
		c.forgetIdle(f)
	}
	if c.empty() {
		c.cost, c.weight, c.credit = 0, 0, 0
	}
}

// served charges the flow of a request that was just admitted.
func (c *class) served(it *item) {
	f := it.flow
	c.virtual = max(c.virtual, f.start)
	f.start += it.ticket.Cost / f.weight
	f.observe(it.ticket.Cost, it.admitted)
	if f.index >= 0 {
		heap.Fix(&c.ready, f.index)
		return
	}
	c.flows[f.workspace] = f
	c.forgetIdle(f)
}

// observe takes in an admission, for the flow's rate.
func (f *flow) observe(cost float64, now time.Time) {
	gap := now.Sub(f.last)
	kept := math.Exp2(-float64(gap) / float64(rateHalfLife))
	f.admitted = f.admitted*kept + cost
	f.elapsed = f.elapsed*kept + gap.Seconds()
	f.last = now
}

// drain returns the time for a cost at the rate that the flow was served with lately, 0 if it has
// not waited long enough to tell.
func (f *flow) drain(cost float64) time.Duration {
	if f.elapsed < rateAfter.Seconds() {
		return 0
	}
	return seconds(waitMargin * cost * f.elapsed / f.admitted)
}

// forgetIdle drops idle flows whose virtual start has passed, and all of them once the class is
// empty. A flow that is ahead of its share is kept until then, or else it could return with a
// clean slate.
func (c *class) forgetIdle(f *flow) {
	if c.empty() {
		clear(c.flows)
		return
	}
	if f.start <= c.virtual-c.burst {
		delete(c.flows, f.workspace)
	}
}

// sweep drops idle flows that the class's virtual time has passed.
func (c *class) sweep() {
	for name, f := range c.flows {
		if f.index < 0 && f.start <= c.virtual-c.burst {
			delete(c.flows, name)
		}
	}
}

// overShare reports whether the workspace has at least its share of a queue of that length.
func (c *class) overShare(t Request, limit int) bool {
	weight := float64(t.Weight)
	total := c.weight
	queued := 0
	if f, ok := c.flows[t.Workspace]; ok && f.index >= 0 {
		queued = f.items.Len()
	} else {
		total += weight
	}
	return float64(queued) >= float64(limit)*weight/total
}
