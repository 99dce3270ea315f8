package worker

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"boragepulley/standins/runs"
	"boragepulley/standins/serve"
)

const (
	// DefaultUsageLag is how late usage reports are.
	DefaultUsageLag = 2 * time.Second
	// HeaderNotStarted is "true" on a refusal that started nothing.
	HeaderNotStarted = "X-Not-Started"
	// maxBody bounds a request body, in bytes.
	maxBody = 32 << 20
)

// Options configure one worker.
type Options struct {
	Name string
	// Addr is "IP:port"; port 0 selects a free port.
	Addr         string
	Cores        int
	MemoryMB     int
	Accelerators int
	// UsageLag is how late usage reports are; 0 selects DefaultUsageLag.
	UsageLag time.Duration
}

// Worker is one stand-in worker with its own listener.
type Worker struct {
	opt  Options
	host *serve.Host
	runs *runs.Log

	mu      sync.Mutex
	faults  Faults        // guarded by mu
	changed chan struct{} // guarded by mu; closed when faults are replaced

	rebootMu sync.Mutex // serialises Reboot and Close
	closed   bool       // guarded by rebootMu
	tasks    atomic.Pointer[tasks]

	violations, started, expired, reboots atomic.Int64
}

// StartWorker returns a worker that listens at its address.
func StartWorker(o Options) (*Worker, error) {
	if o.UsageLag == 0 {
		o.UsageLag = DefaultUsageLag
	}
	w := &Worker{opt: o, host: serve.NewHost(o.Addr), runs: runs.NewLog(), changed: make(chan struct{})}
	return w, w.up()
}

func (w *Worker) up() error {
	ts := newTasks(w.opt, w.countStart, func() { w.expired.Add(1) })
	w.tasks.Store(ts)
	return w.host.Start(w.routes(ts))
}

func (w *Worker) countStart(id string, attempt int) {
	w.started.Add(1)
	w.runs.Add(id, attempt)
}

// Name returns the worker's name.
func (w *Worker) Name() string { return w.opt.Name }

// Addr returns the worker's "IP:port".
func (w *Worker) Addr() string { return w.host.Addr() }

// Runs returns the start counts, which reboots do not reset.
func (w *Worker) Runs() *runs.Log { return w.runs }

// SetFaults replaces the faults in force.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) getFaults() (Faults, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults, w.changed
}

func (w *Worker) loseAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.LoseAnswers == 0 {
		return false
	}
	w.faults.LoseAnswers--
	return true
}

// Stats returns the counts since the start.
func (w *Worker) Stats() Stats {
	return Stats{
		Name: w.opt.Name, Addr: w.Addr(), Violations: w.violations.Load(),
		Started: w.started.Load(), Expired: w.expired.Load(), Reboots: w.reboots.Load(),
	}
}

// Reboot loses all tasks and refuses connections for d. It returns when the worker is up again.
func (w *Worker) Reboot(d time.Duration) error {
	w.rebootMu.Lock()
	defer w.rebootMu.Unlock()
	if w.closed {
		return nil
	}
	w.reboots.Add(1)
	w.host.Stop()
	w.tasks.Load().close()
	time.Sleep(d)
	return w.up()
}

// Close stops the worker for good.
func (w *Worker) Close() {
	w.rebootMu.Lock()
	defer w.rebootMu.Unlock()
	w.closed = true
	w.host.Close()
	w.tasks.Load().close()
}

func (w *Worker) routes(ts *tasks) http.Handler {
	e := echo.New()
	e.GET("/debug/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, w.runs.Answer()) })
	g := e.Group("/tasks", w.guard)
	g.GET("", func(c echo.Context) error { return c.JSON(http.StatusOK, ts.list()) })
	g.POST("", func(c echo.Context) error { return w.start(c, ts) })
	g.POST("/:id/renew", w.command(ts.renew))
	g.POST("/:id/checkpoint", w.command(ts.checkpoint))
	g.POST("/:id/throttle", w.command(ts.throttle))
	g.POST("/:id/stop", w.command(ts.stop))
	return e
}

// guard applies hanging calls and delays before a handler runs, and loses answers after it.
func (w *Worker) guard(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		// net/http reports a client that leaves only after the body was read.
		body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
		if err != nil {
			return notStarted(c, http.StatusBadRequest, "body: "+err.Error())
		}
		c.Request().Body = io.NopCloser(bytes.NewReader(body))
		f, changed := w.getFaults()
		for f.Hang {
			select {
			case <-changed:
				f, changed = w.getFaults()
			case <-c.Request().Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		return next(c)
	}
}

func (w *Worker) start(c echo.Context, ts *tasks) error {
	var s Start
	if err := c.Bind(&s); err != nil {
		return notStarted(c, http.StatusBadRequest, err.Error())
	}
	f, _ := w.getFaults()
	if f.Refuse {
		return notStarted(c, http.StatusServiceUnavailable, "refused")
	}
	t, err := ts.start(s, time.Duration(f.FailAfterMS)*time.Millisecond, f.FailEverything)
	if errors.Is(err, errNoRoom) {
		w.violations.Add(1)
		return notStarted(c, http.StatusServiceUnavailable, err.Error())
	}
	if err != nil {
		c.Response().Header().Set(HeaderNotStarted, "true")
	}
	return w.answer(c, t, err)
}

func (w *Worker) command(f func(string, Command) (Task, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		var cmd Command
		if err := c.Bind(&cmd); err != nil {
			return err
		}
		t, err := f(c.Param("id"), cmd)
		if errors.Is(err, errNoRoom) {
			w.violations.Add(1)
		}
		return w.answer(c, t, err)
	}
}

// answer answers with the task; a refusal answers 4xx with the task as it is.
func (w *Worker) answer(c echo.Context, t Task, err error) error {
	if w.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	switch {
	case errors.Is(err, errNoTask):
		status = http.StatusNotFound
	case errors.Is(err, errOldAttempt), errors.Is(err, errEnded):
		status = http.StatusConflict
	case err != nil:
		status = http.StatusBadRequest
	}
	return c.JSON(status, t)
}

func notStarted(c echo.Context, status int, msg string) error {
	c.Response().Header().Set(HeaderNotStarted, "true")
	return c.String(status, msg)
}
