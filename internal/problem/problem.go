package problem

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/model"
)

// ContentType is the media type of problem documents.
const ContentType = "application/problem+json"

// TypeBlank is the problem type that adds nothing to the meaning of the HTTP status.
const TypeBlank = "about:blank"

// Problem is a problem document. It implements error, so that handlers can return it.
// Types that add extension members embed it.
type Problem struct {
	// Type is a URI that identifies the kind of problem.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome tells whether the job of the request ran; empty if the request concerned no job.
	Outcome model.Outcome `json:"outcome,omitempty"`
	Reason  model.Reason  `json:"reason,omitempty"`
	JobID   model.JobID   `json:"job_id,omitempty"`
}

// New returns a problem of type about:blank, whose title is the text of the HTTP status.
func New(status int, detail string) *Problem {
	return &Problem{Type: TypeBlank, Title: http.StatusText(status), Status: status, Detail: detail}
}

// NotRun returns a problem whose outcome says that the job was not run.
func NotRun(status int, reason model.Reason, job model.JobID, detail string) *Problem {
	return withOutcome(status, model.OutcomeNotRun, reason, job, detail)
}

// Unknown returns a problem whose outcome says that the job may have run.
func Unknown(status int, reason model.Reason, job model.JobID, detail string) *Problem {
	return withOutcome(status, model.OutcomeUnknown, reason, job, detail)
}

func withOutcome(status int, o model.Outcome, reason model.Reason, job model.JobID, detail string) *Problem {
	p := New(status, detail)
	p.Outcome, p.Reason, p.JobID = o, reason, job
	return p
}

func (p *Problem) Error() string {
	if p.Detail == "" {
		return fmt.Sprintf("%d %s", p.Status, p.Title)
	}
	return fmt.Sprintf("%d %s: %s", p.Status, p.Title, p.Detail)
}

// StatusCode returns the HTTP status.
func (p *Problem) StatusCode() int { return p.Status }

// Write writes the problem as the response. An empty type becomes about:blank.
func (p Problem) Write(c echo.Context) error {
	if p.Type == "" {
		p.Type = TypeBlank
	}
	return Write(c, &p)
}

// Document is a problem document, with or without extension members.
type Document interface {
	error
	StatusCode() int
}

// Write writes a problem document as the response; a HEAD request gets the status only.
func Write(c echo.Context, d Document) error {
	if c.Request().Method == http.MethodHead {
		return c.NoContent(d.StatusCode())
	}
	body, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "problem: encode")
	}
	return c.Blob(d.StatusCode(), ContentType, body)
}

// From returns the problem document for an error of a handler or of echo. Any other error
// becomes status 500 without its text, which may contain internal details.
func From(err error) Document {
	var d Document
	if errors.As(err, &d) {
		return d
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return New(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		return New(he.Code, "")
	}
	return New(http.StatusInternalServerError, "")
}

// ErrorHandler returns an echo error handler that responds with problem documents and logs
// the errors that become status 500.
func ErrorHandler(log zerolog.Logger) echo.HTTPErrorHandler {
	return func(err error, c echo.Context) {
		d := From(err)
		if d.StatusCode() == http.StatusInternalServerError {
			log.Error().Err(err).Str("path", c.Path()).Msg("request failed")
		}
		if c.Response().Committed {
			return
		}
		if err := Write(c, d); err != nil {
			log.Warn().Err(err).Msg("cannot write the problem document")
		}
	}
}
