//go:build review3

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's store: rows, a feed of changes and conditional transactions, all linearizable.
type store struct {
	started time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[[3]string]row
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[[3]string]row{}, changed: make(chan struct{})}
}

// put writes a row as the operator or a worker does, and returns its version.
func (s *store) put(table, key string, value any) uint64 {
	content, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: content, Ver: s.ver})
	return s.ver
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[[3]string{table, "", key}]; !ok {
		return
	}
	s.ver++
	s.write(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
}

func (s *store) write(r row) {
	id := [3]string{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v any) {
	content, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

func (s *store) answer(rows []row) map[string]any {
	if rows == nil {
		rows = []row{}
	}
	return map[string]any{"rows": rows, "has_more": false, "ver": s.ver, "now_ms": time.Since(s.started).Milliseconds()}
}

// handler serves the calls of the instances.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cuminroute/rows-get", s.get)
	mux.HandleFunc("GET /cuminroute/rows-feed", s.feed)
	mux.HandleFunc("POST /cuminroute/rows-tx", s.tx)
	return mux
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(3 * time.Millisecond)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	var found []row
	for id, v := range s.rows {
		if id[0] == q.Get("table") && id[1] == q.Get("part") && v.Key >= q.Get("from") && (q.Get("target") == "" || v.Key < q.Get("target")) {
			found = append(found, v)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	a := s.answer(found)
	a["has_more"] = more
	s.mu.Unlock()
	reply(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []row
		for _, v := range s.history {
			if v.Table == q.Get("table") && v.Ver > after {
				found = append(found, v)
			}
		}
		a, changed := s.answer(found), s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	time.Sleep(3 * time.Millisecond)
	var t struct {
		Conditions []row `json:"expected_rev"`
		Puts       []row `json:"puts"`
		Removes    []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []row{}
	for _, c := range t.Conditions {
		v, ok := s.rows[[3]string{c.Table, c.Part, c.Key}]
		if ok {
			current = append(current, v)
		}
		holds = holds && v.Ver == c.Ver
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, s.answer(current))
		return
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver = s.ver
		s.write(p)
	}
	for _, p := range t.Removes {
		p.Ver, p.Deleted = s.ver, true
		s.write(p)
	}
	reply(w, http.StatusOK, s.answer(nil))
}
