package caller

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/control"
	"boragepulley/internal/dispatch"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

const (
	// DefaultBodyTimeout bounds how long a caller may take to send a request.
	DefaultBodyTimeout = 10 * time.Second
	// idleTimeout bounds an idle keep-alive connection of a caller.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 32 << 10
	// writeTimeout bounds how long a caller may take to read an answer.
	writeTimeout = 30 * time.Second
)

// Dispatcher is what this package uses of dispatch.
type Dispatcher interface {
	NewJobID() model.JobID
	Precheck(dispatch.Submission) (maxBody int64, refused model.Result, ok bool)
	Refuse(in dispatch.Submission, reason model.Reason, detail string) model.Result
	Submit(ctx context.Context, in dispatch.Submission) model.Result
	SubmitAsync(ctx context.Context, in dispatch.Submission) model.Result
	Authenticate(key string) (model.Team, model.Reason)
	Find(ctx context.Context, id model.JobID, answer bool) (peer.JobGetReply, error)
	FindTask(ctx context.Context, id model.JobID, answer bool) (peer.JobGetReply, error)
	Cancel(id model.JobID, team model.Team) (model.Result, error)
	CancelTask(ctx context.Context, id model.JobID, team model.Team) (model.Result, error)
}

var _ Dispatcher = (*dispatch.Service)(nil)

// JobLookup reaches the entry VM that accepted a job.
type JobLookup = dispatch.JobLookup

// Config are the parts and bounds of a Server.
type Config struct {
	Entry      model.EntryVM
	Dispatcher Dispatcher
	// Snapshot returns the current control state.
	Snapshot func() *control.Snapshot
	// Lookup reaches other entry VMs; nil means that they cannot be reached.
	Lookup JobLookup
	Log    zerolog.Logger
	// BodyTimeout bounds how long a caller may take to send a request.
	BodyTimeout time.Duration
	// MaxRequests bounds the requests that are open at once, with those whose body is
	// still being read; it bounds the memory for bodies.
	MaxRequests int
}

// Server serves the callers' API.
type Server struct {
	cfg  Config
	log  zerolog.Logger
	echo *echo.Echo
	http *http.Server
	open atomic.Int64
}

// New returns a server that does not listen yet.
func New(c Config) *Server {
	if c.BodyTimeout <= 0 {
		c.BodyTimeout = DefaultBodyTimeout
	}
	if c.MaxRequests <= 0 {
		c.MaxRequests = dispatch.DefaultMaxRequests
	}
	s := &Server{cfg: c, log: c.Log.With().Str("part", "caller").Logger(), echo: echo.New()}
	s.routes()
	s.http = &http.Server{
		Handler:           s.echo,
		ReadHeaderTimeout: c.BodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(s.log, "", 0),
	}
	return s
}

func (s *Server) routes() {
	e := s.echo
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = s.handleError
	e.Use(s.bounds)
	e.POST("/v1/queues/:queue/requests", s.postRequest)
	e.GET("/v1/jobs/:id", s.getJob)
	e.GET("/v1/jobs/:id/answer", s.getAnswer)
	e.DELETE("/v1/jobs/:id", s.deleteJob)
	e.GET("/healthz", s.healthz)
	e.GET("/readyz", s.readyz)
}

// bounds sets the write timeout of a request, because the one of the connection's
// previous request may have passed. While the entry VM is leaving, it asks the caller
// to close the connection, so that no request arrives on one that is about to close.
func (s *Server) bounds(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		allowWrite(c)
		if s.cfg.Snapshot().Leaving {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		return next(c)
	}
}

// Handler returns the API's handler.
func (s *Server) Handler() http.Handler { return s.echo }

// Serve serves on the listener until Shutdown. It returns nil after Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "caller: serve")
	}
	return nil
}

// Shutdown stops listening and waits until every request has its answer. Call it after
// dispatch has begun to drain, so that new requests on open connections are refused.
// Error: ctx's, if a request did not end in time.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.http.Shutdown(ctx), "caller: shutdown")
}

func (s *Server) healthz(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

// readyz tells the balancer whether this entry VM should get requests.
func (s *Server) readyz(c echo.Context) error {
	snap := s.cfg.Snapshot()
	switch {
	case snap.Leaving:
		return c.String(http.StatusServiceUnavailable, "shutting down\n")
	case !snap.Ready:
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
