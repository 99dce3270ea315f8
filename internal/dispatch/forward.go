package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/control"
	"boragepulley/internal/invariant"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// ErrForwardNotSent means that no byte of a forwarded request was sent; the other entry
// VM does not have it.
var ErrForwardNotSent = errors.New("dispatch: forward not sent")

const (
	// forwardTargets bounds the entry VMs that one request is offered to.
	forwardTargets = 2
	// forwardLate is how long after the deadline the reply is awaited: the other entry VM
	// answers at its own deadline, and the message takes a few milliseconds.
	forwardLate = 500 * time.Millisecond
	// After a lost reply the other entry VM is asked for this long: an idempotent job can
	// be repeated soon, any other one would be reported as unknown.
	askIdempotent = 500 * time.Millisecond
	askUnknown    = 5 * time.Second
)

// Forwarder hands requests to other entry VMs.
type Forwarder interface {
	// Forward sends f to an entry VM and waits for the result; it may complete f.From.
	// ErrForwardNotSent means that the request did not leave this VM; after any other error it may be running.
	Forward(ctx context.Context, to model.EntryVM, f peer.Forward) (peer.ForwardReply, error)
}

// JobLookup asks another entry VM about a job that it accepted or works on.
type JobLookup interface {
	// JobGet returns the state of a job and, if asked for, its answer. An error says
	// nothing about the job.
	JobGet(ctx context.Context, to model.EntryVM, id model.JobID, answer bool) (peer.JobGetReply, error)
	// JobCancel cancels a job there. Errors: ErrNoSuchJob, ErrNotOwner, ErrNotCancellable; any
	// other error says nothing about the job.
	JobCancel(ctx context.Context, to model.EntryVM, id model.JobID, team model.Team) (model.Result, error)
}

// forward hands the job to an entry VM of a data centre. It reports whether the job
// has ended; otherwise nobody else works on it and this entry VM goes on.
func (s *Service) forward(j *job, dc model.DataCentre, avoid []model.VM) (ended bool) {
	if s.cfg.Forwarder == nil {
		return false
	}
	for _, to := range s.forwardCandidates(dc) {
		ended, next := s.forwardTo(j, to, avoid)
		if ended || !next {
			return ended
		}
	}
	return false
}

// forwardCandidates returns entry VMs of a data centre in random order, those known to be
// alive first. Only coordinators exchange messages with other data centres, so elsewhere
// an entry VM there may never have been heard, or not since it was suspect; the coordinator
// that names the data centre hears it, and a connection that cannot be opened loses nothing.
func (s *Service) forwardCandidates(dc model.DataCentre) []model.EntryVM {
	var alive, unheard []model.EntryVM
	for name, p := range s.cfg.Control.Snapshot().Peers {
		if name == s.cfg.Entry || p.DC != dc {
			continue
		}
		switch {
		case p.Status == control.MemberAlive:
			alive = append(alive, name)
		case dc != s.cfg.DC && (p.Status == control.MemberUnknown || p.Status == control.MemberSuspect):
			unheard = append(unheard, name)
		}
	}
	for _, list := range [][]model.EntryVM{alive, unheard} {
		rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	}
	out := append(alive, unheard...)
	return out[:min(len(out), forwardTargets)]
}

// forwardTo hands the job to one entry VM. next says that another one may be asked.
func (s *Service) forwardTo(j *job, to model.EntryVM, avoid []model.VM) (ended, next bool) {
	if err := j.hand(nil); err != nil {
		s.end(j, reasonOr(j.stopReason(), model.ReasonCannotStart), "")
		return true, false
	}
	s.step(j, fact{state: model.StateDispatched, reason: model.ReasonForwarded, detail: "forwarded to entry VM " + string(to)})
	j.forwardTo(to)
	defer j.forwardTo("")
	ctx, cancel := context.WithDeadline(context.Background(), j.req.Deadline.Add(forwardLate))
	defer cancel()
	rep, err := s.cfg.Forwarder.Forward(ctx, to, peer.Forward{
		From: peer.Sender{Entry: s.cfg.Entry, DC: s.cfg.DC}, Request: j.req, Wait: time.Until(j.req.Deadline),
		ContentType: j.contentType, Body: j.body, Claimed: j.claim != nil || j.hasClaim, Attempts: j.result().Attempts, Avoid: avoid,
	})
	if err == nil {
		return s.forwardDone(j, to, rep.Result)
	}
	if !errors.Is(err, ErrForwardNotSent) {
		if r, ok := s.askForwarded(j, to); ok {
			return s.forwardDone(j, to, r)
		}
	}
	return s.forwardFailed(j, to, err)
}

// askForwarded asks an entry VM, whose reply was lost, what became of a forwarded job.
// It reports false if the job is not known there: the request may still arrive.
func (s *Service) askForwarded(j *job, to model.EntryVM) (model.Result, bool) {
	if s.cfg.Lookup == nil {
		return model.Result{}, false
	}
	wait := askUnknown
	if j.req.Idempotent {
		wait = askIdempotent
	}
	ctx, cancel := context.WithTimeout(j.ctx, wait)
	defer cancel()
	for d := lookupFirstDelay; ; d = min(2*d, lookupMaxDelay) {
		rep, err := s.cfg.Lookup.JobGet(ctx, to, j.req.Job, true)
		ended := err == nil && rep.Found && rep.Result.Job == j.req.Job &&
			(rep.Result.State.Final() || rep.Result.State == model.StateUnknown)
		if ended {
			return rep.Result, true
		}
		if !sleep(ctx, d) {
			return model.Result{}, false
		}
	}
}

func (s *Service) forwardFailed(j *job, to model.EntryVM, err error) (ended, next bool) {
	notSent := errors.Is(err, ErrForwardNotSent)
	j.handBack(!notSent)
	detail := "forward to entry VM " + string(to) + ": " + err.Error()
	switch {
	case notSent:
		s.step(j, fact{state: model.StateQueued, reason: model.ReasonNotReached, detail: detail})
		return false, true
	case !j.req.Idempotent:
		s.end(j, model.ReasonAnswerLost, detail)
		return true, false
	case !s.budgets.spend(j.queue.Name, time.Now()):
		s.end(j, model.ReasonRetryBudget, detail)
		return true, false
	}
	s.step(j, fact{state: model.StateQueued, reason: model.ReasonRetry, detail: detail})
	return false, false
}

// forwardDone takes over the result of the other entry VM. A refusal that is only about
// the other entry VM lets this one go on.
func (s *Service) forwardDone(j *job, to model.EntryVM, r model.Result) (ended, next bool) {
	if !invariant.Check(r.Job == j.req.Job, invariant.WholeAnswer, "forward of job %s got the result of job %s", j.req.Job, r.Job) {
		return s.forwardFailed(j, to, errors.New("the reply was for another job"))
	}
	detail := "entry VM " + string(to) + ": " + r.Detail
	switch r.Outcome() {
	case model.OutcomeRan:
		j.handBack(false)
		s.step(j, fact{state: model.StateRan, reason: r.Reason, detail: r.Detail, minion: r.Minion, answer: &r})
		return true, false
	case model.OutcomeUnknown:
		j.handBack(true)
		s.end(j, reasonOr(r.Reason, model.ReasonAnswerLost), detail)
		return true, false
	}
	j.handBack(false)
	switch r.Reason {
	// ReasonCallerGone: the other entry VM lost the connection to this one.
	case model.ReasonCallerGone, model.ReasonShuttingDown, model.ReasonQueueFull, model.ReasonNoMinion, model.ReasonNoCoordinator, model.ReasonIsolated:
		s.step(j, fact{state: model.StateQueued, reason: r.Reason, detail: detail})
		return false, r.Reason == model.ReasonShuttingDown
	}
	reason := r.Reason
	if reason == model.ReasonCancelled {
		// Either the caller cancelled the job or this entry VM did when the caller left.
		reason = reasonOr(j.stopReason(), reason)
	}
	s.end(j, reason, detail)
	return true, false
}

// HandleForward takes a request that another entry VM accepted, runs it and returns its
// result. If ctx ends, a request that was not dispatched is withdrawn.
func (s *Service) HandleForward(ctx context.Context, f peer.Forward) peer.ForwardReply {
	snap := s.cfg.Control.Snapshot()
	j := &job{
		req: f.Request, contentType: f.ContentType, body: f.Body, forwarded: true, hops: 1,
		hasClaim: f.Claimed, attempts: f.Attempts, avoid: f.Avoid,
	}
	// The clocks of two VMs are not compared, so the deadline is counted from receipt.
	j.req.Deadline = time.Now().Add(f.Wait)
	if r := s.checkForwarded(snap, j); r != nil {
		return peer.ForwardReply{Result: s.refuseForwarded(j, *r)}
	}
	j.fingerprint = fingerprint(j)
	entered, refused := s.enter(snap, j)
	if entered == nil {
		return peer.ForwardReply{Result: refused}
	}
	return peer.ForwardReply{Result: s.await(ctx, entered)}
}

func (s *Service) checkForwarded(snap *control.Snapshot, j *job) *refusal {
	if snap.Site == nil {
		return &refusal{model.ReasonIsolated, "no configuration is known yet"}
	}
	q := snap.Site.Queue(j.req.Queue)
	if q == nil {
		return &refusal{model.ReasonUnknownQueue, "the queue is not known at this entry VM"}
	}
	j.queue = *q
	if svc := snap.Site.Service(q.Service); svc != nil {
		j.maxRun = svc.MaxRun
	}
	return authorizeForwarded(snap, q, j.req)
}

// refuseForwarded refuses without an account record: the entry VM that accepted the
// request decides what becomes of it.
func (s *Service) refuseForwarded(j *job, r refusal) model.Result {
	s.logStep(model.Record{Job: j.req.Job, State: model.StateRefused, Reason: r.reason, Queue: j.req.Queue, Team: j.req.Team, Detail: r.detail})
	return model.Result{Job: j.req.Job, State: model.StateRefused, Reason: r.reason, Detail: r.detail}
}
