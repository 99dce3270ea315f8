package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"boragepulley/internal/model"
	"boragepulley/internal/problem"
)

// statusOf returns the HTTP status for a job that was not run for the given reason.
func statusOf(r model.Reason) int {
	switch r {
	case model.ReasonBadRequest, model.ReasonBodyIncomplete:
		return http.StatusBadRequest
	case model.ReasonKeyMissing, model.ReasonKeyUnknown, model.ReasonKeyWithdrawn:
		return http.StatusUnauthorized
	case model.ReasonKeyNotForQueue:
		return http.StatusForbidden
	case model.ReasonUnknownQueue:
		return http.StatusNotFound
	case model.ReasonDuplicateID, model.ReasonCancelled:
		return http.StatusConflict
	case model.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case model.ReasonQueueFull, model.ReasonTeamLimit:
		return http.StatusTooManyRequests
	case model.ReasonDeadlineQueued:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// writeResult writes the result of a job.
func writeResult(c echo.Context, r model.Result) error {
	extendWriteDeadline(c)
	switch r.Outcome() {
	case model.OutcomeRan:
		return writeAnswer(c, r, http.StatusConflict)
	case model.OutcomeNotRun:
		return writeProblem(c, r, statusOf(r.Reason))
	}
	return writeProblem(c, r, http.StatusGatewayTimeout)
}

// writeAnswer writes the minion's answer, or a problem document with expiredStatus if the
// answer is no longer kept. A minion's status of 500 or above is replaced by 502, so that
// it cannot be mistaken for a refusal by the entry VM; X-Minion-Status holds the original.
func writeAnswer(c echo.Context, r model.Result, expiredStatus int) error {
	if r.Reason == model.ReasonAnswerExpired {
		return writeProblem(c, r, expiredStatus)
	}
	h := c.Response().Header()
	h.Set(headerJobID, string(r.Job))
	h.Set(headerOutcome, string(model.OutcomeRan))
	if r.Reason != model.ReasonNone {
		h.Set(headerReason, string(r.Reason))
	}
	status := r.Status
	if status >= http.StatusInternalServerError {
		h.Set(headerMinionStatus, strconv.Itoa(status))
		status = http.StatusBadGateway
	}
	h.Set(echo.HeaderContentLength, strconv.Itoa(len(r.Body)))
	contentType := r.ContentType
	if contentType == "" {
		contentType = echo.MIMEOctetStream
	}
	return c.Blob(status, contentType, r.Body)
}

// writeProblem writes a problem document for a job without an answer. The headers repeat
// the members that a caller without a JSON parser needs.
func writeProblem(c echo.Context, r model.Result, status int) error {
	h := c.Response().Header()
	h.Set(headerJobID, string(r.Job))
	h.Set(headerOutcome, string(r.Outcome()))
	if status == http.StatusTooManyRequests {
		h.Set(echo.HeaderRetryAfter, "1")
	}
	return resultProblem(r, status).Write(c)
}

// resultProblem returns the problem document for a job without an answer.
func resultProblem(r model.Result, status int) problem.Problem {
	detail := r.Detail
	if detail == "" {
		detail = "state " + string(r.State)
	}
	return problem.Problem{
		Title: titleOf(r.Outcome()), Status: status, Detail: detail,
		Outcome: r.Outcome(), Reason: r.Reason, JobID: r.Job,
	}
}

func titleOf(o model.Outcome) string {
	switch o {
	case model.OutcomeNotRun:
		return "The job was not run"
	case model.OutcomeRan:
		return "The job ran; its answer is not kept any more"
	}
	return "It is not known whether the job ran"
}

// extendWriteDeadline gives the caller writeTimeout from now to read the response.
func extendWriteDeadline(c echo.Context) {
	rc := http.NewResponseController(c.Response().Writer)
	// Some response writers, such as those in tests, do not support deadlines; they do not
	// block either.
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// handleError responds to requests without a handler (unknown paths and methods) and to
// errors that a handler returns.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := problem.Problem{Status: http.StatusInternalServerError, Title: "Internal error"}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		p.Status, p.Title = he.Code, http.StatusText(he.Code)
	} else {
		s.log.Error().Err(err).Str("path", c.Path()).Msg("request failed")
	}
	if werr := p.Write(c); werr != nil {
		s.log.Debug().Err(werr).Msg("problem document not written")
	}
}
