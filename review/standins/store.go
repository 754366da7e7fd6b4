package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is how long the store takes to answer.
	storeDelay = 4 * time.Millisecond
	// heartbeatInterval is how often a worker writes its entry, and entryTTL how long an entry lasts without it.
	heartbeatInterval = 1200 * time.Millisecond
	entryTTL          = 3 * heartbeatInterval
	// pageRows is the largest number of rows in a response.
	pageRows = 500
)

// row is a row of the store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store. All of its rows have an empty part.
type store struct {
	startedAt time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row // rows are keyed by table and key.
	history []row
	beats   map[string]time.Time // beats holds when each worker last wrote its entry.
	changed chan struct{}        // changed is closed with the next change.
}

func newStore() *store {
	return &store{startedAt: time.Now(), rows: make(map[string]row), beats: make(map[string]time.Time), changed: make(chan struct{})}
}

// serve answers calls until the process ends.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cuminroute/rows-get", s.get)
	mux.HandleFunc("GET /cuminroute/rows-feed", s.feed)
	mux.HandleFunc("POST /cuminroute/rows-tx", s.transact)
	mux.HandleFunc("PUT /beat/{name}", s.beat)
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for range time.Tick(heartbeatInterval / 4) {
			s.expire()
		}
	}()
}

// put writes a row. The lock must not be held.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: value, Version: s.version})
	s.announce()
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[table+"/"+key]; !ok {
		return
	}
	s.version++
	s.write(row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.announce()
}

// write stores a row and its change. The lock must be held.
func (s *store) write(r row) {
	if r.Deleted {
		delete(s.rows, r.Table+"/"+r.Key)
	} else {
		s.rows[r.Table+"/"+r.Key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// beat takes the entry of a worker. An empty body removes it.
func (s *store) beat(_ http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	name := r.PathValue("name")
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		s.remove("servers", name)
		return
	}
	s.mu.Lock()
	s.beats[name] = time.Now()
	s.mu.Unlock()
	s.put("servers", name, value)
}

// expire drops the entries of workers that are silent.
func (s *store) expire() {
	var silent []string
	s.mu.Lock()
	for name, at := range s.beats {
		if time.Since(at) > entryTTL {
			silent = append(silent, name)
			delete(s.beats, name)
		}
	}
	s.mu.Unlock()
	for _, name := range silent {
		s.remove("servers", name)
	}
}

type rowsResponse struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	Now     int64  `json:"now_ms"`
}

func (s *store) respond(w http.ResponseWriter, status int, rows []row, more bool, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsResponse{Rows: rows, More: more, Version: version, Now: time.Since(s.startedAt).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(query.Get("limit")); err == nil && n > 0 {
		limit = min(n, pageRows)
	}
	s.mu.Lock()
	var rows []row
	for _, found := range s.rows {
		if found.Table == query.Get("table") && found.Key >= query.Get("from") && (query.Get("target") == "" || found.Key < query.Get("target")) {
			rows = append(rows, found)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.respond(w, http.StatusOK, rows[:min(limit, len(rows))], more, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after_rev"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, change := range s.history {
			if change.Table == query.Get("table") && change.Version > after {
				rows = append(rows, change)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.respond(w, http.StatusOK, nil, false, version)
			return
		}
	}
}

// transaction is the body of a conditional write.
type transaction struct {
	Expected []row `json:"expected_rev"`
	Puts     []row `json:"puts"`
	Removals []row `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var current []row
	matches := true
	for _, e := range t.Expected {
		found := s.rows[e.Table+"/"+e.Key]
		matches = matches && found.Version == e.Version
		if found.Version > 0 {
			current = append(current, found)
		}
	}
	if matches {
		s.version++
		for _, p := range t.Puts {
			p.Version = s.version
			s.write(p)
		}
		for _, p := range t.Removals {
			p.Version, p.Deleted = s.version, true
			s.write(p)
		}
		s.announce()
	}
	version := s.version
	s.mu.Unlock()
	if !matches {
		s.respond(w, http.StatusPreconditionFailed, current, false, version)
		return
	}
	s.respond(w, http.StatusOK, nil, false, version)
}
