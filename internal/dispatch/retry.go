package dispatch

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/pkg/errors"

	"boragepulley/internal/model"
	"boragepulley/internal/upstream"
)

const (
	// retryBaseRate is the number of retries per second that a queue may make regardless
	// of its load.
	retryBaseRate = 3.0
	// retryBurst is the maximum balance of a retry budget: ten seconds of the base rate.
	retryBurst = 30.0
	// Exponential back-off between attempts. The first delay is a few round trips inside a
	// data centre; longer faults are left to the coordinator's outlier detection.
	retryFirstDelay = 20 * time.Millisecond
	retryMaxDelay   = 500 * time.Millisecond
)

// failureClass is how an attempt failed.
type failureClass int

const (
	// failNone: the job ran and returned a complete answer.
	failNone failureClass = iota
	// failNotReached: no byte of the request was sent.
	failNotReached
	// failNotStarted: the minion replied that it did not start the job.
	failNotStarted
	// failAnswerLost: the job may have run; no answer was received.
	failAnswerLost
	// failIncompleteAnswer: the job may have run; the answer is incomplete or belongs to
	// another job.
	failIncompleteAnswer
	// failStatus: the job ran and returned a complete answer with a status of 500 or above.
	failStatus
)

func classify(a upstream.Answer, err error) failureClass {
	switch {
	case err == nil && a.Status >= 500:
		return failStatus
	case err == nil:
		return failNone
	case errors.Is(err, upstream.ErrNotReached):
		return failNotReached
	case errors.Is(err, upstream.ErrNotStarted):
		return failNotStarted
	case errors.Is(err, upstream.ErrAnswerIncomplete):
		return failIncompleteAnswer
	}
	// Any other error leaves open whether the job ran.
	return failAnswerLost
}

// mayHaveRun reports whether the attempt may have run without returning a complete answer.
func (f failureClass) mayHaveRun() bool { return f == failAnswerLost || f == failIncompleteAnswer }

// retryable reports whether another attempt is safe. A non-idempotent job is retried only
// after an attempt that certainly did not run (D7).
func (f failureClass) retryable(idempotent bool) bool {
	switch f {
	case failNotReached, failNotStarted:
		return true
	case failAnswerLost, failIncompleteAnswer, failStatus:
		return idempotent
	}
	return false
}

func (f failureClass) reason() model.Reason {
	switch f {
	case failNotReached:
		return model.ReasonMinionUnreachable
	case failNotStarted:
		return model.ReasonMinionNotStarted
	case failAnswerLost:
		return model.ReasonAnswerLost
	case failIncompleteAnswer:
		return model.ReasonAnswerIncomplete
	}
	return model.ReasonNone
}

// failures tracks the failed attempts of a job.
type failures struct {
	count int
	// notReached counts failures to connect, which are no evidence against the job.
	notReached int
	avoid      []model.VM
}

func (f *failures) add(c failureClass, m model.VM) {
	f.count++
	if c == failNotReached {
		f.notReached++
	}
	f.avoid = append(f.avoid, m)
}

// finalReason returns the reason of a job that used all its attempts. Attempts go to
// different minions, so a job that failed on several is itself at fault.
func (f *failures) finalReason(last failureClass) model.Reason {
	switch {
	case f.count == 1:
		return last.reason()
	case f.notReached > 0:
		return model.ReasonAttemptsExhausted
	}
	return model.ReasonFailsOnEveryMinion
}

func newBackoff() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(retryFirstDelay),
		backoff.WithMaxInterval(retryMaxDelay),
		backoff.WithMultiplier(2),
		backoff.WithMaxElapsedTime(0))
}

// retryBudgets limits the retries of each queue, so that failing minions do not multiply
// the load.
type retryBudgets struct {
	mu     sync.Mutex
	queues map[model.Queue]*retryBudget
}

type retryBudget struct {
	tokens     float64
	refilledAt time.Time
}

// deposit credits the queue's budget for a new request: percent hundredths of a retry.
func (b *retryBudgets) deposit(q model.Queue, percent int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.refillLocked(q, now)
	t.tokens = min(t.tokens+float64(percent)/100, retryBurst)
}

// tryWithdraw takes one retry from the queue's budget. It reports false if none is left.
func (b *retryBudgets) tryWithdraw(q model.Queue, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.refillLocked(q, now)
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

func (b *retryBudgets) refillLocked(q model.Queue, now time.Time) *retryBudget {
	if b.queues == nil {
		b.queues = map[model.Queue]*retryBudget{}
	}
	t := b.queues[q]
	if t == nil {
		t = &retryBudget{tokens: retryBaseRate, refilledAt: now}
		b.queues[q] = t
	}
	if d := now.Sub(t.refilledAt); d > 0 {
		t.tokens = min(t.tokens+d.Seconds()*retryBaseRate, retryBurst)
		t.refilledAt = now
	}
	return t
}
