package entry

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"boragepulley/internal/coordinator"
	"boragepulley/internal/jobs"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
)

// A caller may cancel a job whose acceptance it was never told of. The write that stores the job may then still
// be on its way: a call that got no answer may be performed seconds later, if its condition holds. No knowledge of
// an entry VM rules that out, because the one that sent the write may have ended and its notice may be lost. So
// the withdrawal is a write under the same condition, that the job's row does not exist, and the store performs
// only one of the two. The coordinator removes it like the row of a job that has ended.

// withdraw stores the withdrawal of a job that is not stored. If the job is stored meanwhile, it is cancelled.
func (n *Node) withdraw(ctx context.Context, id jobs.ID) site.Answer {
	value, err := json.Marshal(jobs.Withdrawal())
	if err != nil {
		return n.unavailable(err)
	}
	key := coordinator.JobKey(id)
	_, err = platform.CommitAndVerify(ctx, n.deps.Table, platform.PriorityClaim, platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: value}},
	}, key, func(r platform.Row) bool { return jobs.IsWithdrawal(r.Value) })
	switch {
	case err == nil, conflictsWithWithdrawal(err):
		counters.Add("withdrawn", 1)
		return site.Answer{Err: errors.WithStack(site.ErrJobNotFound), Reason: site.ReasonWithdrawn}
	case errors.Is(err, platform.ErrConflict):
		return n.requestCancel(ctx, id)
	case errors.Is(err, platform.ErrUnknownOutcome):
		return site.Answer{Err: errors.Wrap(site.ErrOutcomeUnknown, err.Error()), Reason: site.ReasonStore}
	}
	return n.unavailable(err)
}

// conflictsWithWithdrawal reports whether a write of a job's row failed because the job was withdrawn.
func conflictsWithWithdrawal(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict) && len(conflict.Rows) == 1 && jobs.IsWithdrawal(conflict.Rows[0].Value)
}

// rejectWithdrawn is the answer to the submission of a job that was withdrawn. Its id can be used again once
// the withdrawal has been removed.
func (n *Node) rejectWithdrawn() site.Answer {
	counters.Add("refused_withdrawn", 1)
	return site.Answer{Err: errors.WithStack(site.ErrWithdrawn), RetryAfter: n.deps.Limits.WithdrawalTime(), Reason: site.ReasonWithdrawn}
}

// logUnknownJob logs the cancellation of a job that neither the coordinator nor the store has.
func (n *Node) logUnknownJob(id jobs.ID, coordinatorSilent bool) {
	suppressed, ok := n.attempts.lines.Allow()
	if !ok {
		return
	}
	stored, known := n.attempts.lookup(id)
	n.log.Info().Str("job", string(id)).Bool("coordinator_silent", coordinatorSilent).Bool("attempt_known", known).Bool("attempt_stored", stored).
		Int64("suppressed", suppressed).Msg("Entry: cancellation of a job that is not stored.")
}
