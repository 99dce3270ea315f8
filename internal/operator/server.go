package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/problem"
)

// Limits of requests.
const (
	// MaxBody is the maximum size of a request body in bytes: twice that of a set of files,
	// because JSON escapes line breaks and quotes.
	MaxBody = 2 * config.MaxTotalBytes
	// MaxJobs is the maximum number of jobs in an answer.
	MaxJobs = 1000
	// defaultJobs is the maximum number of jobs if the request sets no limit.
	defaultJobs = 100
	// maxFileSets limits the sets of files that a daemon holds in memory at once: two of the
	// largest size fit into the 128 MB that it may use, next to its other work.
	maxFileSets = 2
	// applyTimeout limits one apply, most of which is the response time of the store.
	applyTimeout = 15 * time.Second
	// readTimeout limits status, job and report requests.
	readTimeout     = 30 * time.Second
	maxOperatorName = 100
)

// Types of problem documents.
const (
	TypeFaults         = "urn:boragepulley:problem:faults"
	TypeConflict       = "urn:boragepulley:problem:conflict"
	TypeNotApplied     = "urn:boragepulley:problem:not-applied"
	TypeOutcomeUnknown = "urn:boragepulley:problem:outcome-unknown"
	TypeApplyIDUsed    = "urn:boragepulley:problem:apply-id-used"
)

// Problem is a problem document (RFC 9457) of this API.
type Problem struct {
	problem.Problem
	// Faults are set for TypeFaults.
	Faults config.Faults `json:"faults,omitempty"`
	// Conflict is the current head, set for TypeConflict.
	Conflict *config.Head `json:"conflict,omitempty"`
}

var applyIDPattern = regexp.MustCompile(`^[A-Za-z0-9-]{8,64}$`)

// Options configures the API. The token, the Applier and all sources are required.
type Options struct {
	// Token authenticates operators.
	Token   string
	Applier Applier
	Config  ConfigSource
	Status  StatusSource
	Jobs    JobSource
	Reports ReportSource
	Log     zerolog.Logger
}

// api is the state of the handler. Only fileSetSlots changes after its creation.
type api struct {
	Options
	tokenHash [sha256.Size]byte
	// fileSetSlots is a semaphore that holds one element for each set of files in memory.
	fileSetSlots chan struct{}
}

// NewHandler returns the operators' API. It fails if the token or a source is missing.
func NewHandler(o Options) (http.Handler, error) {
	if o.Token == "" {
		return nil, errors.New("operator: no token")
	}
	if o.Applier == nil || o.Config == nil || o.Status == nil || o.Jobs == nil || o.Reports == nil {
		return nil, errors.New("operator: a source is missing")
	}
	a := &api{Options: o, tokenHash: sha256.Sum256([]byte(o.Token)), fileSetSlots: make(chan struct{}, maxFileSets)}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = problem.ErrorHandler(o.Log)
	e.Use(middleware.RecoverWithConfig(middleware.RecoverConfig{
		// The error handler logs the error with the stack trace.
		LogErrorFunc: func(_ echo.Context, err error, stack []byte) error { return errors.Wrapf(err, "panic: %s", stack) },
	}))
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()), a.authenticate)
	v1 := e.Group("/v1", a.authenticate)
	v1.POST("/check", a.check, a.limitFileSets)
	v1.POST("/plan", a.plan, a.limitFileSets)
	v1.POST("/apply", a.apply, a.limitFileSets)
	v1.GET("/status", a.status)
	v1.GET("/jobs", a.jobs)
	v1.GET("/jobs/:id/explain", a.explain)
	v1.GET("/report", a.report)
	v1.GET("/version", func(c echo.Context) error { return c.JSON(http.StatusOK, Build()) })
	return e, nil
}

// NewServer returns a server for the API with timeouts against slow clients.
func NewServer(addr string, h http.Handler) *http.Server {
	return &http.Server{
		Addr:              addr,
		Handler:           h,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       30 * time.Second,
		WriteTimeout:      time.Minute,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
}

// BuildInfo identifies a program.
type BuildInfo struct {
	Version string `json:"version"`
	// Revision is the commit that the program was built from; empty if unknown.
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

// Build returns the build information of the running program.
func Build() BuildInfo {
	b := BuildInfo{Version: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version, b.Go = info.Main.Version, info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			b.Revision = s.Value
		}
	}
	return b
}

// authenticate rejects requests without the operator token. It compares hashes in constant
// time, so that the time depends neither on the token's content nor on its length.
func (a *api) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		scheme, token, _ := strings.Cut(c.Request().Header.Get(echo.HeaderAuthorization), " ")
		h := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(h[:], a.tokenHash[:]) != 1 || !strings.EqualFold(scheme, "Bearer") {
			a.Log.Warn().Str("remote", c.RealIP()).Str("path", c.Path()).Msg("operator token refused")
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return problem.New(http.StatusUnauthorized, "the operator token is missing or wrong")
		}
		return next(c)
	}
}

// limitFileSets rejects a request, before its body is read, if the maximum number of sets of
// files is in memory.
func (a *api) limitFileSets(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		select {
		case a.fileSetSlots <- struct{}{}:
			defer func() { <-a.fileSetSlots }()
			return next(c)
		default:
			c.Response().Header().Set(echo.HeaderRetryAfter, "1")
			return newProblem(TypeNotApplied, "Not applied", http.StatusServiceUnavailable, "too many sets of files are being processed; try again")
		}
	}
}

func newProblem(kind, title string, status int, detail string) *Problem {
	return &Problem{Problem: problem.Problem{Type: kind, Title: title, Status: status, Detail: detail}}
}

// decode reads a body of exactly one JSON value without unknown fields.
func decode(c echo.Context, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, MaxBody))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil && d.Decode(new(json.RawMessage)) != io.EOF {
		err = errors.New("more than one JSON value")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return err
	}
	if err != nil {
		return problem.New(http.StatusBadRequest, "the body is not the expected JSON: "+err.Error())
	}
	return nil
}

// parse checks a set of files and returns the site and the warnings, or a TypeFaults problem.
func parse(files []config.File) (*config.Site, config.Faults, error) {
	site, faults := config.Parse(files)
	if site == nil {
		p := newProblem(TypeFaults, "Faults in the files", http.StatusUnprocessableEntity, fmt.Sprintf("%d errors", len(faults.Errors())))
		p.Faults = faults
		return nil, nil, p
	}
	return site, faults, nil
}

func (a *api) check(c echo.Context) error {
	var r PlanRequest
	if err := decode(c, &r); err != nil {
		return err
	}
	_, warnings, err := parse(r.Files)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, CheckResult{Digest: config.Digest(r.Files), Warnings: warnings})
}

func (a *api) plan(c echo.Context) error {
	var r PlanRequest
	if err := decode(c, &r); err != nil {
		return err
	}
	site, warnings, err := parse(r.Files)
	if err != nil {
		return err
	}
	result := PlanResult{Digest: config.Digest(r.Files), Warnings: warnings}
	var old *config.Site
	if d := a.Config.Document(); d != nil {
		var faults config.Faults
		if old, faults = config.Parse(d.Files); old == nil {
			return errors.Wrapf(faults.Err(), "operator: version %d in force does not pass the check", d.Version)
		}
		result.BaseVersion = d.Version
	}
	result.Changes = config.Diff(old, site)
	return c.JSON(http.StatusOK, result)
}

func (a *api) apply(c echo.Context) error {
	var r ApplyRequest
	if err := decode(c, &r); err != nil {
		return err
	}
	if !applyIDPattern.MatchString(r.ApplyID) {
		return problem.New(http.StatusBadRequest, "apply_id: want 8 to 64 letters, digits and hyphens")
	}
	if !validOperator(r.Operator) {
		return problem.New(http.StatusBadRequest, fmt.Sprintf("operator: want a name of 1 to %d printable characters", maxOperatorName))
	}
	_, warnings, err := parse(r.Files)
	if err != nil {
		return err
	}
	// The apply continues if the client disconnects: aborting it would only make unknown
	// outcomes more frequent.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), applyTimeout)
	defer cancel()
	result, err := a.Applier.Apply(ctx, r)
	log := a.Log.Info().Str("apply_id", r.ApplyID).Str("operator", r.Operator).Uint64("base", r.BaseVersion)
	if err != nil {
		log.Err(err).Msg("apply not accepted")
		return applyProblem(err)
	}
	log.Uint64("version", result.Version).Bool("repeated", result.Repeated).Msg("configuration accepted")
	result.Warnings = warnings
	return c.JSON(http.StatusOK, result)
}

func validOperator(s string) bool {
	return s != "" && len(s) <= maxOperatorName && strings.TrimSpace(s) == s &&
		!strings.ContainsFunc(s, func(r rune) bool { return !strconv.IsPrint(r) })
}

// applyProblem converts an error of the Applier to a problem document.
func applyProblem(err error) error {
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		p := newProblem(TypeConflict, "Conflicting apply", http.StatusConflict, conflictDetail(conflict.Head))
		p.Conflict = &conflict.Head
		return p
	case errors.Is(err, ErrApplyIDUsed):
		return newProblem(TypeApplyIDUsed, "Apply id used", http.StatusUnprocessableEntity, "the apply id was used for other files")
	case errors.Is(err, ErrNotApplied):
		return newProblem(TypeNotApplied, "Not applied", http.StatusServiceUnavailable, "nothing was applied: "+err.Error())
	}
	return newProblem(TypeOutcomeUnknown, "Outcome unknown", http.StatusGatewayTimeout,
		"the files may or may not have been applied; repeat with the same apply id or look at the status")
}

// readContext applies readTimeout to the context of a request.
func readContext(c echo.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request().Context(), readTimeout)
}

// readProblem converts an error of a source to a problem document. Other errors are returned as
// they are.
func readProblem(err error) error {
	switch {
	case errors.Is(err, ErrJobNotFound):
		return problem.New(http.StatusNotFound, "no such job is known")
	case errors.Is(err, ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		return problem.New(http.StatusServiceUnavailable, err.Error())
	}
	return err
}

func (a *api) status(c echo.Context) error {
	ctx, cancel := readContext(c)
	defer cancel()
	s, err := a.Status.Status(ctx)
	if err != nil {
		return readProblem(err)
	}
	return c.JSON(http.StatusOK, s)
}

func (a *api) jobs(c echo.Context) error {
	q := JobQuery{
		Team:  model.Team(c.QueryParam("team")),
		Queue: model.Queue(c.QueryParam("queue")),
		State: model.State(c.QueryParam("state")),
		Limit: defaultJobs,
	}
	if q.State != "" && q.State.Rank() == 0 {
		return problem.New(http.StatusBadRequest, fmt.Sprintf("state: %q is not a state", string(q.State)))
	}
	if s := c.QueryParam("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > MaxJobs {
			return problem.New(http.StatusBadRequest, fmt.Sprintf("limit: want a number from 1 to %d", MaxJobs))
		}
		q.Limit = n
	}
	ctx, cancel := readContext(c)
	defer cancel()
	list, err := a.Jobs.Jobs(ctx, q)
	if err != nil {
		return readProblem(err)
	}
	return c.JSON(http.StatusOK, list)
}

func (a *api) explain(c echo.Context) error {
	id := model.JobID(c.Param("id"))
	if _, err := id.Entry(); err != nil {
		return problem.New(http.StatusBadRequest, err.Error())
	}
	ctx, cancel := readContext(c)
	defer cancel()
	x, err := a.Jobs.Explain(ctx, id)
	if err != nil {
		return readProblem(err)
	}
	return c.JSON(http.StatusOK, x)
}

// reportTypes maps formats to media types.
var reportTypes = map[ReportFormat]string{
	ReportText: echo.MIMETextPlainCharsetUTF8,
	ReportJSON: echo.MIMEApplicationJSON,
	ReportHTML: echo.MIMETextHTMLCharsetUTF8,
}

func (a *api) report(c echo.Context) error {
	q := ReportQuery{Format: ReportFormat(c.QueryParam("format"))}
	if q.Format == "" {
		q.Format = ReportText
	}
	if reportTypes[q.Format] == "" {
		return problem.New(http.StatusBadRequest, "format: want text, json or html")
	}
	for name, at := range map[string]*time.Time{"from": &q.From, "to": &q.To} {
		if s := c.QueryParam(name); s != "" {
			var err error
			if *at, err = time.Parse(time.RFC3339, s); err != nil {
				return problem.New(http.StatusBadRequest, name+": want a time such as 2027-03-01T02:00:00Z")
			}
		}
	}
	ctx, cancel := readContext(c)
	defer cancel()
	body, err := a.Reports.Report(ctx, q)
	if err != nil {
		return readProblem(err)
	}
	return c.Blob(http.StatusOK, reportTypes[q.Format], body)
}
