package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cuminroute/cuminroute/pkg/configlog"
	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/instance"
)

// versions holds the configuration in force and puts newer versions into force. It reads the
// configuration log for the node and keeps the documents, so that peers can be given a snapshot.
type versions struct {
	log     *acceptedLog
	inForce atomic.Pointer[configuration.Configuration]

	mu        sync.Mutex
	version   uint64
	documents map[string]configlog.Document
}

// snapshotContent is what travels between instances as a snapshot.
type snapshotContent struct {
	Documents []configlog.Document `json:"Documents"`
}

func newVersions(l *acceptedLog) *versions {
	v := &versions{log: l, documents: make(map[string]configlog.Document)}
	v.inForce.Store(configuration.BuildIndex(&configuration.Configuration{}))
	return v
}

// current returns the configuration in force. It is empty before the first version.
func (v *versions) current() *configuration.Configuration {
	return v.inForce.Load()
}

// received returns the configuration in force, nil before the first version. Without the difference,
// an instance that is not ready would tell every caller that its key is invalid.
func (v *versions) received() *configuration.Configuration {
	c := v.current()
	if c.Version == 0 {
		return nil
	}
	return c
}

// Head implements instance.Source.
func (v *versions) Head(ctx context.Context) (uint64, error) {
	head, err := v.log.Head(ctx)
	return head.Version, err
}

// Changes implements instance.Source. Changes that were accepted here need no read of the table.
func (v *versions) Changes(ctx context.Context, after uint64) ([]instance.ConfigChange, error) {
	changes, err := v.log.after(after), error(nil)
	if len(changes) == 0 {
		changes, err = v.log.Changes(ctx, after)
	}
	if errors.Is(err, configlog.ErrCompacted) {
		return nil, instance.ErrTrimmed
	}
	if err != nil {
		return nil, err
	}
	encoded := make([]instance.ConfigChange, 0, len(changes))
	for _, c := range changes {
		content, err := json.Marshal(c)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, instance.ConfigChange{Version: c.Version, Content: content})
	}
	return encoded, nil
}

// Snapshot returns the configuration in force, for peers that start without one.
func (v *versions) Snapshot(context.Context) (instance.ConfigSnapshot, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	content, err := json.Marshal(snapshotContent{Documents: slices.Collect(maps.Values(v.documents))})
	return instance.ConfigSnapshot{Version: v.version, Content: content}, err
}

// Apply implements instance.Applier.
func (v *versions) Apply(_ context.Context, c instance.ConfigChange) error {
	var change configlog.Change
	if err := json.Unmarshal(c.Content, &change); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	documents := maps.Clone(v.documents)
	for _, d := range change.Documents {
		if d.Deleted {
			delete(documents, d.Name)
			continue
		}
		documents[d.Name] = d
	}
	return v.put(c.Version, documents)
}

// ApplySnapshot implements instance.Applier.
func (v *versions) ApplySnapshot(_ context.Context, s instance.ConfigSnapshot) error {
	var content snapshotContent
	if err := json.Unmarshal(s.Content, &content); err != nil {
		return err
	}
	documents := make(map[string]configlog.Document, len(content.Documents))
	for _, d := range content.Documents {
		documents[d.Name] = d
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.put(s.Version, documents)
}

// put puts documents into force. Versions only rise; the caller holds the lock.
func (v *versions) put(version uint64, documents map[string]configlog.Document) error {
	if version <= v.version {
		return errOldVersion.New("version %d is not above version %d, which is in force", version, v.version)
	}
	ordered := slices.SortedFunc(maps.Values(documents), func(a, b configlog.Document) int {
		return strings.Compare(a.Name, b.Name)
	})
	joined, err := configlog.Join(ordered)
	if err != nil {
		return err
	}
	joined.Version = version
	v.version, v.documents = version, documents
	v.inForce.Store(configuration.BuildIndex(joined))
	return nil
}

// source lets the node read the configuration log. It differs from versions in Snapshot, which
// comes from the log and not from what is in force here.
type source struct {
	*versions
}

// Snapshot implements instance.Source.
func (s source) Snapshot(ctx context.Context) (instance.ConfigSnapshot, error) {
	c, err := s.log.Snapshot(ctx)
	if err != nil {
		return instance.ConfigSnapshot{}, err
	}
	content, err := json.Marshal(snapshotContent{Documents: configlog.Split(c)})
	return instance.ConfigSnapshot{Version: c.Version, Content: content}, err
}
