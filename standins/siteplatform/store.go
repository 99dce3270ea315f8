package siteplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	table "boragepulley/internal/platform"
	"boragepulley/standins/fleet"
)

// rowName is the store's name of a row.
type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

func (n rowName) key() string { return n.Table + "/" + n.Key }

type condition struct {
	rowName
	Version uint64 `json:"schema_ver"`
}

type write struct {
	rowName
	Value []byte `json:"value"`
}

type transaction struct {
	Expected []condition `json:"expected_rev"`
	Writes   []write     `json:"writes"`
	Remove   []rowName   `json:"remove"`
}

type storedRow struct {
	rowName
	Value   []byte `json:"value"`
	Version uint64 `json:"schema_ver"`
	Removed bool   `json:"tombstone,omitempty"`
}

type rowsAnswer struct {
	Rows    []storedRow `json:"rows"`
	More    bool        `json:"has_more"`
	Version uint64      `json:"schema_ver"`
	NowMS   int64       `json:"now_ms"`
}

// maxPageRows bounds an answer of rows-get.
const maxPageRows = 500

// store serves a fleet.Store over the wire, to one client or to all.
type store struct {
	view  *fleet.View
	parts *partNames
	began time.Time
	// late, if set, returns how long an answer is held up after its call was carried out.
	late func() time.Duration
}

// partNames holds the part of each row by its key.
type partNames struct {
	mu    sync.Mutex
	byKey map[string]string // guarded by mu
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("GET /-/rows-parts", s.listParts)
	return mux
}

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	a.NowMS = time.Since(s.began).Milliseconds()
	if s.late != nil {
		time.Sleep(s.late())
	}
	if a.Rows == nil {
		a.Rows = []storedRow{}
	}
	reply(w, status, a)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a client that is gone learns nothing
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var x transaction
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	names := append([]rowName{}, x.Remove...)
	var t table.Txn
	for _, v := range x.Writes {
		names = append(names, v.rowName)
		t.Puts = append(t.Puts, table.Put{Key: v.key(), Value: append([]byte{}, v.Value...)})
	}
	for _, n := range x.Remove {
		t.Puts = append(t.Puts, table.Put{Key: n.key()})
	}
	for _, n := range names {
		if n.Table == "op" || n.Table == "servers" {
			http.Error(w, "not writable: "+n.Table, http.StatusForbidden)
			return
		}
	}
	for _, c := range x.Expected {
		names = append(names, c.rowName)
		t.Conditions = append(t.Conditions, table.Condition{Key: c.key(), Version: c.Version})
	}
	for _, n := range names {
		if n.Part != names[0].Part {
			http.Error(w, "entries of several parts", http.StatusBadRequest)
			return
		}
	}
	s.parts.mu.Lock()
	for _, n := range names {
		s.parts.byKey[n.key()] = n.Part
	}
	s.parts.mu.Unlock()
	versions, err := s.view.Commit(r.Context(), 0, t)
	switch {
	case errors.Is(err, table.ErrConflict):
		var a rowsAnswer
		for _, c := range x.Expected {
			if row := s.view.Row(c.key()); row.Version != 0 {
				a.Rows = append(a.Rows, storedRow{rowName: c.rowName, Value: row.Value, Version: row.Version})
			}
		}
		s.answer(w, http.StatusPreconditionFailed, a)
	case errors.Is(err, table.ErrRejected):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, table.ErrUnknownOutcome):
		panic(http.ErrAbortHandler) // the connection ends without an answer
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		var a rowsAnswer
		for _, v := range versions {
			a.Version = v
		}
		s.answer(w, http.StatusOK, a)
	}
}

// wireRow returns a row under the store's name.
func (s *store) wireRow(row table.Row) storedRow {
	name, rest, _ := strings.Cut(row.Key, "/")
	s.parts.mu.Lock()
	defer s.parts.mu.Unlock()
	return storedRow{rowName: rowName{Table: name, Part: s.parts.byKey[row.Key], Key: rest}, Value: row.Value, Version: row.Version, Removed: row.Value == nil}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	c, err := s.view.ReadAll(r.Context(), 0, q.Get("table"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	a := rowsAnswer{Version: c.Version}
	for _, row := range c.Rows {
		x := s.wireRow(row)
		if x.Part != q.Get("part") || x.Key < q.Get("from") || q.Get("target") != "" && x.Key >= q.Get("target") {
			continue
		}
		if len(a.Rows) == limit {
			a.More = true
			break
		}
		a.Rows = append(a.Rows, x)
	}
	s.answer(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		wait = 0
	}
	c, err := s.view.Changes(r.Context(), 0, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	switch {
	case errors.Is(err, table.ErrHistoryGone):
		http.Error(w, err.Error(), http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		a := rowsAnswer{Version: c.Version}
		for _, row := range c.Rows {
			a.Rows = append(a.Rows, s.wireRow(row))
		}
		s.answer(w, http.StatusOK, a)
	}
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	c, err := s.view.ReadAll(r.Context(), 0, q.Get("table"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	seen, parts := map[string]bool{}, []string{}
	for _, row := range c.Rows {
		if p := s.wireRow(row).Part; p > q.Get("after") && !seen[p] {
			seen[p] = true
			parts = append(parts, p)
		}
	}
	reply(w, http.StatusOK, map[string]any{"parts": parts, "schema_ver": c.Version, "now_ms": time.Since(s.began).Milliseconds()})
}
