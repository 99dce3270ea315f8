package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"boragepulley/internal/dispatch"
	"boragepulley/internal/model"
	"boragepulley/internal/problem"
)

// postRequest takes one request of a caller.
func (s *Server) postRequest(c echo.Context) error {
	r := c.Request()
	in, async, err := parseHeaders(r.Header)
	in.Job, in.Queue = s.cfg.Dispatcher.NewJobID(), model.Queue(c.Param("queue"))
	if err != nil {
		return s.refuse(c, in, unread{http.StatusBadRequest, model.ReasonBadRequest, err.Error()})
	}
	defer s.open.Add(-1)
	if s.open.Add(1) > int64(s.cfg.MaxRequests) {
		return s.refuse(c, in, unread{http.StatusTooManyRequests, model.ReasonQueueFull, "this entry VM holds its maximum of requests"})
	}
	maxBody, refused, ok := s.cfg.Dispatcher.Precheck(in)
	if !ok {
		return s.writeRefusal(c, statusOf(refused.Reason), refused)
	}
	if r.ContentLength > maxBody {
		return s.refuse(c, in, tooLarge(maxBody))
	}
	body, fault := s.readBody(c, maxBody)
	if fault != nil {
		return s.refuse(c, in, *fault)
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
	allowWrite(c)
	h := c.Response().Header()
	h.Set(echo.HeaderLocation, jobPath(res.Job))
	h.Set(headerJobID, string(res.Job))
	return c.JSON(http.StatusAccepted, jobView{JobID: res.Job, State: res.State, Outcome: res.Outcome(), Reason: res.Reason})
}

func jobPath(id model.JobID) string { return "/v1/jobs/" + url.PathEscape(string(id)) }

// unread says why a request was refused before its body was read to the end.
type unread struct {
	status int
	reason model.Reason
	detail string
}

func tooLarge(limit int64) unread {
	return unread{http.StatusRequestEntityTooLarge, model.ReasonBodyTooLarge, fmt.Sprintf("the queue takes bodies of at most %d bytes", limit)}
}

// readBody reads a body of at most limit bytes within the body timeout.
func (s *Server) readBody(c echo.Context, limit int64) ([]byte, *unread) {
	rc := http.NewResponseController(c.Response().Writer)
	// Writers without deadlines, as in tests, are read without one.
	_ = rc.SetReadDeadline(time.Now().Add(s.cfg.BodyTimeout))
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, limit+1))
	switch {
	case isTimeout(err):
		return nil, &unread{http.StatusRequestTimeout, model.ReasonBodyIncomplete,
			fmt.Sprintf("the body was not received within %s", s.cfg.BodyTimeout)}
	case err != nil:
		return nil, &unread{http.StatusBadRequest, model.ReasonBodyIncomplete, "the body ended early"}
	case int64(len(body)) > limit:
		u := tooLarge(limit)
		return nil, &u
	}
	// The server watches the connection while the job runs; that read must not time out.
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// refuse accounts for a request that dispatch has not seen and answers it.
func (s *Server) refuse(c echo.Context, in dispatch.Submission, u unread) error {
	return s.writeRefusal(c, u.status, s.cfg.Dispatcher.Refuse(in, u.reason, u.detail))
}

// writeRefusal answers a request whose body may not have been read. The connection is
// closed, because the rest of the body could follow on it.
func (s *Server) writeRefusal(c echo.Context, status int, res model.Result) error {
	allowWrite(c)
	if c.Request().ContentLength != 0 {
		c.Response().Header().Set(echo.HeaderConnection, "close")
	}
	return writeProblem(c, res, status)
}

// jobView is the state of a job as callers see it.
type jobView struct {
	JobID    model.JobID   `json:"job_id"`
	State    model.State   `json:"state"`
	Outcome  model.Outcome `json:"outcome"`
	Reason   model.Reason  `json:"reason,omitempty"`
	Detail   string        `json:"detail,omitempty"`
	Attempts int           `json:"attempts,omitempty"`
}

func viewOf(r model.Result) jobView {
	return jobView{JobID: r.Job, State: r.State, Outcome: r.Outcome(), Reason: r.Reason, Detail: r.Detail, Attempts: r.Attempts}
}

var errNotFound = problem.Problem{Status: http.StatusNotFound, Title: "No such job",
	Detail: "the job is not known, its state is not kept any more, or it belongs to another team"}
