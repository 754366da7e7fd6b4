package claim

import (
	"fmt"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

type kind int

const (
	kindClaim kind = iota
	kindFinish
	kindAbandon
)

const (
	// resolveClaim is how long an ambiguous claim is resolved while its caller waits.
	resolveClaim = 2 * time.Second
	// resolveFinish and resolveAbandon let answers and withdrawals outlast a short outage.
	resolveFinish  = 30 * time.Second
	resolveAbandon = time.Minute
	// firstBackoff and maxBackoff space the attempts of operations that outlast an outage.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// operation is one conditional write of one claim row. All fields but the first group belong to
// the writer goroutine, and left is guarded by the clerk's lock.
type operation struct {
	kind  kind
	key   Key
	row   string
	id    string
	claim record // claim is the record that value encodes.
	value []byte
	done  chan result
	// withdrawable marks a claim whose ID only this clerk knows. A claim under an ID from
	// elsewhere may be won through another clerk at the same time and must not be withdrawn here.
	withdrawable bool

	expected  uint64 // expected is the revision on which the write is conditional.
	ambiguous bool   // ambiguous means that an earlier attempt may have taken effect.
	backoff   time.Duration
	notBefore time.Time
	giveUp    time.Time // giveUp is set by the first attempt.

	left bool // left means that nobody waits for the result.
}

type result struct {
	ticket Claim
	err    error
}

func newOperation(kind kind, k Key, r record) *operation {
	return &operation{kind: kind, key: k, row: rowKey(k), id: r.ID, claim: r, value: r.encode(), done: make(chan result, 1)}
}

func abandonment(t Claim) *operation {
	return &operation{
		kind: kindAbandon, key: t.Key, row: rowKey(t.Key), id: t.ID,
		expected: t.Revision, done: make(chan result, 1),
	}
}

// patience returns how long the operation is tried.
func (o *operation) patience() time.Duration {
	return [...]time.Duration{kindClaim: resolveClaim, kindFinish: resolveFinish, kindAbandon: resolveAbandon}[o.kind]
}

// addTo adds the operation's condition and write to t.
func (o *operation) addTo(t *table.Transaction) {
	t.Conditions = append(t.Conditions, table.Condition{Key: o.row, Revision: o.expected})
	if o.kind != kindAbandon {
		t.Writes = append(t.Writes, table.Write{Key: o.row, Value: o.value})
		return
	}
	if o.expected != 0 {
		t.Writes = append(t.Writes, table.Write{Key: o.row, Delete: true})
	}
}

// committed returns the result of an operation whose transaction took effect.
func (o *operation) committed(revision uint64) result {
	if o.kind != kindClaim {
		return result{}
	}
	return result{ticket: o.claim.ticket(o.key, Won, revision)}
}

// found judges the row that did not match the operation's condition. It returns the result, or
// false if the operation has to be tried again on the row's revision.
func (o *operation) found(row table.Row, now time.Time, retention time.Duration) (result, bool) {
	o.expected = row.Revision
	if o.kind == kindClaim {
		return o.foundForClaim(row, now, retention)
	}
	r := parse(row.Value)
	mine := row.Revision != 0 && r.ID == o.id
	switch {
	case mine && r.State == Held:
		return result{}, false
	case mine && o.kind == kindFinish:
		return result{}, true
	case !mine && o.kind == kindAbandon:
		return result{}, true
	default:
		return result{err: fmt.Errorf("%w: claim %s", ErrNotHeld, o.id)}, true
	}
}

func (o *operation) foundForClaim(row table.Row, now time.Time, retention time.Duration) (result, bool) {
	if row.Revision == 0 {
		return result{}, false
	}
	r := parse(row.Value)
	switch {
	case r.ID == "":
		return result{ticket: r.ticket(o.key, Held, row.Revision)}, true
	case r.ID == o.id && r.State == Held:
		return result{ticket: r.ticket(o.key, Won, row.Revision)}, true
	case r.expired(now, retention+skew):
		return result{}, false
	case string(r.Content) != string(o.key.Content[:]):
		return result{ticket: r.ticket(o.key, Mismatch, row.Revision)}, true
	default:
		return result{ticket: r.ticket(o.key, r.State, row.Revision)}, true
	}
}
