package instance

import (
	"context"
	"slices"
	"sync"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
)

// notifier calls the daemon's handlers from a goroutine of its own, so that a slow handler does not
// delay failure detection.
type notifier struct {
	mu             *sync.Mutex
	wakeup         chan struct{} // wakeup signals run that items or members are pending
	pendingItems   []membership.Item
	pendingMembers []membership.Member // pendingMembers is nil unless handlers are to be notified of a change
	itemHandlers   []func(membership.Item)
	memberHandlers []func([]membership.Member)
}

func newNotifier() notifier {
	return notifier{mu: &sync.Mutex{}, wakeup: make(chan struct{}, 1)}
}

func (n *notifier) addItemHandler(f func(membership.Item)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.itemHandlers = append(n.itemHandlers, f)
}

func (n *notifier) addMemberHandler(f func([]membership.Member)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.memberHandlers = append(n.memberHandlers, f)
}

// maxQueuedItems bounds the items that wait for a slow handler. Further items are not passed to the handlers; they
// remain in View until they expire.
const maxQueuedItems = 2 * membership.MaxItems

func (n *notifier) notifyItem(i membership.Item) {
	n.mu.Lock()
	if len(n.pendingItems) < maxQueuedItems {
		n.pendingItems = append(n.pendingItems, i)
	}
	n.mu.Unlock()
	n.signal()
}

func (n *notifier) notifyMembers(m []membership.Member) {
	n.mu.Lock()
	n.pendingMembers = m
	n.mu.Unlock()
	n.signal()
}

func (n *notifier) signal() {
	select {
	case n.wakeup <- struct{}{}:
	default:
	}
}

func (n *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wakeup:
			n.deliver()
		}
	}
}

// deliver passes the pending items and members to the handlers.
func (n *notifier) deliver() {
	n.mu.Lock()
	items, members := n.pendingItems, n.pendingMembers
	itemHandlers, memberHandlers := slices.Clone(n.itemHandlers), slices.Clone(n.memberHandlers)
	n.pendingItems, n.pendingMembers = nil, nil
	n.mu.Unlock()
	for _, i := range items {
		for _, f := range itemHandlers {
			f(i)
		}
	}
	if members == nil {
		return
	}
	for _, f := range memberHandlers {
		f(members)
	}
}
