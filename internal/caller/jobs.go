package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"boragepulley/internal/dispatch"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/problem"
)

// lookupTimeout is the timeout of a query about a job, also at another entry VM.
const lookupTimeout = 3 * time.Second

// getJob handles a query for the state of a job.
func (s *Server) getJob(c echo.Context) error {
	rep, p := s.findAuthorized(c, false)
	if p != nil {
		return p.Write(c)
	}
	return c.JSON(http.StatusOK, newJobView(rep.Result))
}

// getAnswer handles a query for the answer of a job that ran.
func (s *Server) getAnswer(c echo.Context) error {
	rep, p := s.findAuthorized(c, true)
	if p != nil {
		return p.Write(c)
	}
	extendWriteDeadline(c)
	switch {
	case rep.Result.State == model.StateRan:
		return writeAnswer(c, rep.Result, http.StatusGone)
	case rep.Result.State.Final() || rep.Result.State == model.StateUnknown:
		return writeProblem(c, rep.Result, http.StatusConflict)
	}
	c.Response().Header().Set(echo.HeaderRetryAfter, "1")
	c.Response().Header().Set(echo.HeaderLocation, jobPath(rep.Result.Job))
	return c.JSON(http.StatusAccepted, newJobView(rep.Result))
}

// deleteJob handles a request to cancel a job that was not dispatched.
func (s *Server) deleteJob(c echo.Context) error {
	rep, p := s.findAuthorized(c, false)
	if p != nil {
		return p.Write(c)
	}
	res, err := s.cancel(c.Request().Context(), rep.Result.Job, ownerOf(rep))
	switch {
	case err == nil:
		return c.JSON(http.StatusOK, newJobView(res))
	case errors.Is(err, dispatch.ErrNotCancellable):
		pr := resultProblem(res, http.StatusConflict)
		pr.Title, pr.Detail = "The job cannot be cancelled", "the job was already dispatched or has ended; state "+string(res.State)
		return pr.Write(c)
	case errors.Is(err, dispatch.ErrNoSuchJob), errors.Is(err, dispatch.ErrNotOwner):
		return jobNotFound.Write(c)
	}
	return s.unreachableProblem(rep.Result.Job, err).Write(c)
}

func (s *Server) cancel(ctx context.Context, id model.JobID, team model.Team) (model.Result, error) {
	entry, err := id.Entry()
	if err != nil {
		return model.Result{}, dispatch.ErrNoSuchJob
	}
	if entry == s.cfg.Entry {
		return s.cfg.Dispatcher.Cancel(id, team)
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	res, err := s.cfg.Lookup.JobCancel(ctx, entry, id, team)
	if err == nil || errors.Is(err, dispatch.ErrNotCancellable) || errors.Is(err, dispatch.ErrNotOwner) {
		return res, err
	}
	// A task can be cancelled through any entry VM of its data centre.
	if rep, ferr := s.cfg.Dispatcher.CancelTask(ctx, id, team); !errors.Is(ferr, dispatch.ErrNoSuchJob) {
		return rep, ferr
	}
	return res, err
}

// authenticate returns the team of the request's key.
func (s *Server) authenticate(c echo.Context) (model.Team, *problem.Problem) {
	key, err := parseKey(c.Request().Header.Get(echo.HeaderAuthorization))
	if err != nil {
		return "", &problem.Problem{Status: http.StatusBadRequest, Title: "Bad request", Detail: err.Error(), Reason: model.ReasonBadRequest}
	}
	team, r := s.cfg.Dispatcher.Authenticate(key)
	if r != model.ReasonNone {
		return "", &problem.Problem{Status: statusOf(r), Title: "Key not accepted", Reason: r}
	}
	return team, nil
}

// findAuthorized returns a job that the caller may query: one of its own team, or one of an
// open queue. The jobs of other teams are reported as not found.
func (s *Server) findAuthorized(c echo.Context, answer bool) (peer.JobGetReply, *problem.Problem) {
	id := model.JobID(c.Param("id"))
	entry, err := id.Entry()
	if err != nil {
		return peer.JobGetReply{}, &jobNotFound
	}
	rep, p := s.lookup(c.Request().Context(), entry, id, answer)
	if p != nil {
		return rep, p
	}
	if !rep.Found || len(rep.Steps) == 0 {
		return rep, &jobNotFound
	}
	if ownerOf(rep) == "" {
		return rep, nil
	}
	team, p := s.authenticate(c)
	if p != nil {
		return peer.JobGetReply{}, p
	}
	if team != ownerOf(rep) {
		return peer.JobGetReply{}, &jobNotFound
	}
	return rep, nil
}

// ownerOf returns the team of a job, or "" for a job of an open queue.
func ownerOf(rep peer.JobGetReply) model.Team { return rep.Steps[0].Team }

func (s *Server) lookup(ctx context.Context, entry model.EntryVM, id model.JobID, answer bool) (peer.JobGetReply, *problem.Problem) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	if entry == s.cfg.Entry {
		return s.query(id, func() (peer.JobGetReply, error) { return s.cfg.Dispatcher.Find(ctx, id, answer) })
	}
	if _, known := s.cfg.Snapshot().Peers[entry]; !known || s.cfg.Lookup == nil {
		return peer.JobGetReply{}, &jobNotFound
	}
	// A task is found in the store even if the entry VM that accepted it is lost.
	if rep, err := s.cfg.Dispatcher.FindTask(ctx, id, answer); err == nil && rep.Found {
		return rep, nil
	}
	return s.query(id, func() (peer.JobGetReply, error) { return s.cfg.Lookup.JobGet(ctx, entry, id, answer) })
}

func (s *Server) query(id model.JobID, f func() (peer.JobGetReply, error)) (peer.JobGetReply, *problem.Problem) {
	rep, err := f()
	if err != nil {
		return rep, s.unreachableProblem(id, err)
	}
	return rep, nil
}

// unreachableProblem returns the problem document for a query that the entry VM that
// accepted the job did not answer. It says nothing about the job.
func (s *Server) unreachableProblem(id model.JobID, err error) *problem.Problem {
	s.log.Warn().Err(err).Str("job", string(id)).Msg("entry VM that accepted the job did not answer")
	return &problem.Problem{Status: http.StatusServiceUnavailable, Title: "The job's entry VM did not answer",
		Detail: "the entry VM that accepted the job cannot be queried at the moment; try again", Outcome: model.OutcomeUnknown, JobID: id}
}
