package admission

import (
	"container/heap"
	"container/list"
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

// flow is the queue of one workspace in one class.
type flow struct {
	workspace string
	weight    float64
	items     *list.List // items are in order of arrival.
	cost      float64    // cost is the sum over items.
	start     float64    // start is the virtual time at which the next request starts.
	index     int        // index is the place in the class's heap, -1 if the flow is idle.
}

// class is one priority class.
type class struct {
	flows   map[string]*flow
	ready   flowHeap
	virtual float64 // virtual is the virtual start time of the request served last.
	cost    float64 // cost is the sum over the queued requests.
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
func (c *class) push(it *item) {
	f := c.flow(it.ticket.Workspace)
	it.flow = f
	if f.index < 0 {
		f.weight = float64(it.ticket.Weight)
		f.start = max(f.start, c.virtual)
		c.weight += f.weight
	}
	c.places[it] = places{inFlow: f.items.PushBack(it), inClass: c.order.PushBack(it)}
	f.cost += it.ticket.Cost
	c.cost += it.ticket.Cost
	if f.index < 0 {
		heap.Push(&c.ready, f)
	}
}

func (c *class) flow(workspace string) *flow {
	f, ok := c.flows[workspace]
	if !ok {
		f = &flow{workspace: workspace, items: list.New(), index: -1}
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
	if f.index >= 0 {
		heap.Fix(&c.ready, f.index)
		return
	}
	c.flows[f.workspace] = f
	c.forgetIdle(f)
}

// forgetIdle drops idle flows whose virtual start has passed, and all of them once the class is
// empty. A flow that is ahead of its share is kept until then, or else it could return with a
// clean slate.
func (c *class) forgetIdle(f *flow) {
	if c.empty() {
		clear(c.flows)
		return
	}
	if f.start <= c.virtual {
		delete(c.flows, f.workspace)
	}
}

// sweep drops idle flows that the class's virtual time has passed.
func (c *class) sweep() {
	for name, f := range c.flows {
		if f.index < 0 && f.start <= c.virtual {
			delete(c.flows, name)
		}
	}
}

// overShare reports whether the workspace has at least its share of a queue of that length.
func (c *class) overShare(t Ticket, limit int) bool {
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
