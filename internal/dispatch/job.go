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

// Causes that end the waiting of a job before it is dispatched.
var (
	errCancelled  = errors.New("cancelled by caller")
	errCallerGone = errors.New("caller disconnected")
	errDeadline   = errors.New("deadline passed")
	errDraining   = errors.New("entry VM is shutting down")
)

// maxSteps bounds the records kept per job to explain it.
const maxSteps = 64

// job is one request that this entry VM holds. Its goroutine (run) alone moves it from
// state to state; other goroutines join, leave, cancel and read it under mu.
type job struct {
	// Set before the job is started and not changed afterwards.
	req         model.Request
	queue       config.Queue
	maxRun      time.Duration
	contentType string
	task        TaskSpec
	fingerprint string
	// forwarded is set if another entry VM accepted the request.
	forwarded bool
	// hops is 1 once the request must not be forwarded (again).
	hops int
	// hasClaim is set if the entry VM that forwarded the request holds the claim.
	hasClaim bool
	// attempts is the number of dispatches that another entry VM made before, avoid the
	// minions that failed them.
	attempts int
	avoid    []model.VM
	// ctx ends at the deadline or when the job is withdrawn.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// done is closed when the goroutine has ended.
	done chan struct{}

	// Owned by the job's goroutine.
	claim *claim
	body  []byte
	// claimed is closed when the claim, if the job needs one, is decided.
	claimed chan struct{}

	mu  sync.Mutex // guards the fields below
	res model.Result
	// handed is set while a minion or another entry VM may have the request.
	handed bool
	// at is the entry VM that has the request while it is forwarded.
	at model.EntryVM
	// mayHaveRun is set once an attempt may have run without a whole answer.
	mayHaveRun bool
	// failedAnswer is the last whole answer that says that the job failed.
	failedAnswer *model.Result
	waiters      int
	async        bool
	steps        []model.Record
	// final is the last result with its whole answer while callers wait for it.
	final *model.Result
	// original is the result of the job that this one repeats.
	original *model.Result
}

// start prepares a job for its goroutine and its first caller.
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

// forwardedAttempts is added to the attempt numbers of a forwarded job: if the reply is
// lost, the entry VM that accepted the job may go on with its own numbers, and the pair
// of job and attempt must stay unique.
const forwardedAttempts = 10_000

func (j *job) firstAttempt() int {
	if j.forwarded {
		return forwardedAttempts + 1
	}
	return 1
}

// join adds a caller; an asynchronous one keeps the job alive without waiting.
func (j *job) join(async bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if async {
		j.async = true
	} else {
		j.waiters++
	}
}

// forwardTo notes the entry VM that has the request, or none.
func (j *job) forwardTo(e model.EntryVM) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.at = e
}

// leave removes a waiting caller. A job that nobody waits for is withdrawn if it was
// not dispatched. It returns the entry VM that has an abandoned request, if any.
func (j *job) leave() (at model.EntryVM) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.waiters--
	if j.waiters <= 0 {
		j.final = nil
	}
	if !j.abandonedLocked() {
		return ""
	}
	if !j.handed {
		j.cancel(errCallerGone)
	}
	return j.at
}

func (j *job) abandonedLocked() bool { return j.waiters <= 0 && !j.async }

func (j *job) result() model.Result {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.res
}

// overdue returns the result to give at the deadline while the job is dispatched.
func (j *job) overdue() (model.Result, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.handed {
		return model.Result{}, false
	}
	res := j.res
	res.State, res.Reason = model.StateUnknown, model.ReasonDeadlineRunning
	res.Detail = "the job was still running at its deadline; ask for its state later"
	return res, true
}

// stopReason returns why the job must not be tried again, or ReasonNone.
func (j *job) stopReason() model.Reason {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch cause := context.Cause(j.ctx); {
	case errors.Is(cause, errCancelled):
		return model.ReasonCancelled
	case errors.Is(cause, errCallerGone), cause == nil && j.abandonedLocked():
		return model.ReasonCallerGone
	case cause == nil:
		return model.ReasonNone
	// After the deadline the callers have left because of it, not the other way round.
	case j.mayHaveRun:
		return model.ReasonDeadlineRunning
	}
	return model.ReasonDeadlineQueued
}

// leastLeft is the time before its deadline in which a job is not begun any more: a minion's
// answer takes 5 ms and more, so the caller would be told that the outcome is unknown.
const leastLeft = 25 * time.Millisecond

// hand marks the request as given away; it must be called before the first byte is
// sent. check runs last and can still stop it. After hand returns nil, the job can be
// neither cancelled nor withdrawn until handBack.
func (j *job) hand(check func() error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if cause := context.Cause(j.ctx); cause != nil {
		return cause
	}
	if time.Until(j.req.Deadline) < leastLeft {
		return &permitError{reason: model.ReasonDeadlineQueued, last: true}
	}
	if !invariant.Check(j.req.Idempotent || (!j.mayHaveRun && j.failedAnswer == nil && !j.handed), invariant.AtMostOnce,
		"job %s is not idempotent and would be dispatched again", j.req.Job) {
		return &permitError{reason: model.ReasonAnswerLost, last: true}
	}
	if !invariant.Check(j.queue.Open || (j.req.KeyID != "" && j.req.Team != ""), invariant.KeyAuthorizes,
		"job %s on queue %s has no team", j.req.Job, j.req.Queue) {
		return &permitError{reason: model.ReasonNoKey, last: true}
	}
	if check != nil {
		if err := check(); err != nil {
			return err
		}
	}
	j.handed = true
	return nil
}

// handBack ends the time in which a minion or another entry VM works on the request.
// lost says that it may have run without a whole answer.
func (j *job) handBack(lost bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.handed = false
	j.mayHaveRun = j.mayHaveRun || lost
}

// cancelUnlessHanded returns a context that ends when the job is withdrawn before it
// is handed out. Once handed out, the job runs to its end.
func (j *job) cancelUnlessHanded() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(j.ctx, func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		if !j.handed {
			cancel()
		}
	})
	return ctx, func() { stop(); cancel() }
}

// keepFinal keeps the whole result for the callers that wait for it now; the bounds on
// kept answers do not apply to them.
func (j *job) keepFinal() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.waiters > 0 {
		res := j.res
		j.final = &res
	}
}
