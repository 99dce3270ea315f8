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
	"boragepulley/internal/ingress"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

const (
	// DefaultBodyTimeout is the default of Config.BodyTimeout.
	DefaultBodyTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle keep-alive connection is closed.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes is the maximum size of the request line and headers.
	maxHeaderBytes = 32 << 10
	// writeTimeout is how long a caller may take to read a response.
	writeTimeout = 30 * time.Second
)

// Dispatcher is the part of dispatch.Service that this package uses.
type Dispatcher interface {
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

// Config holds the dependencies and limits of a Server.
type Config struct {
	Entry      model.EntryVM
	Dispatcher Dispatcher
	// Snapshot returns the current control state.
	Snapshot func() *control.Snapshot
	// Lookup queries other entry VMs; nil disables such queries.
	Lookup JobLookup
	Log    zerolog.Logger
	// BodyTimeout is how long a caller may take to send a request: its headers, and then
	// its body.
	BodyTimeout time.Duration
	// MaxRequests is the maximum number of concurrent requests, including those whose body
	// is still being read.
	MaxRequests int
	// Bounds bounds connections and the memory of headers and bodies; nil means no bounds.
	Bounds *ingress.Guard
}

// Server serves the HTTP API for callers.
type Server struct {
	cfg          Config
	log          zerolog.Logger
	echo         *echo.Echo
	http         *http.Server
	openRequests atomic.Int64
}

// New returns a server that does not listen yet.
func New(c Config) *Server {
	if c.BodyTimeout <= 0 {
		c.BodyTimeout = DefaultBodyTimeout
	}
	if c.MaxRequests <= 0 {
		c.MaxRequests = dispatch.DefaultMaxRequests
	}
	if c.Bounds == nil {
		c.Bounds = ingress.Unbounded()
	}
	s := &Server{cfg: c, log: c.Log.With().Str("part", "caller").Logger(), echo: echo.New()}
	s.routes()
	s.http = &http.Server{
		Handler:     c.Bounds.Handler(s.echo),
		ConnContext: ingress.ConnContext, ConnState: ingress.ConnState,
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
	e.Use(s.setDeadlineAndConnection)
	e.POST("/v1/queues/:queue/requests", s.postRequest)
	e.GET("/v1/jobs/:id", s.getJob)
	e.GET("/v1/jobs/:id/answer", s.getAnswer)
	e.DELETE("/v1/jobs/:id", s.deleteJob)
	e.GET("/healthz", s.healthz)
	e.GET("/readyz", s.readyz)
}

// setDeadlineAndConnection sets the write deadline of a request, because the one of the
// connection's previous request may have passed. While the entry VM is shutting down, it
// asks the caller to close the connection, so that no request arrives on a connection that
// is about to be closed.
func (s *Server) setDeadlineAndConnection(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		extendWriteDeadline(c)
		if s.cfg.Snapshot().Leaving {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		return next(c)
	}
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler { return s.echo }

// Serve serves on the listener until Shutdown. It returns nil after Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(s.cfg.Bounds.Listen(l)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "caller: serve")
	}
	return nil
}

// Shutdown stops listening and waits until every request has been answered. Call it after
// dispatch has begun to drain, so that new requests on open connections are refused. It
// returns ctx's error if a request is not answered in time.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.cfg.Bounds.Drain(ctx)
	return errors.Wrap(s.http.Shutdown(ctx), "caller: shutdown")
}

func (s *Server) healthz(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

// readyz tells the load balancer whether to send requests to this entry VM.
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
