package instance

import (
	"context"
	"slices"
	"sync"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// notices calls the daemon's functions from a goroutine of its own, so that a slow one does not
// delay failure detection.
type notices struct {
	mu        *sync.Mutex
	wake      chan struct{}
	items     []membership.Item
	latest    []membership.Member // latest is nil if there is no change to tell
	itemFuncs []func(membership.Item)
	listFuncs []func([]membership.Member)
}

func newNotices() notices {
	return notices{mu: &sync.Mutex{}, wake: make(chan struct{}, 1)}
}

func (n *notices) onItem(f func(membership.Item)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.itemFuncs = append(n.itemFuncs, f)
}

func (n *notices) onMembers(f func([]membership.Member)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listFuncs = append(n.listFuncs, f)
}

// maxNotices bounds the items that wait for a slow function. View has all items in force, so nothing
// is lost for good beyond it.
const maxNotices = 2 * membership.MaxItems

func (n *notices) item(i membership.Item) {
	n.mu.Lock()
	if len(n.items) < maxNotices {
		n.items = append(n.items, i)
	}
	n.mu.Unlock()
	n.signal()
}

func (n *notices) members(m []membership.Member) {
	n.mu.Lock()
	n.latest = m
	n.mu.Unlock()
	n.signal()
}

func (n *notices) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *notices) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
			n.deliver()
		}
	}
}

func (n *notices) deliver() {
	n.mu.Lock()
	items, latest := n.items, n.latest
	itemFuncs, listFuncs := slices.Clone(n.itemFuncs), slices.Clone(n.listFuncs)
	n.items, n.latest = nil, nil
	n.mu.Unlock()
	for _, i := range items {
		for _, f := range itemFuncs {
			f(i)
		}
	}
	if latest == nil {
		return
	}
	for _, f := range listFuncs {
		f(latest)
	}
}
