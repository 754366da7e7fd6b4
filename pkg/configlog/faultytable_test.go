package configlog_test

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/cuminroute/cuminroute/pkg/peer/objectstore"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

// fault is what happens to one transaction.
type fault string

const (
	none    fault = "None"
	refused fault = "Refused" // refused is answered ErrUnavailable.
	lost    fault = "Lost"    // lost takes effect, but is answered ErrUnknown.
	never   fault = "Never"   // never takes no effect and is answered ErrUnknown.
	late    fault = "Late"    // late is answered ErrUnknown and takes effect when flush is called.
)

var faults = []fault{none, none, none, refused, lost, never, late}

// memory is a table and an object store in memory, for one goroutine.
type memory struct {
	rows     map[string]table.Row
	objects  map[string][]byte
	revision uint64
	plan     func() fault // plan is asked before each transaction.
	readFail func() bool  // readFail is asked before each read.
	delayed  []table.Transaction
}

func newMemory() *memory {
	return &memory{
		rows: map[string]table.Row{}, objects: map[string][]byte{},
		plan: func() fault { return none }, readFail: func() bool { return false },
	}
}

func (m *memory) Commit(_ context.Context, t table.Transaction) (table.Result, error) {
	switch m.plan() {
	case refused:
		return table.Result{}, table.ErrUnavailable
	case never:
		return table.Result{}, table.ErrUnknown
	case lost:
		m.apply(t)
		return table.Result{}, table.ErrUnknown
	case late:
		m.delayed = append(m.delayed, t)
		return table.Result{}, table.ErrUnknown
	default:
		return m.apply(t), nil
	}
}

func (m *memory) apply(t table.Transaction) table.Result {
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

// flush lets the delayed transactions take effect.
func (m *memory) flush() {
	for _, t := range m.delayed {
		m.apply(t)
	}
	m.delayed = nil
}

// calm runs f without faults.
func (m *memory) calm(f func()) {
	plan, readFail := m.plan, m.readFail
	m.plan, m.readFail = func() fault { return none }, func() bool { return false }
	f()
	m.plan, m.readFail = plan, readFail
}

func (m *memory) Get(_ context.Context, key string) (table.Row, error) {
	if m.readFail() {
		return table.Row{}, table.ErrUnavailable
	}
	row, found := m.rows[key]
	if !found {
		return table.Row{}, table.ErrNotFound
	}
	return row, nil
}

func (m *memory) Scan(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if m.readFail() {
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

// store is the object store side of memory.
type store struct{ *memory }

func (s store) Put(_ context.Context, name string, content []byte) error {
	if s.readFail() {
		return objectstore.ErrUnavailable
	}
	s.objects[name] = content
	return nil
}

func (s store) Get(_ context.Context, name string) ([]byte, error) {
	content, found := s.objects[name]
	if !found {
		return nil, objectstore.ErrNotFound
	}
	return content, nil
}

func (s store) Delete(_ context.Context, name string) error {
	delete(s.objects, name)
	return nil
}
