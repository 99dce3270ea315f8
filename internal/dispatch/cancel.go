package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/model"
)

// Errors of Cancel. Callers match them with errors.Is.
var (
	// ErrNoSuchJob means that the job is unknown to this entry VM.
	ErrNoSuchJob = errors.New("dispatch: no such job")
	// ErrNotOwner means that the job belongs to another team.
	ErrNotOwner = errors.New("dispatch: job belongs to another team")
	// ErrNotCancellable means that the job was dispatched or has ended; the result says which.
	ErrNotCancellable = errors.New("dispatch: job was already dispatched or has ended")
)

// Cancel cancels a job that was not dispatched. Anyone can cancel the jobs of open queues.
// Errors: ErrNoSuchJob, ErrNotOwner, ErrNotCancellable, and ErrCoordinatorUnreachable for
// tasks.
func (s *Service) Cancel(id model.JobID, team model.Team) (model.Result, error) {
	s.mu.Lock()
	j := s.registry.byID[id]
	s.mu.Unlock()
	if j == nil || j.taskStored() {
		return s.cancelLocalTask(id, team)
	}
	if !j.queue.Open && j.req.Team != team {
		return model.Result{Job: id}, ErrNotOwner
	}
	forwardedTo, ok := j.tryCancel()
	if forwardedTo != "" {
		ok = s.cancelForwarded(forwardedTo, j) == nil
	}
	if !ok {
		res := j.result()
		res.Body = nil
		return res, ErrNotCancellable
	}
	// The job's goroutine ends soon: it waits only on its cancelled context or on the reply
	// to its forward.
	<-j.done
	res := j.result()
	if res.State != model.StateCancelled {
		return res, ErrNotCancellable
	}
	return res, nil
}

// tryCancel cancels the job unless it is in flight or has ended. For a forwarded job it
// returns the entry VM that must be asked to cancel it.
func (j *job) tryCancel() (forwardedTo model.EntryVM, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.inFlight || j.res.State.Final() || j.res.State == model.StateUnknown {
		return j.forwardedTo, false
	}
	j.cancel(errCancelled)
	return "", true
}

// cancelTimeout limits the cancellation of a forwarded job or a task.
const cancelTimeout = 3 * time.Second

// cancelForwarded cancels a forwarded job at the entry VM that received it. The reply to
// the forward then ends the job here.
func (s *Service) cancelForwarded(to model.EntryVM, j *job) error {
	if s.cfg.Lookup == nil {
		return ErrNotCancellable
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, err := s.cfg.Lookup.JobCancel(ctx, to, j.req.Job, j.req.Team)
	return err
}
