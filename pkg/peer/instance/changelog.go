package instance

import "sync"

const (
	// maxLogChanges and maxLogBytes bound the changes kept for peers. Peers that need older changes
	// fetch a snapshot. At 16,000 changes a day, 512 changes are 46 minutes.
	maxLogChanges = 512
	maxLogBytes   = 4 << 20
	// maxChangesBytes bounds the changes in one response. A peer that needs more makes several calls.
	maxChangesBytes = 1 << 20
)

// changeLog keeps the latest applied changes, without gaps between their versions.
type changeLog struct {
	mu      sync.Mutex
	changes []ConfigChange
	bytes   int
}

// add appends an applied change, and drops the oldest ones over the bounds. If the change does not follow the last one,
// all earlier changes are dropped.
func (l *changeLog) add(c ConfigChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.changes); n > 0 && l.changes[n-1].Version+1 != c.Version {
		l.changes, l.bytes = nil, 0
	}
	l.changes = append(l.changes, c)
	l.bytes += len(c.Content)
	for len(l.changes) > maxLogChanges || l.bytes > maxLogBytes && len(l.changes) > 1 {
		l.bytes -= len(l.changes[0].Content)
		l.changes[0] = ConfigChange{}
		l.changes = l.changes[1:]
	}
}

// after returns the changes that follow a version, as many as fit maxChangesBytes, or ErrTrimmed if the first of them
// is no longer kept. It returns no changes if the version is not lower than the active one.
func (l *changeLog) after(version, active uint64) ([]ConfigChange, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version >= active {
		return nil, nil
	}
	var found []ConfigChange
	size := 0
	for _, c := range l.changes {
		size += len(c.Content)
		if c.Version <= version {
			size = 0
			continue
		}
		if size > maxChangesBytes && len(found) > 0 {
			break
		}
		found = append(found, c)
	}
	if len(found) == 0 || found[0].Version != version+1 {
		return nil, ErrTrimmed
	}
	return found, nil
}
