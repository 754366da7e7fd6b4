package configlog_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/configlog"
	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/finding"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

var ctx = context.Background()

func init() {
	// A fixed seed makes runs reproducible; the command line can still set another.
	_ = flag.Set("rapid.seed", "1")
}

// newLog returns a log whose sleep function advances its clock instead of waiting.
func newLog(m *memoryStore) *configlog.Log {
	now := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	return configlog.New(m,
		configlog.WithObjectStore(memoryObjects{m}),
		configlog.WithResolveTimeout(100*time.Millisecond),
		configlog.WithClock(func() time.Time { return now }),
		configlog.WithSleep(func(_ context.Context, d time.Duration) error { now = now.Add(d); return nil }),
	)
}

func workspace(name string, weight int) configlog.Document {
	c := &configuration.Configuration{Workspaces: []configuration.Workspace{{Name: name, Weight: weight}}}
	return configlog.Split(c)[1]
}

// change is the oracle's record of one change ID.
type change struct {
	sent    configlog.Change
	acked   uint64 // acked is the version that Apply returned.
	refused bool   // refused means that every Apply reported that the change has no effect.
}

// oracle applies concurrent changes under faults and checks the log against a model.
type oracle struct {
	store     *memoryStore
	logs      []*configlog.Log // logs are the logs of concurrent operators.
	changes   map[string]*change
	committed []string          // committed holds the IDs of the committed changes in order of version.
	model     map[string]string // model maps the name of a document to its content at the last committed version.
	nextID    int
	// compacted is an upper bound of the versions whose rows were deleted.
	compacted int
}

// require fails the check unless ok. Quicktest does not take a *rapid.T.
func require(t *rapid.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

func (o *oracle) apply(t *rapid.T) {
	log := rapid.SampledFrom(o.logs).Draw(t, "log")
	c := o.drawChange(t)
	nextFault := o.store.nextFault
	if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
		// Another operator's change is committed between the read and the write of this one.
		other := o.drawChange(t)
		o.store.nextFault = func() fault {
			o.store.nextFault = nextFault
			o.store.withoutFaults(func() { o.send(t, o.logs[0], other) })
			return nextFault()
		}
	}
	o.send(t, log, c)
	o.store.nextFault = nextFault
}

// drawChange returns a new change or one that was sent before.
func (o *oracle) drawChange(t *rapid.T) *change {
	if o.nextID > 0 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
		return o.changes[fmt.Sprint("id", rapid.IntRange(0, o.nextID-1).Draw(t, "which"))]
	}
	expected := len(o.committed) - rapid.SampledFrom([]int{0, 0, 0, 1, -1}).Draw(t, "behind")
	document := workspace(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), o.nextID)
	document.Deleted = rapid.IntRange(0, 5).Draw(t, "delete") == 0
	c := &change{refused: true, sent: configlog.Change{
		Expected: uint64(max(0, expected)), ID: fmt.Sprint("id", o.nextID), By: "ana",
		Documents: []configlog.Document{document},
	}}
	o.changes[c.sent.ID] = c
	o.nextID++
	return c
}

func (o *oracle) send(t *rapid.T, log *configlog.Log, c *change) {
	head, err := log.Apply(ctx, c.sent)
	var conflict *configlog.Conflict
	switch {
	case err == nil:
		require(t, c.acked == 0 || c.acked == head.Version, "change %s has versions %d and %d", c.sent.ID, c.acked, head.Version)
		c.acked, c.refused = head.Version, false
	case errors.Is(err, configlog.ErrUnknown):
		c.refused = false
	case errors.As(err, &conflict):
		if index := slices.Index(o.committed, c.sent.ID); index >= 0 && index < o.compacted {
			// The ID row of a compacted change was deleted.
			return
		}
		require(t, conflict.ConflictingChange.ID != c.sent.ID, "change %s conflicts with itself", c.sent.ID)
		require(t, c.acked == 0, "acknowledged change %s returns a conflict", c.sent.ID)
		// After a conflict no earlier attempt can take effect any more.
		c.refused = true
	default:
		require(t, errors.Is(err, configlog.ErrUnavailable), "%v", err)
	}
}

func (o *oracle) rollback(t *rapid.T) {
	if len(o.committed) == 0 {
		return
	}
	to, head := uint64(rapid.IntRange(0, len(o.committed)).Draw(t, "to")), uint64(len(o.committed))
	id := fmt.Sprint("rollback", o.nextID, head)
	o.changes[id] = &change{sent: configlog.Change{ID: id}}
	_, _ = o.logs[0].Rollback(ctx, to, head, id, "ana")
}

func (o *oracle) compact(t *rapid.T) {
	const keep = 3
	if rapid.IntRange(0, 3).Draw(t, "compact") == 0 {
		_ = o.logs[1].Compact(ctx, keep)
		o.compacted = max(o.compacted, len(o.committed)-keep)
	}
}

// check reads the new changes and compares the log with the results that Apply returned to the operators.
func (o *oracle) check(t *rapid.T) {
	o.store.withoutFaults(func() {
		fresh := newLog(o.store)
		added, err := fresh.Changes(ctx, uint64(len(o.committed)))
		require(t, err == nil, "%v", err)
		for _, c := range added {
			o.committed = append(o.committed, c.ID)
			require(t, c.Version == uint64(len(o.committed)), "version %d follows %d", c.Version, len(o.committed)-1)
			require(t, !o.changes[c.ID].refused, "refused change %s was committed", c.ID)
			for _, d := range c.Documents {
				o.model[d.Name] = string(d.Content)
				if d.Deleted {
					delete(o.model, d.Name)
				}
			}
		}
		for id, c := range o.changes {
			require(t, c.acked == 0 || o.committed[c.acked-1] == id, "acknowledged change %s was not committed", id)
		}
		for _, log := range append(o.logs, fresh) {
			o.checkSnapshot(t, log)
		}
	})
}

func (o *oracle) checkSnapshot(t *rapid.T, log *configlog.Log) {
	got, err := log.Snapshot(ctx)
	require(t, err == nil, "%v", err)
	require(t, got.Version == uint64(len(o.committed)), "the snapshot has version %d of %d", got.Version, len(o.committed))
	documents := map[string]string{}
	for _, d := range configlog.Split(got)[1:] {
		documents[d.Name] = string(d.Content)
	}
	require(t, maps.Equal(documents, o.model), "the snapshot is %v, not %v", documents, o.model)
}

// TestRacingOperators guards against versions that decrease or are skipped, acknowledged changes that are missing, and
// refused changes that are committed, under lost, delayed and refused transactions, compaction and rollback.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemoryStore()
		o := &oracle{store: m, changes: map[string]*change{}, model: map[string]string{}}
		for range 3 {
			o.logs = append(o.logs, newLog(m))
		}
		m.nextFault = func() fault { return rapid.SampledFrom(faults).Draw(t, "fault") }
		m.failRead = func() bool { return rapid.IntRange(0, 9).Draw(t, "read") == 0 }
		t.Repeat(map[string]func(*rapid.T){
			"apply":    o.apply,
			"again":    o.apply,
			"rollback": o.rollback,
			"compact":  o.compact,
			"flush":    func(*rapid.T) { m.flush() },
			"":         o.check,
		})
	})
}

// TestConflictDescribesOtherChange guards against a conflict that does not name the author and the documents of the
// change that was committed first, and against a reused change ID or a missing version that is not detected.
func TestConflictDescribesOtherChange(t *testing.T) {
	m := newMemoryStore()
	log := newLog(m)
	documents := []configlog.Document{workspace("a", 1)}
	_, err := log.Apply(ctx, configlog.Change{ID: "1", By: "ana", Documents: documents})
	qt.Assert(t, err, qt.IsNil)
	_, err = log.Apply(ctx, configlog.Change{ID: "2", By: "ivo", Documents: documents})
	var conflict *configlog.Conflict
	qt.Assert(t, errors.As(err, &conflict), qt.IsTrue)
	qt.Assert(t, conflict.ConflictingChange.By, qt.Equals, "ana")
	qt.Assert(t, conflict.ConflictingChange.Documents, qt.DeepEquals, documents)
	_, err = log.Apply(ctx, configlog.Change{ID: "1", By: "ana", Documents: []configlog.Document{workspace("a", 2)}})
	qt.Assert(t, err, qt.ErrorIs, configlog.ErrIDReused)
	_, err = log.Rollback(ctx, 5, 1, "3", "ana")
	var missing *configlog.VersionNotFound
	qt.Assert(t, errors.As(err, &missing), qt.IsTrue)
	_, err = log.Rollback(ctx, 0, 1, "4", "ana")
	qt.Assert(t, err, qt.IsNil)
	history, err := log.History(ctx, 1)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, history, qt.HasLen, 1)
	qt.Assert(t, history[0].Documents, qt.DeepEquals, []configlog.Document{{Name: "Workspace/a", Deleted: true}})
}

// TestLargeChanges guards against rows that exceed the table's limits, and against snapshots without the documents of
// large changes.
func TestLargeChanges(t *testing.T) {
	m := newMemoryStore()
	log := newLog(m)
	c := &configuration.Configuration{Workspaces: []configuration.Workspace{
		{Name: "large", Services: []string{strings.Repeat("x", 100<<10)}},
		{Name: "small"},
	}}
	for n := range 3 {
		_, err := log.Apply(ctx, configlog.Change{Expected: uint64(n), ID: fmt.Sprint(n), By: "ana", Documents: configlog.Split(c)})
		qt.Assert(t, err, qt.IsNil)
	}
	for _, row := range m.rows {
		qt.Assert(t, len(row.Value) < 10<<10, qt.IsTrue)
	}
	qt.Assert(t, log.Compact(ctx, 1), qt.IsNil)
	qt.Assert(t, m.objects, qt.HasLen, 2, qt.Commentf("the snapshot and the documents of the last change"))
	got, err := newLog(m).Snapshot(ctx)
	qt.Assert(t, err, qt.IsNil)
	c.Version = 3
	qt.Assert(t, got, qt.DeepEquals, c)
	_, err = log.Changes(ctx, 1)
	qt.Assert(t, err, qt.ErrorIs, configlog.ErrCompacted)
	_, err = configlog.New(m).Snapshot(ctx)
	qt.Assert(t, err, qt.ErrorIs, configlog.ErrUnavailable)
}

// TestInvalidChange guards against a committed document that no instance can decode, and against findings that are
// reported one at a time.
func TestInvalidChange(t *testing.T) {
	_, err := newLog(newMemoryStore()).Apply(ctx, configlog.Change{ID: "1", Documents: []configlog.Document{
		{Name: "Workspace/a", Content: []byte(`{"Name":"b"}`)},
		{Name: "HeadOffice", Content: []byte(`{`)},
		{Name: "Elsewhere", Content: []byte(`{}`)},
		{Name: "HeadOffice", Deleted: true},
	}})
	var findings *finding.Error
	qt.Assert(t, errors.As(err, &findings), qt.IsTrue)
	qt.Assert(t, findings.Findings, qt.HasLen, 5)
}

var _ configlog.Table = (*table.Client)(nil)
