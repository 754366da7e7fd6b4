package configlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

// Apply commits the change as the next version if the head still is the expected version. It returns the head that the
// change became. The error is a *finding.Error for an invalid change, a *Conflict, ErrIDReused, ErrUnavailable or
// ErrUnknown.
func (l *Log) Apply(ctx context.Context, c Change) (Head, error) {
	if err := validate(c); err != nil {
		return Head{}, err
	}
	c.Version, c.Object = c.Expected+1, ""
	if c.At.IsZero() {
		c.At = l.now().UTC()
	}
	want := idRow{Version: c.Version, Digest: digest(encode(c.Documents))}
	head, revision, err := l.head(ctx)
	if err != nil {
		return Head{}, err
	}
	if head.Version != c.Expected {
		return l.resolveConflict(ctx, c, want, head)
	}
	c, err = l.storeDocuments(ctx, c)
	if err != nil {
		return Head{}, err
	}
	return l.commit(ctx, c, want, newTransaction(c, want, revision))
}

func newTransaction(c Change, id idRow, headRevision uint64) table.Transaction {
	return table.Transaction{
		Conditions: []table.Condition{
			{Key: headKey, Revision: headRevision},
			{Key: changeKey(c.Version)},
			{Key: idKey(c.ID)},
		},
		Writes: []table.Write{
			{Key: headKey, Value: encode(c.head())},
			{Key: changeKey(c.Version), Value: encode(c)},
			{Key: idKey(c.ID), Value: encode(id)},
		},
	}
}

// commit sends the transaction until its result is known or the timeout has passed. The transaction writes want to the
// row of the change ID. Every attempt sends the same transaction, with the head revision that was read first, so it
// takes effect at most once, however often it is sent and however late it arrives.
func (l *Log) commit(ctx context.Context, c Change, want idRow, t table.Transaction) (Head, error) {
	deadline := l.now().Add(l.resolveTimeout)
	ambiguous, backoff := false, initialBackoff
	for {
		res, err := l.table.Commit(ctx, t)
		switch {
		case err == nil && res.Committed:
			return c.head(), nil
		case err == nil:
			return l.resolveFailedCommit(ctx, c, want, ambiguous)
		case !ambiguous && errors.Is(err, table.ErrUnavailable):
			return Head{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		ambiguous = true
		if l.now().After(deadline) || l.sleep(ctx, backoff) != nil {
			return Head{}, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// resolveFailedCommit determines whether the conditions failed because of an earlier attempt of this change. No attempt
// can take effect any more, since the head row has changed.
func (l *Log) resolveFailedCommit(ctx context.Context, c Change, want idRow, ambiguous bool) (Head, error) {
	head, err := l.Head(ctx)
	if err == nil {
		head, err = l.resolveConflict(ctx, c, want, head)
	}
	if ambiguous && errors.Is(err, ErrUnavailable) {
		return Head{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return head, err
}

// resolveConflict returns the result of a change whose expected version is not the head: either it was committed
// before, or another change was committed first. want is the row of the change ID that the change writes.
func (l *Log) resolveConflict(ctx context.Context, c Change, want idRow, head Head) (Head, error) {
	var found idRow
	revision, err := l.get(ctx, idKey(c.ID), &found)
	if err != nil {
		return Head{}, err
	}
	if revision != 0 && found.Digest != want.Digest {
		return Head{}, fmt.Errorf("%w: version %d", ErrIDReused, found.Version)
	}
	if revision != 0 {
		return Head{Version: found.Version, ID: c.ID, By: c.By, At: c.At}, nil
	}
	return Head{}, l.newConflict(ctx, c, head)
}

func (l *Log) newConflict(ctx context.Context, c Change, head Head) error {
	conflict := &Conflict{
		Expected: c.Expected, Head: head,
		ConflictingChange: Change{Version: head.Version, ID: head.ID, By: head.By, At: head.At},
	}
	row, err := l.table.Get(ctx, changeKey(c.Version))
	if err == nil {
		// If the row cannot be decoded, the error describes the head's change.
		_ = json.Unmarshal(row.Value, &conflict.ConflictingChange)
	}
	return conflict
}

// Rollback commits the documents of an old version as the next version. It returns ErrCompacted if the old version was
// replaced by a snapshot.
func (l *Log) Rollback(ctx context.Context, to, expected uint64, id, by string) (Head, error) {
	old, err := l.stateAt(ctx, to)
	if err != nil {
		return Head{}, err
	}
	current, err := l.stateAt(ctx, expected)
	if err != nil {
		return Head{}, err
	}
	return l.Apply(ctx, Change{Expected: expected, ID: id, By: by, Documents: current.diff(old)})
}
