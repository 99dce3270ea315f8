package caller

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"boragepulley/internal/dispatch"
	"boragepulley/internal/ingress"
	"boragepulley/internal/model"
	"boragepulley/internal/problem"
)

// postRequest handles a caller's request to run a job.
func (s *Server) postRequest(c echo.Context) error {
	r := c.Request()
	in, async, err := parseHeaders(r.Header)
	in.Queue = model.Queue(c.Param("queue"))
	if err != nil {
		return s.refuse(c, in, earlyRefusal{http.StatusBadRequest, model.ReasonBadRequest, err.Error()})
	}
	defer s.openRequests.Add(-1)
	if s.openRequests.Add(1) > int64(s.cfg.MaxRequests) {
		return s.refuse(c, in, earlyRefusal{http.StatusTooManyRequests, model.ReasonQueueFull, "this entry VM has reached its maximum number of open requests"})
	}
	maxBody, refused, ok := s.cfg.Dispatcher.Precheck(in)
	if !ok {
		return s.writeRefusal(c, statusOf(refused.Reason), refused)
	}
	if r.ContentLength > maxBody {
		return s.refuse(c, in, bodyTooLarge(maxBody))
	}
	body, refusal := s.readBody(c, maxBody)
	if refusal != nil {
		return s.refuse(c, in, *refusal)
	}
	in.Body = body
	if async {
		return s.submitAsync(c, in)
	}
	return writeResult(c, s.cfg.Dispatcher.Submit(r.Context(), in))
}

func (s *Server) submitAsync(c echo.Context, in dispatch.Submission) error {
	res := s.cfg.Dispatcher.SubmitAsync(c.Request().Context(), in)
	if res.State.Final() {
		return writeResult(c, res)
	}
	extendWriteDeadline(c)
	h := c.Response().Header()
	h.Set(echo.HeaderLocation, jobPath(res.Job))
	h.Set(headerJobID, string(res.Job))
	return c.JSON(http.StatusAccepted, jobView{JobID: res.Job, State: res.State, Outcome: res.Outcome(), Reason: res.Reason})
}

func jobPath(id model.JobID) string { return "/v1/jobs/" + url.PathEscape(string(id)) }

// earlyRefusal is the reason why a request was refused before its body was read completely.
type earlyRefusal struct {
	status int
	reason model.Reason
	detail string
}

func bodyTooLarge(limit int64) earlyRefusal {
	return earlyRefusal{http.StatusRequestEntityTooLarge, model.ReasonBodyTooLarge, fmt.Sprintf("the queue accepts bodies of at most %d bytes", limit)}
}

// readBody reads a body of at most limit bytes within the body timeout.
func (s *Server) readBody(c echo.Context, limit int64) ([]byte, *earlyRefusal) {
	rc := http.NewResponseController(c.Response().Writer)
	// Some response writers, such as those in tests, do not support deadlines.
	_ = rc.SetReadDeadline(time.Now().Add(s.cfg.BodyTimeout))
	limit = s.cfg.Bounds.MaxBody(limit)
	body, err := s.cfg.Bounds.ReadBody(c.Request(), limit)
	switch {
	case errors.Is(err, ingress.ErrNoRoom):
		return nil, &earlyRefusal{http.StatusTooManyRequests, model.ReasonQueueFull, "this entry VM has no memory for the body"}
	case errors.Is(err, ingress.ErrTooLarge):
		refusal := bodyTooLarge(limit)
		return nil, &refusal
	case errors.Is(err, ingress.ErrTimeout):
		return nil, &earlyRefusal{http.StatusRequestTimeout, model.ReasonBodyIncomplete,
			fmt.Sprintf("the body was not received within %s", s.cfg.BodyTimeout)}
	case err != nil:
		return nil, &earlyRefusal{http.StatusBadRequest, model.ReasonBodyIncomplete, "the body ended early"}
	}
	// While the job runs, the HTTP server reads from the connection to detect a
	// disconnect; that read must not time out.
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// refuse has dispatch record a request that was not submitted, and writes the refusal.
func (s *Server) refuse(c echo.Context, in dispatch.Submission, r earlyRefusal) error {
	return s.writeRefusal(c, r.status, s.cfg.Dispatcher.Refuse(in, r.reason, r.detail))
}

// writeRefusal writes the response to a request whose body may not have been read. It
// closes the connection in that case, because the rest of the body may still arrive on it.
func (s *Server) writeRefusal(c echo.Context, status int, res model.Result) error {
	extendWriteDeadline(c)
	if c.Request().ContentLength != 0 {
		c.Response().Header().Set(echo.HeaderConnection, "close")
	}
	return writeProblem(c, res, status)
}

// jobView is the JSON representation of a job's state.
type jobView struct {
	JobID    model.JobID   `json:"job_id"`
	State    model.State   `json:"state"`
	Outcome  model.Outcome `json:"outcome"`
	Reason   model.Reason  `json:"reason,omitempty"`
	Detail   string        `json:"detail,omitempty"`
	Attempts int           `json:"attempts,omitempty"`
}

func newJobView(r model.Result) jobView {
	return jobView{JobID: r.Job, State: r.State, Outcome: r.Outcome(), Reason: r.Reason, Detail: r.Detail, Attempts: r.Attempts}
}

var jobNotFound = problem.Problem{Status: http.StatusNotFound, Title: "No such job",
	Detail: "the job is not known, its state is not kept any more, or it belongs to another team"}
