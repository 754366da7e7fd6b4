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
	// claimTimeout is how long an ambiguous or rate-limited claim is retried while its caller waits.
	claimTimeout = 2 * time.Second
	// finishTimeout and abandonTimeout let responses and abandoned claims be stored after a short outage.
	finishTimeout  = 30 * time.Second
	abandonTimeout = time.Minute
	// initialBackoff and maxBackoff bound the delay between the attempts of an operation during an outage.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// operation is one conditional write of one claim row. The fields of the first group do not change once the operation
// is queued. The others then belong to the writer goroutine, except for canceled, which is guarded by the claimer's
// mutex.
type operation struct {
	kind   kind
	key    Key
	row    string
	id     string
	record record // record is what value encodes.
	value  []byte
	done   chan result
	// abandonable marks a claim whose ID only this claimer knows. A claim under an ID that another instance chose
	// may be won through another claimer at the same time and must not be abandoned here.
	abandonable bool

	expected  uint64 // expected is the row revision that the write is conditional on.
	ambiguous bool   // ambiguous means that an earlier attempt may have taken effect.
	backoff   time.Duration
	notBefore time.Time
	deadline  time.Time // deadline is when the retries end; it is set once an attempt is refused or not answered.

	canceled bool // canceled means that the caller no longer waits for the result.
}

type result struct {
	claim Claim
	err   error
}

func newOperation(kind kind, k Key, r record) *operation {
	return &operation{kind: kind, key: k, row: rowKey(k), id: r.ID, record: r, value: r.encode(), done: make(chan result, 1)}
}

func newAbandon(claim Claim) *operation {
	return &operation{
		kind: kindAbandon, key: claim.Key, row: rowKey(claim.Key), id: claim.ID,
		expected: claim.Revision, done: make(chan result, 1),
	}
}

// timeout returns how long the operation is retried.
func (o *operation) timeout() time.Duration {
	return [...]time.Duration{kindClaim: claimTimeout, kindFinish: finishTimeout, kindAbandon: abandonTimeout}[o.kind]
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

// committedResult returns the result of an operation whose transaction was committed.
func (o *operation) committedResult(revision uint64) result {
	if o.kind != kindClaim {
		return result{}
	}
	return result{claim: o.record.toClaim(o.key, Won, revision)}
}

// resolveConflict derives the operation's result from the row that did not match its condition, and sets the expected
// revision to the row's. It returns false if the operation has to be retried with that revision.
func (o *operation) resolveConflict(row table.Row, now time.Time, retention time.Duration) (result, bool) {
	o.expected = row.Revision
	if o.kind == kindClaim {
		return o.resolveClaimConflict(row, now, retention)
	}
	r := parseRecord(row.Value)
	own := row.Revision != 0 && r.ID == o.id
	switch {
	case own && r.State == Held:
		return result{}, false
	case own && o.kind == kindFinish:
		return result{}, true
	case !own && o.kind == kindAbandon:
		return result{}, true
	default:
		return result{err: fmt.Errorf("%w: claim %s", ErrNotHeld, o.id)}, true
	}
}

func (o *operation) resolveClaimConflict(row table.Row, now time.Time, retention time.Duration) (result, bool) {
	if row.Revision == 0 {
		return result{}, false
	}
	r := parseRecord(row.Value)
	switch {
	case r.ID == "":
		return result{claim: r.toClaim(o.key, Held, row.Revision)}, true
	case r.ID == o.id && r.State == Held:
		return result{claim: r.toClaim(o.key, Won, row.Revision)}, true
	case r.expired(now, retention+clockSkew):
		return result{}, false
	case string(r.Content) != string(o.key.Content[:]):
		return result{claim: r.toClaim(o.key, Mismatch, row.Revision)}, true
	default:
		return result{claim: r.toClaim(o.key, r.State, row.Revision)}, true
	}
}
