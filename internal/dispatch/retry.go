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
	// retryBaseRate is how many retries per second a queue may make regardless of its load.
	retryBaseRate = 3.0
	// retryBurst bounds the retries that a queue can save up: ten seconds of the base rate.
	retryBurst = 30.0
	// Back-off between attempts. The first delay is a few round trips inside a data
	// centre; a fault that lasts longer is left to the coordinator's outlier detection.
	retryFirstDelay = 20 * time.Millisecond
	retryMaxDelay   = 500 * time.Millisecond
)

// failureClass is how an attempt failed.
type failureClass int

const (
	// failNone: the job ran and its whole answer is at hand.
	failNone failureClass = iota
	// failNotReached: no byte of the request was sent.
	failNotReached
	// failNotStarted: the minion said that it did not start the job.
	failNotStarted
	// failLost: the job may have run; no answer came.
	failLost
	// failNotWhole: the job may have run; its answer is incomplete or another job's.
	failNotWhole
	// failStatus: the job ran and its whole answer has a status of 500 or above.
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
	case errors.Is(err, upstream.ErrAnswerNotWhole):
		return failNotWhole
	}
	// An error of another kind says nothing about the request, so it may have run.
	return failLost
}

// mayHaveRun reports whether the attempt may have run without a whole answer.
func (f failureClass) mayHaveRun() bool { return f == failLost || f == failNotWhole }

// retryable reports whether another attempt keeps the promise to the caller (D7).
func (f failureClass) retryable(idempotent bool) bool {
	switch f {
	case failNotReached, failNotStarted:
		return true
	case failLost, failNotWhole, failStatus:
		return idempotent
	}
	return false
}

func (f failureClass) reason() model.Reason {
	switch f {
	case failNotReached:
		return model.ReasonNotReached
	case failNotStarted:
		return model.ReasonMinionRefused
	case failLost:
		return model.ReasonAnswerLost
	case failNotWhole:
		return model.ReasonAnswerNotWhole
	}
	return model.ReasonNone
}

// failures counts the failed attempts of a job.
type failures struct {
	count int
	// notReached counts failures that say something about the network but not about the job.
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
// different minions, so a job that failed on each of several has a fault of its own.
func (f *failures) finalReason(last failureClass) model.Reason {
	switch {
	case f.count == 1:
		return last.reason()
	case f.notReached > 0:
		return model.ReasonAttempts
	}
	return model.ReasonNeverRuns
}

func newBackoff() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(retryFirstDelay),
		backoff.WithMaxInterval(retryMaxDelay),
		backoff.WithMultiplier(2),
		backoff.WithMaxElapsedTime(0))
}

// retryBudgets bounds the retries of each queue, so that a fault of the minions does
// not multiply the load.
type retryBudgets struct {
	mu     sync.Mutex
	queues map[model.Queue]*retryBudget
}

type retryBudget struct {
	tokens float64
	at     time.Time
}

// earn adds the part of a retry that a new request brings.
func (b *retryBudgets) earn(q model.Queue, percent int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.refillLocked(q, now)
	t.tokens = min(t.tokens+float64(percent)/100, retryBurst)
}

// spend takes one retry from the queue's budget, or reports false.
func (b *retryBudgets) spend(q model.Queue, now time.Time) bool {
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
		t = &retryBudget{tokens: retryBaseRate, at: now}
		b.queues[q] = t
	}
	if d := now.Sub(t.at); d > 0 {
		t.tokens = min(t.tokens+d.Seconds()*retryBaseRate, retryBurst)
		t.at = now
	}
	return t
}
