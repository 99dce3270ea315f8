package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/control"
	"boragepulley/internal/guard"
	"boragepulley/internal/invariant"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/upstream"
)

// runGrace is added to a service's maximum run time to get the timeout of an idempotent
// attempt, so that an unresponsive connection leaves time for another attempt.
const runGrace = 500 * time.Millisecond

// permitError is the reason why a permit was not used.
type permitError struct {
	reason model.Reason
	// permanent is set if another permit would not help.
	permanent bool
}

func (e *permitError) Error() string { return "permit not usable: " + string(e.reason) }

// run is the job's goroutine. It processes the job from acceptance to its final state. A panic ends
// this job only.
func (s *Service) run(j *job) {
	defer s.finishJob(j)
	defer j.cancel(nil)
	if err := guard.Recover(s.log, "request", func() { s.process(j) }); err != nil {
		_ = guard.Recover(s.log, "end of a request", func() { s.endInterrupted(j, err) })
		j.setClaimed()
	}
}

// endInterrupted ends a job whose processing has panicked.
func (s *Service) endInterrupted(j *job, err error) {
	if j.interrupt() {
		s.endJob(j, model.ReasonUnexpectedError, err.Error())
	}
	s.releaseUnusedClaim(j)
}

func (s *Service) process(j *job) {
	ok := s.claimJob(j)
	if ok && j.isTask() {
		s.storeTask(j)
		s.releaseUnusedClaim(j)
		j.setClaimed()
		return
	}
	j.setClaimed()
	if !ok {
		return
	}
	s.runAttempts(j)
	s.releaseUnusedClaim(j)
}

// runAttempts attempts the job until it ends.
func (s *Service) runAttempts(j *job) {
	fails := failures{count: len(j.avoid), avoid: j.avoid}
	delay := newBackoff()
	mayForward := true
	for number := j.firstAttemptNumber(); ; number++ {
		if r := j.stopReason(); r != model.ReasonNone {
			s.endJob(j, r, "")
			return
		}
		s.recordStep(j, step{state: model.StateQueued})
		rep, err := s.acquirePermit(j, number, fails.avoid, mayForward)
		switch {
		case errors.Is(err, errDraining):
			mayForward = false
			if s.forward(j, s.cfg.DC, fails.avoid) {
				return
			}
			continue
		case err != nil:
			s.endJob(j, reasonOr(j.stopReason(), model.ReasonDeadlineQueued), "")
			return
		case rep.Permit == nil && rep.ForwardTo != "" && j.hops == 0:
			if s.forward(j, rep.ForwardTo, fails.avoid) {
				return
			}
			j.hops = 1
			continue
		case rep.Permit == nil:
			s.endJob(j, refusalReason(rep.Refused), rep.Detail)
			return
		}
		if !s.runAttempt(j, rep.Permit, &fails) {
			return
		}
		if !sleep(j.ctx, delay.NextBackOff()) {
			s.endJob(j, j.stopReason(), "the deadline does not allow another attempt")
			return
		}
	}
}

// refusalReason returns the reason to report for a job that the coordinator refused. The
// key is checked before the job is started, so a key that the coordinator does not know
// was withdrawn in the meantime.
func refusalReason(r model.Reason) model.Reason {
	if r == model.ReasonKeyUnknown {
		return model.ReasonKeyWithdrawn
	}
	return reasonOr(r, model.ReasonNoMinion)
}

func reasonOr(r, other model.Reason) model.Reason {
	if r == model.ReasonNone {
		return other
	}
	return r
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// acquirePermit asks the coordinator for a permit, until it is too late to use one. It returns
// errDraining if the entry VM begins to shut down meanwhile and the job may be forwarded to another
// one.
func (s *Service) acquirePermit(j *job, number int, avoid []model.VM, mayForward bool) (peer.AcquireReply, error) {
	inTime, cancelInTime := context.WithDeadline(j.ctx, j.req.Deadline.Add(-minTimeLeft))
	defer cancelInTime()
	ctx, cancel := context.WithCancelCause(inTime)
	defer cancel(nil)
	if mayForward && j.hops == 0 && s.cfg.Forwarder != nil {
		stop := context.AfterFunc(s.drain, func() { cancel(errDraining) })
		defer stop()
	}
	rep, err := s.cfg.Control.Acquire(ctx, control.Attempt{Request: j.req, Number: number, Avoid: avoid, Hops: j.hops})
	if err != nil && errors.Is(context.Cause(ctx), errDraining) && j.ctx.Err() == nil {
		return rep, errDraining
	}
	return rep, err
}

// runAttempt dispatches the job once. It reports whether the job may be attempted again.
func (s *Service) runAttempt(j *job, p *model.Permit, fails *failures) (retry bool) {
	if !invariant.Check(p.Job == j.req.Job && p.Team == j.req.Team, invariant.KeyAuthorizes,
		"permit for job %s of team %q was given to job %s of team %q", p.Job, p.Team, j.req.Job, j.req.Team) {
		s.cfg.Control.Release(p, peer.AttemptUnused)
		s.endJob(j, model.ReasonNoCoordinator, "the coordinator granted a permit for another job")
		return false
	}
	released := false
	release := func(r peer.AttemptResult) {
		if !released {
			released = true
			s.cfg.Control.Release(p, r)
		}
	}
	defer release(peer.AttemptLost) // after a panic
	answer, err := s.send(j, p, len(fails.avoid) > 0)
	if unused, pe := isPermitUnused(j, err); unused {
		j.clearInFlight(false)
		release(peer.AttemptUnused)
		return s.handleUnusedPermit(j, pe)
	}
	class := classify(answer, err)
	if class == failStatus {
		j.setFailedAnswer(answerResult(j, p, answer))
	}
	j.clearInFlight(class.mayHaveRun())
	release(attemptResult(class))
	if class == failNone {
		res := answerResult(j, p, answer)
		s.recordStep(j, step{state: model.StateRan, minion: p.Minion, attempt: p.Attempt, answer: &res})
		return false
	}
	fails.add(class, p.Minion)
	return s.handleFailedAttempt(j, p, class, fails, err)
}

// send dispatches the job to the minion over HTTP. The permit and the key are checked before the
// dispatch is recorded, and again immediately before the first byte is sent: the process may be
// held up in between until the permit is no longer valid.
func (s *Service) send(j *job, p *model.Permit, failedBefore bool) (upstream.Answer, error) {
	ctx, cancel := j.cancelUnlessInFlight()
	defer cancel()
	deadline := j.req.Deadline
	if j.req.Idempotent && j.maxRun > 0 {
		if d := time.Now().Add(j.maxRun + runGrace); d.Before(deadline) {
			deadline = d
		}
	}
	check := func() error {
		if r := s.cfg.Control.CheckPermit(p, j.req.KeyID); r != model.ReasonNone {
			return &permitError{reason: r, permanent: r == model.ReasonKeyWithdrawn || r == model.ReasonConfigUnconfirmed}
		}
		return nil
	}
	return s.cfg.Minions.Run(ctx, upstream.Call{
		Job: p.Job, Attempt: p.Attempt, Queue: p.Queue, Minion: p.Minion, Addr: p.Addr,
		ContentType: j.contentType, Body: j.body,
		// A pooled connection may be dead without notice, which would make the outcome of a
		// non-idempotent job unknown; a new connection costs one round trip.
		FreshConnection: failedBefore || !j.req.Idempotent,
		Deadline:        deadline,
		LastCheck:       check,
		BeforeSend: func() error {
			err := j.markInFlight(check)
			if err == nil {
				s.recordStep(j, step{state: model.StateDispatched, reason: model.ReasonGranted, minion: p.Minion, attempt: p.Attempt})
			}
			return err
		},
	})
}

// isPermitUnused reports whether the dispatch stopped before it used the permit, for a
// reason other than a fault of the minion.
func isPermitUnused(j *job, err error) (bool, *permitError) {
	var pe *permitError
	if errors.As(err, &pe) {
		return true, pe
	}
	return errors.Is(err, upstream.ErrNotReached) && j.ctx.Err() != nil, nil
}

// handleUnusedPermit decides whether a job whose permit was not used asks for another one.
// A permit that became stale does not count as a failed attempt.
func (s *Service) handleUnusedPermit(j *job, pe *permitError) (retry bool) {
	switch {
	case pe == nil:
		s.endJob(j, reasonOr(j.stopReason(), model.ReasonMinionUnreachable), "")
		return false
	case pe.permanent:
		s.endJob(j, pe.reason, "rejected by the last check before dispatch")
		return false
	}
	s.log.Info().Str("job", string(j.req.Job)).Str("reason", string(pe.reason)).Msg("permit not used; requesting another one")
	return true
}

// handleFailedAttempt records a failed attempt and reports whether the job is retried.
func (s *Service) handleFailedAttempt(j *job, p *model.Permit, c failureClass, fails *failures, err error) (retry bool) {
	detail := "attempt on " + string(p.Minion) + " failed"
	if err != nil {
		detail += ": " + err.Error()
	}
	if retry, reason := s.mayRetry(j, c, fails); !retry {
		s.endJob(j, reason, detail)
		return false
	}
	s.recordStep(j, step{state: model.StateQueued, reason: model.ReasonRetry, minion: p.Minion, attempt: p.Attempt, detail: detail})
	return true
}

// mayRetry decides whether a failed attempt may be retried, and returns the reason if not.
func (s *Service) mayRetry(j *job, c failureClass, fails *failures) (bool, model.Reason) {
	if !c.retryable(j.req.Idempotent) {
		if c.mayHaveRun() && !time.Now().Before(j.req.Deadline) {
			return false, model.ReasonDeadlineRunning
		}
		return false, c.reason()
	}
	if fails.count >= max(j.queue.MaxAttempts, 1) {
		return false, fails.finalReason(c)
	}
	if r := j.stopReason(); r != model.ReasonNone {
		return false, r
	}
	if !s.budgets.tryWithdraw(j.queue.Name, time.Now()) {
		return false, model.ReasonRetryBudget
	}
	return true, model.ReasonNone
}

// endJob sets the final state of the job: ran if there is a complete answer with an error
// status, unknown if an attempt may have run, and otherwise refused or cancelled.
func (s *Service) endJob(j *job, r model.Reason, detail string) {
	j.mu.Lock()
	failed, mayHaveRun := j.failedAnswer, j.mayHaveRun
	j.mu.Unlock()
	st := step{state: model.StateRefused, reason: r, detail: detail}
	switch {
	case failed != nil:
		st.state, st.answer = model.StateRan, failed
	case mayHaveRun:
		st.state = model.StateUnknown
	case r == model.ReasonCancelled || r == model.ReasonCallerDisconnected:
		st.state = model.StateCancelled
	}
	s.recordStep(j, st)
}

func (j *job) setFailedAnswer(r model.Result) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failedAnswer = &r
}

func answerResult(j *job, p *model.Permit, a upstream.Answer) model.Result {
	return model.Result{
		Job: j.req.Job, State: model.StateRan, Status: a.Status, ContentType: a.ContentType,
		Body: a.Body, Minion: p.Minion,
	}
}

func attemptResult(c failureClass) peer.AttemptResult {
	switch c {
	case failNone:
		return peer.AttemptOK
	case failNotStarted:
		return peer.AttemptNotStarted
	case failAnswerLost, failIncompleteAnswer:
		return peer.AttemptLost
	}
	return peer.AttemptFailed
}
