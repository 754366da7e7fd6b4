package instance

import "sync"

const (
	// maxLogChanges and maxLogBytes bound the changes kept for peers. Peers that are further behind
	// fetch a snapshot. At 16,000 changes a day, 512 changes are 46 minutes.
	maxLogChanges = 512
	maxLogBytes   = 4 << 20
	// maxChangesBytes bounds one response, so that a peer that is far behind fetches several.
	maxChangesBytes = 1 << 20
)

// changeLog keeps the newest applied changes without gaps.
type changeLog struct {
	mu      sync.Mutex
	changes []ConfigChange
	bytes   int
}

// add appends an applied change. If there is a gap before it, the earlier changes are dropped.
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

// after returns the changes that follow a version, or ErrTrimmed if the next one is no longer kept. It
// returns nothing if the version is the newest, or newer.
func (l *changeLog) after(version, newest uint64) ([]ConfigChange, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version >= newest {
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
