package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/model"
)

// Errors of Cancel. Callers match them with errors.Is.
var (
	// ErrNoSuchJob means that this entry VM does not know the job.
	ErrNoSuchJob = errors.New("dispatch: no such job")
	// ErrNotOwner means that the job belongs to another team.
	ErrNotOwner = errors.New("dispatch: job of another team")
	// ErrNotCancellable means that the job was dispatched or has ended; the result says which.
	ErrNotCancellable = errors.New("dispatch: job was already dispatched or has ended")
)

// Cancel cancels a job that was not dispatched. Jobs of queues open to all can be
// cancelled by anyone. Errors: ErrNoSuchJob, ErrNotOwner, ErrNotCancellable.
func (s *Service) Cancel(id model.JobID, team model.Team) (model.Result, error) {
	s.mu.Lock()
	j := s.kept.jobs[id]
	s.mu.Unlock()
	if j == nil || j.taskStored() {
		return s.cancelLocalTask(id, team)
	}
	if !j.queue.Open && j.req.Team != team {
		return model.Result{Job: id}, ErrNotOwner
	}
	at, ok := j.withdraw()
	if at != "" {
		ok = s.cancelAt(at, j) == nil
	}
	if !ok {
		res := j.result()
		res.Body = nil
		return res, ErrNotCancellable
	}
	// The job's goroutine now waits for nothing but its cancelled context or the reply to
	// its forward.
	<-j.done
	res := j.result()
	if res.State != model.StateCancelled {
		return res, ErrNotCancellable
	}
	return res, nil
}

// withdraw cancels the job unless it is handed out or has ended. For a forwarded job it
// returns the entry VM that must be asked to cancel it.
func (j *job) withdraw() (at model.EntryVM, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.handed || j.res.State.Final() || j.res.State == model.StateUnknown {
		return j.at, false
	}
	j.cancel(errCancelled)
	return "", true
}

// cancelTimeout bounds the cancellation of a forwarded job.
const cancelTimeout = 3 * time.Second

// cancelAt cancels a forwarded job at the entry VM that has it. The reply to the forward
// then ends the job here.
func (s *Service) cancelAt(at model.EntryVM, j *job) error {
	if s.cfg.Lookup == nil {
		return ErrNotCancellable
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, err := s.cfg.Lookup.JobCancel(ctx, at, j.req.Job, j.req.Team)
	return err
}
