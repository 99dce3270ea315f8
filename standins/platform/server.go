package platform

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"boragepulley/internal/platform"
)

// Default limits, of the size that the design page gives for the platform: several
// hundred writes and about two thousand reads a second for all clients together.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	// maxBody bounds a request body, in bytes.
	maxBody = 64 << 20
)

// Admin paths. Faults and rate limits do not apply to them.
const (
	PathFaults = "/admin/faults" // GET -> Faults, PUT Faults
	PathLag    = "/admin/lag"    // PUT Lag
	PathSetVM  = "/admin/vms"    // POST []VMChange
	PathStats  = "/admin/stats"  // GET -> Stats
)

// Options configure the stand-in. Zero values select the defaults.
type Options struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Seed seeds the decisions of probabilistic faults.
	Seed uint64
	Lag  Lag
	// Reboots says how reboots are performed.
	Reboots Reboots
}

// Stats are counts since the start.
type Stats struct {
	Writes      int64 `json:"writes"`
	Reads       int64 `json:"reads"`
	RateLimited int64 `json:"rate_limited"`
	Refused     int64 `json:"refused"`
	LostAnswers int64 `json:"lost_answers"`
	// Arrived counts every request outside the admin paths, refused ones included.
	Arrived int64 `json:"arrived"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	echo    *echo.Echo
	table   *table
	objects *objects
	vms     *vmList
	reboots *reboots
	faults  *faultState
	writes  *rate.Limiter
	reads   *rate.Limiter

	nWrites, nReads, nLimited, nRefused, nLost, nArrived atomic.Int64
}

// New returns a stand-in with empty stores.
func New(o Options) *Server {
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	s := &Server{
		echo: echo.New(), table: newTable(), objects: newObjects(),
		vms: newVMList(o.Lag), reboots: &reboots{how: o.Reboots, byID: map[string]reboot{}}, faults: newFaultState(o.Seed),
		writes: limiter(o.WritesPerSecond), reads: limiter(o.ReadsPerSecond),
	}
	s.routes()
	return s
}

// limiter allows bursts of a quarter of a second.
func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/4)))
}

func (s *Server) routes() {
	e := s.echo
	read, write := s.guard(s.reads, &s.nReads), s.guard(s.writes, &s.nWrites)
	e.GET(platform.PathRow, s.getRow, read)
	e.GET(platform.PathRows, s.scanRows, read)
	e.POST(platform.PathTxn, s.commit, write)
	e.PUT(platform.PathObject, s.putObject, write)
	e.GET(platform.PathObject, s.getObject, read)
	e.GET(platform.PathObjects, s.listObjects, read)
	e.GET(platform.PathVMs, s.listVMs, read)
	e.POST(platform.PathReboot, s.postReboot, write)
	e.GET(platform.PathReboot, s.getReboot, read)
	e.PUT(PathReboots, s.adminReboots)
	e.GET(PathFaults, func(c echo.Context) error { return c.JSON(http.StatusOK, s.faults.get()) })
	e.PUT(PathFaults, s.adminFaults)
	e.PUT(PathLag, s.adminLag)
	e.POST(PathSetVM, s.adminVMs)
	e.GET(PathStats, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Stats()) })
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) { s.faults.set(f) }

// SetLag replaces the lag of the VM list.
func (s *Server) SetLag(l Lag) { s.vms.setLag(l) }

// SetVM sets the true state of a VM.
func (s *Server) SetVM(c VMChange) { s.vms.set(time.Now(), c) }

// Stats returns the counts since the start.
func (s *Server) Stats() Stats {
	return Stats{
		Writes: s.nWrites.Load(), Reads: s.nReads.Load(), RateLimited: s.nLimited.Load(),
		Refused: s.nRefused.Load(), LostAnswers: s.nLost.Load(), Arrived: s.nArrived.Load(),
	}
}

// guard applies outages, the rate limit and the delay before a handler runs.
func (s *Server) guard(l *rate.Limiter, count *atomic.Int64) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			s.nArrived.Add(1)
			// net/http reports a client that leaves only after the body was read.
			body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
			if err != nil {
				return refuse(c, http.StatusBadRequest, platform.CodeBadRequest, "body: "+err.Error())
			}
			c.Request().Body = io.NopCloser(bytes.NewReader(body))
			if !s.waitOutage(c) {
				s.nRefused.Add(1)
				return refuse(c, http.StatusServiceUnavailable, platform.CodeOutage, "service is down")
			}
			if !l.Allow() {
				s.nLimited.Add(1)
				return refuse(c, http.StatusTooManyRequests, platform.CodeRateLimit, "rate limit exceeded")
			}
			if d := s.faults.delay(); d > 0 {
				time.Sleep(d)
			}
			count.Add(1)
			return next(c)
		}
	}
}

// waitOutage reports false if the request must be refused. It blocks while requests hang.
func (s *Server) waitOutage(c echo.Context) bool {
	for {
		mode, changed := s.faults.outage(c.Request().Header.Get(platform.HeaderClient))
		switch mode {
		case OutageNone:
			return true
		case OutageHang:
			select {
			case <-changed:
			case <-c.Request().Context().Done():
				panic(http.ErrAbortHandler)
			}
		case OutageDrop:
			panic(http.ErrAbortHandler)
		default:
			return false
		}
	}
}

// refuse answers with an error and states that the request had no effect.
func refuse(c echo.Context, status int, code platform.ErrorCode, msg string) error {
	return refuseWith(c, status, platform.ErrorAnswer{Code: code, Message: msg})
}

func refuseWith(c echo.Context, status int, a platform.ErrorAnswer) error {
	c.Response().Header().Set(platform.HeaderNotApplied, "true")
	return c.JSON(status, a)
}

func badRequest(c echo.Context, err error) error {
	return refuse(c, http.StatusBadRequest, platform.CodeBadRequest, err.Error())
}

// answerWrite answers a write that took effect, unless its answer must be lost.
func (s *Server) answerWrite(c echo.Context, keys []string, answer any) error {
	if s.faults.loseAnswer(keys) {
		s.nLost.Add(1)
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) getRow(c echo.Context) error {
	return c.JSON(http.StatusOK, s.table.get(c.QueryParam("key")))
}

func (s *Server) scanRows(c echo.Context) error {
	limit := 0
	if q := c.QueryParam("limit"); q != "" {
		n, err := strconv.Atoi(q)
		if err != nil || n < 0 {
			return badRequest(c, fmt.Errorf("limit %q: want a number of rows", q))
		}
		limit = n
	}
	return c.JSON(http.StatusOK, platform.RowsAnswer{Rows: s.table.scan(c.QueryParam("prefix"), limit)})
}

func (s *Server) commit(c echo.Context) error {
	var x platform.Txn
	if err := c.Bind(&x); err != nil {
		return badRequest(c, err)
	}
	versions, err := s.table.commit(x)
	var conflict *conflictError
	switch {
	case errors.As(err, &conflict):
		return refuseWith(c, http.StatusConflict, platform.ErrorAnswer{
			Code: platform.CodeConflict, Message: err.Error(), Rows: conflict.rows})
	case err != nil:
		return badRequest(c, err)
	}
	keys := make([]string, 0, len(x.Puts))
	for _, p := range x.Puts {
		keys = append(keys, p.Key)
	}
	return s.answerWrite(c, keys, platform.TxnAnswer{Versions: versions})
}

func (s *Server) putObject(c echo.Context) error {
	var o platform.Object
	if err := c.Bind(&o); err != nil {
		return badRequest(c, err)
	}
	if o.Name == "" {
		return badRequest(c, errors.New("object without a name"))
	}
	if !s.objects.put(o.Name, o.Data) {
		return refuse(c, http.StatusConflict, platform.CodeObjectDiffers, "the object exists with other bytes")
	}
	return s.answerWrite(c, []string{o.Name}, struct{}{})
}

func (s *Server) getObject(c echo.Context) error {
	name := c.QueryParam("name")
	data, ok := s.objects.get(name)
	if !ok {
		return refuse(c, http.StatusNotFound, platform.CodeNotFound, "no object "+strconv.Quote(name))
	}
	return c.JSON(http.StatusOK, platform.Object{Name: name, Data: data})
}

func (s *Server) listObjects(c echo.Context) error {
	return c.JSON(http.StatusOK, platform.NamesAnswer{Names: s.objects.list(c.QueryParam("prefix"))})
}

func (s *Server) listVMs(c echo.Context) error {
	return c.JSON(http.StatusOK, platform.VMsAnswer{VMs: s.vms.list(time.Now())})
}

func (s *Server) adminFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return badRequest(c, err)
	}
	if err := f.check(); err != nil {
		return badRequest(c, err)
	}
	s.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}

func (s *Server) adminLag(c echo.Context) error {
	var l Lag
	if err := c.Bind(&l); err != nil {
		return badRequest(c, err)
	}
	s.SetLag(l)
	return c.JSON(http.StatusOK, l)
}

func (s *Server) adminVMs(c echo.Context) error {
	var changes []VMChange
	if err := c.Bind(&changes); err != nil {
		return badRequest(c, err)
	}
	for _, v := range changes {
		if v.State != VMLive && v.State != VMLeaving && v.State != VMGone {
			return badRequest(c, fmt.Errorf("VM %q: unknown state %q", v.Name, v.State))
		}
	}
	for _, v := range changes {
		s.SetVM(v)
	}
	return c.JSON(http.StatusOK, changes)
}
