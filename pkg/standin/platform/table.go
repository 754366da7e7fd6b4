package platform

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

// Counts are the numbers of reads and writes that the table ran.
type Counts struct {
	TableReads  int64 `json:"TableReads"`
	TableWrites int64 `json:"TableWrites"`
}

// tableStore is an in-memory transactional table.
type tableStore struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]table.Row
	keys     []string // keys holds the keys of rows in sorted order.
	counts   Counts
}

func (s *tableStore) commit(t table.Transaction) table.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.TableWrites++
	if failed := s.failed(t.Conditions); len(failed) > 0 {
		return table.Result{Failed: failed}
	}
	s.revision++
	for _, w := range t.Writes {
		s.write(w)
	}
	return table.Result{Committed: true, Revision: s.revision}
}

func (s *tableStore) failed(conditions []table.Condition) []table.Row {
	var failed []table.Row
	for _, c := range conditions {
		row := s.rows[c.Key]
		if row.Revision != c.Revision {
			row.Key = c.Key
			failed = append(failed, row)
		}
	}
	return failed
}

func (s *tableStore) write(w table.Write) {
	index, found := slices.BinarySearch(s.keys, w.Key)
	switch {
	case w.Delete && found:
		s.keys = slices.Delete(s.keys, index, index+1)
	case !w.Delete && !found:
		s.keys = slices.Insert(s.keys, index, w.Key)
	}
	if w.Delete {
		delete(s.rows, w.Key)
		return
	}
	s.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Revision: s.revision}
}

func (s *tableStore) get(key string) (table.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.TableReads++
	row, found := s.rows[key]
	return row, found
}

func (s *tableStore) scan(prefix, after string, limit int) []table.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.TableReads++
	rows := []table.Row{}
	start, _ := slices.BinarySearch(s.keys, max(prefix, after))
	for _, key := range s.keys[start:] {
		if !strings.HasPrefix(key, prefix) || len(rows) == limit {
			break
		}
		if key > after {
			rows = append(rows, s.rows[key])
		}
	}
	return rows
}

func (s *tableStore) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t table.Transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, s.commit(t))
}

func (s *tableStore) serveGet(w http.ResponseWriter, r *http.Request) {
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/rows/"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	row, found := s.get(key)
	if !found {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	writeJSON(w, row)
}

func (s *tableStore) serveScan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "limit must be positive", http.StatusBadRequest)
		return
	}
	writeJSON(w, s.scan(query.Get("prefix"), query.Get("after"), limit))
}
