package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/config"
	"boragepulley/internal/invariant"
	"boragepulley/internal/model"
)

// Cancellation causes of a job's context.
var (
	errCancelled          = errors.New("cancelled by caller")
	errCallerDisconnected = errors.New("caller disconnected")
	errDeadline           = errors.New("deadline passed")
	errDraining           = errors.New("entry VM is shutting down")
)

// maxSteps is the maximum number of step records kept per job for queries about it. The
// final step is kept in any case.
const maxSteps = 64

// job is one request in this entry VM. Only its own goroutine (run) changes its state;
// other goroutines add and remove callers, cancel it and read it under mu.
type job struct {
	// Immutable once the job has started.
	req         model.Request
	queue       config.Queue
	maxRun      time.Duration
	contentType string
	task        TaskSpec
	fingerprint string
	// forwarded is set if another entry VM accepted the request and forwarded it here.
	forwarded bool
	// hops is 1 once the request must not be forwarded any further.
	hops int
	// claimedBySender is set if the entry VM that forwarded the request holds the claim.
	claimedBySender bool
	// attempts is the number of attempts that another entry VM made before it forwarded
	// the request; avoid lists the minions on which they failed.
	attempts int
	avoid    []model.VM
	// ctx ends at the deadline or when the job is cancelled.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// done is closed when the job's goroutine has ended.
	done chan struct{}

	// Owned by the job's goroutine.
	claim *claim
	body  []byte
	// claimed is closed once the claim is decided, or at once if the job needs none.
	claimed chan struct{}

	mu  sync.Mutex // guards the fields below
	res model.Result
	// inFlight is set while a minion, another entry VM or the store may have the request.
	inFlight bool
	// forwardedTo is the entry VM that the request is currently forwarded to.
	forwardedTo model.EntryVM
	// mayHaveRun is set once an attempt may have run without returning a complete answer.
	mayHaveRun bool
	// failedAnswer is the last complete answer with an error status.
	failedAnswer *model.Result
	waiters      int
	async        bool
	steps        []model.Record
	// waitersResult is the final result with its complete answer, kept while callers wait
	// for it.
	waitersResult *model.Result
	// originalResult is the result of the job that this one repeats.
	originalResult *model.Result
}

// start initializes the fields that the job's goroutine and first caller use.
func (j *job) start() {
	ctx, release := context.WithDeadlineCause(context.Background(), j.req.Deadline, errDeadline)
	j.ctx, j.cancel = context.WithCancelCause(ctx)
	context.AfterFunc(j.ctx, release)
	j.done, j.claimed = make(chan struct{}), make(chan struct{})
	j.res = model.Result{Job: j.req.Job, State: model.StateAccepted, Attempts: j.attempts}
	if !j.async {
		j.waiters = 1
	}
}

// forwardedAttemptOffset is added to the attempt numbers of a forwarded job. If the reply
// is lost, the entry VM that accepted the job may continue with its own numbers, and each
// pair of job and attempt must remain unique.
const forwardedAttemptOffset = 10_000

func (j *job) firstAttemptNumber() int {
	if j.forwarded {
		return forwardedAttemptOffset + 1
	}
	return 1
}

// addCaller adds a caller. An asynchronous caller does not wait, but keeps the job from
// being cancelled when the waiting callers leave.
func (j *job) addCaller(async bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if async {
		j.async = true
	} else {
		j.waiters++
	}
}

// setForwardedTo records which entry VM the request is forwarded to; empty means none.
func (j *job) setForwardedTo(e model.EntryVM) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.forwardedTo = e
}

// removeCaller removes a waiting caller. A job without callers is cancelled if it is not
// in flight. If it is forwarded, removeCaller returns the entry VM that must be asked to
// cancel it.
func (j *job) removeCaller() (forwardedTo model.EntryVM) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.waiters--
	if j.waiters <= 0 {
		j.waitersResult = nil
	}
	if !j.abandonedLocked() {
		return ""
	}
	if !j.inFlight {
		j.cancel(errCallerDisconnected)
	}
	return j.forwardedTo
}

func (j *job) abandonedLocked() bool { return j.waiters <= 0 && !j.async }

func (j *job) result() model.Result {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.res
}

// overdueResult returns the result to report at the deadline if the job is still in flight.
func (j *job) overdueResult() (model.Result, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.inFlight {
		return model.Result{}, false
	}
	res := j.res
	res.State, res.Reason = model.StateUnknown, model.ReasonDeadlineRunning
	res.Detail = "the job was still running at its deadline; ask for its state later"
	return res, true
}

// stopReason returns why the job must not be attempted again, or ReasonNone.
func (j *job) stopReason() model.Reason {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch cause := context.Cause(j.ctx); {
	case errors.Is(cause, errCancelled):
		return model.ReasonCancelled
	case errors.Is(cause, errCallerDisconnected), cause == nil && j.abandonedLocked():
		return model.ReasonCallerDisconnected
	case cause == nil:
		return model.ReasonNone
	// After the deadline, missing callers are no cause: they left because of the deadline.
	case j.mayHaveRun:
		return model.ReasonDeadlineRunning
	}
	return model.ReasonDeadlineQueued
}

// minTimeLeft is the minimum time before the deadline to start an attempt. A minion needs
// 5 ms or more to answer, so a later start would only turn the outcome into unknown.
const minTimeLeft = 25 * time.Millisecond

// markInFlight marks the request as in flight; it must be called before the first byte is
// sent. check runs last and can still prevent it. After markInFlight returns nil, the job
// cannot be cancelled until clearInFlight.
func (j *job) markInFlight(check func() error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if cause := context.Cause(j.ctx); cause != nil {
		return cause
	}
	if time.Until(j.req.Deadline) < minTimeLeft {
		return &permitError{reason: model.ReasonDeadlineQueued, permanent: true}
	}
	if !invariant.Check(j.req.Idempotent || (!j.mayHaveRun && j.failedAnswer == nil && !j.inFlight), invariant.AtMostOnce,
		"job %s is not idempotent and would be dispatched a second time", j.req.Job) {
		return &permitError{reason: model.ReasonAnswerLost, permanent: true}
	}
	if !invariant.Check(j.queue.Open || (j.req.KeyID != "" && j.req.Team != ""), invariant.KeyAuthorizes,
		"job %s on queue %s has no team", j.req.Job, j.req.Queue) {
		return &permitError{reason: model.ReasonKeyMissing, permanent: true}
	}
	if check != nil {
		if err := check(); err != nil {
			return err
		}
	}
	j.inFlight = true
	return nil
}

// clearInFlight marks the request as no longer in flight. mayHaveRun says that it may have
// run without returning a complete answer.
func (j *job) clearInFlight(mayHaveRun bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.inFlight = false
	j.mayHaveRun = j.mayHaveRun || mayHaveRun
}

// interrupt marks a job whose processing has panicked as one that may have run if it was in flight, and
// reports whether it is in no final state.
func (j *job) interrupt() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.mayHaveRun = j.mayHaveRun || j.inFlight
	j.inFlight = false
	return !j.res.State.Final()
}

// setClaimed reports to callers that the claim is decided. Only the job's goroutine calls it.
func (j *job) setClaimed() {
	select {
	case <-j.claimed:
	default:
		close(j.claimed)
	}
}

// cancelUnlessInFlight returns a context that ends if the job's context ends before the
// job is in flight. An attempt in flight is not interrupted.
func (j *job) cancelUnlessInFlight() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(j.ctx, func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		if !j.inFlight {
			cancel()
		}
	})
	return ctx, func() { stop(); cancel() }
}

// keepResultForWaiters keeps the complete result for the callers that are waiting now,
// because the limits on retained answers must not affect them.
func (j *job) keepResultForWaiters() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.waiters > 0 {
		res := j.res
		j.waitersResult = &res
	}
}
