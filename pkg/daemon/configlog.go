package daemon

import (
	"context"
	"sync"

	"github.com/cuminroute/cuminroute/pkg/configlog"
)

// maxAcceptedChanges limits the accepted changes that are kept until they are active. One change arrives
// every 5 s, so more than a few waiting changes mean that this instance is far behind and fetches a snapshot.
const maxAcceptedChanges = 16

// acceptedLog is the configuration log behind the operator API. It keeps the changes that were accepted
// through this instance, so that they propagate even if the table fails right after storing them.
type acceptedLog struct {
	*configlog.Log
	notifyVersion func(version uint64) // notifyVersion notifies the node of this instance of a new version.

	mu      sync.Mutex
	changes map[uint64]configlog.Change // changes holds the accepted changes by version.
}

func newAcceptedLog(l *configlog.Log) *acceptedLog {
	return &acceptedLog{Log: l, notifyVersion: func(uint64) {}, changes: make(map[uint64]configlog.Change)}
}

// Apply implements logbackend.ConfigLog.
func (a *acceptedLog) Apply(ctx context.Context, c configlog.Change) (configlog.Head, error) {
	head, err := a.Log.Apply(ctx, c)
	if err == nil {
		c.Version, c.At, c.By = head.Version, head.At, head.By
		a.retain(c)
	}
	return head, err
}

// Rollback implements logbackend.ConfigLog. Only the table has the documents of a rollback, so
// they are read right after the rollback.
func (a *acceptedLog) Rollback(ctx context.Context, to, expected uint64, id, by string) (configlog.Head, error) {
	head, err := a.Log.Rollback(ctx, to, expected, id, by)
	if err != nil {
		return head, err
	}
	// The version was accepted even if this read fails; instances then read the new version from the head row.
	if changes, failed := a.Changes(ctx, head.Version-1); failed == nil && len(changes) > 0 {
		a.retain(changes[0])
	}
	return head, nil
}

// retain keeps a change until changesAfter discards it, and notifies the node of the change's version. It first
// discards all kept changes if there are maxAcceptedChanges.
func (a *acceptedLog) retain(c configlog.Change) {
	a.mu.Lock()
	if len(a.changes) == maxAcceptedChanges {
		clear(a.changes)
	}
	a.changes[c.Version] = c
	a.mu.Unlock()
	a.notifyVersion(c.Version)
}

// changesAfter returns the accepted changes that follow version without a gap, and discards those up to version.
func (a *acceptedLog) changesAfter(version uint64) []configlog.Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	for v := range a.changes {
		if v <= version {
			delete(a.changes, v)
		}
	}
	var found []configlog.Change
	for {
		c, kept := a.changes[version+1]
		if !kept {
			return found
		}
		found = append(found, c)
		version++
	}
}
