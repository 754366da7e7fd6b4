// Package lease elects the instance that may send layer assignments to engines.
//
// The lease is one row of the key-value store. The row contains the holder, a fencing token that
// increases with each new holder, and the ID of the attempt that wrote the row. An attempt is one transaction
// that acquires, renews or releases the lease by writing the row. Elector is a state machine: it reads no clock,
// and the caller executes its transactions and reports the rows found.
//
// The clocks of the instances need not agree, since no timestamps are exchanged. The holder measures its deadline
// from before it sent the write. A successor measures from when it first saw the row's current
// revision, which was later, and waits for the lease duration, the assignment timeout and the clock margin to
// pass by its own clock. With a lease duration of 10 s, an assignment timeout of 2 s and a margin of 1 s, the
// holder sends its last assignment 7 s after its last renewal and the successor takes over 13 s after that
// renewal, so clock rates may differ by a third.
//
// A lost response to a write needs no special handling: when the caller reads the row again, the row contains the
// ID of the attempt.
//
// # Known limitations
//
// If a holder is paused between AuthorizeAssignment and sending the assignment, or an assignment is delayed in
// the network beyond the assignment timeout, the assignment may reach an engine after one of a successor. An engine
// that checks fencing tokens refuses the late assignment. An engine that ignores them accepts it and keeps the
// older desired state until the successor receives the engine's next report and sends another assignment. Until
// then, requests routed to that engine may find layers missing, and are refused by it or resumed on other
// targets. The same applies if the holder's host is suspended and neither its monotonic clock nor its wall clock
// advances, until the first renewal fails.
//
// # Stores that come back from a copy
//
// A store may come back from an older copy, with a higher era; see package revision. The row of the new era replaces the
// known one, whatever its number. The holder of the older era is no longer the holder: it acquires the lease again like
// all others. Fencing tokens stay above all that the instance has seen, in rows of any era or by ObserveFencingToken. If
// neither the copy nor any live instance knows the highest token, an engine that checks tokens refuses the assignments,
// and the holder raises its token with ObserveFencingToken.
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

	"github.com/cuminroute/cuminroute/pkg/revision"
)

const (
	// DefaultLeaseDuration is how long a lease is valid after it was acquired or renewed. It outlasts store
	// outages of a few seconds.
	DefaultLeaseDuration = 10 * time.Second
	// DefaultAssignmentTimeout bounds the time from sending an assignment to its end.
	DefaultAssignmentTimeout = 2 * time.Second
	// DefaultClockMargin covers differences between clock rates and scheduling delays.
	DefaultClockMargin = time.Second
	// renewalsPerLease is how many renewals fit into a lease, so that two may fail.
	renewalsPerLease = 3
	// maxAttempts bounds the attempts kept while the store does not respond. If an attempt that is no longer
	// kept took effect, the row is treated as another holder's.
	maxAttempts = 64
)

// Row is the lease row as read from the store. A revision without a number means that the row is absent.
type Row struct {
	Revision revision.Revision
	Value    []byte
}

// Transaction writes Value to the row Key if the row has the Revision.
type Transaction struct {
	Key      string
	Revision revision.Revision
	Value    []byte
}

// rowValue is the content of the lease row.
type rowValue struct {
	Holder   string `json:"Holder"`
	Attempt  string `json:"Attempt"`
	Fence    uint64 `json:"Fence"`
	Released bool   `json:"Released,omitempty"`
}

// attempt is a transaction that was returned to the caller.
type attempt struct {
	sentAt time.Time
	era    uint64 // era is the era of the row that the transaction replaces.
}

// Elector decides for one instance when to acquire, renew and use the lease. It is not safe for concurrent use.
type Elector struct {
	key               string
	instance          string
	incarnation       string
	leaseDuration     time.Duration
	assignmentTimeout time.Duration
	clockMargin       time.Duration

	rowKnown bool // rowKnown is set if the row was read at least once.
	revision revision.Revision
	row      rowValue
	// fromCopy is set if the row is the first one seen of its era. A row of the era before may be lost, and its holder may
	// not have seen the new era yet.
	fromCopy     bool
	highestToken uint64    // highestToken is the highest fencing token seen.
	revisionSeen time.Time // revisionSeen is when the current revision was first seen.

	attemptsSent map[string]attempt // attemptsSent holds the attempts since revisionSeen by their IDs.
	attemptCount uint64             // attemptCount is the number of the last attempt.
	isHolder     bool               // isHolder is described at IsHolder.
	released     bool               // released is set after Release returned a transaction.
	lastRenewal  time.Time          // lastRenewal is when the attempt in the row was sent.
	lastAssigned time.Time          // lastAssigned is when AuthorizeAssignment last allowed an assignment.
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
		attemptsSent: map[string]attempt{},
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

// Observe records the row as read from the store. This instance is the holder afterwards if one of its own attempts
// wrote the row and did not release the lease.
func (e *Elector) Observe(now time.Time, row Row) {
	if e.rowKnown && !row.Revision.After(e.revision) {
		// The row is already known, or is the result of a slow earlier read.
		return
	}
	e.fromCopy = row.Revision.Era > 0 && !(e.rowKnown && row.Revision.SameEra(e.revision))
	e.rowKnown, e.revision, e.revisionSeen, e.row = true, row.Revision, now, rowValue{}
	if err := json.Unmarshal(row.Value, &e.row); err != nil && row.Revision.Exists() {
		// A row that cannot be parsed counts as another holder's. Its fencing token is the revision's number,
		// which is higher than every earlier token of its era because each token took a write.
		e.row = rowValue{Holder: "unreadable", Fence: row.Revision.Number}
	}
	e.highestToken = max(e.highestToken, e.row.Fence)
	// An attempt that names a row of an older era may have replaced the row of another holder.
	own, ok := e.attemptsSent[e.row.Attempt]
	e.lastRenewal, e.isHolder = own.sentAt, ok && !e.row.Released && own.era == row.Revision.Era
	clear(e.attemptsSent)
}

// ObserveCommit records that the transaction took effect with the revision.
func (e *Elector) ObserveCommit(now time.Time, t Transaction, at revision.Revision) {
	e.Observe(now, Row{Revision: at, Value: t.Value})
}

// ObserveFencingToken records a fencing token that another instance or an engine has seen. Leases that this instance
// acquires or renews later have a higher one.
func (e *Elector) ObserveFencingToken(token uint64) {
	e.highestToken = max(e.highestToken, token)
}

// Era returns the era of the row that was last seen.
func (e *Elector) Era() uint64 { return e.revision.Era }

// HighestFencingToken returns the highest fencing token that this instance has seen.
func (e *Elector) HighestFencingToken() uint64 { return e.highestToken }

// Acquire returns the transaction that acquires the lease, if the lease may be acquired now, and records the attempt.
func (e *Elector) Acquire(now time.Time) (Transaction, bool) {
	if !e.rowKnown || e.isHolder || e.released || !e.available(now) {
		return Transaction{}, false
	}
	return e.newAttempt(now, rowValue{Fence: e.highestToken + 1}), true
}

// available reports whether the lease may be acquired: no earlier holder may send assignments any more, and those
// already sent have ended. That a row was released says nothing if it comes from a copy: it may have been acquired since.
func (e *Elector) available(now time.Time) bool {
	free := !e.revision.Exists() || e.row.Released
	return free && !e.fromCopy ||
		now.Sub(e.revisionSeen) >= e.leaseDuration+e.assignmentTimeout+e.clockMargin
}

// Renew returns the transaction that renews the lease, if a renewal is due, and records the attempt. An expired lease
// that no other instance acquired is renewed with its old fencing token, unless a higher one was seen.
func (e *Elector) Renew(now time.Time) (Transaction, bool) {
	if !e.isHolder || e.released || elapsed(e.lastRenewal, now) < e.leaseDuration/renewalsPerLease {
		return Transaction{}, false
	}
	token := e.row.Fence
	if token < e.highestToken {
		token = e.highestToken + 1
	}
	return e.newAttempt(now, rowValue{Fence: token}), true
}

// Release returns the transaction that releases the lease for a planned stop, so that a successor
// need not wait. It returns false until the last assignment has ended. After Release returned a transaction, no
// assignment is allowed, and the lease is not acquired again.
func (e *Elector) Release(now time.Time) (Transaction, bool) {
	if !e.isHolder || now.Sub(e.lastAssigned) < e.assignmentTimeout+e.clockMargin {
		return Transaction{}, false
	}
	e.released = true
	return e.newAttempt(now, rowValue{Fence: e.row.Fence, Released: true}), true
}

// newAttempt returns the transaction that writes the value with the ID of a new attempt, and records the attempt.
func (e *Elector) newAttempt(now time.Time, v rowValue) Transaction {
	e.attemptCount++
	v.Holder, v.Attempt = e.instance, e.attemptID(e.attemptCount)
	e.attemptsSent[v.Attempt] = attempt{sentAt: now, era: e.revision.Era}
	delete(e.attemptsSent, e.attemptID(e.attemptCount-maxAttempts))
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

// AuthorizeAssignment reports whether an assignment may be sent now, and returns the fencing token for it. It
// records the time, since the caller must send the assignment at once. The assignment must end within
// AssignmentTimeout.
func (e *Elector) AuthorizeAssignment(now time.Time) (fencingToken uint64, ok bool) {
	if !e.isHolder || e.released || elapsed(e.lastRenewal, now) >= e.leaseDuration-e.assignmentTimeout-e.clockMargin {
		return 0, false
	}
	e.lastAssigned = now
	return e.row.Fence, true
}

// IsHolder reports whether the lease row was last written by this run of the instance and not released, even if
// the lease has expired.
func (e *Elector) IsHolder() bool {
	return e.isHolder
}

// elapsed returns the longer of the monotonic and the wall time between two readings: the
// monotonic clock may stop while the machine is suspended, and the wall clock may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
