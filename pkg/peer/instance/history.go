package instance

import "sync"

const (
	// historyChanges and historyBytes bound the changes kept for peers. Peers that are further behind
	// take a snapshot. At 16,000 changes a day, 512 changes are 46 minutes.
	historyChanges = 512
	historyBytes   = 4 << 20
	// answerBytes bounds one answer, so that a peer far behind takes several.
	answerBytes = 1 << 20
)

// history keeps the newest applied changes without a gap.
type history struct {
	mu      sync.Mutex
	changes []ConfigChange
	bytes   int
}

// add appends an applied change. A gap drops what was kept before.
func (h *history) add(c ConfigChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.changes); n > 0 && h.changes[n-1].Version+1 != c.Version {
		h.changes, h.bytes = nil, 0
	}
	h.changes = append(h.changes, c)
	h.bytes += len(c.Content)
	for len(h.changes) > historyChanges || h.bytes > historyBytes && len(h.changes) > 1 {
		h.bytes -= len(h.changes[0].Content)
		h.changes[0] = ConfigChange{}
		h.changes = h.changes[1:]
	}
}

// after returns the changes that follow a version, or ErrTrimmed if the next one is not kept. It
// returns nothing if the version is the newest, or newer.
func (h *history) after(version, newest uint64) ([]ConfigChange, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version >= newest {
		return nil, nil
	}
	var found []ConfigChange
	size := 0
	for _, c := range h.changes {
		size += len(c.Content)
		if c.Version <= version {
			size = 0
			continue
		}
		if size > answerBytes && len(found) > 0 {
			break
		}
		found = append(found, c)
	}
	if len(found) == 0 || found[0].Version != version+1 {
		return nil, ErrTrimmed
	}
	return found, nil
}
