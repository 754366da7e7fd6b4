package configlog

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

const (
	// DefaultRetainedChanges is how many changes stay as rows: more than a day's at 16,000 a day, so that
	// an instance that was cut off for a day reads changes and not the snapshot.
	DefaultRetainedChanges = 20_000
	// deletions is how many changes one transaction deletes, with two rows each.
	deletions = 100
)

// Compact replaces the change rows before the last keep ones by a snapshot in the object store.
// It may run on several instances at once and be repeated after any error.
func (l *Log) Compact(ctx context.Context, keep uint64) error {
	keep = max(keep, 1) // The last change row shows readers that no change is missing.
	head, err := l.Head(ctx)
	if err != nil {
		return err
	}
	var b base
	revision, err := l.get(ctx, baseKey, &b)
	if err != nil {
		return err
	}
	if head.Version > keep && head.Version-keep > b.Version {
		if b, err = l.moveBase(ctx, head.Version-keep, b, revision); err != nil {
			return err
		}
	}
	return l.deleteUpTo(ctx, b.Version)
}

// moveBase writes the snapshot of a version and makes it the base.
func (l *Log) moveBase(ctx context.Context, version uint64, old base, revision uint64) (base, error) {
	s, err := l.at(ctx, version)
	if err != nil {
		return old, err
	}
	next := base{Version: version, Object: snapshotName(version)}
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
		// Another instance moved the base; it deletes the rows.
		return old, nil
	}
	if old.Object != "" {
		// An object that stays behind costs space only.
		_ = l.objects.Delete(ctx, old.Object)
	}
	return next, nil
}

// deleteUpTo deletes the rows of the changes up to a version, which the base covers.
func (l *Log) deleteUpTo(ctx context.Context, version uint64) error {
	for {
		rows, err := l.table.Scan(ctx, changesPrefix, "", deletions)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		t, objects, err := deletion(rows, version)
		if err != nil || len(t.Writes) == 0 {
			return err
		}
		if _, err := l.table.Commit(ctx, t); err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		for _, name := range objects {
			// An object that stays behind costs space only.
			_ = l.objects.Delete(ctx, name)
		}
	}
}

// deletion returns the transaction that deletes the rows up to a version, and their objects.
func deletion(rows []table.Row, version uint64) (t table.Transaction, objects []string, err error) {
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
