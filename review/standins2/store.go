//go:build review2

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	start time.Time
	// intercept may answer a call in place of the store and reports whether it did. It is nil in a calm run.
	intercept func(w http.ResponseWriter, r *http.Request) bool

	mu      sync.Mutex
	era     uint64 // era is sent in all answers, if it is above 0, and rises when the store comes back from a copy.
	away    bool   // away means that the store resets all connections.
	version uint64
	rows    map[string]*row // rows holds the rows by table and key, also those that were removed.
	changed chan struct{}   // changed is closed with the next transaction.
}

func newStore() *store {
	return &store{start: time.Now(), rows: make(map[string]*row), changed: make(chan struct{})}
}

// listen serves the store at a free port and returns its address.
func (s *store) listen() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cuminroute/rows-tx", s.transact)
	mux.HandleFunc("GET /cuminroute/rows-get", s.get)
	mux.HandleFunc("GET /cuminroute/rows-feed", s.feed)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.isAway() {
				panic(http.ErrAbortHandler)
			}
			if s.intercept != nil && s.intercept(w, r) {
				return
			}
			time.Sleep(2 * time.Millisecond)
			mux.ServeHTTP(w, r)
		}))
	}()
	return l.Addr().String(), nil
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// copied is a copy of the store.
type copied struct {
	version uint64
	rows    map[string]*row
}

// copy returns a copy of the store.
func (s *store) copy() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copied{version: s.version, rows: make(map[string]*row, len(s.rows))}
	for k, r := range s.rows {
		same := *r
		c.rows[k] = &same
	}
	return c
}

// leave makes the store reset all calls.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack lets the store come back from a copy, in the next era. What was written since is lost.
func (s *store) comeBack(c copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.rows, s.away = c.version, c.rows, false
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes or, if value is nil, removes a row in a transaction of its own. It returns when the write was
// acknowledged, or zero if the store is away.
func (s *store) put(table, key string, value any) time.Time {
	var content []byte
	if value != nil {
		content, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return time.Time{}
	}
	s.version++
	s.rows[table+"/"+key] = &row{Table: table, Key: key, Value: content, Version: s.version, Deleted: value == nil}
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.start).Milliseconds()
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Conditions []row `json:"expected_rev"`
		Writes     []row `json:"puts"`
		Removals   []row `json:"remove"`
	}
	content, _ := io.ReadAll(r.Body)
	if json.Unmarshal(content, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, found := true, []row{}
	for _, c := range tx.Conditions {
		version := uint64(0)
		if known := s.rows[c.Table+"/"+c.Key]; known != nil && !known.Deleted {
			version = known.Version
			found = append(found, *known)
		}
		holds = holds && version == c.Version
	}
	if !holds {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": found, "ver": s.version})
		return
	}
	s.version++
	for _, p := range tx.Writes {
		p.Version = s.version
		s.rows[p.Table+"/"+p.Key] = &p
	}
	for _, p := range tx.Removals {
		p.Version, p.Deleted, p.Value = s.version, true, nil
		s.rows[p.Table+"/"+p.Key] = &p
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.reply(w, http.StatusOK, map[string]any{"ver": s.version})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for _, known := range s.rows {
		after := known.Key >= q.Get("from") && (q.Get("target") == "" || known.Key < q.Get("target"))
		if known.Table == q.Get("table") && known.Part == q.Get("part") && !known.Deleted && after {
			list = append(list, *known)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > limit
	s.reply(w, http.StatusOK, map[string]any{"rows": list[:min(limit, len(list))], "has_more": more, "ver": s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end, ended := time.After(time.Duration(wait)*time.Millisecond), false
	for {
		s.mu.Lock()
		list := []row{}
		for _, known := range s.rows {
			if known.Table == q.Get("table") && known.Version > after {
				list = append(list, *known)
			}
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
		version, changed, away := s.version, s.changed, s.away
		switch {
		case away:
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case after > version:
			s.reply(w, http.StatusGone, map[string]any{})
			s.mu.Unlock()
			return
		case len(list) > 0 || ended:
			s.reply(w, http.StatusOK, map[string]any{"rows": list, "ver": version})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
