//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Machines with a minion each, and the machine service, as the platform's pages describe them.

// Bounds of the deployment, as in its settings: of amga-engrave, where a case doesn't set others.
var (
	maxHold      = 6 * time.Second
	stopTime     = 400 * time.Millisecond
	gangTimeout  = 3 * time.Second
	beatInterval = 1500 * time.Millisecond
	moveTime     = 1500 * time.Millisecond
	upkeepTime   = 2 * time.Second
	restoreTime  = 250 * time.Millisecond
)

type resources struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem_mb"`
	GPU int64 `json:"gpu"`
}

func (r resources) add(o resources) resources {
	return resources{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU}
}
func (r resources) fits(o resources) bool { return r.CPU <= o.CPU && r.Mem <= o.Mem && r.GPU <= o.GPU }

// step is a step of a job that a requester handed in.
type step struct {
	Count    int    `json:"count"`
	CPU      int64  `json:"cpu,omitempty"`
	Mem      int64  `json:"mem_mb,omitempty"`
	Estimate int64  `json:"estimate_ms,omitempty"`
	After    []int  `json:"after,omitempty"`
	Gang     bool   `json:"gang,omitempty"`
	Saves    bool   `json:"saves_progress,omitempty"`
	Lasts    bool   `json:"long_running,omitempty"`
	PerMin   int    `json:"max_per_server,omitempty"`
	MayMiss  int    `json:"may_miss,omitempty"`
	SameRack bool   `json:"same_rack,omitempty"`
	Affinity string `json:"affinity,omitempty"`
	Label    string `json:"required_label,omitempty"`
	Fills    bool   `json:"fills,omitempty"`
	Spec     bool   `json:"speculative,omitempty"`
	// work is how long a task takes, failing how many of its first attempts fail.
	work    time.Duration
	failing int
}

type job struct {
	ID       string `json:"-"`
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Repeat   int    `json:"repeat_count,omitempty"`
	First    int64  `json:"first_run_ms,omitempty"`
	Interval int64  `json:"interval_ms,omitempty"`
	queue    string
	key      string
}

type taskName struct {
	job             string
	occ, step, task int
}

func parseTask(s string) (t taskName, ok bool) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return t, false
	}
	t.job = p[0]
	for i, to := range []*int{&t.occ, &t.step, &t.task} {
		v, err := strconv.Atoi(p[i+1])
		if err != nil {
			return t, false
		}
		*to = v
	}
	return t, true
}

type run struct {
	task     string
	name     taskName
	attempt  int
	began    time.Time
	together time.Time // of a gang: when all members were there
	stopAt   time.Time
	need     resources
	work     time.Duration
	fails    bool
	ckpt     string
	done     time.Duration // work of earlier runs
}

type end struct {
	seq     int64
	task    string
	attempt int
	how     string
	saved   string
	at      time.Time
	of      *event
}

type minion struct {
	w        *world
	machine  string
	pool     string
	zone     string
	rack     string
	addr     string
	capacity resources
	// Guarded by world.mu.
	id        string
	born      time.Time
	bornMS    int64 // as it says
	base      int64
	rate      float64
	token     uint64
	lease     time.Time
	runs      map[string]*run
	ends      []*end
	void      int64 // ends up to it were listed when the lease lapsed
	next      int64
	barred    map[string]int
	cut, down bool
	draining  bool
	goneAt    time.Time
	state     string // of the machine
	upkeepOf  int64  // the wave of its last upkeep
	sequence  int
	reported  time.Time // when it last wrote its entry
	listed    bool
	lives     int
	holder    string
	holderTok uint64
	holderAt  time.Time
	// grey minions fail what they start.
	grey bool
	// onStart, if set, is called with world.mu held when a start was carried out, before it is answered.
	onStart func(task string, attempt int)
	// late, if set, is asked before an order is carried out: > 0 leaves it unanswered and carries it out later.
	loses func(op string) bool // whether the answer to an order is lost
	// mute: it carries out what it is told and answers nothing.
	mute bool
	// oneWay: of a cut, only what the minion sends is lost. cutAt is when it began.
	oneWay bool
	cutAt  time.Time
	// cutStore: a cut is one from the store too, not only from all machines of the system.
	cutStore bool
	// lateOutlives: an order that is carried out late, as it was held up on its way, reaches the next life too.
	lateOutlives bool
	late         func(op string) time.Duration
}

// event is one start or end of a run.
type event struct {
	at      time.Time
	kind    string
	task    string
	attempt int
	minion  string
	life    int
	how     string
	token   uint64
	noted   time.Time
	e       *end
	spec    string
	ckpt    string
}

type world struct {
	mu      sync.Mutex
	began   time.Time
	st      *store
	minions []*minion
	jobs    map[string]*job
	events  []*event
	rec     func(string)
	waves   map[int64]*wave
	broken  []string
	ckpts   map[string]map[string]time.Duration
	// ever are the services to which a queue has ever been sent, where that is looked at.
	ever map[string]map[string]bool
	// anyClock: each life's clock begins anywhere, and the time of day that it was started at is up to 2 s off.
	anyClock bool
	// via, if set, returns the address at which a minion is listed.
	via func(addr string) string
}

type wave struct {
	Wave     int64    `json:"wave"`
	Machines []string `json:"machines"`
	Duration float64  `json:"duration_s"`
	Cap      int      `json:"cap"`
	begun    map[string]bool
}

func (w *world) note(format string, args ...any) {
	w.rec(fmt.Sprintf("%8d  ", time.Since(w.began).Milliseconds()) + fmt.Sprintf(format, args...))
}

func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.note("BROKEN %s", text)
}

func (w *world) addMachine(name, pool, zone, rack string, c resources) (*minion, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr := l.Addr().String()
	if w.via != nil {
		addr = w.via(addr)
	}
	m := &minion{w: w, machine: name, pool: pool, zone: zone, rack: rack, addr: addr, capacity: c, rate: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(200) })
	for _, op := range []string{"run-start", "run-stop", "hold", "pace"} {
		mux.HandleFunc("POST /-/"+op, func(rw http.ResponseWriter, r *http.Request) { m.serve(op, rw, r) })
	}
	server := &http.Server{Handler: mux, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, openedKey{}, time.Now())
	}}
	go func() { _ = server.Serve(l) }()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.minions = append(w.minions, m)
	m.state = "up"
	m.id = fmt.Sprintf("i-%s-0", name)
	m.reset()
	m.beat()
	return m, nil
}

// reset begins a new life. world.mu is held.
func (m *minion) reset() {
	m.lives++
	m.born, m.base, m.token, m.lease = time.Now(), 100000, 0, time.Time{}
	m.bornMS = m.born.UnixMilli()
	if m.w.anyClock {
		m.base = 1 + rand.Int64N(200000)
		m.bornMS = max(m.bornMS+rand.Int64N(4001)-2000, 1)
	}
	m.runs, m.barred, m.ends, m.next, m.void, m.sequence = map[string]*run{}, map[string]int{}, nil, 0, 0, 0
	m.draining = false
}

func (m *minion) clock(at time.Time) int64 {
	return m.base + int64(float64(at.Sub(m.born).Milliseconds())*m.rate)
}

// beat writes the minion's entry. world.mu is held.
func (m *minion) beat() {
	if m.cut && m.cutStore || m.down || m.state != "up" {
		return
	}
	m.sequence++
	v := map[string]any{"service": m.pool, "address": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": m.capacity, "labels": []string{"a", m.rack}, "clock_ms": m.clock(time.Now()), "sequence": m.sequence, "born": m.bornMS}
	if m.draining {
		v["state"], v["remaining_ms"] = "draining", max(0, time.Until(m.goneAt).Milliseconds())
	}
	m.w.st.put(rowName{"servers", "", m.id}, jsonText(v))
	m.reported, m.listed = time.Now(), true
}

// expire removes the entry of a minion that has been silent for three status report intervals. world.mu is held.
func (m *minion) expire() {
	if m.listed && time.Since(m.reported) > 3*beatInterval {
		m.listed = false
		m.w.st.remove(rowName{"servers", "", m.id})
		m.w.note("LIST   the entry of %s has expired", m.id)
	}
}

// crash ends all runs of a minion. world.mu is held.
func (m *minion) crash() {
	for _, r := range m.runs {
		m.w.ended(m, r, "", nil)
	}
	runs := m.runs
	m.runs = map[string]*run{}
	for _, r := range runs {
		m.w.gangBroken(r)
	}
}

func (w *world) ended(m *minion, r *run, how string, e *end) {
	x := &event{at: time.Now(), kind: "end", task: r.task, attempt: r.attempt, minion: m.id, life: m.lives, how: how, e: e}
	if e != nil {
		e.of = x
	}
	w.events = append(w.events, x)
	if how == "" {
		how = "(with its minion)"
	}
	if j := w.jobs[r.name.job]; j != nil && len(j.Steps) >= 1000 && (how == "done" || how == "failed") {
		return // a line for each would be too many
	}
	w.note("end    %s attempt %d on %s life %d: %s", r.task, r.attempt, m.id, m.lives, how)
}

func (m *minion) finish(r *run, how string) {
	delete(m.runs, r.task)
	m.barred[r.task] = max(m.barred[r.task], r.attempt)
	m.next++
	e := &end{seq: m.next, task: r.task, attempt: r.attempt, how: how, saved: m.w.checkpoint(r, time.Now()), at: time.Now()}
	m.ends = append(m.ends, e)
	m.w.ended(m, r, how, e)
	if how != "done" {
		m.w.gangBroken(r)
	}
}

func (w *world) stepOf(n taskName) *step {
	j := w.jobs[n.job]
	if j == nil || n.step >= len(j.Steps) {
		return nil
	}
	return &j.Steps[n.step]
}

// members returns the runs of a gang with one attempt.
func (w *world) members(r *run) (out []*run, on []*minion) {
	for _, m := range w.minions {
		if m.down {
			continue
		}
		for _, x := range m.runs {
			if x.name.job == r.name.job && x.name.occ == r.name.occ && x.name.step == r.name.step && x.attempt == r.attempt {
				out, on = append(out, x), append(on, m)
			}
		}
	}
	return out, on
}

func (w *world) gangBroken(r *run) {
	s := w.stepOf(r.name)
	if s == nil || !s.Gang {
		return
	}
	runs, on := w.members(r)
	for i, x := range runs {
		if on[i].runs[x.task] == x {
			on[i].finish(x, "broken")
		}
	}
}

// checkpoint returns the checkpoint of a run.
func (w *world) checkpoint(r *run, at time.Time) string {
	s := w.stepOf(r.name)
	if s == nil || !s.Saves && !s.Gang {
		return ""
	}
	from := r.began
	if s.Gang {
		if r.together.IsZero() {
			return r.ckpt
		}
		from = r.together
	}
	n := at.Sub(from) / (500 * time.Millisecond)
	if n <= 0 {
		return r.ckpt
	}
	text := fmt.Sprintf("%s-%d-%d", r.task, r.attempt, n)
	key := fmt.Sprintf("%s.%d.%d", r.name.job, r.name.occ, r.name.step)
	if !s.Gang {
		key = r.task
	}
	if w.ckpts[key] == nil {
		w.ckpts[key] = map[string]time.Duration{}
	}
	w.ckpts[key][text] = r.done + n*500*time.Millisecond
	return text
}

// settle ends what has to end. world.mu is held.
func (w *world) settle() {
	now := time.Now()
	for _, m := range w.minions {
		if m.down {
			continue
		}
		if len(m.runs) > 0 && now.After(m.lease) {
			for _, r := range m.runs {
				m.finish(r, "lapsed")
			}
		}
		if now.After(m.lease) {
			m.void = m.next
		}
		for _, r := range m.runs {
			s := w.stepOf(r.name)
			from := r.began
			if s != nil && s.Gang {
				if r.together.IsZero() {
					if now.After(r.began.Add(gangTimeout)) {
						m.finish(r, "alone")
					}
					if r.stopAt.IsZero() || now.Before(r.stopAt) {
						continue
					}
				}
				from = r.together
			}
			if m.runs[r.task] != r {
				continue
			}
			switch {
			case !r.stopAt.IsZero() && !now.Before(r.stopAt):
				m.finish(r, "stopped")
			case r.work > 0 && !now.Before(from.Add(max(0, r.work-r.done))):
				if s != nil && s.Gang && !r.fails {
					runs, on := w.members(r)
					for i, x := range runs {
						if on[i].runs[x.task] == x {
							on[i].finish(x, "done")
						}
					}
					continue
				}
				m.finish(r, map[bool]string{true: "failed", false: "done"}[r.fails])
			}
		}
	}
}

func (w *world) run(stop <-chan struct{}) {
	tick := time.NewTicker(5 * time.Millisecond)
	beat := time.NewTicker(beatInterval)
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			w.mu.Lock()
			w.settle()
			for _, m := range w.minions {
				m.expire()
			}
			w.mu.Unlock()
		case <-beat.C:
			w.mu.Lock()
			for _, m := range w.minions {
				m.beat()
			}
			w.mu.Unlock()
		}
	}
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ack        int64  `json:"ack_seq"`
	Wait       int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// hang leaves a call without an answer for as long as the minion is cut off.
func (m *minion) hang() {
	for {
		m.w.mu.Lock()
		cut := m.cut
		m.w.mu.Unlock()
		if !cut {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// openedKey is the key of the time at which a channel was opened.
type openedKey struct{}

// arrives reports whether a request reaches the minion: in a cut that is one-way, what its callers send on channels
// that were open before still does. world.mu is held.
func (m *minion) arrives(r *http.Request) bool {
	opened, _ := r.Context().Value(openedKey{}).(time.Time)
	return !m.cut || m.oneWay && opened.Before(m.cutAt) && opened.After(m.born)
}

func (m *minion) serve(op string, rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(500 * time.Microsecond)
	w := m.w
	w.mu.Lock()
	if !m.arrives(r) {
		w.mu.Unlock()
		m.hang()
	}
	if m.down || m.state != "up" {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("X-Boragepulley-Expect-Instance"); want != "" && want != m.id {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if m.late != nil {
		if d := m.late(op); d > 0 {
			id, life := m.id, m.lives
			w.note("%s for %s is left unanswered by %s, and carried out %v later", op, o.Task, m.id, d)
			w.mu.Unlock()
			time.AfterFunc(d, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if m.id == id && (m.lives == life || m.lateOutlives) && !m.down && m.state == "up" {
					status, answer := m.carry(op, o)
					w.note("%s for %s is carried out by %s, life %d: %d %v", op, o.Task, m.id, m.lives, status, answer["reason"])
				}
			})
			silence(r)
		}
	}
	status, body := m.carry(op, o)
	if m.mute {
		born := m.born
		w.mu.Unlock()
		for r.Context().Err() == nil {
			time.Sleep(2 * time.Millisecond)
			w.mu.Lock()
			ended := m.down || m.born != born
			w.mu.Unlock()
			if ended {
				break
			}
		}
		panic(http.ErrAbortHandler)
	}
	if m.loses != nil && m.loses(op) {
		w.note("the answer of %s to %s for %s is lost", m.id, op, o.Task)
		w.mu.Unlock()
		silence(r)
	}
	life := m.lives
	if op == "hold" && status == 200 {
		until := time.Now().Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
		for len(m.ends) == 0 && time.Now().Before(until) && !m.cut && m.lives == life && r.Context().Err() == nil {
			w.mu.Unlock()
			time.Sleep(3 * time.Millisecond)
			w.mu.Lock()
		}
		body = m.lists()
	}
	if m.cut {
		w.mu.Unlock()
		m.hang()
	}
	if m.lives != life || m.down {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.mu.Unlock()
	reply(rw, status, body)
}

func (m *minion) lists() map[string]any {
	now := time.Now()
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.runs {
		percent := 100
		if r.work > 0 {
			percent = int(min(99, 100*now.Sub(r.began)/r.work))
		}
		running = append(running, []any{r.task, r.attempt, m.w.checkpoint(r, now), percent, 0})
	}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		finished = append(finished, []any{e.seq, e.task, e.attempt, e.how, e.saved})
	}
	return map[string]any{"clock_ms": m.clock(now), "born": m.bornMS, "running": running, "finished": finished}
}

// prolong extends the lease to a time on the minion's clock.
func (m *minion) prolong(deadline int64) {
	if deadline <= 0 {
		return
	}
	now := time.Now()
	at := now.Add(time.Duration(float64(deadline-m.clock(now)) / m.rate * float64(time.Millisecond)))
	if latest := now.Add(maxHold); at.After(latest) {
		at = latest
	}
	if at.After(m.lease) {
		m.lease = at
	}
}

// carry carries an order out. world.mu is held.
func (m *minion) carry(op string, o order) (int, map[string]any) {
	w := m.w
	w.settle()
	now := time.Now()
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"clock_ms": m.clock(now), "born": m.bornMS, "reason": reason}
	}
	if o.Token < m.token {
		return refuse("fence")
	}
	m.token = o.Token
	ok := map[string]any{"clock_ms": m.clock(now)}
	switch op {
	case "run-stop":
		m.barred[o.Task] = max(m.barred[o.Task], o.Attempt)
		if r := m.runs[o.Task]; r != nil && r.attempt <= o.Attempt && r.stopAt.IsZero() {
			r.stopAt = now.Add(stopTime)
		}
	case "hold":
		m.prolong(o.Deadline)
		kept := m.ends[:0]
		for _, e := range m.ends {
			if e.seq > o.Ack {
				kept = append(kept, e)
				continue
			}
			if e.seq > m.void {
				e.of.noted = now
			}
		}
		m.ends = kept
	case "run-start":
		if r := m.runs[o.Task]; r != nil && r.attempt == o.Attempt {
			m.prolong(o.Deadline)
			return 200, ok
		}
		if o.Deadline <= m.clock(now) {
			return refuse("late")
		}
		if o.Attempt <= m.barred[o.Task] || m.runs[o.Task] != nil {
			m.prolong(o.Deadline)
			return refuse("old")
		}
		m.prolong(o.Deadline)
		n, valid := parseTask(o.Task)
		s := w.stepOf(n)
		if !valid || s == nil {
			w.breaks("UNASKED: %s is told to start %s, which nobody sent", m.id, o.Task)
			return 400, ok
		}
		need := resources{CPU: s.CPU, Mem: s.Mem}
		if s.Fills {
			need.CPU = 0
		}
		used := need
		for _, r := range m.runs {
			used = used.add(r.need)
		}
		if !used.fits(m.capacity) {
			return refuse("room")
		}
		m.begin(n, o, s, need)
	}
	return 200, ok
}

func (m *minion) begin(n taskName, o order, s *step, need resources) {
	w, now := m.w, time.Now()
	r := &run{task: o.Task, name: n, attempt: o.Attempt, began: now, need: need, work: s.work, ckpt: o.Checkpoint}
	key := o.Task
	if s.Gang {
		key = fmt.Sprintf("%s.%d.%d", n.job, n.occ, n.step)
	}
	if o.Checkpoint != "" {
		done, known := w.ckpts[key][o.Checkpoint]
		if !known {
			w.breaks("UNASKED: %s starts with checkpoint %q, which isn't the task's", o.Task, o.Checkpoint)
		}
		r.done = done - restoreTime
	}
	if s.Lasts {
		r.work = 0
	}
	fails := 0
	if s.failing > 0 {
		for _, x := range w.events {
			if x.kind == "end" && x.task == o.Task && x.how == "failed" {
				fails++
			}
		}
	}
	r.fails = fails < s.failing || m.grey
	if m.grey {
		r.work = 10 * time.Millisecond
	}
	w.events = append(w.events, &event{at: now, kind: "start", task: o.Task, attempt: o.Attempt, minion: m.id, life: m.lives, token: o.Token, spec: o.Spec, ckpt: o.Checkpoint})
	if len(w.jobs[n.job].Steps) < 1000 {
		w.note("start  %s attempt %d on %s life %d, token %d", o.Task, o.Attempt, m.id, m.lives, o.Token)
	}
	if w.jobs[n.job].Spec != o.Spec {
		w.breaks("UNASKED: %s starts with another spec", o.Task)
	}
	for _, x := range w.minions {
		if x.down {
			continue
		}
		if other := x.runs[o.Task]; other != nil && !s.Spec {
			w.breaks("TWICE: %s runs on %s (attempt %d) and %s (attempt %d) at the same time", o.Task, x.id, other.attempt, m.id, o.Attempt)
		}
	}
	m.runs[o.Task] = r
	if s.Label != "" && s.Label != "a" && s.Label != m.rack {
		w.breaks("ROUTE: %s starts on %s without its label", o.Task, m.id)
	}
	if ever := w.ever[w.jobs[n.job].queue]; ever != nil && !ever[m.pool] {
		w.breaks("ROUTE: %s starts on %s of %s", o.Task, m.id, m.pool)
	}
	if s.Gang {
		if runs, _ := w.members(r); len(runs) == s.Count {
			for _, x := range runs {
				x.together = now
			}
		}
	}
	if m.onStart != nil {
		m.onStart(o.Task, o.Attempt)
	}
}

// The machine service.
func (w *world) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", func(rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		out := []any{}
		for _, m := range w.minions {
			id := m.id
			if m.state == "gone" {
				continue
			}
			if m.state != "up" {
				id = ""
			}
			out = append(out, map[string]any{"machine": m.machine, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack}, "capacity": m.capacity, "id": id})
		}
		reply(rw, 200, map[string]any{"machines": out, "next_token": nil})
	})
	for _, op := range []string{"move", "upkeep"} {
		mux.HandleFunc("POST /-/machine-"+op, func(rw http.ResponseWriter, r *http.Request) {
			var o struct {
				Machine, Pool string
				Wave          int64
			}
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				http.Error(rw, err.Error(), 400)
				return
			}
			time.Sleep(2 * time.Millisecond)
			token, _ := strconv.ParseUint(r.Header.Get("X-Boragepulley-Fencing-Token"), 10, 64)
			status, reason := w.machineOrder(op, o.Machine, o.Pool, o.Wave, r.Header.Get("X-Boragepulley-Duty-Holder"), token)
			if reason != "" {
				reply(rw, status, map[string]any{"reason": reason})
				return
			}
			reply(rw, status, map[string]any{})
		})
	}
	return mux
}

func (w *world) machineOrder(op, name, pool string, n int64, holder string, token uint64) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var m *minion
	for _, x := range w.minions {
		if x.machine == name && x.state != "gone" {
			m = x
		}
	}
	if m == nil {
		return 400, "none"
	}
	now := time.Now()
	if m.holder != "" && holder != m.holder {
		if token < m.holderTok {
			w.breaks("ONE: an order for %s by %s with token %d after one by %s with token %d", name, holder, token, m.holder, m.holderTok)
		}
		if token == m.holderTok {
			w.breaks("ONE: orders for %s by %s and %s with token %d", name, holder, m.holder, token)
		}
		if now.Sub(m.holderAt) < 3*time.Second {
			w.note("NEAR   orders for %s by %s and %s within %v", name, m.holder, holder, now.Sub(m.holderAt))
		}
	}
	m.holder, m.holderTok, m.holderAt = holder, max(token, m.holderTok), now
	w.note("%s %s to %q wave %d by %s token %d", op, name, pool, n, holder, token)
	down := moveTime
	if op == "move" {
		if m.pool == pool {
			return 200, ""
		}
	} else {
		v := w.waves[n]
		if v == nil || !contains(v.Machines, name) {
			return 409, "wave"
		}
		if v.begun[name] {
			return 200, ""
		}
		if m.state != "up" || m.draining {
			return 409, "busy"
		}
		down = upkeepTime
	}
	if m.state != "up" || m.draining {
		return 409, "busy"
	}
	if op == "upkeep" {
		v := w.waves[n]
		v.begun[name] = true
		busy := 0
		for _, x := range w.minions {
			if x.state == "upkeep" && x.upkeepOf == n {
				busy++
			}
		}
		if busy >= v.Cap {
			w.breaks("LIMIT: an upkeep of wave %d begins while %d machines are down", n, busy)
		}
		m.state, m.upkeepOf = "upkeep", n
	} else {
		m.pool, m.state = pool, "moving"
	}
	m.crash()
	old := m.id
	w.st.remove(rowName{"servers", "", old})
	m.listed = false
	time.AfterFunc(down, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		m.state = "up"
		m.id = fmt.Sprintf("i-%s-%d", m.machine, m.lives)
		m.reset()
		m.beat()
	})
	return 200, ""
}

func contains(l []string, s string) bool {
	for _, x := range l {
		if x == s {
			return true
		}
	}
	return false
}
