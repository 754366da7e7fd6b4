package configlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/sleep"
)

const (
	// DefaultResolveTimeout is how long Apply retries a transaction whose response was lost.
	DefaultResolveTimeout = 5 * time.Second
	// initialBackoff and maxBackoff bound the delay between the attempts of Apply.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	// inlineLimit is the size above which a change's documents are stored in the object store. A workspace document has
	// about 2 KB, so the table holds nearly all changes.
	inlineLimit = 64 << 10
	// pageSize is the maximum number of change rows in one read: 200 KB with documents of 2 KB.
	pageSize = 100
	// MaxChanges is the maximum number of changes that Changes returns.
	MaxChanges = 500
	// maxReloads bounds how often a read restarts at the snapshot because a concurrent compaction deleted its rows.
	maxReloads = 5
)

// Table is the part of the table client that the log uses.
type Table interface {
	Commit(ctx context.Context, t table.Transaction) (table.Result, error)
	Get(ctx context.Context, key string) (table.Row, error)
	Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
}

// ObjectStore is the part of the object store client that the log uses.
type ObjectStore interface {
	Put(ctx context.Context, name string, content []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// Log reads and writes the configuration log. It is safe for concurrent use, and any number of Logs may use one table.
type Log struct {
	table          Table
	objects        ObjectStore
	resolveTimeout time.Duration
	now            func() time.Time
	sleep          func(ctx context.Context, d time.Duration) error

	mu    sync.Mutex
	state state // state is the latest state read, to which Snapshot applies the changes that follow.
}

// Option configures a Log.
type Option func(*Log)

// WithObjectStore sets the object store. Without one, large changes are refused and Compact fails.
func WithObjectStore(o ObjectStore) Option { return func(l *Log) { l.objects = o } }

// WithResolveTimeout sets how long Apply retries a transaction whose response was lost.
func WithResolveTimeout(d time.Duration) Option { return func(l *Log) { l.resolveTimeout = d } }

// WithClock replaces the clock that sets the time of changes and measures the timeout of Apply.
func WithClock(now func() time.Time) Option { return func(l *Log) { l.now = now } }

// WithSleep replaces the function that waits between two attempts of Apply.
func WithSleep(sleep func(ctx context.Context, d time.Duration) error) Option {
	return func(l *Log) { l.sleep = sleep }
}

// New returns a log on the table.
func New(t Table, opts ...Option) *Log {
	l := &Log{table: t, objects: noObjectStore{}, resolveTimeout: DefaultResolveTimeout, now: time.Now, sleep: sleep.For}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Head returns the head of the log. Its version is 0 before the first change.
func (l *Log) Head(ctx context.Context) (Head, error) {
	head, _, err := l.head(ctx)
	return head, err
}

func (l *Log) head(ctx context.Context) (Head, uint64, error) {
	var head Head
	revision, err := l.get(ctx, headKey, &head)
	return head, revision, err
}

// get decodes the value of a row into the variable that into points to. If there is no row, it returns revision 0 and
// leaves the variable unchanged.
func (l *Log) get(ctx context.Context, key string, into any) (revision uint64, err error) {
	row, err := l.table.Get(ctx, key)
	if errors.Is(err, table.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err := json.Unmarshal(row.Value, into); err != nil {
		return 0, fmt.Errorf("%w: row %s: %v", ErrUnavailable, key, err)
	}
	return row.Revision, nil
}

// Changes returns up to MaxChanges changes that follow a version, in order of version. It returns ErrCompacted if the
// first of them was replaced by a snapshot.
func (l *Log) Changes(ctx context.Context, after uint64) ([]Change, error) {
	changes, err := l.scanChanges(ctx, after, MaxChanges)
	if err != nil {
		return nil, err
	}
	for n := range changes {
		if changes[n], err = l.loadDocuments(ctx, changes[n]); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

// scanChanges reads up to limit change rows, without the documents of large changes.
func (l *Log) scanChanges(ctx context.Context, after uint64, limit int) ([]Change, error) {
	var changes []Change
	for len(changes) < limit {
		size := min(pageSize, limit-len(changes))
		rows, err := l.table.Scan(ctx, changesPrefix, changeKey(after), size)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		for _, row := range rows {
			var c Change
			if err := json.Unmarshal(row.Value, &c); err != nil {
				return nil, fmt.Errorf("%w: row %s: %v", ErrUnavailable, row.Key, err)
			}
			if c.Version != after+1 {
				return nil, fmt.Errorf("%w: version %d", ErrCompacted, after+1)
			}
			changes, after = append(changes, c), c.Version
		}
		if len(rows) < size {
			break
		}
	}
	return changes, nil
}

// Snapshot returns the configuration at the last version, including the changes after the last snapshot in the object
// store.
func (l *Log) Snapshot(ctx context.Context) (*configuration.Configuration, error) {
	s, err := l.latestState(ctx)
	if err != nil {
		return nil, err
	}
	c, err := Join(s.documents())
	if err != nil {
		return nil, err
	}
	c.Version = s.version
	return c, nil
}

// History returns up to limit changes that are not yet in a snapshot, the latest first, without the documents of large
// changes.
func (l *Log) History(ctx context.Context, limit int) ([]Change, error) {
	head, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	after := head.Version - min(head.Version, uint64(max(limit, 0)))
	var base baseRow
	if _, err := l.get(ctx, baseKey, &base); err != nil {
		return nil, err
	}
	changes, err := l.scanChanges(ctx, max(after, base.Version), limit)
	if err != nil {
		return nil, err
	}
	return reversed(changes), nil
}
