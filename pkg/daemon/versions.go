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

// activeConfiguration holds the active configuration and replaces it by newer versions. It reads the
// configuration log for the node, and keeps the documents of the active configuration to serve snapshots to peers.
type activeConfiguration struct {
	log    *acceptedLog
	active atomic.Pointer[configuration.Configuration]

	mu        sync.Mutex
	version   uint64
	documents map[string]configlog.Document
}

// snapshotContent is the content of a snapshot that instances exchange.
type snapshotContent struct {
	Documents []configlog.Document `json:"Documents"`
}

func newActiveConfiguration(l *acceptedLog) *activeConfiguration {
	v := &activeConfiguration{log: l, documents: make(map[string]configlog.Document)}
	v.active.Store(configuration.BuildIndex(&configuration.Configuration{}))
	return v
}

// current returns the active configuration. It is empty before the first version.
func (v *activeConfiguration) current() *configuration.Configuration {
	return v.active.Load()
}

// currentOrNil returns the active configuration, nil before the first version. With an empty
// configuration, an instance that is not ready would reject the key of every client as invalid.
func (v *activeConfiguration) currentOrNil() *configuration.Configuration {
	c := v.current()
	if c.Version == 0 {
		return nil
	}
	return c
}

// Head implements instance.ConfigSource.
func (v *activeConfiguration) Head(ctx context.Context) (uint64, error) {
	head, err := v.log.Head(ctx)
	return head.Version, err
}

// Changes implements instance.ConfigSource. Changes that this instance accepted are not read from the table.
func (v *activeConfiguration) Changes(ctx context.Context, after uint64) ([]instance.ConfigChange, error) {
	changes, err := v.log.changesAfter(after), error(nil)
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

// Snapshot returns the active configuration, for peers that start without one.
func (v *activeConfiguration) Snapshot(context.Context) (instance.ConfigSnapshot, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	content, err := json.Marshal(snapshotContent{Documents: slices.Collect(maps.Values(v.documents))})
	return instance.ConfigSnapshot{Version: v.version, Content: content}, err
}

// Apply implements instance.ConfigApplier.
func (v *activeConfiguration) Apply(_ context.Context, c instance.ConfigChange) error {
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
	return v.activate(c.Version, documents)
}

// ApplySnapshot implements instance.ConfigApplier.
func (v *activeConfiguration) ApplySnapshot(_ context.Context, s instance.ConfigSnapshot) error {
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
	return v.activate(s.Version, documents)
}

// activate makes documents the active configuration. Versions only increase. The caller must hold v.mu.
func (v *activeConfiguration) activate(version uint64, documents map[string]configlog.Document) error {
	if version <= v.version {
		return errOldVersion.New("version %d is not newer than the active version %d", version, v.version)
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
	v.active.Store(configuration.BuildIndex(joined))
	return nil
}

// logSource is the configuration source of the node. Its Snapshot reads the configuration log, while that of
// activeConfiguration returns the active configuration.
type logSource struct {
	*activeConfiguration
}

// Snapshot implements instance.ConfigSource.
func (s logSource) Snapshot(ctx context.Context) (instance.ConfigSnapshot, error) {
	c, err := s.log.Snapshot(ctx)
	if err != nil {
		return instance.ConfigSnapshot{}, err
	}
	content, err := json.Marshal(snapshotContent{Documents: configlog.Split(c)})
	return instance.ConfigSnapshot{Version: c.Version, Content: content}, err
}
