// Package lease decides who may give orders to engines.
//
// The lease is one row of the table service with the holder, a fencing number that rises with
// each new holder, and the ID of the attempt that wrote the row. The holder writes the row again
// to renew it. Holder is a state machine: it reads no clock, and the caller sends its transactions
// and reports the rows found.
//
// Clocks of instances need not agree, since no time is exchanged. The holder counts its deadline
// from before it sent the write. A successor counts from when it first saw the row's present
// revision, which was later, and waits for the lease, the longest order and the margin to pass by
// its own clock. With a lease of 10 s, an order limit of 2 s and a margin of 1 s, the holder sends
// its last order 7 s after its last renewal and the successor takes over 13 s after it, so clock
// rates may differ by a third.
//
// A lost answer needs no special care: the row, when read back, holds the ID of the attempt.
//
// # Remaining exposure
//
// A holder that is paused between MayOrder and sending the order, or an order that is delayed in
// the network beyond the order limit, may reach an engine after a successor's order. An engine
// that checks fencing numbers refuses it. An engine that ignores them accepts it and keeps the
// older desired state until the successor's next report and order correct it; until then requests
// routed to that engine may find layers missing and are refused by it or resumed elsewhere. The
// same holds if the machine is suspended and neither its monotonic clock nor its wall clock
// advances, until the first renewal fails. If the platform loses the row, the fencing numbers
// start again at 1.
//
// Usage:
//
//	h := lease.New("leases/orders", "entry-3", incarnation)
//	h.Observe(now, lease.Row{Revision: row.Revision, Value: row.Value}) // Each second.
//	if t, ok := h.Acquire(now); ok { ... } // Send t; on success h.Committed(now, t, revision).
//	if t, ok := h.Renew(now); ok { ... }
//	if fence, ok := h.MayOrder(now); ok {
//		// Send the order at once, with a timeout of h.OrderLimit().
//	}
package lease

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// DefaultLeaseDuration is how long a holder may act after a renewal. It outlasts table outages of a
	// few seconds.
	DefaultLeaseDuration = 10 * time.Second
	// DefaultAssignmentTimeout bounds the time of one order.
	DefaultAssignmentTimeout = 2 * time.Second
	// DefaultClockMargin covers differences between clock rates and scheduling delays.
	DefaultClockMargin = time.Second
	// renewals is how many renewals fit into a lease, so that two may fail.
	renewals = 3
	// maxAttempts bounds the attempts remembered while the table does not answer. An older one
	// that took effect after all is treated as another holder's.
	maxAttempts = 64
)

// Row is the lease row as found in the table. Revision 0 means that it is absent.
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

// value is the content of the lease row.
type value struct {
	Holder   string `json:"Holder"`
	Attempt  string `json:"Attempt"`
	Fence    uint64 `json:"Fence"`
	Released bool   `json:"Released,omitempty"`
}

// Elector is one instance's view of the lease. It is not safe for concurrent use.
type Elector struct {
	key         string
	instance    string
	incarnation string
	lease       time.Duration
	orderLimit  time.Duration
	margin      time.Duration

	known    bool // known means that the row was read at least once.
	revision uint64
	row      value
	seen     time.Time // seen is when the present revision was first seen.

	sent     map[string]time.Time // sent holds when each attempt since the present revision was sent.
	attempts uint64
	held     bool
	released bool
	renewed  time.Time // renewed is when the attempt in the row was sent.
	ordered  time.Time // ordered is the last time that MayOrder allowed an order.
}

// Option changes a Holder when it is made.
type Option func(*Elector)

// WithDurations replaces the default lease, order limit and margin. All instances must use the same.
func WithDurations(lease, orderLimit, margin time.Duration) Option {
	return func(h *Elector) { h.lease, h.orderLimit, h.margin = lease, orderLimit, margin }
}

// New returns a holder for the row key. The incarnation is unique to this run of the process.
func New(key, instance, incarnation string, opts ...Option) *Elector {
	h := &Elector{
		key: key, instance: instance, incarnation: incarnation,
		lease: DefaultLeaseDuration, orderLimit: DefaultAssignmentTimeout, margin: DefaultClockMargin,
		sent: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// AssignmentTimeout returns the longest time that an order may take.
func (h *Elector) AssignmentTimeout() time.Duration {
	return h.orderLimit
}

// Observe takes in the row as found in the table.
func (h *Elector) Observe(now time.Time, row Row) {
	if h.known && row.Revision <= h.revision {
		// The revision is the one known, or the answer of a slow earlier read.
		return
	}
	h.known, h.revision, h.seen, h.row = true, row.Revision, now, value{}
	if err := json.Unmarshal(row.Value, &h.row); err != nil && row.Revision != 0 {
		// A row that cannot be read counts as another holder's, and its fence is the revision,
		// which is above every fence because each fence took a write.
		h.row = value{Holder: "unreadable", Fence: row.Revision}
	}
	h.renewed, h.held = h.sent[h.row.Attempt]
	h.held = h.held && !h.row.Released
	clear(h.sent)
}

// ObserveCommit takes in that the transaction took effect with the revision.
func (h *Elector) ObserveCommit(now time.Time, t Transaction, revision uint64) {
	h.Observe(now, Row{Revision: revision, Value: t.Value})
}

// Acquire returns the transaction that takes the lease, if it may be taken now.
func (h *Elector) Acquire(now time.Time) (Transaction, bool) {
	if !h.known || h.held || h.released || !h.free(now) {
		return Transaction{}, false
	}
	return h.attempt(now, value{Fence: h.row.Fence + 1}), true
}

// free reports whether no other holder can act any more.
func (h *Elector) free(now time.Time) bool {
	return h.revision == 0 || h.row.Released || now.Sub(h.seen) >= h.lease+h.orderLimit+h.margin
}

// Renew returns the transaction that renews the lease, if it is due. A lapsed lease that nobody
// else took is renewed under its old fencing number.
func (h *Elector) Renew(now time.Time) (Transaction, bool) {
	if !h.held || h.released || elapsed(h.renewed, now) < h.lease/renewals {
		return Transaction{}, false
	}
	return h.attempt(now, value{Fence: h.row.Fence}), true
}

// Release returns the transaction that gives up the lease for a planned stop, so that a successor
// need not wait. It is refused until the last order has ended. No order is allowed after it, and
// the lease is not taken again.
func (h *Elector) Release(now time.Time) (Transaction, bool) {
	if !h.held || now.Sub(h.ordered) < h.orderLimit+h.margin {
		return Transaction{}, false
	}
	h.released = true
	return h.attempt(now, value{Fence: h.row.Fence, Released: true}), true
}

func (h *Elector) attempt(now time.Time, v value) Transaction {
	h.attempts++
	v.Holder, v.Attempt = h.instance, h.attemptID(h.attempts)
	h.sent[v.Attempt] = now
	delete(h.sent, h.attemptID(h.attempts-maxAttempts))
	content, err := json.Marshal(v)
	if err != nil {
		// Strings, a number and a flag always encode.
		panic(err)
	}
	return Transaction{Key: h.key, Revision: h.revision, Value: content}
}

func (h *Elector) attemptID(n uint64) string {
	return fmt.Sprintf("%s/%d", h.incarnation, n)
}

// AuthorizeAssignment reports whether an order may be sent now, and its fencing number. The order must end
// within OrderLimit.
func (h *Elector) AuthorizeAssignment(now time.Time) (fence uint64, ok bool) {
	if !h.held || h.released || elapsed(h.renewed, now) >= h.lease-h.orderLimit-h.margin {
		return 0, false
	}
	h.ordered = now
	return h.row.Fence, true
}

// IsHolder reports whether the lease row is this instance's, even if the lease has lapsed.
func (h *Elector) IsHolder() bool {
	return h.held
}

// elapsed returns the longer of the monotonic and the wall time between two readings: the
// monotonic clock may stop while the machine is suspended, and the wall clock may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
