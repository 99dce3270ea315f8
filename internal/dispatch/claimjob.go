package dispatch

import (
	"context"
	"time"

	"boragepulley/internal/model"
)

// Delays between questions to another entry VM about an unfinished original job.
const (
	lookupFirstDelay = 50 * time.Millisecond
	lookupMaxDelay   = time.Second
	// A claim whose job did not run is asked for again, because it becomes void a few
	// table calls after the job has ended.
	reclaimTries = 4
	reclaimDelay = 150 * time.Millisecond
)

// claim is a claim row that this job holds.
type claim struct {
	key string
	row claimRow
	// version is the row's version, 0 if it is not known.
	version uint64
}

// claimJob claims the request id of a non-idempotent job. It reports whether the job
// may go on; otherwise the job has ended.
func (s *Service) claimJob(j *job) bool {
	if j.req.Idempotent || j.req.RequestID == "" || j.hasClaim {
		return true
	}
	c := claim{key: claimKey(j.req), row: claimRow{Job: j.req.Job, Fingerprint: j.fingerprint}}
	var res claimResult
	for try := 1; ; try++ {
		res = s.claims.claim(j.ctx, c.key, c.row)
		if res.held {
			c.version = res.version
			j.claim = &c
			return true
		}
		if !res.taken {
			break
		}
		if s.repeatOf(j, res.row, try < reclaimTries) {
			return false
		}
		if !sleep(j.ctx, reclaimDelay) {
			break
		}
	}
	detail := "the request id could not be claimed"
	if res.err != nil {
		detail += ": " + res.err.Error()
	}
	s.end(j, reasonOr(j.stopReason(), model.ReasonClaimUnavailable), detail)
	return false
}

// settleClaim voids the claim of a job that certainly did not run, so that its caller
// can ask again with the same request id.
func (s *Service) settleClaim(j *job) {
	if j.claim != nil && j.result().Outcome() == model.OutcomeNotRun {
		s.claims.void(*j.claim)
	}
}

// repeatOf ends a job whose request id another job has claimed; its callers get the
// original job's result. It reports false, and does not end the job, if the original
// job did not run and its claim may therefore become void.
func (s *Service) repeatOf(j *job, row claimRow, mayReclaim bool) (ended bool) {
	if row.Fingerprint != j.fingerprint {
		s.end(j, model.ReasonDuplicateID, "job "+string(row.Job)+" has this request id and another queue, kind or body")
		return true
	}
	res := unfinished(s.original(j.ctx, row.Job))
	if mayReclaim && res.Outcome() == model.OutcomeNotRun {
		return false
	}
	j.mu.Lock()
	j.original = &res
	j.mu.Unlock()
	s.end(j, model.ReasonDuplicateID, "repeats job "+string(row.Job))
	return true
}

// unfinished gives the result of a job that still runs at the repeat's deadline a
// reason that its caller can understand; the reason of its last step is not one.
func unfinished(r model.Result) model.Result {
	if r.Outcome() == model.OutcomeUnknown && r.State != model.StateUnknown {
		r.State, r.Reason = model.StateUnknown, model.ReasonDeadlineRunning
		r.Detail = "the job with this request id was still running at the deadline; ask for its state later"
	}
	return r
}

// original waits for the result of a claimed job until ctx ends. What cannot be found
// out is unknown.
func (s *Service) original(ctx context.Context, id model.JobID) model.Result {
	unknown := model.Result{Job: id, State: model.StateUnknown, Reason: model.ReasonDuplicateID,
		Detail: "this request id was used before; the original job's state is not known here"}
	entry, err := id.Entry()
	if err != nil {
		return unknown
	}
	if entry == s.cfg.Entry {
		return s.originalHere(ctx, id, unknown)
	}
	if s.cfg.Lookup == nil {
		return unknown
	}
	last := unknown
	for d := lookupFirstDelay; ; d = min(2*d, lookupMaxDelay) {
		rep, err := s.cfg.Lookup.JobGet(ctx, entry, id, true)
		if err == nil && rep.Found && rep.Result.Job == id {
			last = rep.Result
		}
		if (err == nil && !rep.Found) || last.State.Final() || !sleep(ctx, d) {
			return last
		}
	}
}

func (s *Service) originalHere(ctx context.Context, id model.JobID, unknown model.Result) model.Result {
	s.mu.Lock()
	j := s.kept.jobs[id]
	s.mu.Unlock()
	if j == nil {
		return unknown
	}
	select {
	case <-j.done:
		return s.taskResult(ctx, j, s.resultFor(j))
	case <-ctx.Done():
		return j.result()
	}
}
