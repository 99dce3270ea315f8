package worker

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog/log"

	"boragepulley/standins/runs"
)

// Reboot is the body of POST /workers/{name}/reboot.
type Reboot struct {
	DownMS int64 `json:"down_ms"`
}

// Fleet is several workers in one process with one admin handler on a separate listener,
// so that faults of a worker do not reach its admin calls.
type Fleet struct {
	workers []*Worker
	byName  map[string]*Worker
}

// StartFleet starts all workers or none.
func StartFleet(opts []Options) (*Fleet, error) {
	f := &Fleet{byName: map[string]*Worker{}}
	for _, o := range opts {
		w, err := StartWorker(o)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.workers = append(f.workers, w)
		f.byName[o.Name] = w
	}
	return f, nil
}

// Workers returns the workers in the order of their options.
func (f *Fleet) Workers() []*Worker { return f.workers }

// Close stops all workers.
func (f *Fleet) Close() {
	for _, w := range f.workers {
		w.Close()
	}
}

// Runs returns the run counts of all workers together.
func (f *Fleet) Runs() runs.Answer {
	logs := make([]*runs.Log, len(f.workers))
	for i, w := range f.workers {
		logs[i] = w.Runs()
	}
	return runs.Merge(logs...)
}

// Stats returns the stats of every worker.
func (f *Fleet) Stats() []Stats {
	out := make([]Stats, len(f.workers))
	for i, w := range f.workers {
		out[i] = w.Stats()
	}
	return out
}

// Admin returns the admin handler:
//
//	GET  /debug/runs              runs.Answer of all workers
//	GET  /debug/stats             []Stats
//	GET  /workers/{name}/faults   Faults
//	PUT  /workers/{name}/faults   Faults
//	POST /workers/{name}/reboot   Reboot; answers at once
func (f *Fleet) Admin() http.Handler {
	e := echo.New()
	e.GET("/debug/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, f.Runs()) })
	e.GET("/debug/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, f.Stats()) })
	e.GET("/workers/:name/faults", f.with(func(c echo.Context, w *Worker) error {
		f, _ := w.getFaults()
		return c.JSON(http.StatusOK, f)
	}))
	e.PUT("/workers/:name/faults", f.with(putFaults))
	e.POST("/workers/:name/reboot", f.with(postReboot))
	return e
}

// with finds the worker that the path names.
func (f *Fleet) with(h func(echo.Context, *Worker) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		w, ok := f.byName[c.Param("name")]
		if !ok {
			return echo.NewHTTPError(http.StatusNotFound, "no worker "+c.Param("name"))
		}
		return h(c, w)
	}
}

func putFaults(c echo.Context, w *Worker) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	w.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}

func postReboot(c echo.Context, w *Worker) error {
	var r Reboot
	if err := c.Bind(&r); err != nil {
		return err
	}
	go func() {
		if err := w.Reboot(time.Duration(r.DownMS) * time.Millisecond); err != nil {
			log.Error().Str("part", "worker").Str("worker", w.Name()).Err(err).Msg("restart failed; the worker stays down")
		}
	}()
	return c.JSON(http.StatusOK, r)
}
