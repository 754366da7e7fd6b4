package configlog_test

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/cuminroute/cuminroute/pkg/peer/objectstore"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

// fault is a fault that is injected into one transaction.
type fault string

const (
	none         fault = "None"
	refused      fault = "Refused" // refused: no effect, returns ErrUnavailable.
	responseLost fault = "Lost"    // responseLost: takes effect, returns ErrUnknown.
	requestLost  fault = "Never"   // requestLost: no effect, returns ErrUnknown.
	delayed      fault = "Late"    // delayed: returns ErrUnknown, takes effect when flush is called.
)

var faults = []fault{none, none, none, refused, responseLost, requestLost, delayed}

// memoryStore is an in-memory table and object store with injected faults. It is not safe for concurrent use.
type memoryStore struct {
	rows      map[string]table.Row
	objects   map[string][]byte
	revision  uint64
	nextFault func() fault        // nextFault returns the fault of the next transaction.
	failRead  func() bool         // failRead reports whether the next table read or object write fails.
	delayed   []table.Transaction // delayed are the transactions that flush applies.
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		rows: map[string]table.Row{}, objects: map[string][]byte{},
		nextFault: func() fault { return none }, failRead: func() bool { return false },
	}
}

func (m *memoryStore) Commit(_ context.Context, t table.Transaction) (table.Result, error) {
	switch m.nextFault() {
	case refused:
		return table.Result{}, table.ErrUnavailable
	case requestLost:
		return table.Result{}, table.ErrUnknown
	case responseLost:
		m.apply(t)
		return table.Result{}, table.ErrUnknown
	case delayed:
		m.delayed = append(m.delayed, t)
		return table.Result{}, table.ErrUnknown
	default:
		return m.apply(t), nil
	}
}

func (m *memoryStore) apply(t table.Transaction) table.Result {
	var failed []table.Row
	for _, c := range t.Conditions {
		if row := m.rows[c.Key]; row.Revision != c.Revision {
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return table.Result{Failed: failed}
	}
	m.revision++
	for _, w := range t.Writes {
		m.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Revision: m.revision}
		if w.Delete {
			delete(m.rows, w.Key)
		}
	}
	return table.Result{Committed: true, Revision: m.revision}
}

// flush applies the delayed transactions.
func (m *memoryStore) flush() {
	for _, t := range m.delayed {
		m.apply(t)
	}
	m.delayed = nil
}

// withoutFaults runs f without faults.
func (m *memoryStore) withoutFaults(f func()) {
	nextFault, failRead := m.nextFault, m.failRead
	m.nextFault, m.failRead = func() fault { return none }, func() bool { return false }
	f()
	m.nextFault, m.failRead = nextFault, failRead
}

func (m *memoryStore) Get(_ context.Context, key string) (table.Row, error) {
	if m.failRead() {
		return table.Row{}, table.ErrUnavailable
	}
	row, found := m.rows[key]
	if !found {
		return table.Row{}, table.ErrNotFound
	}
	return row, nil
}

func (m *memoryStore) Scan(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if m.failRead() {
		return nil, table.ErrUnavailable
	}
	var rows []table.Row
	for _, key := range slices.Sorted(maps.Keys(m.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, m.rows[key])
		}
	}
	return rows, nil
}

// memoryObjects is the object store of a memoryStore.
type memoryObjects struct{ *memoryStore }

func (s memoryObjects) Put(_ context.Context, name string, content []byte) error {
	if s.failRead() {
		return objectstore.ErrUnavailable
	}
	s.objects[name] = content
	return nil
}

func (s memoryObjects) Get(_ context.Context, name string) ([]byte, error) {
	content, found := s.objects[name]
	if !found {
		return nil, objectstore.ErrNotFound
	}
	return content, nil
}

func (s memoryObjects) Delete(_ context.Context, name string) error {
	delete(s.objects, name)
	return nil
}
