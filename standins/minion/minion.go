package minion

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"boragepulley/standins/runs"
	"boragepulley/standins/serve"
)

// Defaults of the users' minions.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	// DefaultRun is the run time of a request that gives none.
	DefaultRun = 20 * time.Millisecond
	// DefaultIdleTimeout is after how long a minion closes a connection on which no request
	// arrives.
	DefaultIdleTimeout = time.Minute
	// maxBody bounds a request body, in bytes.
	maxBody = 32 << 20
)

// Headers of the minion contract.
const (
	HeaderJob        = "X-Job-Id"
	HeaderAttempt    = "X-Attempt"
	HeaderDeadline   = "X-Deadline-Ms"
	HeaderDigest     = "X-Digest"
	HeaderNotStarted = "X-Not-Started"
)

// Options configure one minion. Zero values select the defaults.
type Options struct {
	Name string
	// Addr is "IP:port"; port 0 selects a free port.
	Addr        string
	Slots       int
	Connections int
	Run         time.Duration
	IdleTimeout time.Duration
	Seed        uint64
	// tags is shared by the minions of a fleet.
	tags *tagGauge
}

// RunBody is the optional JSON body of POST /run. Other bodies run with the defaults.
type RunBody struct {
	// RunMS is the run time in milliseconds; nil selects the default.
	RunMS *int64 `json:"run_ms"`
	// AnswerBytes is the size of padding in the answer.
	AnswerBytes int `json:"answer_bytes"`
	// Tag groups requests whose concurrency over all minions is recorded, such as a team.
	Tag string `json:"tag"`
}

// RunAnswer is the answer of POST /run.
type RunAnswer struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Minion  string `json:"minion"`
	// RequestDigest is the xxhash64 of the request body in hex, so that a caller can check
	// that the answer belongs to its own request.
	RequestDigest string `json:"request_digest"`
	Padding       string `json:"padding,omitempty"`
}

// RunningJob is one job of a status answer.
type RunningJob struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
}

// Status is the answer of GET /status.
type Status struct {
	Busy  int          `json:"busy"`
	Slots int          `json:"slots"`
	Jobs  []RunningJob `json:"jobs"`
}

// Stats are counts since the start; reboots do not reset them.
type Stats struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
	// SlotViolations counts requests that arrived while all slots were busy.
	SlotViolations int64 `json:"slot_violations"`
	// ConnectionViolations counts connections over the limit.
	ConnectionViolations int64 `json:"connection_violations"`
	Started              int64 `json:"started"`
	Finished             int64 `json:"finished"`
	Reboots              int64 `json:"reboots"`
	// CutOff counts the jobs that ran when a reboot took the minion down.
	CutOff int64 `json:"cut_off"`
	// Up is whether the minion runs.
	Up bool `json:"up"`
}

// boot is the state of a minion between two reboots.
type boot struct {
	down chan struct{} // closed when the minion goes down

	mu      sync.Mutex
	running map[uint64]RunningJob // guarded by mu
	nextRun uint64                // guarded by mu
}

// Minion is one stand-in minion with its own listener.
type Minion struct {
	opt    Options
	host   *serve.Host
	runs   *runs.Log
	faults *faultState
	tags   *tagGauge

	rebootMu sync.Mutex // serialises Reboot and Close
	closed   bool       // guarded by rebootMu
	killed   bool       // guarded by rebootMu
	boot     atomic.Pointer[boot]

	slotViolations, connViolations, started, finished, reboots, cutOff atomic.Int64
	isUp                                                               atomic.Bool
}

// Start returns a minion that listens at its address.
func Start(o Options) (*Minion, error) {
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections == 0 {
		o.Connections = DefaultConnections
	}
	if o.Run == 0 {
		o.Run = DefaultRun
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.tags == nil {
		o.tags = newTagGauge()
	}
	m := &Minion{opt: o, host: serve.NewHost(o.Addr), runs: runs.NewLog(), faults: newFaultState(o.Seed), tags: o.tags}
	m.host.IdleTimeout = o.IdleTimeout
	m.host.OnConnections = func(open int) {
		if open > o.Connections {
			m.connViolations.Add(1)
		}
	}
	return m, m.up()
}

// up starts a new boot.
func (m *Minion) up() error {
	b := &boot{down: make(chan struct{}), running: map[uint64]RunningJob{}}
	m.boot.Store(b)
	m.isUp.Store(true)
	return m.host.Start(m.routes(b))
}

// Name returns the minion's name.
func (m *Minion) Name() string { return m.opt.Name }

// Addr returns the minion's "IP:port".
func (m *Minion) Addr() string { return m.host.Addr() }

// Runs returns the run counts, which reboots do not reset.
func (m *Minion) Runs() *runs.Log { return m.runs }

// SetFaults replaces the faults in force.
func (m *Minion) SetFaults(f Faults) { m.faults.set(f) }

// Stats returns the counts since the start.
func (m *Minion) Stats() Stats {
	return Stats{
		Name: m.opt.Name, Addr: m.Addr(),
		SlotViolations: m.slotViolations.Load(), ConnectionViolations: m.connViolations.Load(),
		Started: m.started.Load(), Finished: m.finished.Load(), Reboots: m.reboots.Load(),
		CutOff: m.cutOff.Load(), Up: m.isUp.Load(),
	}
}

// Reboot resets all connections, loses the running jobs and refuses connections for d.
// It returns when the minion is up again. It also brings up a minion that was killed.
func (m *Minion) Reboot(d time.Duration) error {
	m.rebootMu.Lock()
	defer m.rebootMu.Unlock()
	if m.closed {
		return nil
	}
	m.reboots.Add(1)
	if !m.killed {
		m.cutOff.Add(int64(m.boot.Load().status(0).Busy))
		m.goDown()
	}
	m.killed = false
	time.Sleep(d)
	return m.up()
}

// Kill takes the minion down until a reboot. Running jobs are lost.
func (m *Minion) Kill() {
	m.rebootMu.Lock()
	defer m.rebootMu.Unlock()
	if !m.closed && !m.killed {
		m.killed = true
		m.goDown()
	}
}

// Close stops the minion for good.
func (m *Minion) Close() {
	m.rebootMu.Lock()
	defer m.rebootMu.Unlock()
	if !m.closed {
		m.closed = true
		if !m.killed {
			m.goDown()
		}
		m.host.Close()
	}
}

func (m *Minion) goDown() {
	m.isUp.Store(false)
	close(m.boot.Load().down)
	m.host.Stop()
}

func (m *Minion) routes(b *boot) http.Handler {
	e := echo.New()
	e.POST("/run", func(c echo.Context) error { return m.run(c, b) })
	e.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, b.status(m.opt.Slots)) })
	e.GET("/debug/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, m.runs.Answer()) })
	return e
}

// run handles one request. A client that leaves does not end the job: a minion runs what
// it has started.
func (m *Minion) run(c echo.Context, b *boot) error {
	job := c.Request().Header.Get(HeaderJob)
	attempt, err := strconv.Atoi(c.Request().Header.Get(HeaderAttempt))
	if err != nil || job == "" {
		return notStarted(c, http.StatusBadRequest, "headers "+HeaderJob+" and "+HeaderAttempt+" are required")
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	if err != nil {
		return notStarted(c, http.StatusBadRequest, "body: "+err.Error())
	}
	faults, changed := m.faults.draw()
	if faults.has(FaultRefuse) {
		return notStarted(c, http.StatusServiceUnavailable, "refused")
	}
	slot, ok := b.take(RunningJob{ID: job, Attempt: attempt}, m.opt.Slots)
	if !ok {
		m.slotViolations.Add(1)
		return notStarted(c, http.StatusServiceUnavailable, "all slots are busy")
	}
	m.started.Add(1)
	m.runs.Add(job, attempt)
	in := parseBody(body)
	leave := m.tags.enter(in.Tag)
	done := b.work(m.runTime(in)+faults[FaultSlow], faults.has(FaultHang), changed)
	leave()
	if !done {
		panic(http.ErrAbortHandler) // rebooted: the job is lost
	}
	// The slot is free before the answer is sent, so that a client that reacts to the
	// answer at once does not exceed the slots.
	b.free(slot)
	m.finished.Add(1)
	if faults.has(FaultLate) && !b.work(faults[FaultLate], false, nil) {
		panic(http.ErrAbortHandler)
	}
	return m.answer(c, faults, RunAnswer{
		Job: job, Attempt: attempt, Minion: m.opt.Name,
		RequestDigest: digest(body), Padding: padding(in.AnswerBytes),
	})
}

func (m *Minion) runTime(in RunBody) time.Duration {
	if in.RunMS != nil {
		return time.Duration(*in.RunMS) * time.Millisecond
	}
	return m.opt.Run
}

// answer sends the answer, altered by the faults.
func (m *Minion) answer(c echo.Context, faults drawn, a RunAnswer) error {
	out, err := json.Marshal(a)
	if err != nil {
		return err
	}
	h := c.Response().Header()
	h.Set(HeaderJob, a.Job)
	h.Set(HeaderAttempt, strconv.Itoa(a.Attempt))
	h.Set(HeaderDigest, digest(out))
	h.Set(echo.HeaderContentLength, strconv.Itoa(len(out)))
	status := http.StatusOK
	if faults.has(FaultFail) {
		status = http.StatusInternalServerError
	}
	if faults.has(FaultWrongJob) {
		h.Set(HeaderJob, a.Job+"x")
	}
	if faults.has(FaultCorrupt) {
		out[len(out)/2] ^= 1
	}
	if !faults.has(FaultTruncate) {
		return c.Blob(status, echo.MIMEApplicationJSON, out)
	}
	if err := c.Blob(status, echo.MIMEApplicationJSON, out[:len(out)/2]); err != nil {
		return err
	}
	c.Response().Flush()
	panic(http.ErrAbortHandler)
}

// take occupies a slot, or reports false if all are busy.
func (b *boot) take(j RunningJob, slots int) (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.running) >= slots {
		return 0, false
	}
	b.nextRun++
	b.running[b.nextRun] = j
	return b.nextRun, true
}

func (b *boot) free(slot uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.running, slot)
}

// work waits for d, or with hang until the faults change. It reports false if the minion
// went down before.
func (b *boot) work(d time.Duration, hang bool, changed <-chan struct{}) bool {
	if hang {
		select {
		case <-changed:
		case <-b.down:
			return false
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-b.down:
		return false
	}
}

func (b *boot) status(slots int) Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Status{Busy: len(b.running), Slots: slots, Jobs: []RunningJob{}}
	for _, j := range b.running {
		s.Jobs = append(s.Jobs, j)
	}
	return s
}

// notStarted answers that the job was not started.
func notStarted(c echo.Context, status int, msg string) error {
	c.Response().Header().Set(HeaderNotStarted, "true")
	return c.String(status, msg)
}

// parseBody returns the parameters of a JSON body, or none for any other body.
func parseBody(body []byte) RunBody {
	var in RunBody
	if json.Unmarshal(body, &in) != nil {
		return RunBody{}
	}
	return in
}

func digest(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }

func padding(n int) string {
	p := make([]byte, max(0, min(n, maxBody)))
	for i := range p {
		p[i] = 'a' + byte(i%26)
	}
	return string(p)
}
