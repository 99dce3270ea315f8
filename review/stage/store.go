//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, from PROTOCOL.md and the example of settings in DEPLOY.md.
const (
	rowBytes   = 65536
	txEntries  = 100
	txBytes    = 1 << 20
	getRows    = 500
	storeDelay = 4 * time.Millisecond
)

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type storeRow struct {
	rowName
	Value     []byte `json:"value"`
	Version   uint64 `json:"schema_ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store, with its limits, without its rates.
type store struct {
	mu      sync.Mutex
	rows    map[rowName]storeRow // guarded by mu
	log     []storeRow           // guarded by mu
	version uint64               // guarded by mu
	changed chan struct{}        // guarded by mu
	refused map[string]int       // guarded by mu; by reason
	began   time.Time
	rec     *record
	holder  string // guarded by mu; the entry VM named in the row that each conditional write renews
}

// noteHolder records a change of the entry VM that coordinates. It requires mu.
func (s *store) noteHolder(n rowName, value []byte) {
	var v struct {
		Holder string `json:"h"`
	}
	if n.Table != "lease" || json.Unmarshal(value, &v) != nil || v.Holder == s.holder {
		return
	}
	s.holder = v.Holder
	s.rec.line("store: the lease is now held by %q", v.Holder)
}

func newStore(rec *record) *store {
	return &store{rows: map[rowName]storeRow{}, changed: make(chan struct{}), refused: map[string]int{}, began: time.Now(), rec: rec}
}

func (s *store) put(n rowName, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(n, data)
	s.wake()
}

func (s *store) remove(n rowName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	delete(s.rows, n)
	s.log = append(s.log, storeRow{rowName: n, Version: s.version, Tombstone: true})
	s.wake()
}

// set and wake require mu.
func (s *store) set(n rowName, value []byte) {
	r := storeRow{rowName: n, Value: value, Version: s.version}
	s.rows[n] = r
	s.log = append(s.log, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type storeAnswer struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"has_more"`
	Version uint64     `json:"schema_ver"`
	NowMS   int64      `json:"now_ms"`
}

func (s *store) reply(w http.ResponseWriter, status int, a storeAnswer) {
	a.NowMS = time.Since(s.began).Milliseconds()
	if a.Rows == nil {
		a.Rows = []storeRow{}
	}
	writeJSON(w, status, a)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("GET /-/rows-parts", s.parts)
	return mux
}

func (s *store) refuse(w http.ResponseWriter, reason string) {
	s.mu.Lock()
	s.refused[reason]++
	first := s.refused[reason] == 1
	s.mu.Unlock()
	if first {
		s.rec.line("store: first transaction refused with 400: %s", reason)
	}
	http.Error(w, reason, http.StatusBadRequest)
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var x struct {
		Expected []struct {
			rowName
			Version uint64 `json:"schema_ver"`
		} `json:"expected_rev"`
		Writes []struct {
			rowName
			Value []byte `json:"value"`
		} `json:"writes"`
		Remove []rowName `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		s.refuse(w, "body can't be read")
		return
	}
	parts, size := map[string]bool{}, 0
	for _, c := range x.Expected {
		parts[c.Part] = true
	}
	for _, c := range x.Writes {
		parts[c.Part] = true
		size += len(c.Value)
		if len(c.Value) > rowBytes {
			s.refuse(w, "value of table "+c.Table+" above row_bytes")
			return
		}
		if c.Table == "op" || c.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, c := range x.Remove {
		parts[c.Part] = true
	}
	if len(parts) > 1 || size > txBytes || len(x.Expected)+len(x.Writes)+len(x.Remove) > txEntries {
		s.refuse(w, "more than a transaction may hold")
		return
	}
	s.mu.Lock()
	var current []storeRow
	held := true
	for _, c := range x.Expected {
		if row, ok := s.rows[c.rowName]; ok {
			current = append(current, row)
		}
		held = held && s.rows[c.rowName].Version == c.Version
	}
	if !held {
		s.mu.Unlock()
		s.reply(w, http.StatusPreconditionFailed, storeAnswer{Rows: current})
		return
	}
	s.version++
	for _, c := range x.Writes {
		s.set(c.rowName, append([]byte{}, c.Value...))
		s.noteHolder(c.rowName, c.Value)
	}
	for _, n := range x.Remove {
		delete(s.rows, n)
		s.log = append(s.log, storeRow{rowName: n, Version: s.version, Tombstone: true})
	}
	a := storeAnswer{Version: s.version}
	s.wake()
	s.mu.Unlock()
	s.reply(w, http.StatusOK, a)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > getRows {
		limit = getRows
	}
	s.mu.Lock()
	a := storeAnswer{Version: s.version}
	for n, row := range s.rows {
		if n.Table == q.Get("table") && n.Part == q.Get("part") && n.Key >= q.Get("from") && (q.Get("target") == "" || n.Key < q.Get("target")) {
			a.Rows = append(a.Rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(a.Rows, func(i, k int) bool { return a.Rows[i].Key < a.Rows[k].Key })
	size := 0
	for i, row := range a.Rows {
		size += len(row.Value)
		if i == limit || i > 0 && size > txBytes {
			a.Rows, a.More = a.Rows[:i], true
			break
		}
	}
	s.reply(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	time.Sleep(storeDelay)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		a, next := storeAnswer{Version: s.version}, s.changed
		from := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > after })
		for _, row := range s.log[from:] {
			if row.Table == q.Get("table") {
				a.Rows = append(a.Rows, row)
			}
		}
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			s.reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-next:
		case <-end:
			s.reply(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	seen, parts := map[string]bool{}, []string{}
	s.mu.Lock()
	for n := range s.rows {
		if n.Table == r.URL.Query().Get("table") && n.Part > r.URL.Query().Get("after") && !seen[n.Part] {
			seen[n.Part] = true
			parts = append(parts, n.Part)
		}
	}
	s.mu.Unlock()
	sort.Strings(parts)
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts, "schema_ver": 0, "now_ms": time.Since(s.began).Milliseconds()})
}

// size returns the size of the largest value of a table.
func (s *store) size(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for n, row := range s.rows {
		if n.Table == table {
			most = max(most, len(row.Value))
		}
	}
	return most
}
