package configlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

// Apply makes the change the next version if the head still is the expected version. It returns
// the head that the change became. The error is a *finding.Error for a bad change, a *Conflict,
// ErrReused, ErrUnavailable or ErrUnknown.
func (l *Log) Apply(ctx context.Context, c Change) (Head, error) {
	if err := check(c); err != nil {
		return Head{}, err
	}
	c.Version, c.Object = c.Expected+1, ""
	if c.At.IsZero() {
		c.At = l.now().UTC()
	}
	want := identity{Version: c.Version, Digest: digest(encode(c.Documents))}
	head, revision, err := l.head(ctx)
	if err != nil {
		return Head{}, err
	}
	if head.Version != c.Expected {
		return l.overtaken(ctx, c, want, head)
	}
	c, err = l.store(ctx, c)
	if err != nil {
		return Head{}, err
	}
	return l.commit(ctx, c, want, transaction(c, want, revision))
}

func transaction(c Change, id identity, headRevision uint64) table.Transaction {
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

// commit sends the transaction until its result is known. The transaction stays the same, with
// the head revision that was read first: it can take effect at most once, however often it is
// sent and however late it arrives.
func (l *Log) commit(ctx context.Context, c Change, want identity, t table.Transaction) (Head, error) {
	deadline := l.now().Add(l.patience)
	ambiguous, backoff := false, firstBackoff
	for {
		res, err := l.table.Commit(ctx, t)
		switch {
		case err == nil && res.Committed:
			return c.head(), nil
		case err == nil:
			return l.refused(ctx, c, want, ambiguous)
		case !ambiguous && errors.Is(err, table.ErrUnavailable):
			return Head{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		ambiguous = true
		if l.now().After(deadline) || l.wait(ctx, backoff) != nil {
			return Head{}, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// refused finds out whether the conditions failed because of an earlier attempt of this change.
// Nothing of it can take effect from here on, since the head row has moved.
func (l *Log) refused(ctx context.Context, c Change, want identity, ambiguous bool) (Head, error) {
	head, err := l.Head(ctx)
	if err == nil {
		head, err = l.overtaken(ctx, c, want, head)
	}
	if ambiguous && errors.Is(err, ErrUnavailable) {
		return Head{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return head, err
}

// overtaken answers a change whose expected version is not the head: either it is in force
// already, or another change came first.
func (l *Log) overtaken(ctx context.Context, c Change, want identity, head Head) (Head, error) {
	var found identity
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
	return Head{}, l.conflict(ctx, c, head)
}

func (l *Log) conflict(ctx context.Context, c Change, head Head) error {
	conflict := &Conflict{
		Expected: c.Expected, Head: head,
		ConflictingChange: Change{Version: head.Version, ID: head.ID, By: head.By, At: head.At},
	}
	row, err := l.table.Get(ctx, changeKey(c.Version))
	if err == nil {
		// A row that cannot be read leaves the description of the head.
		_ = json.Unmarshal(row.Value, &conflict.ConflictingChange)
	}
	return conflict
}

// Rollback makes the documents of an old version the next version. It returns ErrCompacted if
// the old version was replaced by a snapshot.
func (l *Log) Rollback(ctx context.Context, to, expected uint64, id, by string) (Head, error) {
	old, err := l.at(ctx, to)
	if err != nil {
		return Head{}, err
	}
	current, err := l.at(ctx, expected)
	if err != nil {
		return Head{}, err
	}
	return l.Apply(ctx, Change{Expected: expected, ID: id, By: by, Documents: current.difference(old)})
}
