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

// ErrForwardNotSent means that no byte of a forwarded request was sent, so the other entry
// VM did not receive it.
var ErrForwardNotSent = errors.New("dispatch: forward not sent")

const (
	// maxForwardTargets is the maximum number of entry VMs that one request is offered to.
	maxForwardTargets = 2
	// forwardReplyGrace is how long after the deadline to wait for the reply: the other
	// entry VM replies at the deadline, and the message takes a few milliseconds.
	forwardReplyGrace = 500 * time.Millisecond
	// How long the other entry VM is queried after a lost reply. An idempotent job is
	// retried soon instead; any other job would be reported as unknown.
	lookupIdempotentTimeout    = 500 * time.Millisecond
	lookupNonIdempotentTimeout = 5 * time.Second
)

// Forwarder sends requests to other entry VMs.
type Forwarder interface {
	// Forward sends f to an entry VM and waits for the result; it may fill in f.From.
	// ErrForwardNotSent means that the request was not sent; after any other error it may
	// be running.
	Forward(ctx context.Context, to model.EntryVM, f peer.Forward) (peer.ForwardReply, error)
}

// JobLookup queries another entry VM about a job that it accepted or received by
// forwarding.
type JobLookup interface {
	// JobGet returns the state of a job, with its answer if requested. An error says
	// nothing about the job.
	JobGet(ctx context.Context, to model.EntryVM, id model.JobID, answer bool) (peer.JobGetReply, error)
	// JobCancel cancels a job at that entry VM. Errors: ErrNoSuchJob, ErrNotOwner,
	// ErrNotCancellable; any other error says nothing about the job.
	JobCancel(ctx context.Context, to model.EntryVM, id model.JobID, team model.Team) (model.Result, error)
}

// forward forwards the job to an entry VM of a data centre. It reports whether the job has
// ended; if not, no other entry VM is working on it and this one continues.
func (s *Service) forward(j *job, dc model.DataCentre, avoid []model.VM) (ended bool) {
	if s.cfg.Forwarder == nil {
		return false
	}
	for _, to := range s.forwardCandidates(dc) {
		ended, tryNext := s.forwardToEntryVM(j, to, avoid)
		if ended || !tryNext {
			return ended
		}
	}
	return false
}

// forwardCandidates returns entry VMs of a data centre in random order, those known to be
// alive first. Only coordinators exchange messages with other data centres, so other entry
// VMs may see the members of a remote data centre as unknown or suspect. These are tried
// too: the coordinator that named the data centre is in contact with it, and a failure to
// connect has no consequences.
func (s *Service) forwardCandidates(dc model.DataCentre) []model.EntryVM {
	var alive, unconfirmed []model.EntryVM
	for name, p := range s.cfg.Control.Snapshot().Peers {
		if name == s.cfg.Entry || p.DC != dc {
			continue
		}
		switch {
		case p.Status == control.MemberAlive:
			alive = append(alive, name)
		case dc != s.cfg.DC && (p.Status == control.MemberUnknown || p.Status == control.MemberSuspect):
			unconfirmed = append(unconfirmed, name)
		}
	}
	for _, list := range [][]model.EntryVM{alive, unconfirmed} {
		rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	}
	out := append(alive, unconfirmed...)
	return out[:min(len(out), maxForwardTargets)]
}

// forwardToEntryVM forwards the job to one entry VM. tryNext says that another one may be
// tried.
func (s *Service) forwardToEntryVM(j *job, to model.EntryVM, avoid []model.VM) (ended, tryNext bool) {
	if err := j.markInFlight(nil); err != nil {
		s.endJob(j, reasonOr(j.stopReason(), model.ReasonCannotStart), "")
		return true, false
	}
	s.recordStep(j, step{state: model.StateDispatched, reason: model.ReasonForwarded, detail: "forwarded to entry VM " + string(to)})
	j.setForwardedTo(to)
	defer j.setForwardedTo("")
	ctx, cancel := context.WithDeadline(context.Background(), j.req.Deadline.Add(forwardReplyGrace))
	defer cancel()
	rep, err := s.cfg.Forwarder.Forward(ctx, to, peer.Forward{
		From: peer.Sender{Entry: s.cfg.Entry, DC: s.cfg.DC}, Request: j.req, Wait: time.Until(j.req.Deadline),
		ContentType: j.contentType, Body: j.body, Claimed: j.claim != nil || j.claimedBySender, Attempts: j.result().Attempts, Avoid: avoid,
	})
	if err == nil {
		return s.handleForwardResult(j, to, rep.Result)
	}
	if !errors.Is(err, ErrForwardNotSent) {
		if r, ok := s.lookUpForwarded(j, to); ok {
			return s.handleForwardResult(j, to, r)
		}
	}
	return s.handleForwardError(j, to, err)
}

// lookUpForwarded queries the entry VM whose reply was lost for the result of a forwarded
// job. It reports false if no result is obtained in time; the request may still arrive there.
func (s *Service) lookUpForwarded(j *job, to model.EntryVM) (model.Result, bool) {
	if s.cfg.Lookup == nil {
		return model.Result{}, false
	}
	wait := lookupNonIdempotentTimeout
	if j.req.Idempotent {
		wait = lookupIdempotentTimeout
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

func (s *Service) handleForwardError(j *job, to model.EntryVM, err error) (ended, tryNext bool) {
	notSent := errors.Is(err, ErrForwardNotSent)
	j.clearInFlight(!notSent)
	detail := "forward to entry VM " + string(to) + ": " + err.Error()
	switch {
	case notSent:
		s.recordStep(j, step{state: model.StateQueued, reason: model.ReasonMinionUnreachable, detail: detail})
		return false, true
	case !j.req.Idempotent:
		s.endJob(j, model.ReasonAnswerLost, detail)
		return true, false
	case !s.budgets.tryWithdraw(j.queue.Name, time.Now()):
		s.endJob(j, model.ReasonRetryBudget, detail)
		return true, false
	}
	s.recordStep(j, step{state: model.StateQueued, reason: model.ReasonRetry, detail: detail})
	return false, false
}

// handleForwardResult applies the result of the other entry VM to the job. If the refusal
// concerns only the other entry VM, this one continues with the job.
func (s *Service) handleForwardResult(j *job, to model.EntryVM, r model.Result) (ended, tryNext bool) {
	if !invariant.Check(r.Job == j.req.Job, invariant.CompleteResponse, "forward of job %s got the result of job %s", j.req.Job, r.Job) {
		return s.handleForwardError(j, to, errors.New("the reply belongs to another job"))
	}
	detail := "entry VM " + string(to) + ": " + r.Detail
	switch r.Outcome() {
	case model.OutcomeRan:
		j.clearInFlight(false)
		s.recordStep(j, step{state: model.StateRan, reason: r.Reason, detail: r.Detail, minion: r.Minion, answer: &r})
		return true, false
	case model.OutcomeUnknown:
		j.clearInFlight(true)
		s.endJob(j, reasonOr(r.Reason, model.ReasonAnswerLost), detail)
		return true, false
	}
	j.clearInFlight(false)
	switch r.Reason {
	// Here, the caller of the other entry VM is this one: their connection was lost.
	case model.ReasonCallerDisconnected, model.ReasonEntryLost, model.ReasonShuttingDown, model.ReasonQueueFull, model.ReasonNoMinion, model.ReasonNoCoordinator, model.ReasonConfigUnconfirmed:
		s.recordStep(j, step{state: model.StateQueued, reason: r.Reason, detail: detail})
		return false, r.Reason == model.ReasonShuttingDown
	}
	reason := r.Reason
	if reason == model.ReasonCancelled {
		// Either the caller cancelled the job, or this entry VM did because the caller left.
		reason = reasonOr(j.stopReason(), reason)
	}
	s.endJob(j, reason, detail)
	return true, false
}

// HandleForward processes a request that another entry VM accepted and returns its result.
// If ctx ends, the request is cancelled if it was not dispatched yet.
func (s *Service) HandleForward(ctx context.Context, f peer.Forward) peer.ForwardReply {
	snap := s.cfg.Control.Snapshot()
	j := &job{
		req: f.Request, contentType: f.ContentType, body: f.Body, forwarded: true, hops: 1,
		claimedBySender: f.Claimed, attempts: f.Attempts, avoid: f.Avoid,
	}
	// The clocks of the two VMs may differ, so the deadline is relative to the arrival here.
	j.req.Deadline = time.Now().Add(f.Wait)
	if r := s.validateForwarded(snap, j); r != nil {
		return peer.ForwardReply{Result: s.refuseForwarded(j, *r)}
	}
	j.fingerprint = fingerprint(j)
	entered, refused := s.register(snap, j)
	if entered == nil {
		return peer.ForwardReply{Result: refused}
	}
	return peer.ForwardReply{Result: s.await(ctx, entered)}
}

func (s *Service) validateForwarded(snap *control.Snapshot, j *job) *refusal {
	if snap.Site == nil {
		return &refusal{model.ReasonConfigUnconfirmed, "no configuration is known yet"}
	}
	q := snap.Site.Queue(j.req.Queue)
	if q == nil {
		return &refusal{model.ReasonUnknownQueue, "the queue is unknown at this entry VM"}
	}
	j.queue = *q
	if svc := snap.Site.Service(q.Service); svc != nil {
		j.maxRun = svc.MaxRun
	}
	return authorizeForwarded(snap, q, j.req)
}

// refuseForwarded refuses a forwarded request without recording it, because the entry VM
// that accepted the request may still run it elsewhere.
func (s *Service) refuseForwarded(j *job, r refusal) model.Result {
	s.logStep(model.Record{Job: j.req.Job, State: model.StateRefused, Reason: r.reason, Queue: j.req.Queue, Team: j.req.Team, Detail: r.detail})
	return model.Result{Job: j.req.Job, State: model.StateRefused, Reason: r.reason, Detail: r.detail}
}
