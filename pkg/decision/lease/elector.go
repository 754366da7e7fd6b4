// Package lease elects the instance that may send layer assignments to engines.
//
// The lease is one row of the key-value store. The row contains the holder, a fencing token that
// increases with each new holder, and the ID of the attempt that wrote the row. The holder writes the row again
// to renew the lease. Elector is a state machine: it reads no clock, and the caller executes its transactions
// and reports the rows found.
//
// The clocks of the instances need not agree, since no timestamps are exchanged. The holder measures its deadline
// from before it sent the write. A successor measures from when it first saw the row's current
// revision, which was later, and waits for the lease, the assignment timeout and the clock margin to pass by
// its own clock. With a lease of 10 s, an assignment timeout of 2 s and a margin of 1 s, the holder sends
// its last assignment 7 s after its last renewal and the successor takes over 13 s after it, so clock
// rates may differ by a third.
//
// A lost response to a write needs no special handling: the row, when read back, contains the ID of the attempt.
//
// # Known limitations
//
// If a holder is paused between AuthorizeAssignment and sending the assignment, or an assignment is delayed in
// the network beyond the assignment timeout, it may reach an engine after a successor's assignment. An engine
// that checks fencing tokens refuses it. An engine that ignores them accepts it and keeps the
// older desired state until the successor's next report and assignment correct it. Until then, requests
// routed to that engine may find layers missing, and are refused by it or resumed elsewhere. The
// same applies if the machine is suspended and neither its monotonic clock nor its wall clock
// advances, until the first renewal fails. If the platform loses the row, the fencing tokens
// start again at 1.
//
// Usage:
//
//	e := lease.New("leases/orders", "entry-3", incarnation)
//	e.Observe(now, lease.Row{Revision: row.Revision, Value: row.Value}) // Each second.
//	if t, ok := e.Acquire(now); ok { ... } // Execute t; on success e.ObserveCommit(now, t, revision).
//	if t, ok := e.Renew(now); ok { ... }
//	if token, ok := e.AuthorizeAssignment(now); ok {
//		// Send the assignment at once, with a timeout of e.AssignmentTimeout().
//	}
package lease

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// DefaultLeaseDuration is how long a holder may act after a renewal. It outlasts store outages of a
	// few seconds.
	DefaultLeaseDuration = 10 * time.Second
	// DefaultAssignmentTimeout bounds the time of one assignment.
	DefaultAssignmentTimeout = 2 * time.Second
	// DefaultClockMargin covers differences between clock rates and scheduling delays.
	DefaultClockMargin = time.Second
	// renewalsPerLease is how many renewals fit into a lease, so that two may fail.
	renewalsPerLease = 3
	// maxAttempts bounds the attempts remembered while the store does not answer. If an older one
	// took effect after all, the row is treated as another holder's.
	maxAttempts = 64
)

// Row is the lease row as read from the store. Revision 0 means that it is absent.
type Row struct {
	Revision uint64
	Value    []byte
}

// Transaction writes Value to the row Key if the row has the Revision.
type Transaction struct {
	Key      string
	Revision uint64
	Value    []byte
}

// rowValue is the content of the lease row.
type rowValue struct {
	Holder   string `json:"Holder"`
	Attempt  string `json:"Attempt"`
	Fence    uint64 `json:"Fence"`
	Released bool   `json:"Released,omitempty"`
}

// Elector is one instance's view of the lease. It is not safe for concurrent use.
type Elector struct {
	key               string
	instance          string
	incarnation       string
	leaseDuration     time.Duration
	assignmentTimeout time.Duration
	clockMargin       time.Duration

	known        bool // known means that the row was read at least once.
	revision     uint64
	row          rowValue
	revisionSeen time.Time // revisionSeen is when the current revision was first seen.

	sent         map[string]time.Time // sent maps attempt IDs since the current revision to the times they were sent.
	attempts     uint64
	held         bool
	released     bool
	renewed      time.Time // renewed is when the attempt in the row was sent.
	lastAssigned time.Time // lastAssigned is when AuthorizeAssignment last allowed an assignment.
}

// Option configures an Elector.
type Option func(*Elector)

// WithDurations replaces the default lease duration, assignment timeout and clock margin. All instances must use the
// same values.
func WithDurations(lease, assignmentTimeout, clockMargin time.Duration) Option {
	return func(e *Elector) {
		e.leaseDuration, e.assignmentTimeout, e.clockMargin = lease, assignmentTimeout, clockMargin
	}
}

// New returns an elector for the row key. The incarnation must be unique to this run of the process.
func New(key, instance, incarnation string, opts ...Option) *Elector {
	e := &Elector{
		key: key, instance: instance, incarnation: incarnation,
		leaseDuration: DefaultLeaseDuration, assignmentTimeout: DefaultAssignmentTimeout, clockMargin: DefaultClockMargin,
		sent: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// AssignmentTimeout returns the longest time that an assignment may take.
func (e *Elector) AssignmentTimeout() time.Duration {
	return e.assignmentTimeout
}

// Observe records the row as read from the store.
func (e *Elector) Observe(now time.Time, row Row) {
	if e.known && row.Revision <= e.revision {
		// The revision is already known, or is the result of a slow earlier read.
		return
	}
	e.known, e.revision, e.revisionSeen, e.row = true, row.Revision, now, rowValue{}
	if err := json.Unmarshal(row.Value, &e.row); err != nil && row.Revision != 0 {
		// A row that cannot be parsed counts as another holder's. Its fencing token is the revision,
		// which is higher than every earlier token because each token took a write.
		e.row = rowValue{Holder: "unreadable", Fence: row.Revision}
	}
	e.renewed, e.held = e.sent[e.row.Attempt]
	e.held = e.held && !e.row.Released
	clear(e.sent)
}

// ObserveCommit records that the transaction took effect with the revision.
func (e *Elector) ObserveCommit(now time.Time, t Transaction, revision uint64) {
	e.Observe(now, Row{Revision: revision, Value: t.Value})
}

// Acquire returns the transaction that acquires the lease, if it may be acquired now.
func (e *Elector) Acquire(now time.Time) (Transaction, bool) {
	if !e.known || e.held || e.released || !e.available(now) {
		return Transaction{}, false
	}
	return e.newAttempt(now, rowValue{Fence: e.row.Fence + 1}), true
}

// available reports whether no other holder can act any more.
func (e *Elector) available(now time.Time) bool {
	return e.revision == 0 || e.row.Released ||
		now.Sub(e.revisionSeen) >= e.leaseDuration+e.assignmentTimeout+e.clockMargin
}

// Renew returns the transaction that renews the lease, if a renewal is due. An expired lease that no other
// instance acquired is renewed with its old fencing token.
func (e *Elector) Renew(now time.Time) (Transaction, bool) {
	if !e.held || e.released || elapsed(e.renewed, now) < e.leaseDuration/renewalsPerLease {
		return Transaction{}, false
	}
	return e.newAttempt(now, rowValue{Fence: e.row.Fence}), true
}

// Release returns the transaction that releases the lease for a planned stop, so that a successor
// need not wait. It reports false until the last assignment has ended. No assignment is allowed after it, and
// the lease is not acquired again.
func (e *Elector) Release(now time.Time) (Transaction, bool) {
	if !e.held || now.Sub(e.lastAssigned) < e.assignmentTimeout+e.clockMargin {
		return Transaction{}, false
	}
	e.released = true
	return e.newAttempt(now, rowValue{Fence: e.row.Fence, Released: true}), true
}

func (e *Elector) newAttempt(now time.Time, v rowValue) Transaction {
	e.attempts++
	v.Holder, v.Attempt = e.instance, e.attemptID(e.attempts)
	e.sent[v.Attempt] = now
	delete(e.sent, e.attemptID(e.attempts-maxAttempts))
	content, err := json.Marshal(v)
	if err != nil {
		// Strings, a number and a bool can always be encoded.
		panic(err)
	}
	return Transaction{Key: e.key, Revision: e.revision, Value: content}
}

func (e *Elector) attemptID(n uint64) string {
	return fmt.Sprintf("%s/%d", e.incarnation, n)
}

// AuthorizeAssignment reports whether an assignment may be sent now, and its fencing token, and records that it is
// sent. The assignment must end within AssignmentTimeout.
func (e *Elector) AuthorizeAssignment(now time.Time) (fence uint64, ok bool) {
	if !e.held || e.released || elapsed(e.renewed, now) >= e.leaseDuration-e.assignmentTimeout-e.clockMargin {
		return 0, false
	}
	e.lastAssigned = now
	return e.row.Fence, true
}

// IsHolder reports whether the lease row names this run of the instance, even if the lease has expired.
func (e *Elector) IsHolder() bool {
	return e.held
}

// elapsed returns the longer of the monotonic and the wall time between two readings: the
// monotonic clock may stop while the machine is suspended, and the wall clock may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
