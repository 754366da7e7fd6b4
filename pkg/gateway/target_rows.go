package gateway

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
	"github.com/cuminroute/cuminroute/pkg/revision"
)

// listBuckets is the number of parts of the target list that instances compare and exchange separately.
const listBuckets = 128

// maxTargetRowsBytes bounds the size of the decompressed rows that another instance sends.
const maxTargetRowsBytes = 64 << 20

// bucketOf returns the bucket of a target.
func bucketOf(name string) uint32 { return uint32(xxhash.Sum64String(name) % listBuckets) }

// targetRows are the entries of some buckets of the target list.
type targetRows struct {
	rows     []Row
	buckets  []uint32          // buckets are the buckets that rows holds whole.
	revision revision.Revision // revision is that up to which the list is complete.
	age      time.Duration     // age is the time since the list was last known to be that of an instance that reads the store.
}

// encode returns the compressed rows.
func (l targetRows) encode() ([]byte, error) {
	message := &instancepb.TargetRows{Buckets: l.buckets, AgeNs: int64(l.age)}
	for _, r := range l.rows {
		message.Rows = append(message.Rows, encodeRow(r))
	}
	content, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// decodeTargetRows decodes rows that another instance sent.
func decodeTargetRows(compressed []byte, at revision.Revision) (targetRows, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxTargetRowsBytes+1))
	if err != nil {
		return targetRows{}, errTargetRows.Wrap(err, "the target list of another instance cannot be decompressed")
	}
	if len(content) > maxTargetRowsBytes {
		return targetRows{}, errTargetRows.New("the target list of another instance exceeds %d bytes", maxTargetRowsBytes)
	}
	var message instancepb.TargetRows
	if err := proto.Unmarshal(content, &message); err != nil {
		return targetRows{}, errTargetRows.Wrap(err, "the target list of another instance cannot be decoded")
	}
	if message.GetAgeNs() < 0 {
		return targetRows{}, errTargetRows.New("the target list of another instance has a negative age")
	}
	l := targetRows{buckets: message.GetBuckets(), revision: at, age: time.Duration(message.GetAgeNs())}
	for _, r := range message.GetRows() {
		l.rows = append(l.rows, decodeRow(r, at.Era))
	}
	return l, nil
}

// bucketDigests returns a hash of each bucket of the target list, or nil if no list is known.
func (s *stateCache) bucketDigests() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.targetsLoaded {
		return nil
	}
	return append([]uint64(nil), s.buckets[:]...)
}

// targetCount returns the number of entries of the target list.
func (s *stateCache) targetCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.targets)
}

// recentListRevision returns the revision up to which the target list is complete, if that was read or received less than
// listRevisionTTL ago: the store keeps its changes for a limited time only.
func (s *stateCache) recentListRevision(now time.Time) revision.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.listRevisionAt) > listRevisionTTL {
		return revision.Revision{}
	}
	return s.listRevision
}

// rowsFor returns the entries of the buckets that differ from the given digests, for an instance with that list. It reports
// false if the list must not be handed out: it was not read yet, or its entries may be those of a copy of the store.
func (s *stateCache) rowsFor(digests []uint64) (targetRows, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.targetsLoaded || !s.eraStartedAt.IsZero() || !s.listRevision.Exists() {
		return targetRows{}, false
	}
	l := targetRows{revision: s.listRevision}
	var differs [listBuckets]bool
	for i, own := range s.buckets {
		if differs[i] = len(digests) != listBuckets || digests[i] != own; differs[i] {
			l.buckets = append(l.buckets, uint32(i))
		}
	}
	for name, e := range s.targets {
		if differs[bucketOf(name)] {
			l.rows = append(l.rows, Row{Name: name, Value: e.content, Revision: e.revision})
		}
	}
	return l, true
}

// applyPeerTargets applies buckets of another instance's target list. It reports false if they are of another era than the known
// list or configuration.
func (s *stateCache) applyPeerTargets(l targetRows, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.revision.Exists() || s.targetsLoaded && l.revision.Era != s.targetsEra || l.revision.Era < s.revision.Era {
		return false
	}
	s.targetsEra = l.revision.Era
	var covered [listBuckets]bool
	for _, b := range l.buckets {
		covered[b%listBuckets] = true
	}
	var updates []Row
	seen := make(map[string]bool, len(l.rows))
	for _, row := range l.rows {
		seen[row.Name] = true
		if s.upsert(row, now) {
			updates = append(updates, row)
		}
	}
	for name := range s.targets {
		row := Row{Name: name, Revision: l.revision, Removed: true}
		if covered[bucketOf(name)] && !seen[name] && s.remove(row, 0, now) {
			updates = append(updates, row)
		}
	}
	s.recordListRevision(l.revision, now)
	s.publishUpdates(updates)
	return true
}

// recordListRevision records that the target list is complete up to a revision. The lock must be held.
func (s *stateCache) recordListRevision(at revision.Revision, now time.Time) {
	if !at.Before(s.listRevision) {
		s.listRevision, s.listRevisionAt = at, now
	}
}
