package configlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/peer/objectstore"
)

// state is the content of all documents at one version. It is immutable.
type state struct {
	version uint64
	content map[string][]byte
}

// apply returns the state after the changes, which must follow s.version.
func (s state) apply(changes []Change) state {
	next := state{version: s.version, content: maps.Clone(s.content)}
	if next.content == nil {
		next.content = map[string][]byte{}
	}
	for _, c := range changes {
		next.version = c.Version
		for _, d := range c.Documents {
			if d.Deleted {
				delete(next.content, d.Name)
				continue
			}
			next.content[d.Name] = d.Content
		}
	}
	return next
}

// documents returns the documents sorted by name.
func (s state) documents() []Document {
	documents := make([]Document, 0, len(s.content))
	for _, name := range slices.Sorted(maps.Keys(s.content)) {
		documents = append(documents, Document{Name: name, Content: s.content[name]})
	}
	return documents
}

// diff returns the documents of a change that turns s into other.
func (s state) diff(other state) []Document {
	var documents []Document
	for _, d := range other.documents() {
		if found, exists := s.content[d.Name]; !exists || !bytes.Equal(found, d.Content) {
			documents = append(documents, d)
		}
	}
	for _, d := range s.documents() {
		if _, exists := other.content[d.Name]; !exists {
			documents = append(documents, Document{Name: d.Name, Deleted: true})
		}
	}
	return documents
}

// latestState returns the state at the head and keeps it in l.state, so that the next call reads only later changes.
func (l *Log) latestState(ctx context.Context) (state, error) {
	l.mu.Lock()
	s := l.state
	l.mu.Unlock()
	s, err := l.catchUp(ctx, s)
	for n := 0; n < maxReloads && isCompactionRace(err); n++ {
		s, err = l.loadSnapshot(ctx)
		if err == nil {
			s, err = l.catchUp(ctx, s)
		}
	}
	if err != nil {
		return state{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.version > l.state.version {
		l.state = s
	}
	return s, nil
}

// isCompactionRace reports whether a concurrent compaction deleted the rows or the object to be read.
func isCompactionRace(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, objectstore.ErrNotFound)
}

// catchUp applies all changes that follow s.
func (l *Log) catchUp(ctx context.Context, s state) (state, error) {
	for {
		changes, err := l.Changes(ctx, s.version)
		if err != nil {
			return state{}, err
		}
		s = s.apply(changes)
		if len(changes) < MaxChanges {
			return s, nil
		}
	}
}

// stateAt returns the state at a version. It returns ErrCompacted if the version is older than the last snapshot, and
// *VersionNotFound if it does not exist.
func (l *Log) stateAt(ctx context.Context, version uint64) (state, error) {
	s, err := l.loadSnapshot(ctx)
	if err != nil {
		return state{}, err
	}
	if version < s.version {
		return state{}, fmt.Errorf("%w: version %d, the oldest is %d", ErrCompacted, version, s.version)
	}
	for s.version < version {
		changes, err := l.Changes(ctx, s.version)
		if err != nil {
			return state{}, err
		}
		if len(changes) == 0 {
			return state{}, &VersionNotFound{Version: version, Head: s.version}
		}
		s = s.apply(changes[:min(uint64(len(changes)), version-s.version)])
	}
	return s, nil
}

// VersionNotFound is the error of a rollback to or from a version that does not exist.
type VersionNotFound struct {
	Version uint64
	Head    uint64
}

// Error returns a message with the version and the head.
func (e *VersionNotFound) Error() string {
	return fmt.Sprintf("there is no version %d; the head is version %d", e.Version, e.Head)
}

// loadSnapshot returns the state of the last snapshot in the object store, or an empty state before the first one.
func (l *Log) loadSnapshot(ctx context.Context) (state, error) {
	var b baseRow
	if _, err := l.get(ctx, baseKey, &b); err != nil || b.Version == 0 {
		return state{}, err
	}
	content, err := l.objects.Get(ctx, b.Object)
	if err != nil {
		return state{}, fmt.Errorf("%w: snapshot %s: %w", ErrUnavailable, b.Object, err)
	}
	var documents []Document
	if err := json.Unmarshal(content, &documents); err != nil {
		return state{}, fmt.Errorf("%w: snapshot %s: %v", ErrUnavailable, b.Object, err)
	}
	return state{}.apply([]Change{{Version: b.Version, Documents: documents}}), nil
}
