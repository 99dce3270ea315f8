package dispatch

import (
	"context"
	"time"

	"boragepulley/internal/model"
)

// Delays between lookups of an unfinished original job at another entry VM.
const (
	lookupFirstDelay = 50 * time.Millisecond
	lookupMaxDelay   = time.Second
	// If the original job did not run, the claim is attempted again, because the original
	// claim is released a few table calls after its job has ended.
	reclaimAttempts = 4
	reclaimDelay    = 150 * time.Millisecond
)

// claim is a row in the table by which a job holds its request id.
type claim struct {
	key string
	row claimRow
	// version is the version of the row, or 0 if unknown.
	version uint64
}

// claimJob claims the request id of a non-idempotent job, so that a repeated request at any
// entry VM does not run it twice. It reports whether the job may proceed; if not, the job
// has ended.
func (s *Service) claimJob(j *job) bool {
	if j.req.Idempotent || j.req.RequestID == "" || j.claimedBySender {
		return true
	}
	c := claim{key: claimKey(j.req), row: claimRow{Job: j.req.Job, Fingerprint: j.fingerprint}}
	var res claimResult
	for attempt := 1; ; attempt++ {
		res = s.claims.claim(j.ctx, c.key, c.row)
		if res.held {
			c.version = res.version
			j.claim = &c
			return true
		}
		if !res.taken {
			break
		}
		if s.resolveRepeat(j, res.row, attempt < reclaimAttempts) {
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
	s.endJob(j, reasonOr(j.stopReason(), model.ReasonClaimUnavailable), detail)
	return false
}

// releaseUnusedClaim releases the claim of a job that certainly did not run, so that its
// caller can repeat the request with the same request id.
func (s *Service) releaseUnusedClaim(j *job) {
	if j.claim != nil && j.result().Outcome() == model.OutcomeNotRun {
		s.claims.release(*j.claim)
	}
}

// resolveRepeat ends a job whose request id another job has claimed; its callers get the
// result of that original job. It reports false and does not end the job if the original
// did not run, because its claim may be about to be released.
func (s *Service) resolveRepeat(j *job, row claimRow, mayReclaim bool) (ended bool) {
	if row.Fingerprint != j.fingerprint {
		s.endJob(j, model.ReasonDuplicateID, "job "+string(row.Job)+" has the same request id but a different queue, kind or body")
		return true
	}
	res := explainUnfinished(s.awaitOriginal(j.ctx, row.Job))
	if mayReclaim && res.Outcome() == model.OutcomeNotRun {
		return false
	}
	j.mu.Lock()
	j.originalResult = &res
	j.mu.Unlock()
	s.endJob(j, model.ReasonDuplicateID, "repeats job "+string(row.Job))
	return true
}

// explainUnfinished sets the reason in the result of a job that is still running at the
// deadline of the repeated request. The reason of its last step, such as "granted", would
// not explain an unknown outcome.
func explainUnfinished(r model.Result) model.Result {
	if r.Outcome() == model.OutcomeUnknown && r.State != model.StateUnknown {
		r.State, r.Reason = model.StateUnknown, model.ReasonDeadlineRunning
		r.Detail = "the job with this request id was still running at the deadline; ask for its state later"
	}
	return r
}

// awaitOriginal waits until ctx ends for the result of the job that holds a claim. The
// outcome is unknown if it cannot be determined.
func (s *Service) awaitOriginal(ctx context.Context, id model.JobID) model.Result {
	unknown := model.Result{Job: id, State: model.StateUnknown, Reason: model.ReasonDuplicateID,
		Detail: "this request id was used before; the original job's state is not known here"}
	entry, err := id.Entry()
	if err != nil {
		return unknown
	}
	if entry == s.cfg.Entry {
		return s.awaitLocalOriginal(ctx, id, unknown)
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

func (s *Service) awaitLocalOriginal(ctx context.Context, id model.JobID, unknown model.Result) model.Result {
	s.mu.Lock()
	j := s.registry.byID[id]
	s.mu.Unlock()
	if j == nil {
		return unknown
	}
	select {
	case <-j.done:
		return s.awaitTaskResult(ctx, j, s.callerResult(j))
	case <-ctx.Done():
		return j.result()
	}
}
