package admission

// flowHeap orders flows by virtual start, then by name so that decisions do not depend on map order.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].workspace < h[j].workspace
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a flow, for container/heap.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow, for container/heap.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}

// dueHeap orders requests by their latest start.
type dueHeap []*item

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueIndex, h[j].dueIndex = i, j
}

// Push appends a request, for container/heap.
func (h *dueHeap) Push(x any) {
	it := x.(*item)
	it.dueIndex = len(*h)
	*h = append(*h, it)
}

// Pop removes the last request, for container/heap.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	it.dueIndex = -1
	return it
}
