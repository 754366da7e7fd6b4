// Package reconcile decides which assignments to send to targets until their reported state equals
// the desired state.
//
// An assignment contains the complete desired state of one target and is idempotent. A target gets at
// most one assignment at a time; the next one follows once the target has answered, or after a timeout.
// An accepted assignment is sent again only if a report that was requested after it still differs, with
// exponential backoff, since loading weights takes time. The states are compared even after they were
// equal: if a stale assignment reaches an engine that does not check fencing tokens, the next report
// shows it, and the target gets a new assignment.
//
// The fencing token of an assignment combines the lease's fencing token with a sequence number within
// the lease. The combined token rises with every assignment, so an engine that checks it also refuses
// an assignment that was overtaken by a later one of the same lease holder.
//
// Reconciler is a state machine. The caller checks that it holds the lease before it calls
// DueAssignments, and sends the assignments immediately. Package lease describes the remaining risk
// for engines that ignore fencing tokens.
//
// Usage:
//
//	r := reconcile.New()
//	r.SetDesired(map[string]reconcile.State{"target-1": {Model: "darning", Version: "v3", Layers: layer.Range{End: 16}}})
//	r.Report(requestedAt, "target-1", reported)
//	if fencingToken, ok := elector.AuthorizeAssignment(now); ok {
//		for _, assignment := range r.DueAssignments(now, fencingToken) { ... } // Send, then r.Acknowledge(assignment).
//	}
package reconcile

import (
	"maps"
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

const (
	// DefaultAssignmentTimeout is the timeout of one assignment. It equals lease.DefaultAssignmentTimeout.
	DefaultAssignmentTimeout = 2 * time.Second
	// initialBackoff and maxBackoff bound the delay between assignments to a target that does not reach
	// the desired state. Loading a range of layers takes from seconds to a minute.
	initialBackoff = 2 * time.Second
	maxBackoff     = time.Minute
	// sequenceBits allows 16 million assignments per lease and leaves 40 bits for the lease's fencing token.
	sequenceBits = 24
)

// State is the desired or reported state of a target.
type State struct {
	Model    string      `json:"Model"`
	Version  string      `json:"Version"`
	Layers   layer.Range `json:"Layers"`
	Adapters []string    `json:"Adapters,omitempty"`
	Role     string      `json:"Role,omitempty"`
}

// Equal reports whether a and b are equal, regardless of the order of adapters.
func (a State) Equal(b State) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Layers == b.Layers && a.Role == b.Role &&
		slices.Equal(slices.Sorted(slices.Values(a.Adapters)), slices.Sorted(slices.Values(b.Adapters)))
}

// Reported is the state that a target reports of itself.
type Reported struct {
	State
	FencingToken uint64 `json:"Fence"` // FencingToken is the highest token of an assignment that the target has seen.
}

// Assignment is sent to a target to set its desired state.
type Assignment struct {
	Target       string `json:"Target"`
	FencingToken uint64 `json:"Fence"`
	State
}

// Reconciler compares desired and reported states. It is not safe for concurrent use.
type Reconciler struct {
	assignmentTimeout time.Duration
	leaseToken        uint64 // leaseToken is the fencing token of the lease that sequence belongs to.
	sequence          uint64 // sequence is the number of assignments sent under that lease.
	targets           map[string]*targetState
}

// targetState is the reconciliation state of one target.
type targetState struct {
	desired      *State
	reported     *Reported // reported is nil until a report that was requested after the last assignment was sent.
	sent         time.Time // sent is when the last assignment was sent.
	fencingToken uint64    // fencingToken is the token of the last assignment.
	outstanding  bool      // outstanding means that the last assignment is not acknowledged.
	nextAttempt  time.Time // nextAttempt is the earliest time of the next assignment.
	backoff      time.Duration
}

// Option configures a Reconciler.
type Option func(*Reconciler)

// WithAssignmentTimeout sets the timeout of one assignment.
func WithAssignmentTimeout(d time.Duration) Option {
	return func(r *Reconciler) { r.assignmentTimeout = d }
}

// New returns a reconciler without desired states.
func New(opts ...Option) *Reconciler {
	r := &Reconciler{assignmentTimeout: DefaultAssignmentTimeout, targets: map[string]*targetState{}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// SetDesired replaces the desired states. Targets without one are removed and get no assignments.
func (r *Reconciler) SetDesired(desired map[string]State) {
	for name := range r.targets {
		if _, found := desired[name]; !found {
			delete(r.targets, name)
		}
	}
	for name, a := range desired {
		t := r.targets[name]
		if t == nil {
			t = &targetState{}
			r.targets[name] = t
		}
		if t.desired == nil || !t.desired.Equal(a) {
			t.desired, t.nextAttempt, t.backoff = &a, time.Time{}, 0
		}
	}
}

// Report records a target's report. A report that was requested before the last assignment was sent
// does not show the assignment's effect and is ignored.
func (r *Reconciler) Report(requestedAt time.Time, name string, reported Reported) {
	t := r.targets[name]
	if t == nil || !requestedAt.After(t.sent) {
		return
	}
	t.reported = &reported
	if t.inSync() {
		t.nextAttempt, t.backoff = time.Time{}, 0
	}
}

func (t *targetState) inSync() bool {
	return t.reported != nil && t.reported.Equal(*t.desired)
}

// DueAssignments returns the assignments that are due under the lease with the fencing token, and
// records them as sent.
func (r *Reconciler) DueAssignments(now time.Time, fencingToken uint64) []Assignment {
	if fencingToken != r.leaseToken {
		r.leaseToken, r.sequence = fencingToken, 0
	}
	var assignments []Assignment
	for _, name := range slices.Sorted(maps.Keys(r.targets)) {
		t := r.targets[name]
		if !r.due(t, now) || r.sequence+1 >= 1<<sequenceBits {
			continue
		}
		r.sequence++
		t.recordSent(now, fencingToken<<sequenceBits|r.sequence)
		assignments = append(assignments, Assignment{Target: name, FencingToken: t.fencingToken, State: *t.desired})
	}
	return assignments
}

func (t *targetState) recordSent(now time.Time, fencingToken uint64) {
	t.reported, t.outstanding = nil, true
	t.sent, t.fencingToken = now, fencingToken
	t.backoff = min(max(2*t.backoff, initialBackoff), maxBackoff)
	t.nextAttempt = now.Add(t.backoff)
}

// due reports whether the target needs an assignment now. It returns false for a target that has not
// reported since its last assignment, and for one that has seen an assignment of a later lease.
func (r *Reconciler) due(t *targetState, now time.Time) bool {
	if t.outstanding && now.Sub(t.sent) < r.assignmentTimeout {
		return false
	}
	if t.reported == nil || t.inSync() || now.Before(t.nextAttempt) {
		return false
	}
	return t.reported.FencingToken>>sequenceBits <= r.leaseToken
}

// Acknowledge records that the target accepted or refused the assignment. An assignment without an
// answer blocks the target until its timeout has passed.
func (r *Reconciler) Acknowledge(assignment Assignment) {
	if t := r.targets[assignment.Target]; t != nil && t.fencingToken == assignment.FencingToken {
		t.outstanding = false
	}
}

// OutOfSync returns the targets whose desired state is not confirmed by a report that was requested
// after their last assignment, sorted by name.
func (r *Reconciler) OutOfSync() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(r.targets)) {
		if !r.targets[name].inSync() {
			names = append(names, name)
		}
	}
	return names
}
