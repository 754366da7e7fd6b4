package admission

// flowHeap orders flows by virtual start time, and by workspace name where these are equal, so that decisions do not
// depend on map order.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
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

// latestStartHeap orders requests by their latest start.
type latestStartHeap []*item

func (h latestStartHeap) Len() int { return len(h) }

func (h latestStartHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }

func (h latestStartHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].latestStartIndex, h[j].latestStartIndex = i, j
}

// Push appends a request, for container/heap.
func (h *latestStartHeap) Push(x any) {
	it := x.(*item)
	it.latestStartIndex = len(*h)
	*h = append(*h, it)
}

// Pop removes the last request, for container/heap.
func (h *latestStartHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	it.latestStartIndex = -1
	return it
}
