//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The store, as the platform's pages describe it: rows in tables and parts, transactions under conditions,
// ranges, and a feed.

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type storedRow struct {
	rowName
	Value   []byte `json:"value"`
	Version uint64 `json:"schema_ver"`
	Removed bool   `json:"tombstone,omitempty"`
}

type storeAnswer struct {
	Rows    []storedRow `json:"rows"`
	More    bool        `json:"has_more"`
	Version uint64      `json:"schema_ver"`
	NowMS   int64       `json:"now_ms"`
}

type transaction struct {
	Expected []struct {
		rowName
		Version uint64 `json:"schema_ver"`
	} `json:"expected_rev"`
	Writes []struct {
		rowName
		Value []byte `json:"value"`
	} `json:"writes"`
	Remove []rowName `json:"remove"`
	Across bool      `json:"across"`
}

// fault is what happens to a call at the store.
type fault int

const (
	faultNone fault = iota
	// faultLate: no answer, and a write is carried out later if its condition still holds.
	faultLate
	// faultLost: no answer, and a write is carried out.
	faultLost
	// faultSilent: no answer, and nothing is done.
	faultSilent
	// faultBusy: 503, and nothing is done.
	faultBusy
)

type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	rows    map[rowName]storedRow
	log     []storedRow
	version uint64
	began   time.Time
	// floor is the version up to which the history has been dropped; slow is how much longer each answer takes.
	floor uint64
	slow  atomic.Int64
	// keeps, if set, is for how long the history is kept; logAt are the times of its entries.
	keeps time.Duration
	logAt []time.Time
	// onFeed, if set, is told of each answer to a call for changes.
	onFeed func(client, table string, after uint64, rows, bytes int)
	// decide returns what happens to a call; client is the name that the caller gives itself.
	decide func(write bool, client string) (fault, time.Duration)
	// onCommit is called, without the lock, after a transaction was applied.
	onCommit func(client string, x *transaction)
}

const storeTime = 4 * time.Millisecond

func newStore() *store {
	s := &store{rows: map[rowName]storedRow{}, began: time.Now()}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("GET /-/rows-parts", s.parts)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) put(name rowName, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(name, value, false)
	s.changed.Broadcast()
}

func (s *store) apply(name rowName, value []byte, removed bool) {
	r := storedRow{rowName: name, Value: value, Version: s.version, Removed: removed}
	if removed {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.log = append(s.log, r)
	s.logAt = append(s.logAt, time.Now())
	n := 0
	for s.keeps > 0 && time.Since(s.logAt[n]) > s.keeps {
		n++
	}
	if n > 0 {
		s.floor, s.log, s.logAt = s.log[n-1].Version, s.log[n:], s.logAt[n:]
	}
}

func (s *store) remove(name rowName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[name]; !ok {
		return
	}
	s.version++
	s.apply(name, nil, true)
	s.changed.Broadcast()
}

func (s *store) value(name rowName) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[name].Value
}

// compact drops the history, up to the newest version.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.log, s.logAt = s.version, nil, nil
	s.changed.Broadcast()
}

// silence holds a call until its caller gives up.
func silence(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(30 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

// clientOf names the caller of a call, for faults that concern single machines.
func clientOf(r *http.Request) string {
	for name, v := range r.Header {
		if strings.Contains(strings.ToLower(name), "client") {
			return v[0]
		}
	}
	return ""
}

func (s *store) fault(write bool, r *http.Request) (fault, time.Duration) {
	if s.decide == nil {
		return faultNone, 0
	}
	return s.decide(write, clientOf(r))
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var x transaction
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, v := range x.Writes {
		if v.Table == "op" || v.Table == "servers" {
			http.Error(w, "not writable", http.StatusForbidden)
			return
		}
	}
	for _, n := range x.Remove {
		if n.Table == "op" || n.Table == "servers" {
			http.Error(w, "not writable", http.StatusForbidden)
			return
		}
	}
	part, first := "", true
	seen := map[rowName]bool{}
	check := func(n rowName) bool {
		if first {
			part, first = n.Part, false
		}
		return n.Part == part
	}
	ok := len(x.Expected)+len(x.Writes)+len(x.Remove) <= 100
	for _, c := range x.Expected {
		ok = ok && check(c.rowName)
	}
	for _, v := range x.Writes {
		ok = ok && check(v.rowName) && !seen[v.rowName]
		seen[v.rowName] = true
	}
	for _, n := range x.Remove {
		ok = ok && check(n) && !seen[n]
		seen[n] = true
	}
	if !ok {
		http.Error(w, "not one part, too many entries, or a row twice", http.StatusBadRequest)
		return
	}
	client := clientOf(r)
	f, late := s.fault(true, r)
	switch f {
	case faultBusy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case faultSilent:
		silence(r)
	case faultLate:
		time.AfterFunc(late, func() { s.carry(client, &x) })
		silence(r)
	}
	time.Sleep(storeTime + time.Duration(s.slow.Load()))
	done, a := s.carry(client, &x)
	if f == faultLost {
		silence(r)
	}
	if !done {
		reply(w, http.StatusPreconditionFailed, a)
		return
	}
	reply(w, http.StatusOK, a)
}

// carry applies a transaction if its conditions hold.
func (s *store) carry(client string, x *transaction) (bool, storeAnswer) {
	s.mu.Lock()
	a := storeAnswer{Rows: []storedRow{}, NowMS: time.Since(s.began).Milliseconds()}
	done := true
	for _, c := range x.Expected {
		now := s.rows[c.rowName]
		if now.Version != c.Version {
			done = false
		}
		if now.Version != 0 {
			a.Rows = append(a.Rows, now)
		}
	}
	if done {
		a.Rows = []storedRow{}
		s.version++
		for _, v := range x.Writes {
			s.apply(v.rowName, append([]byte{}, v.Value...), false)
		}
		for _, n := range x.Remove {
			if _, ok := s.rows[n]; ok {
				s.apply(n, nil, true)
			}
		}
		s.changed.Broadcast()
	}
	a.Version = s.version
	s.mu.Unlock()
	if done && s.onCommit != nil {
		s.onCommit(client, x)
	}
	return done, a
}

func (s *store) readFault(w http.ResponseWriter, r *http.Request) bool {
	switch f, _ := s.fault(false, r); f {
	case faultBusy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return true
	case faultSilent, faultLost, faultLate:
		silence(r)
	}
	time.Sleep(storeTime + time.Duration(s.slow.Load()))
	return false
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if s.readFault(w, r) {
		return
	}
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Rows: []storedRow{}, Version: s.version, NowMS: time.Since(s.began).Milliseconds()}
	for n, x := range s.rows {
		if n.Table == q.Get("table") && n.Part == q.Get("part") && n.Key >= q.Get("from") && (q.Get("target") == "" || n.Key < q.Get("target")) {
			a.Rows = append(a.Rows, x)
		}
	}
	sort.Slice(a.Rows, func(i, k int) bool { return a.Rows[i].Key < a.Rows[k].Key })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	reply(w, http.StatusOK, a)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	if s.readFault(w, r) {
		return
	}
	q := r.URL.Query()
	seen, out := map[string]bool{}, []string{}
	s.mu.Lock()
	for n := range s.rows {
		if n.Table == q.Get("table") && n.Part > q.Get("after") && !seen[n.Part] {
			seen[n.Part] = true
			out = append(out, n.Part)
		}
	}
	v := s.version
	s.mu.Unlock()
	sort.Strings(out)
	reply(w, http.StatusOK, map[string]any{"parts": out, "schema_ver": v, "now_ms": time.Since(s.began).Milliseconds()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	if s.readFault(w, r) {
		return
	}
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	wake := time.AfterFunc(time.Until(until)+time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer wake.Stop()
	s.mu.Lock()
	a := storeAnswer{Rows: []storedRow{}}
	for {
		if after < s.floor {
			s.mu.Unlock()
			http.Error(w, "compacted", http.StatusGone)
			return
		}
		for i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > after }); i < len(s.log); i++ {
			if s.log[i].Table == q.Get("table") {
				a.Rows = append(a.Rows, s.log[i])
			}
		}
		if len(a.Rows) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			break
		}
		s.changed.Wait()
	}
	a.Version, a.NowMS = s.version, time.Since(s.began).Milliseconds()
	s.mu.Unlock()
	// A fault that began during the wait concerns the answer too.
	if f, _ := s.fault(false, r); f != faultNone && f != faultBusy {
		silence(r)
	}
	if s.onFeed != nil {
		s.onFeed(clientOf(r), q.Get("table"), after, len(a.Rows), len(jsonText(a)))
	}
	reply(w, http.StatusOK, a)
}

func jsonText(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprint("json: ", err))
	}
	return data
}
