package daemon

import (
	"context"
	"sync"

	"github.com/cuminroute/cuminroute/pkg/configlog"
)

// acceptedKept bounds the accepted changes kept until they are in force. One change arrives each 5 s,
// so more than a few means that this instance is far behind and takes a snapshot.
const acceptedKept = 16

// acceptedLog is the configuration log of the operators' listener. It keeps the changes that were
// accepted here, so that they spread from this instance even if the table fails right after it
// took them.
type acceptedLog struct {
	*configlog.Log
	learned func(version uint64)

	mu      sync.Mutex
	changes map[uint64]configlog.Change
}

func newAcceptedLog(l *configlog.Log) *acceptedLog {
	return &acceptedLog{Log: l, learned: func(uint64) {}, changes: make(map[uint64]configlog.Change)}
}

// Apply implements logbackend.ConfigLog.
func (a *acceptedLog) Apply(ctx context.Context, c configlog.Change) (configlog.Head, error) {
	head, err := a.Log.Apply(ctx, c)
	if err == nil {
		c.Version, c.At, c.By = head.Version, head.At, head.By
		a.keep(c)
	}
	return head, err
}

// Rollback implements logbackend.ConfigLog. The documents of a rollback are known to the table only, so they are read at once.
func (a *acceptedLog) Rollback(ctx context.Context, to, expected uint64, id, by string) (configlog.Head, error) {
	head, err := a.Log.Rollback(ctx, to, expected, id, by)
	if err != nil {
		return head, err
	}
	// The version was accepted even if this read fails; the polled head row then tells of it.
	if changes, failed := a.Changes(ctx, head.Version-1); failed == nil && len(changes) > 0 {
		a.keep(changes[0])
	}
	return head, nil
}

// keep holds a change until the instance has fetched it, and has the instance fetch it.
func (a *acceptedLog) keep(c configlog.Change) {
	a.mu.Lock()
	if len(a.changes) == acceptedKept {
		clear(a.changes)
	}
	a.changes[c.Version] = c
	a.mu.Unlock()
	a.learned(c.Version)
}

// after returns the accepted changes that follow a version without a gap, and forgets older ones.
func (a *acceptedLog) after(version uint64) []configlog.Change {
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
