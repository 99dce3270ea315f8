//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times of minions, from the bounds of the site.
const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 6 * time.Second
	stopTime  = 400 * time.Millisecond
	maxEnds   = 500
	// gangTimeout is how long a member of a gang waits for the others.
	gangTimeout = 3 * time.Second
)

// need is what a task requests.
type need struct{ cpu, mem int64 }

type taskRun struct {
	task    string
	attempt int
	need    need
	began   time.Time
	ends    time.Time // the zero time for a run that lasts
	how     string
	// gang is the number of tasks of the run's gang, 0 if it has none. Until all are present it waits.
	gang int
	work time.Duration
}

type finishedRun struct {
	n       int64
	task    string
	attempt int
	how     string
}

// minion is one minion that guards its capacity.
type minion struct {
	id, service, addr, zone, rack string
	capacity                      need
	born                          time.Time
	all                           *minions
	// silent minions run on and answer nothing, as behind a partition; unhealthy ones answer starts
	// with 503 and have then done nothing.
	silent, unhealthy atomic.Bool
	// lost minions have ended for good.
	lost atomic.Bool

	mu     sync.Mutex
	token  uint64
	lease  time.Time
	runs   map[string]*taskRun
	ended  []finishedRun
	last   int64
	barred map[string]int
}

// startEvent is a task that a minion has begun.
type startEvent struct {
	at     time.Time
	task   string
	minion string
}

type minions struct {
	list  []*minion
	store *store
	rec   *record
	// needOf tells what a task requests, as its job says.
	needOf func(task string) need
	gangOf func(job string) int

	mu      sync.Mutex
	starts  []startEvent   // guarded by mu
	refused int            // guarded by mu; starts answered with 503
	done    map[string]int // guarded by mu; ends as done, by job
	alone   []time.Time    // guarded by mu; when the runs began that ended alone
}

func (a *minions) add(id, service, zone, rack string, capacity need) error {
	m := &minion{id: id, service: service, zone: zone, rack: rack, capacity: capacity, born: time.Now(), all: a, runs: map[string]*taskRun{}, barred: map[string]int{}}
	addr, err := listen(m.handler())
	if err != nil {
		return err
	}
	m.addr = addr
	a.list = append(a.list, m)
	m.report(1)
	return nil
}

// run writes the minions' status reports and ends runs.
func (a *minions) run() {
	n := 1
	for last := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if time.Since(last) > heartbeat {
			last = time.Now()
			n++
			for _, m := range a.list {
				m.report(n)
			}
		}
		for _, m := range a.list {
			m.mu.Lock()
			m.settle()
			m.mu.Unlock()
		}
		a.meet()
	}
}

// meet lets the gangs work of which all tasks of one run are present.
func (a *minions) meet() {
	present := map[string][]*taskRun{}
	for _, m := range a.list {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, r := range m.runs {
			if r.gang > 0 && r.ends.IsZero() {
				id, _, _ := strings.Cut(r.task, ".")
				key := fmt.Sprintf("%s/%d", id, r.attempt)
				present[key] = append(present[key], r)
			}
		}
	}
	for key, runs := range present {
		if len(runs) < runs[0].gang {
			continue
		}
		a.rec.line("gang %s is complete and works", key)
		for _, r := range runs {
			r.ends = time.Now().Add(r.work)
		}
	}
}

// lose ends a minion for good, as a machine that loses power: its runs are gone, the other members of their
// gangs break, it answers nothing and reports no more. Its entry is removed after three heartbeats.
func (m *minion) lose() {
	m.silent.Store(true)
	m.lost.Store(true)
	m.mu.Lock()
	gone := m.runs
	m.runs = map[string]*taskRun{}
	m.mu.Unlock()
	for _, r := range gone {
		m.all.rec.line("%s: %s run %d is gone with its minion", m.id, r.task, r.attempt)
		m.all.breakGang(r)
	}
	time.AfterFunc(3*heartbeat, func() { m.all.store.remove(rowName{Table: "servers", Key: m.id}) })
}

// breakGang ends the other members of a run's gang, if they work with it.
func (a *minions) breakGang(r *taskRun) {
	if r.gang == 0 || r.ends.IsZero() {
		return
	}
	id, _, _ := strings.Cut(r.task, ".")
	for _, m := range a.list {
		m.mu.Lock()
		for _, x := range m.runs {
			if strings.HasPrefix(x.task, id+".") && x.attempt == r.attempt {
				m.end(x, "broken")
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) report(n int) {
	if m.lost.Load() {
		return
	}
	m.all.store.put(rowName{Table: "servers", Key: m.id}, map[string]any{"service": m.service, "address": m.addr, "zone": m.zone, "version": "v1", "slots": 8,
		"state": "ready", "cold_left_ms": 0, "sequence": n, "born": m.born.UnixMilli(), "labels": []string{"a", m.rack},
		"capacity": map[string]int64{"cpu": m.capacity.cpu, "mem_mb": m.capacity.mem, "gpu": 0}})
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

// settle requires mu.
func (m *minion) settle() {
	now := time.Now()
	for _, r := range m.runs {
		switch {
		case now.After(m.lease) && (r.ends.IsZero() || r.ends.After(m.lease)):
			m.end(r, "lapsed")
		case r.gang > 0 && r.ends.IsZero() && now.After(r.began.Add(gangTimeout)):
			m.all.mu.Lock()
			m.all.alone = append(m.all.alone, r.began)
			m.all.mu.Unlock()
			m.end(r, "alone")
		case !r.ends.IsZero() && now.After(r.ends):
			m.end(r, r.how)
		}
	}
}

func (m *minion) end(r *taskRun, how string) {
	delete(m.runs, r.task)
	m.barred[r.task] = max(m.barred[r.task], r.attempt)
	m.last++
	m.ended = append(m.ended, finishedRun{m.last, r.task, r.attempt, how})
	if how == "done" {
		id, _, _ := strings.Cut(r.task, ".")
		m.all.mu.Lock()
		m.all.done[id]++
		m.all.mu.Unlock()
	}
	m.all.rec.line("%s: %s run %d ends: %s", m.id, r.task, r.attempt, how)
}

func (m *minion) prolong(deadline int64) {
	until := m.born.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if until.After(m.lease) {
		m.lease = until
	}
}

func (m *minion) used() need {
	var n need
	for _, r := range m.runs {
		n.cpu, n.mem = n.cpu+r.need.cpu, n.mem+r.need.mem
	}
	return n
}

type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Ack      int64  `json:"ack_seq"`
	WaitMS   int64  `json:"wait_ms"`
}

func (m *minion) handler() http.Handler {
	mux := http.NewServeMux()
	for path, f := range map[string]func(order) (int, map[string]any){"/-/run-start": m.start, "/-/run-stop": m.stop, "/-/hold": m.hold} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var o order
			if json.NewDecoder(r.Body).Decode(&o) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			m.awaitPath(r)
			if want := r.Header.Get("X-Boragepulley-Expect-Instance"); want != "" && want != m.id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			status, body := f(o)
			m.awaitPath(r) // an answer that is on its way when the minion falls silent is not delivered
			if body == nil {
				w.WriteHeader(status)
				return
			}
			writeJSON(w, status, body)
		})
	}
	return mux
}

// awaitPath waits while the minion is silent, as what is sent to it or from it does not arrive. It ends the
// request once its sender has given up.
func (m *minion) awaitPath(r *http.Request) {
	for m.silent.Load() {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// fenced requires mu.
func (m *minion) fenced(o order) bool {
	m.settle()
	if o.Token < m.token {
		return true
	}
	m.token = o.Token
	return false
}

func (m *minion) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli(), "reason": reason}
}

func (m *minion) start(o order) (int, map[string]any) {
	if m.unhealthy.Load() {
		m.all.mu.Lock()
		m.all.refused++
		n := m.all.refused
		m.all.mu.Unlock()
		if n <= 50 {
			m.all.rec.line("%s: start of %s run %d is answered with 503", m.id, o.Task, o.Attempt)
		}
		return http.StatusServiceUnavailable, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ok := map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli()}
	if m.fenced(o) {
		return m.refuse("fence")
	}
	if r := m.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return http.StatusOK, ok
	}
	if o.Attempt <= m.barred[o.Task] || m.runs[o.Task] != nil {
		m.prolong(o.Deadline)
		return m.refuse("old")
	}
	if o.Deadline <= m.clock() {
		return m.refuse("late")
	}
	m.prolong(o.Deadline)
	n, used := m.all.needOf(o.Task), m.used()
	if used.cpu+n.cpu > m.capacity.cpu || used.mem+n.mem > m.capacity.mem {
		return m.refuse("room")
	}
	r := &taskRun{task: o.Task, attempt: o.Attempt, need: n, began: time.Now(), how: "done"}
	var ms int
	if _, err := fmt.Sscanf(o.Spec, "run %d ms", &ms); err == nil {
		r.work = time.Duration(ms) * time.Millisecond
		r.ends = r.began.Add(r.work)
	}
	id, _, _ := strings.Cut(o.Task, ".")
	if r.gang = m.all.gangOf(id); r.gang > 0 {
		r.ends = time.Time{} // until all are present
	}
	m.runs[o.Task] = r
	m.all.rec.line("%s: %s run %d begins, token %d", m.id, o.Task, o.Attempt, o.Token)
	m.all.mu.Lock()
	m.all.starts = append(m.all.starts, startEvent{r.began, o.Task, m.id})
	m.all.mu.Unlock()
	return http.StatusOK, ok
}

func (m *minion) stop(o order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fenced(o) {
		return m.refuse("fence")
	}
	m.barred[o.Task] = max(m.barred[o.Task], o.Attempt)
	m.all.rec.line("%s: stop of %s run %d, token %d", m.id, o.Task, o.Attempt, o.Token)
	if r := m.runs[o.Task]; r != nil && r.attempt <= o.Attempt {
		if at := time.Now().Add(stopTime); r.ends.IsZero() || r.ends.After(at) {
			r.ends, r.how = at, "stopped"
		}
	}
	return http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli()}
}

func (m *minion) hold(o order) (int, map[string]any) {
	until := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fenced(o) {
		return m.refuse("fence")
	}
	if o.Deadline > 0 {
		m.prolong(o.Deadline)
	}
	kept := m.ended[:0]
	for _, e := range m.ended {
		if e.n > o.Ack {
			kept = append(kept, e)
		}
	}
	m.ended = kept
	for len(m.ended) == 0 && time.Now().Before(until) {
		m.mu.Unlock()
		time.Sleep(3 * time.Millisecond)
		m.mu.Lock()
		m.settle()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.runs {
		running = append(running, []any{r.task, r.attempt, "", 100, r.need.cpu})
	}
	for _, e := range m.ended[:min(len(m.ended), maxEnds)] {
		finished = append(finished, []any{e.n, e.task, e.attempt, e.how, ""})
	}
	return http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "finished": finished}
}

// startsOf returns when tasks of a job began.
func (a *minions) startsOf(job string) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []time.Time
	for _, s := range a.starts {
		if strings.HasPrefix(s.task, job+".") {
			out = append(out, s.at)
		}
	}
	return out
}

// free returns the minions on which nothing runs, busy the others.
func (a *minions) free() []*minion { return a.which(true) }
func (a *minions) busy() []*minion { return a.which(false) }

func (a *minions) which(idle bool) (out []*minion) {
	for _, m := range a.list {
		m.mu.Lock()
		if (len(m.runs) == 0) == idle {
			out = append(out, m)
		}
		m.mu.Unlock()
	}
	return out
}

// refusals returns how many starts were answered with 503.
func (a *minions) refusals() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused
}

// aloneAfter returns how many runs ended alone, and how many of them had begun after the given time.
func (a *minions) aloneAfter(t time.Time) (all, late int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, began := range a.alone {
		if began.After(t) {
			late++
		}
	}
	return len(a.alone), late
}

// doneOf returns how many runs of a job ended as done.
func (a *minions) doneOf(job string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done[job]
}

// activeJobs returns the jobs of which a task runs, and what all runs use.
func (a *minions) activeJobs() (active map[string]bool, used need) {
	active = map[string]bool{}
	for _, m := range a.list {
		m.mu.Lock()
		m.settle()
		for task := range m.runs {
			id, _, _ := strings.Cut(task, ".")
			active[id] = true
		}
		u := m.used()
		used.cpu, used.mem = used.cpu+u.cpu, used.mem+u.mem
		m.mu.Unlock()
	}
	return active, used
}

// running returns the number of runs and what they use, on all minions.
func (a *minions) running() (n int, used need) {
	for _, m := range a.list {
		m.mu.Lock()
		m.settle()
		u := m.used()
		n, used.cpu, used.mem = n+len(m.runs), used.cpu+u.cpu, used.mem+u.mem
		m.mu.Unlock()
	}
	return n, used
}

// machines serves the platform's list of machines. No service is on standby, so none is moved.
func (a *minions) machines() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", func(w http.ResponseWriter, _ *http.Request) {
		out := []map[string]any{}
		for i, m := range a.list {
			state := "up"
			if m.lost.Load() {
				state = "down"
			}
			out = append(out, map[string]any{"machine": fmt.Sprintf("m%d", i+1), "pool": m.service, "state": state, "zone": m.zone, "labels": []string{"a", m.rack},
				"capacity": map[string]int64{"cpu": m.capacity.cpu, "mem_mb": m.capacity.mem, "gpu": 0}, "id": m.id})
		}
		writeJSON(w, http.StatusOK, map[string]any{"machines": out, "next_token": nil})
	})
	return mux
}
