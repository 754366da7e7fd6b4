// Package freshness decides as of when the reads of one instance show the newest state of the store.
//
// An instance that reads a resource tells others as of when it knows the newest state, so that they need not read it
// themselves. That time must come from its own reads alone: if instances passed on what they were told, each of them could
// take the others for readers while none reads. An answer shows the state at the time when it was sent. While a call that
// waits for a change is under way, an answer to another call shows that the store still reaches this instance, and
// would have reported a change.
//
// Tracker is a state machine: it reads no clock and makes no call. It is not safe for concurrent use.
//
// Usage:
//
//	t.Began(freshness.Configuration, wait, now) // Before each call, with the time that the store may wait for a change.
//	t.Answered(freshness.Configuration, now)    // Or t.Failed(freshness.Configuration).
//	at := t.ShownAt(freshness.Configuration, now)
package freshness

import "time"

// Resource is something that instances read from the store.
type Resource string

const (
	// Configuration is the routing configuration.
	Configuration Resource = "Configuration"
	// Targets is the list of targets.
	Targets Resource = "Targets"
)

// read is the state of the reads of one resource.
type read struct {
	under   bool          // under is set while a call is under way.
	began   time.Time     // began is when the last call began.
	wait    time.Duration // wait is how long the store may wait for a change in the last call.
	shownAt time.Time     // shownAt is as of when the last answer showed the state.
}

// Tracker records the reads of one instance. It must be created by New.
type Tracker struct {
	timeout time.Duration
	reads   map[Resource]*read
}

// New returns a tracker. An answer that takes longer than the timeout, beyond the wait for a change, may have been sent well before it
// was received.
func New(timeout time.Duration) *Tracker {
	return &Tracker{timeout: timeout, reads: map[Resource]*read{Configuration: {}, Targets: {}}}
}

// Began records that a call began in which the store may wait for a change.
func (t *Tracker) Began(r Resource, wait time.Duration, now time.Time) {
	read := t.reads[r]
	read.under, read.began, read.wait = true, now, wait
}

// Answered records the answer to the last call. A late one counts as of the time when it was due: this process may have
// been frozen, or its link slow, after the answer was sent.
func (t *Tracker) Answered(r Resource, now time.Time) {
	read := t.reads[r]
	read.under, read.shownAt = false, now
	if due := t.due(read); now.After(due) {
		read.shownAt = due
	}
}

// Failed records that the last call failed.
func (t *Tracker) Failed(r Resource) { t.reads[r].under = false }

// ShownAt returns the last time as of which the reads of this instance show the newest state of a resource. It is zero if there is none.
func (t *Tracker) ShownAt(r Resource, now time.Time) time.Time {
	own := t.reads[r]
	at := own.shownAt
	if !own.under || now.After(t.due(own)) {
		return at
	}
	for _, other := range t.reads {
		if other.shownAt.After(own.began) && other.shownAt.After(at) {
			at = other.shownAt
		}
	}
	return at
}

// due returns when the answer to the last call is due.
func (t *Tracker) due(r *read) time.Time { return r.began.Add(r.wait + t.timeout) }
