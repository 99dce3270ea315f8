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

// lookupTimeout bounds a question to another entry VM about a job.
const lookupTimeout = 3 * time.Second

// getJob answers with the state of a job.
func (s *Server) getJob(c echo.Context) error {
	rep, p := s.find(c, false)
	if p != nil {
		return p.Write(c)
	}
	return c.JSON(http.StatusOK, viewOf(rep.Result))
}

// getAnswer answers with the answer of a job that ran.
func (s *Server) getAnswer(c echo.Context) error {
	rep, p := s.find(c, true)
	if p != nil {
		return p.Write(c)
	}
	allowWrite(c)
	switch {
	case rep.Result.State == model.StateRan:
		return writeAnswer(c, rep.Result, http.StatusGone)
	case rep.Result.State.Final() || rep.Result.State == model.StateUnknown:
		return writeProblem(c, rep.Result, http.StatusConflict)
	}
	c.Response().Header().Set(echo.HeaderRetryAfter, "1")
	c.Response().Header().Set(echo.HeaderLocation, jobPath(rep.Result.Job))
	return c.JSON(http.StatusAccepted, viewOf(rep.Result))
}

// deleteJob cancels a job that was not dispatched.
func (s *Server) deleteJob(c echo.Context) error {
	rep, p := s.find(c, false)
	if p != nil {
		return p.Write(c)
	}
	res, err := s.cancel(c.Request().Context(), rep.Result.Job, owner(rep))
	switch {
	case err == nil:
		return c.JSON(http.StatusOK, viewOf(res))
	case errors.Is(err, dispatch.ErrNotCancellable):
		pr := resultProblem(res, http.StatusConflict)
		pr.Title, pr.Detail = "The job cannot be cancelled", "the job was already dispatched or has ended; state "+string(res.State)
		return pr.Write(c)
	case errors.Is(err, dispatch.ErrNoSuchJob), errors.Is(err, dispatch.ErrNotOwner):
		return errNotFound.Write(c)
	}
	return s.entryUnreachable(rep.Result.Job, err).Write(c)
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

// caller returns the team of the request's key.
func (s *Server) caller(c echo.Context) (model.Team, *problem.Problem) {
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

// find returns a job that the caller may ask about: one of its own team, or one of a
// queue open to all. Jobs of other teams are answered like unknown ones.
func (s *Server) find(c echo.Context, answer bool) (peer.JobGetReply, *problem.Problem) {
	id := model.JobID(c.Param("id"))
	entry, err := id.Entry()
	if err != nil {
		return peer.JobGetReply{}, &errNotFound
	}
	rep, p := s.lookup(c.Request().Context(), entry, id, answer)
	if p != nil {
		return rep, p
	}
	if !rep.Found || len(rep.Steps) == 0 {
		return rep, &errNotFound
	}
	if owner(rep) == "" {
		return rep, nil
	}
	team, p := s.caller(c)
	if p != nil {
		return peer.JobGetReply{}, p
	}
	if team != owner(rep) {
		return peer.JobGetReply{}, &errNotFound
	}
	return rep, nil
}

// owner returns the team of a job, or "" for a job of a queue open to all.
func owner(rep peer.JobGetReply) model.Team { return rep.Steps[0].Team }

func (s *Server) lookup(ctx context.Context, entry model.EntryVM, id model.JobID, answer bool) (peer.JobGetReply, *problem.Problem) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	if entry == s.cfg.Entry {
		return s.found(id, func() (peer.JobGetReply, error) { return s.cfg.Dispatcher.Find(ctx, id, answer) })
	}
	if _, known := s.cfg.Snapshot().Peers[entry]; !known || s.cfg.Lookup == nil {
		return peer.JobGetReply{}, &errNotFound
	}
	// A task is found in the store even if the entry VM that accepted it is lost.
	if rep, err := s.cfg.Dispatcher.FindTask(ctx, id, answer); err == nil && rep.Found {
		return rep, nil
	}
	return s.found(id, func() (peer.JobGetReply, error) { return s.cfg.Lookup.JobGet(ctx, entry, id, answer) })
}

func (s *Server) found(id model.JobID, f func() (peer.JobGetReply, error)) (peer.JobGetReply, *problem.Problem) {
	rep, err := f()
	if err != nil {
		return rep, s.entryUnreachable(id, err)
	}
	return rep, nil
}

// entryUnreachable describes a question that the accepting entry VM did not answer. It
// says nothing about the job.
func (s *Server) entryUnreachable(id model.JobID, err error) *problem.Problem {
	s.log.Warn().Err(err).Str("job", string(id)).Msg("entry VM that accepted the job did not answer")
	return &problem.Problem{Status: http.StatusServiceUnavailable, Title: "The job's entry VM did not answer",
		Detail: "the entry VM that accepted the job cannot be asked now; try again", Outcome: model.OutcomeUnknown, JobID: id}
}
