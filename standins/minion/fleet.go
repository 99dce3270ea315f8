package minion

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog/log"

	"boragepulley/standins/runs"
)

// Reboot is the body of POST /minions/{name}/reboot.
type Reboot struct {
	DownMS int64 `json:"down_ms"`
}

// Fleet is several minions in one process with one admin handler on a separate listener,
// so that admin connections do not count against the minions' limits.
type Fleet struct {
	minions []*Minion
	byName  map[string]*Minion
	tags    *tagGauge
}

// StartFleet starts all minions or none.
func StartFleet(opts []Options) (*Fleet, error) {
	f := &Fleet{byName: map[string]*Minion{}, tags: newTagGauge()}
	for _, o := range opts {
		o.tags = f.tags
		m, err := Start(o)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.minions = append(f.minions, m)
		f.byName[o.Name] = m
	}
	return f, nil
}

// Minions returns the minions in the order of their options.
func (f *Fleet) Minions() []*Minion { return f.minions }

// Close stops all minions.
func (f *Fleet) Close() {
	for _, m := range f.minions {
		m.Close()
	}
}

// Runs returns the run counts of all minions together.
func (f *Fleet) Runs() runs.Answer {
	logs := make([]*runs.Log, len(f.minions))
	for i, m := range f.minions {
		logs[i] = m.Runs()
	}
	return runs.Merge(logs...)
}

// Stats returns the stats of every minion.
func (f *Fleet) Stats() []Stats {
	out := make([]Stats, len(f.minions))
	for i, m := range f.minions {
		out[i] = m.Stats()
	}
	return out
}

// Admin returns the admin handler:
//
//	GET  /debug/runs              runs.Answer of all minions
//	GET  /debug/stats             []Stats
//	GET  /debug/tags              []TagStats
//	POST /debug/tags/reset        starts new maxima and integrals
//	GET  /minions/{name}/faults   Faults
//	PUT  /minions/{name}/faults   Faults
//	POST /minions/{name}/reboot   Reboot; answers at once
//	POST /minions/{name}/kill     takes the minion down until a reboot
func (f *Fleet) Admin() http.Handler {
	e := echo.New()
	e.GET("/debug/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, f.Runs()) })
	e.GET("/debug/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, f.Stats()) })
	e.GET("/debug/tags", func(c echo.Context) error { return c.JSON(http.StatusOK, f.tags.stats()) })
	e.POST("/debug/tags/reset", func(c echo.Context) error {
		f.tags.reset()
		return c.JSON(http.StatusOK, f.tags.stats())
	})
	e.GET("/minions/:name/faults", f.with(func(c echo.Context, m *Minion) error {
		return c.JSON(http.StatusOK, m.faults.get())
	}))
	e.PUT("/minions/:name/faults", f.with(putFaults))
	e.POST("/minions/:name/reboot", f.with(postReboot))
	e.POST("/minions/:name/kill", f.with(func(c echo.Context, m *Minion) error {
		m.Kill()
		return c.JSON(http.StatusOK, m.Stats())
	}))
	return e
}

// with finds the minion that the path names.
func (f *Fleet) with(h func(echo.Context, *Minion) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		m, ok := f.byName[c.Param("name")]
		if !ok {
			return echo.NewHTTPError(http.StatusNotFound, "no minion "+c.Param("name"))
		}
		return h(c, m)
	}
}

func putFaults(c echo.Context, m *Minion) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	if err := f.check(); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	m.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}

func postReboot(c echo.Context, m *Minion) error {
	var r Reboot
	if err := c.Bind(&r); err != nil {
		return err
	}
	go func() {
		if err := m.Reboot(time.Duration(r.DownMS) * time.Millisecond); err != nil {
			log.Error().Str("part", "minion").Str("minion", m.Name()).Err(err).Msg("restart failed; the minion stays down")
		}
	}()
	return c.JSON(http.StatusOK, r)
}
