package dispatch

import (
	"github.com/pkg/errors"

	"boragepulley/internal/model"
)

// Errors of Cancel. Callers match them with errors.Is.
var (
	// ErrNoSuchJob means that this entry VM does not know the job.
	ErrNoSuchJob = errors.New("dispatch: no such job")
	// ErrNotOwner means that the job belongs to another team.
	ErrNotOwner = errors.New("dispatch: job of another team")
	// ErrTooLate means that the job was dispatched or has ended; the result says which.
	ErrTooLate = errors.New("dispatch: job was already dispatched or has ended")
)

// Cancel cancels a job that was not dispatched. Jobs of queues open to all can be
// cancelled by anyone. Errors: ErrNoSuchJob, ErrNotOwner, ErrTooLate.
func (s *Service) Cancel(id model.JobID, team model.Team) (model.Result, error) {
	s.mu.Lock()
	j := s.kept.jobs[id]
	s.mu.Unlock()
	if j == nil {
		return model.Result{Job: id}, ErrNoSuchJob
	}
	if !j.queue.Open && j.req.Team != team {
		return model.Result{Job: id}, ErrNotOwner
	}
	if !j.withdraw() {
		res := j.result()
		res.Body = nil
		return res, ErrTooLate
	}
	<-j.done // the job's goroutine waits for nothing but its cancelled context
	res := j.result()
	if res.State != model.StateCancelled {
		return res, ErrTooLate
	}
	return res, nil
}

// withdraw cancels the job unless it is handed out or has ended.
func (j *job) withdraw() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.handed || j.res.State.Final() || j.res.State == model.StateUnknown {
		return false
	}
	j.cancel(errCancelled)
	return true
}
