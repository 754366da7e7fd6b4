package gateway

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// outage is the time without an answer of the store after which entries that went missing are kept for a while:
	// they may have lapsed only because their targets could not renew them either.
	outage = 2500 * time.Millisecond
	// returnGrace is how long such entries are kept after the store has answered again.
	returnGrace = 2 * time.Second
)

// knowledge is what the instance has read of configuration and targets. Readers use the published view.
type knowledge struct {
	platform  Platform
	logger    *log.Logger
	proofLife time.Duration
	view      atomic.Pointer[proxy.Snapshot]
	proven    atomic.Int64 // proven is the boot time at which the configuration in force was the newest.

	mu        sync.Mutex
	listed    bool // listed means that the list was read at least once.
	catalogue *catalogue.Catalogue
	revision  uint64 // revision is the store's, of the configuration in force.
	content   []byte
	targets   map[string]*listed
	shown     map[string]*target.Target // shown are the targets in the view.
	changed   map[string]bool           // changed names the targets that may differ from the view.
	gone      map[string]uint64         // gone holds the revisions at which entries were removed.
	heard     map[string]heard          // heard holds the layers that targets reported before their entries.
	digest    atomic.Uint64             // digest is a hash of the targets listed.
	vacated   func(target.Target)       // vacated takes the targets that give up layers or leave.
	news      func(rows []Row)          // news takes the entries that changed something.
}

// heardLife is how long a report goes before the target's entry.
const heardLife = 8 * time.Second

// listed is an entry of the list.
type listed struct {
	target   target.Target
	content  []byte
	revision uint64
	missing  time.Time // missing is when an entry that is kept will be dropped; zero if it is there.
	refused  bool      // refused entries cannot be decoded.
	digest   uint64    // digest is a hash of the target, 0 if it is refused.
}

func newKnowledge(p Platform, logger *log.Logger, proofLife time.Duration) *knowledge {
	return &knowledge{
		platform: p, logger: logger, proofLife: proofLife,
		targets: make(map[string]*listed), shown: make(map[string]*target.Target), changed: make(map[string]bool),
		gone: make(map[string]uint64), heard: make(map[string]heard), news: func([]Row) {}, vacated: func(target.Target) {},
	}
}

// Snapshot implements proxy.SnapshotSource.
func (k *knowledge) Snapshot() *proxy.Snapshot { return k.view.Load() }

// Fresh implements proxy.SnapshotSource.
func (k *knowledge) Fresh() bool {
	if k.proofLife == 0 {
		return true
	}
	proven := k.proven.Load()
	return proven > 0 && bootTime()-time.Duration(proven) < k.proofLife
}

// ConfigurationAge implements proxy.SnapshotSource.
func (k *knowledge) ConfigurationAge() time.Duration {
	age, _ := k.age()
	return age
}

// prove notes that the configuration in force was the newest at a boot time.
func (k *knowledge) prove(at time.Duration) {
	for {
		old := k.proven.Load()
		if int64(at) <= old || k.proven.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// age returns how long ago the configuration in force was the newest.
func (k *knowledge) age() (time.Duration, bool) {
	proven := k.proven.Load()
	return bootTime() - time.Duration(proven), proven > 0
}

// version returns the version in force and its revision; 0 means none.
func (k *knowledge) version() (version, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.catalogue == nil {
		return 0, 0
	}
	return k.catalogue.Version, k.revision
}

// document returns the configuration in force as it was read, and its revision.
func (k *knowledge) document() (content []byte, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.content, k.revision
}

// configure puts a configuration in force, unless a newer one is.
func (k *knowledge) configure(row Row) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if row.Revision <= k.revision || row.Removed {
		return
	}
	c, err := k.platform.DecodeConfiguration(row.Value)
	if err != nil {
		k.logger.Error().Uint64("Revision", row.Revision).Err(err).Msg("configuration refused")
		return
	}
	k.revision = row.Revision
	if k.catalogue != nil && c.Version <= k.catalogue.Version {
		return
	}
	k.catalogue, k.content = c, row.Value
	k.logger.Info().Uint64("Version", c.Version).Uint64("Revision", row.Revision).Msg("configuration in force")
	k.publish()
}

// list takes in changes of the list of targets. Silent is how long the store had not answered before.
func (k *knowledge) list(c Change, silent time.Duration, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var news []Row
	seen := make(map[string]bool, len(c.Rows))
	for _, row := range c.Rows {
		seen[row.Name] = true
		if row.Removed && k.miss(row, silent, now) || !row.Removed && k.take(row) {
			news = append(news, row)
		}
	}
	if c.Full {
		for name := range k.targets {
			row := Row{Name: name, Revision: c.Revision, Removed: true}
			if !seen[name] && k.miss(row, silent, now) {
				news = append(news, row)
			}
		}
	}
	first := !k.listed
	k.listed = true
	if len(news) > 0 || first {
		k.publish()
	}
	if len(news) > 0 {
		k.news(news)
	}
}

// take decodes an entry and reports whether it changed anything.
func (k *knowledge) take(row Row) bool {
	old := k.targets[row.Name]
	if old != nil && row.Revision < old.revision || row.Revision < k.gone[row.Name] {
		return false
	}
	delete(k.gone, row.Name)
	if old != nil && old.missing.IsZero() && bytes.Equal(old.content, row.Value) {
		old.revision = row.Revision
		return false
	}
	t, err := k.platform.DecodeTarget(row.Name, row.Value)
	if err != nil {
		if old == nil || !old.refused {
			k.logger.Warn().Str("Target", row.Name).Uint64("Revision", row.Revision).Err(err).Msg("entry skipped")
		}
		k.put(row.Name, &listed{revision: row.Revision, content: row.Value, refused: true})
		return old != nil && !old.refused
	}
	k.put(row.Name, &listed{target: t, revision: row.Revision, content: row.Value, digest: digestOf(t)})
	if old != nil && old.target.Layers != t.Layers {
		delete(k.heard, t.Name)
	}
	if old == nil || old.refused || old.target != t {
		k.logger.Info().Str("Target", t.Name).Str("Address", t.Address.String()).Str("Service", t.Service).
			Str("State", string(t.State)).Str("Layers", t.Layers.String()).Uint64("Orders", t.Assignments).Msg("target listed")
		return true
	}
	return false
}

// miss drops an entry, at once or, after an outage of the store, some time later.
func (k *knowledge) miss(row Row, silent time.Duration, now time.Time) bool {
	old := k.targets[row.Name]
	switch {
	case old == nil:
		k.noteGone(row.Name, row.Revision) // News of the entry itself may come later.
		return false
	case row.Revision < old.revision:
		return false
	case old.missing.IsZero() && silent > outage && !old.refused:
		old.missing, old.revision = now.Add(returnGrace), row.Revision
		return false
	case !old.missing.IsZero() && now.Before(old.missing):
		return false
	}
	k.drop(row.Name, row.Revision)
	k.logger.Info().Str("Target", row.Name).Msg("target gone")
	return true
}

// maxGone bounds the removed entries remembered. An older one that arrives late could return until the next digest.
const maxGone = 4096

func (k *knowledge) noteGone(name string, revision uint64) {
	if len(k.gone) >= maxGone {
		clear(k.gone)
	}
	k.gone[name] = max(k.gone[name], revision)
}

func (k *knowledge) drop(name string, revision uint64) {
	k.put(name, nil)
	delete(k.heard, name)
	k.noteGone(name, revision)
}

// expire drops the missing entries and the reports whose time has come.
func (k *knowledge) expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var news []Row
	for name, l := range k.targets {
		if !l.missing.IsZero() && !now.Before(l.missing) {
			k.drop(name, l.revision)
			k.logger.Info().Str("Target", name).Msg("target gone, its entry did not return")
			news = append(news, Row{Name: name, Revision: l.revision, Removed: true})
		}
	}
	for name, h := range k.heard {
		if now.After(h.until) {
			delete(k.heard, name)
			k.changed[name] = true
		}
	}
	if len(k.changed) > 0 {
		k.publish()
	}
	if len(news) > 0 {
		k.news(news)
	}
}
