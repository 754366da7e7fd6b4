// Package reconcile decides which orders engines get, until what they report equals what is
// desired.
//
// An order states the whole desired end state of one engine and is idempotent. A target gets at
// most one order at a time; the next one follows when the last was answered, or when its time
// limit has passed. An order that was accepted is repeated only if a report that was asked for
// later still differs, with increasing pauses, since loading weights takes time. Comparison never
// ends: a stale order that reached an engine which ignores fencing numbers shows in the next
// report and is corrected.
//
// The fencing number of an order is the lease's number and a sequence number within the lease.
// It rises with every order, so an engine that checks it also refuses an order of the same
// holder that a later one overtook.
//
// Reconciler is a state machine. The caller asks the lease before it calls Orders, and sends the
// orders at once. Exposure that remains with engines that ignore fencing numbers is described in
// package lease.
//
// Usage:
//
//	r := reconcile.New()
//	r.SetDesired(map[string]reconcile.Assignment{"worker-1": {Model: "darning", Version: "v3", Layers: layer.Range{End: 16}}})
//	r.Report(asked, "worker-1", reported)
//	if fence, ok := holder.MayOrder(now); ok {
//		for _, order := range r.Orders(now, fence) { ... } // Send, then r.Answered(order).
//	}
package reconcile

import (
	"maps"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

const (
	// DefaultAssignmentTimeout is the time limit of one order. It equals that of the lease.
	DefaultAssignmentTimeout = 2 * time.Second
	// firstPause and maxPause space orders to an engine that does not reach the desired state.
	// Loading a range of layers takes seconds to a minute.
	firstPause = 2 * time.Second
	maxPause   = time.Minute
	// sequenceBits leaves 16 million orders to one lease and 40 bits to the lease's number.
	sequenceBits = 24
)

// State is what an engine is to hold or holds.
type State struct {
	Model    string      `json:"Model"`
	Version  string      `json:"Version"`
	Layers   layer.Range `json:"Layers"`
	Adapters []string    `json:"Adapters,omitempty"`
	Role     string      `json:"Role,omitempty"`
}

// Equal reports whether a and b are the same, with the adapters in any order.
func (a State) Equal(b State) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Layers == b.Layers && a.Role == b.Role &&
		slices.Equal(slices.Sorted(slices.Values(a.Adapters)), slices.Sorted(slices.Values(b.Adapters)))
}

// Reported is what an engine says of itself.
type Reported struct {
	State
	FencingToken uint64 `json:"Fence"` // Fence is the highest fencing number of an order that it saw.
}

// Assignment tells one engine its desired state.
type Assignment struct {
	Target       string `json:"Target"`
	FencingToken uint64 `json:"Fence"`
	State
}

// Reconciler compares desired and reported states. It is not safe for concurrent use.
type Reconciler struct {
	orderLimit time.Duration
	lease      uint64 // lease is the fencing number of the lease that the sequence belongs to.
	sequence   uint64
	targets    map[string]*target
}

// target is what is known of one engine.
type target struct {
	desired     *State
	reported    *Reported // reported is nil until a report that was asked for after the last order.
	sent        time.Time // sent is when the last order was sent.
	fence       uint64    // fence is the fencing number of the last order.
	outstanding bool
	next        time.Time // next is the earliest time of the next order.
	pause       time.Duration
}

// Option changes a Reconciler when it is made.
type Option func(*Reconciler)

// WithAssignmentTimeout sets the time limit of one order.
func WithAssignmentTimeout(d time.Duration) Option {
	return func(r *Reconciler) { r.orderLimit = d }
}

// New returns a reconciler that desires nothing.
func New(opts ...Option) *Reconciler {
	r := &Reconciler{orderLimit: DefaultAssignmentTimeout, targets: map[string]*target{}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// SetDesired replaces the desired states. Targets without one get no orders and are forgotten.
func (r *Reconciler) SetDesired(desired map[string]State) {
	for name := range r.targets {
		if _, found := desired[name]; !found {
			delete(r.targets, name)
		}
	}
	for name, a := range desired {
		t := r.targets[name]
		if t == nil {
			t = &target{}
			r.targets[name] = t
		}
		if t.desired == nil || !t.desired.Equal(a) {
			t.desired, t.next, t.pause = &a, time.Time{}, 0
		}
	}
}

// Report takes in what a target says. Asked is when the report was asked for: one that was asked
// for before the last order was sent tells nothing about its effect and is ignored.
func (r *Reconciler) Report(asked time.Time, name string, reported Reported) {
	t := r.targets[name]
	if t == nil || !asked.After(t.sent) {
		return
	}
	t.reported = &reported
	if t.settled() {
		t.next, t.pause = time.Time{}, 0
	}
}

func (t *target) settled() bool {
	return t.reported != nil && t.reported.Equal(*t.desired)
}

// DueAssignments returns the orders that are due under the lease's fencing number, and counts them as sent.
func (r *Reconciler) DueAssignments(now time.Time, fence uint64) []Assignment {
	if fence != r.lease {
		r.lease, r.sequence = fence, 0
	}
	var orders []Assignment
	for _, name := range slices.Sorted(maps.Keys(r.targets)) {
		t := r.targets[name]
		if !r.due(t, now) || r.sequence+1 >= 1<<sequenceBits {
			continue
		}
		r.sequence++
		t.ordered(now, fence<<sequenceBits|r.sequence)
		orders = append(orders, Assignment{Target: name, FencingToken: t.fence, State: *t.desired})
	}
	return orders
}

func (t *target) ordered(now time.Time, fence uint64) {
	t.reported, t.outstanding = nil, true
	t.sent, t.fence = now, fence
	t.pause = min(max(2*t.pause, firstPause), maxPause)
	t.next = now.Add(t.pause)
}

// due reports whether the target needs an order now. A target that was not heard of since its
// last order gets none, and neither does one that saw an order of a later lease.
func (r *Reconciler) due(t *target, now time.Time) bool {
	if t.outstanding && now.Sub(t.sent) < r.orderLimit {
		return false
	}
	if t.reported == nil || t.settled() || now.Before(t.next) {
		return false
	}
	return t.reported.FencingToken>>sequenceBits <= r.lease
}

// Acknowledge takes in that the target accepted or refused the order. An order without an answer
// blocks the target until its time limit has passed.
func (r *Reconciler) Acknowledge(order Assignment) {
	if t := r.targets[order.Target]; t != nil && t.fence == order.FencingToken {
		t.outstanding = false
	}
}

// OutOfSync returns the targets that are not known to be in their desired state, in order of name.
func (r *Reconciler) OutOfSync() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(r.targets)) {
		if !r.targets[name].settled() {
			names = append(names, name)
		}
	}
	return names
}
