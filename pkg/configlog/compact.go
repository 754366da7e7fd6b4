package configlog

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

const (
	// DefaultRetainedChanges is how many changes keep their rows: more than a day's at 16,000 a day, so that an instance
	// that was partitioned from the table for a day reads changes and not the snapshot.
	DefaultRetainedChanges = 20_000
	// deleteBatchSize is the number of changes that one transaction deletes, with two rows each.
	deleteBatchSize = 100
)

// Compact replaces the change rows before the last keep ones by a snapshot in the object store. It may run on several
// instances concurrently and may be retried after any error.
func (l *Log) Compact(ctx context.Context, keep uint64) error {
	keep = max(keep, 1) // The last change row lets readers detect that no change is missing.
	head, err := l.Head(ctx)
	if err != nil {
		return err
	}
	var b baseRow
	revision, err := l.get(ctx, baseKey, &b)
	if err != nil {
		return err
	}
	if head.Version > keep && head.Version-keep > b.Version {
		if b, err = l.advanceBase(ctx, head.Version-keep, b, revision); err != nil {
			return err
		}
	}
	return l.deleteRowsUpTo(ctx, b.Version)
}

// advanceBase writes the snapshot of a version and updates the base row to refer to it.
func (l *Log) advanceBase(ctx context.Context, version uint64, old baseRow, revision uint64) (baseRow, error) {
	s, err := l.stateAt(ctx, version)
	if err != nil {
		return old, err
	}
	next := baseRow{Version: version, Object: snapshotName(version)}
	if err := l.objects.Put(ctx, next.Object, encode(s.documents())); err != nil {
		return old, fmt.Errorf("%w: snapshot: %w", ErrUnavailable, err)
	}
	res, err := l.table.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: baseKey, Revision: revision}},
		Writes:     []table.Write{{Key: baseKey, Value: encode(next)}},
	})
	if err != nil {
		return old, fmt.Errorf("%w: base row: %w", ErrUnavailable, err)
	}
	if !res.Committed {
		// Another instance updated the base row; it deletes the change rows.
		return old, nil
	}
	if old.Object != "" {
		// An object that is not deleted only costs space.
		_ = l.objects.Delete(ctx, old.Object)
	}
	return next, nil
}

// deleteRowsUpTo deletes the rows and objects of the changes up to a version, which the snapshot includes.
func (l *Log) deleteRowsUpTo(ctx context.Context, version uint64) error {
	for {
		rows, err := l.table.Scan(ctx, changesPrefix, "", deleteBatchSize)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		t, objects, err := newDeletion(rows, version)
		if err != nil || len(t.Writes) == 0 {
			return err
		}
		if _, err := l.table.Commit(ctx, t); err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		for _, name := range objects {
			// An object that is not deleted only costs space.
			_ = l.objects.Delete(ctx, name)
		}
	}
}

// newDeletion returns the transaction that deletes the rows up to a version, and the names of their objects.
func newDeletion(rows []table.Row, version uint64) (t table.Transaction, objects []string, err error) {
	for _, row := range rows {
		var c Change
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return t, nil, fmt.Errorf("%w: row %s: %v", ErrUnavailable, row.Key, err)
		}
		if c.Version > version {
			break
		}
		t.Writes = append(t.Writes, table.Write{Key: row.Key, Delete: true}, table.Write{Key: idKey(c.ID), Delete: true})
		if c.Object != "" {
			objects = append(objects, c.Object)
		}
	}
	return t, objects, nil
}
