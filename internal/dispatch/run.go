package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/control"
	"boragepulley/internal/invariant"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/upstream"
)

// runGrace is added to a service's longest run time before an idempotent attempt is
// given up, so that a silent connection leaves time for another attempt.
const runGrace = 500 * time.Millisecond

// permitError says why a permit was not used.
type permitError struct {
	reason model.Reason
	// last is set if another permit would not help.
	last bool
}

func (e *permitError) Error() string { return "permit not usable: " + string(e.reason) }

// run takes a job from accepted to its end. It is the job's goroutine.
func (s *Service) run(j *job) {
	defer s.finished(j)
	defer j.cancel(nil)
	ok := s.claimJob(j)
	if ok && j.isTask() {
		s.storeTask(j)
		s.settleClaim(j)
		close(j.claimed)
		return
	}
	close(j.claimed)
	if !ok {
		return
	}
	s.attempts(j)
	s.settleClaim(j)
}

// attempts tries the job until it ends.
func (s *Service) attempts(j *job) {
	fails := failures{count: len(j.avoid), avoid: j.avoid}
	delay := newBackoff()
	mayMove := true
	for number := j.firstAttempt(); ; number++ {
		if r := j.stopReason(); r != model.ReasonNone {
			s.end(j, r, "")
			return
		}
		s.step(j, fact{state: model.StateQueued})
		rep, err := s.acquire(j, number, fails.avoid, mayMove)
		switch {
		case errors.Is(err, errDraining):
			mayMove = false
			if s.forward(j, s.cfg.DC, fails.avoid) {
				return
			}
			continue
		case err != nil:
			s.end(j, reasonOr(j.stopReason(), model.ReasonDeadlineQueued), "")
			return
		case rep.Permit == nil && rep.ForwardTo != "" && j.hops == 0:
			if s.forward(j, rep.ForwardTo, fails.avoid) {
				return
			}
			j.hops = 1
			continue
		case rep.Permit == nil:
			s.end(j, refusedBecause(rep.Refused), rep.Detail)
			return
		}
		if !s.attempt(j, rep.Permit, &fails) {
			return
		}
		if !sleep(j.ctx, delay.NextBackOff()) {
			s.end(j, j.stopReason(), "the deadline does not allow another attempt")
			return
		}
	}
}

// refusedBecause returns the reason of a job that the coordinator refused. The key of a
// job is checked before the job is started, so one that the coordinator does not know
// was withdrawn since.
func refusedBecause(r model.Reason) model.Reason {
	if r == model.ReasonBadKey {
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

// acquire asks for a permit. It returns errDraining if the entry VM begins to shut down
// meanwhile and the job may move to another one.
func (s *Service) acquire(j *job, number int, avoid []model.VM, mayMove bool) (peer.AcquireReply, error) {
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	if mayMove && j.hops == 0 && s.cfg.Forwarder != nil {
		stop := context.AfterFunc(s.drain, func() { cancel(errDraining) })
		defer stop()
	}
	rep, err := s.cfg.Control.Acquire(ctx, control.Attempt{Request: j.req, Number: number, Avoid: avoid, Hops: j.hops})
	if err != nil && errors.Is(context.Cause(ctx), errDraining) && j.ctx.Err() == nil {
		return rep, errDraining
	}
	return rep, err
}

// attempt dispatches the job once. It reports whether the job may be tried again.
func (s *Service) attempt(j *job, p *model.Permit, fails *failures) (again bool) {
	if !invariant.Check(p.Job == j.req.Job && p.Team == j.req.Team, invariant.KeyAuthorizes,
		"permit for job %s of team %q was given to job %s of team %q", p.Job, p.Team, j.req.Job, j.req.Team) {
		s.cfg.Control.Release(p, peer.AttemptUnused)
		s.end(j, model.ReasonNoCoordinator, "the permit was for another job")
		return false
	}
	answer, err := s.send(j, p, len(fails.avoid) > 0)
	if unused, pe := permitUnused(j, err); unused {
		j.handBack(false)
		s.cfg.Control.Release(p, peer.AttemptUnused)
		return s.afterUnused(j, pe)
	}
	class := classify(answer, err)
	if class == failStatus {
		j.keepFailed(answerResult(j, p, answer))
	}
	j.handBack(class.mayHaveRun())
	s.cfg.Control.Release(p, attemptResult(class))
	if class == failNone {
		res := answerResult(j, p, answer)
		s.step(j, fact{state: model.StateRan, minion: p.Minion, attempt: p.Attempt, answer: &res})
		return false
	}
	fails.add(class, p.Minion)
	return s.afterFailure(j, p, class, fails, err)
}

// send dispatches over HTTP. The permit and the key are checked again immediately
// before the first byte.
func (s *Service) send(j *job, p *model.Permit, failedBefore bool) (upstream.Answer, error) {
	ctx, cancel := j.cancelUnlessHanded()
	defer cancel()
	deadline := j.req.Deadline
	if j.req.Idempotent && j.maxRun > 0 {
		if d := time.Now().Add(j.maxRun + runGrace); d.Before(deadline) {
			deadline = d
		}
	}
	return s.cfg.Minions.Run(ctx, upstream.Call{
		Job: p.Job, Attempt: p.Attempt, Queue: p.Queue, Minion: p.Minion, Addr: p.Addr,
		ContentType: j.contentType, Body: j.body,
		// A pooled connection may have gone silent, which would make the outcome of a
		// non-idempotent job unknown; a new connection costs one round trip.
		FreshConnection: failedBefore || !j.req.Idempotent,
		Deadline:        deadline,
		BeforeSend: func() error {
			err := j.hand(func() error {
				if r := s.cfg.Control.CheckPermit(p, j.req.KeyID); r != model.ReasonNone {
					return &permitError{reason: r, last: r == model.ReasonKeyWithdrawn || r == model.ReasonIsolated}
				}
				return nil
			})
			if err == nil {
				s.step(j, fact{state: model.StateDispatched, reason: model.ReasonGranted, minion: p.Minion, attempt: p.Attempt})
			}
			return err
		},
	})
}

// permitUnused reports whether the dispatch stopped before it used the permit, for a
// reason that is no fault of the minion.
func permitUnused(j *job, err error) (bool, *permitError) {
	var pe *permitError
	if errors.As(err, &pe) {
		return true, pe
	}
	return errors.Is(err, upstream.ErrNotReached) && j.ctx.Err() != nil, nil
}

// afterUnused decides about a job whose permit could not be used. A permit that became
// stale is no failure of a minion: the job asks for another one.
func (s *Service) afterUnused(j *job, pe *permitError) (again bool) {
	switch {
	case pe == nil:
		s.end(j, reasonOr(j.stopReason(), model.ReasonNotReached), "")
		return false
	case pe.last:
		s.end(j, pe.reason, "found at the last check before the dispatch")
		return false
	}
	s.log.Info().Str("job", string(j.req.Job)).Str("reason", string(pe.reason)).Msg("permit not used; asking for another")
	return true
}

// afterFailure decides whether a failed attempt is repeated.
func (s *Service) afterFailure(j *job, p *model.Permit, c failureClass, fails *failures, err error) (again bool) {
	detail := "attempt on " + string(p.Minion) + " failed"
	if err != nil {
		detail += ": " + err.Error()
	}
	if again, reason := s.mayRetry(j, c, fails); !again {
		s.end(j, reason, detail)
		return false
	}
	s.step(j, fact{state: model.StateQueued, reason: model.ReasonRetry, minion: p.Minion, attempt: p.Attempt, detail: detail})
	return true
}

// mayRetry decides whether a failed attempt may be repeated, and otherwise why not.
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
	if !s.budgets.spend(j.queue.Name, time.Now()) {
		return false, model.ReasonRetryBudget
	}
	return true, model.ReasonNone
}

// end gives the job its last state: ran if a whole answer says that it failed, unknown
// if an attempt may have run, and otherwise refused or cancelled.
func (s *Service) end(j *job, r model.Reason, detail string) {
	j.mu.Lock()
	failed, lost := j.failedAnswer, j.mayHaveRun
	j.mu.Unlock()
	f := fact{state: model.StateRefused, reason: r, detail: detail}
	switch {
	case failed != nil:
		f.state, f.answer = model.StateRan, failed
	case lost:
		f.state = model.StateUnknown
	case r == model.ReasonCancelled || r == model.ReasonCallerGone:
		f.state = model.StateCancelled
	}
	s.step(j, f)
}

func (j *job) keepFailed(r model.Result) {
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
	case failLost, failNotWhole:
		return peer.AttemptLost
	}
	return peer.AttemptFailed
}
