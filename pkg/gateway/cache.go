package gateway

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/revision"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// outageThreshold is the length of a store outage after which missing entries are kept for entryGracePeriod: they
	// may have expired only because their targets could not renew them during the outage either.
	outageThreshold = 2500 * time.Millisecond
	// entryGracePeriod is how long such entries are kept after the store has answered again.
	entryGracePeriod = 2 * time.Second
)

// stateCache holds the configuration and the target list that the instance has received. Requests use the published
// snapshot of them.
type stateCache struct {
	platform            Platform
	logger              *log.Logger
	maxConfigurationAge time.Duration
	sinceBoot           func() time.Duration // sinceBoot is the clock by which the configuration ages.
	snapshot            atomic.Pointer[proxy.Snapshot]
	// confirmedAt is the time since boot as of which the active configuration was last confirmed as the newest, 0 if
	// never.
	confirmedAt atomic.Int64

	mu            sync.Mutex
	targetsLoaded bool // targetsLoaded reports whether the target list was read at least once.
	catalogue     *catalogue.Catalogue
	revision      revision.Revision // revision is the store revision of the newest configuration row that could be decoded.
	// storedVersion is the version in that row, 0 if the row was not read. It is lower than the active version if the store
	// came back from an older copy.
	storedVersion uint64
	content       []byte                       // content is the active configuration as it was read.
	targets       map[string]*entry            // targets holds the stored entries, by target name.
	published     map[string]*target.Target    // published holds the targets in the snapshot, by name.
	changed       map[string]bool              // changed holds the names of targets that may differ from the snapshot.
	tombstones    map[string]revision.Revision // tombstones holds the revisions at which entries were removed.
	targetsEra    uint64                       // targetsEra is the era of the target list.
	eraStartedAt  time.Time                    // eraStartedAt is when the target list was first received in targetsEra, zero if its entries are not those of a copy.
	eraFirst      revision.Revision            // eraFirst is the revision of the first whole list of targetsEra: later rows are not those of a copy.
	reports       map[string]layerReport       // reports holds layers that targets reported ahead of their entries.
	digest        atomic.Uint64                // digest is the XOR of the entries' digests.
	buckets       [listBuckets]uint64          // buckets holds the XOR of the entries' digests in each bucket.
	listRevision  revision.Revision            // listRevision is the revision up to which the target list is complete.
	// listRevisionAt is when the list was last known to be complete up to listRevision.
	listRevisionAt time.Time
	onDrain        func(target.Target) // onDrain is called with targets to drain; see updatePublished.
	onUpdate       func(rows []Row)    // onUpdate is called with the rows that changed or removed an entry.
}

// reportTTL is how long a report takes precedence over the target's entry.
const reportTTL = 8 * time.Second

// listRevisionTTL is how long after the last read the changes of the target list since then can be read from the store. Stores keep
// them for a while only.
const listRevisionTTL = 10 * time.Second

// entry is the row of one target in the target list, with the target decoded from it.
type entry struct {
	target       target.Target
	content      []byte
	revision     revision.Revision
	dropAt       time.Time // dropAt is when an entry that is missing from the store will be dropped; zero for other entries.
	newerThanRow bool      // newerThanRow marks an entry that the row at its revision, of a copy of the store, does not replace.
	invalid      bool      // invalid marks an entry that cannot be decoded.
	digest       uint64    // digest is a hash of the target, 0 if the entry is invalid.
}

func newStateCache(p Platform, logger *log.Logger, maxAge time.Duration) *stateCache {
	return &stateCache{
		platform: p, logger: logger, maxConfigurationAge: maxAge, sinceBoot: timeSinceBoot,
		targets: make(map[string]*entry), published: make(map[string]*target.Target), changed: make(map[string]bool),
		tombstones: make(map[string]revision.Revision), reports: make(map[string]layerReport),
		onUpdate: func([]Row) {}, onDrain: func(target.Target) {},
	}
}

// Snapshot implements proxy.SnapshotSource.
func (s *stateCache) Snapshot() *proxy.Snapshot { return s.snapshot.Load() }

// Fresh implements proxy.SnapshotSource.
func (s *stateCache) Fresh() bool {
	if s.maxConfigurationAge == 0 {
		return true
	}
	at := s.confirmedAt.Load()
	return at > 0 && s.sinceBoot()-time.Duration(at) < s.maxConfigurationAge
}

// ConfigurationAge implements proxy.SnapshotSource.
func (s *stateCache) ConfigurationAge() time.Duration {
	age, _ := s.confirmationAge()
	return age
}

// confirm records that the active configuration was the newest at the given time since boot.
func (s *stateCache) confirm(at time.Duration) {
	for {
		old := s.confirmedAt.Load()
		if int64(at) <= old || s.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// confirmationAge returns the time since the active configuration was last confirmed as the newest. It reports false if
// the configuration was never confirmed.
func (s *stateCache) confirmationAge() (time.Duration, bool) {
	at := s.confirmedAt.Load()
	return s.sinceBoot() - time.Duration(at), at > 0
}

// configurationVersion returns the version of the active configuration and the store revision of the newest row that
// could be decoded; both are zero if there is none. The version is part of the configuration, the revision is assigned by
// the store.
func (s *stateCache) configurationVersion() (version uint64, at revision.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalogue == nil {
		return 0, revision.Revision{}
	}
	return s.catalogue.Version, s.revision
}

// storedConfigurationIsActive reports whether the newest row of the store is the active configuration. It is not if the
// store came back from a copy with an older version, until operators have written the newest one again.
func (s *stateCache) storedConfigurationIsActive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalogue != nil && s.storedVersion >= s.catalogue.Version
}

// configuration returns the active configuration as it was read, and the store revision of the newest row that could
// be decoded.
func (s *stateCache) configuration() (content []byte, at revision.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content, s.revision
}

// applyConfiguration records a row of the store and activates its configuration, unless a newer one is active. A version
// never goes back, also if the store does.
func (s *stateCache) applyConfiguration(row Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.Revision.Before(s.revision) || row.Removed {
		return
	}
	c, err := s.platform.DecodeConfiguration(row.Value)
	if err != nil {
		s.logger.Error().Str("Revision", row.Revision.String()).Err(err).Msg("configuration refused, it cannot be decoded")
		return
	}
	known := row.Revision == s.revision
	s.revision, s.storedVersion = row.Revision, c.Version
	if !known {
		s.activate(c, row.Value)
	}
}

// applyPeerConfiguration activates the active configuration of another instance, unless a newer one is active. at is the
// revision of the newest row that the other instance knows, which may hold an older version.
func (s *stateCache) applyPeerConfiguration(content []byte, at revision.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, err := s.platform.DecodeConfiguration(content)
	if err != nil {
		s.logger.Error().Str("Revision", at.String()).Err(err).Msg("configuration of another instance refused, it cannot be decoded")
		return
	}
	if at.After(s.revision) {
		s.revision, s.storedVersion = at, 0
	}
	s.activate(c, content)
}

// activate makes a configuration the active one, unless it is older. The lock must be held.
func (s *stateCache) activate(c *catalogue.Catalogue, content []byte) {
	if s.catalogue != nil && c.Version <= s.catalogue.Version {
		return
	}
	s.catalogue, s.content = c, content
	s.logger.Info().Uint64("Version", c.Version).Str("Revision", s.revision.String()).Msg("configuration activated")
	s.publish()
}

// applyTargets applies changes of the target list. outage is how long the store did not answer before this change was
// read.
func (s *stateCache) applyTargets(c Change, outage time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var updates []Row
	if s.observeEra(c, now) {
		outage = max(outage, outageThreshold+1) // Entries that the copy lacks may only have to be written again.
	}
	seen := make(map[string]bool, len(c.Rows))
	for _, row := range c.Rows {
		seen[row.Name] = true
		if row.Removed && s.remove(row, outage, now) || !row.Removed && s.upsert(row, now) {
			updates = append(updates, row)
		}
	}
	if c.Full {
		for name := range s.targets {
			row := Row{Name: name, Revision: c.Revision, Removed: true}
			if !seen[name] && s.remove(row, outage, now) {
				updates = append(updates, row)
			}
		}
	}
	if c.Revision.Exists() {
		s.recordListRevision(c.Revision, now)
	}
	s.publishUpdates(updates)
}

// publishUpdates publishes the target list after a change, and passes on the rows that changed an entry. The lock must be held.
func (s *stateCache) publishUpdates(updates []Row) {
	first := !s.targetsLoaded
	s.targetsLoaded = true
	if len(updates) > 0 || first {
		s.publish()
	}
	if len(updates) > 0 {
		s.onUpdate(updates)
	}
}

// upsert decodes and stores an entry, and reports whether a target was added, changed or became invalid.
func (s *stateCache) upsert(row Row, now time.Time) bool {
	old := s.targets[row.Name]
	if old != nil && (row.Revision.Before(old.revision) || old.newerThanRow && row.Revision == old.revision) || s.isGone(row, now) {
		return false
	}
	delete(s.tombstones, row.Name)
	if old != nil && old.dropAt.IsZero() && bytes.Equal(old.content, row.Value) {
		old.revision = row.Revision
		return false
	}
	t, err := s.platform.DecodeTarget(row.Name, row.Value)
	if err == nil && old != nil && s.isStaleCopy(old, t, row, now) {
		old.revision, old.dropAt, old.newerThanRow = row.Revision, time.Time{}, true
		return false
	}
	if err != nil {
		if old == nil || !old.invalid {
			s.logger.Warn().Str("Target", row.Name).Str("Revision", row.Revision.String()).Err(err).Msg("target entry skipped, it cannot be decoded")
		}
		s.put(row.Name, &entry{revision: row.Revision, content: row.Value, invalid: true})
		return old != nil && !old.invalid
	}
	s.put(row.Name, &entry{target: t, revision: row.Revision, content: row.Value, digest: targetDigest(t)})
	if old != nil && old.target.Layers != t.Layers {
		delete(s.reports, t.Name)
	}
	if old == nil || old.invalid || old.target != t {
		s.logger.Info().Str("Target", t.Name).Str("Address", t.Address.String()).Str("Service", t.Service).
			Str("State", string(t.State)).Str("Layers", t.Layers.String()).Uint64("Orders", t.Assignments).Msg("target listed")
		return true
	}
	return false
}

// remove drops an entry and reports whether it did so. After an outage of the store, it only marks the entry, which
// expire drops after entryGracePeriod.
func (s *stateCache) remove(row Row, outage time.Duration, now time.Time) bool {
	old := s.targets[row.Name]
	switch {
	case old == nil:
		s.addTombstone(row.Name, row.Revision) // An older update of the entry may still arrive.
		return false
	case row.Revision.Before(old.revision):
		return false
	case old.dropAt.IsZero() && outage > outageThreshold && !old.invalid:
		old.dropAt, old.revision = now.Add(entryGracePeriod), row.Revision
		return false
	case !old.dropAt.IsZero() && now.Before(old.dropAt):
		return false
	}
	s.drop(row.Name, row.Revision)
	s.logger.Info().Str("Target", row.Name).Msg("target gone")
	return true
}

// maxTombstones bounds the number of tombstones. When it is reached, all are cleared, and an older update that arrives
// late could restore a removed entry until the next digest shows the difference.
const maxTombstones = 4096

func (s *stateCache) addTombstone(name string, at revision.Revision) {
	if len(s.tombstones) >= maxTombstones {
		clear(s.tombstones)
	}
	s.tombstones[name] = revision.Max(s.tombstones[name], at)
}

func (s *stateCache) drop(name string, at revision.Revision) {
	s.put(name, nil)
	delete(s.reports, name)
	s.addTombstone(name, at)
}

// expire drops missing entries whose grace period is over and reports whose TTL has expired, and publishes the changes.
func (s *stateCache) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var updates []Row
	for name, e := range s.targets {
		if !e.dropAt.IsZero() && !now.Before(e.dropAt) {
			s.drop(name, e.revision)
			s.logger.Info().Str("Target", name).Msg("target gone, its entry did not return")
			updates = append(updates, Row{Name: name, Revision: e.revision, Removed: true})
		}
	}
	for name, report := range s.reports {
		if now.After(report.until) {
			delete(s.reports, name)
			s.changed[name] = true
		}
	}
	if len(s.changed) > 0 {
		s.publish()
	}
	if len(updates) > 0 {
		s.onUpdate(updates)
	}
}
