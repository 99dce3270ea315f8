package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/coordinator"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
)

const (
	// coordinatorCallTimeout bounds a call of the coordinator, after which the store is used
	// instead.
	coordinatorCallTimeout = 700 * time.Millisecond
	// cancelTimeout bounds a cancellation by the coordinator, which includes a write to the store.
	cancelTimeout = 1200 * time.Millisecond
	// maxPendingAge is how old the count of waiting jobs may be, by the users' specification.
	maxPendingAge = 2 * time.Second
)

// Config returns the active configuration, or nil.
func (n *Node) Config() *site.Config {
	if c := n.config.Load(); c != nil {
		return c.Config
	}
	return nil
}

// Ready reports whether the load balancer should send connections to this entry VM. It does not block.
func (n *Node) Ready() bool {
	return n.configured() && !n.stopping.Load() && !n.readiness.out.Load()
}

// configured reports whether the operators' rows have been read and contain a configuration.
func (n *Node) configured() bool { return n.config.Load() != nil && n.synced.Load() }

// Submit stores a job, on condition that its row does not exist: an id stands for one job, no
// matter how often and at which entry VMs it is submitted. It rejects a job only if no attempt with
// its id is known that has or may have stored it.
func (n *Node) Submit(ctx context.Context, a jobs.Accepted) site.Answer {
	return n.SubmitEncoding(ctx, a, func() {})
}

// SubmitEncoding is Submit that calls encoded before it waits for the store, once the job's steps are not
// needed any more.
func (n *Node) SubmitEncoding(ctx context.Context, a jobs.Accepted, encoded func()) site.Answer {
	size := a.Spec.DueBytes()
	if most := n.deps.Limits.JobMemory / jobShare; most > 0 && size > most {
		return n.refuse(ctx, a.ID, "too_large", site.Answer{Err: errors.Wrapf(site.ErrNotStorable, "job: found about %d bytes in memory, expected at most %d", size, most), Reason: site.ReasonTooLarge})
	}
	value, err := jobs.EncodeAccepted(a, n.deps.Limits.MaxRowBytes())
	if err != nil {
		counters.Add("too_large", 1)
		return site.Answer{Err: errors.Wrap(site.ErrNotStorable, err.Error()), Reason: site.ReasonTooLarge}
	}
	a.Spec = jobs.Spec{}
	encoded()
	if !n.reserveBacklog(size) {
		return n.refuseForBacklog(ctx, a.ID)
	}
	stored := false
	defer func() { n.backlog.settle(size, stored) }()
	key := coordinator.JobKey(a.ID)
	table := uncertainTable{n.deps.Table, sync.OnceFunc(func() { n.recordUncertain(a.ID) })}
	n.attempts.begin(a.ID)
	end := sync.OnceFunc(func() { n.attempts.end(a.ID) })
	defer end()
	_, err = platform.CommitAndVerify(ctx, table, platform.PriorityClaim, platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: value}},
	}, key, func(r platform.Row) bool { return bytes.Equal(r.Value, value) })
	switch {
	case err == nil:
		stored = true
		n.attempts.record(a.ID, true, n.deps.Now())
		n.announceJob(a.ID, value)
		counters.Add("accepted", 1)
		return site.Answer{Reason: site.ReasonAccepted}
	case errors.Is(err, platform.ErrConflict):
		if conflictsWithWithdrawal(err) {
			return n.rejectWithdrawn()
		}
		return n.acceptedBefore(a.ID)
	case errors.Is(err, platform.ErrUnknownOutcome):
		stored = true // it may be
		return n.mayBeStored(err)
	}
	end()
	switch before, mayBe, _ := n.earlierAttempt(ctx, a.ID); {
	case before:
		return n.acceptedBefore(a.ID)
	case mayBe:
		return n.mayBeStored(errors.WithMessage(err, "earlier attempt with unknown outcome"))
	case errors.Is(err, platform.ErrRejected):
		counters.Add("refused_by_store", 1)
		return site.Answer{Err: errors.Wrap(site.ErrNotStorable, err.Error()), Reason: site.ReasonRefusedByStore}
	}
	counters.Add("store_away", 1)
	return n.unavailable(err)
}

// refuseForBacklog rejects a job because of the backlog, unless an earlier attempt has or may have stored it.
func (n *Node) refuseForBacklog(ctx context.Context, id jobs.ID) site.Answer {
	return n.refuse(ctx, id, "refused_backlog", site.Answer{Err: errors.Wrap(site.ErrOverloaded, "the jobs that have not ended leave too little memory"), RetryAfter: maxRetryAfter, Reason: site.ReasonFull})
}

// Refuse rejects a job whose body this entry VM has no memory for, unless an earlier attempt has or may
// have stored it.
func (n *Node) Refuse(ctx context.Context, id jobs.ID) site.Answer {
	return n.refuse(ctx, id, "refused_no_room", site.Answer{Err: errors.Wrap(site.ErrOverloaded, "no memory for the body"), RetryAfter: time.Second, Reason: site.ReasonNoRoom})
}

// refuse returns the refusal and counts it, unless an earlier attempt has or may have stored the job. That
// cannot be told if the coordinator does not answer: another entry VM may have stored it.
func (n *Node) refuse(ctx context.Context, id jobs.ID, counter string, refusal site.Answer) site.Answer {
	switch stored, mayBe, answered := n.earlierAttempt(ctx, id); {
	case stored:
		return n.acceptedBefore(id)
	case mayBe:
		return n.mayBeStored(errors.New("earlier attempt with unknown outcome"))
	case !answered:
		return n.mayBeStored(errors.New("no answer of the coordinator about earlier attempts"))
	}
	counters.Add(counter, 1)
	return refusal
}

// unavailable is the answer to a request that needs the store, which does not answer.
func (n *Node) unavailable(err error) site.Answer {
	a := site.Answer{Err: errors.Wrap(site.ErrUnavailable, err.Error()), RetryAfter: n.retryAfter(), Reason: site.ReasonStoreUnavailable}
	if since := n.outageSince.Load(); since != 0 {
		a.Age = n.deps.Now() - time.Duration(since)
	}
	return a
}

func (n *Node) acceptedBefore(id jobs.ID) site.Answer {
	n.attempts.record(id, true, n.deps.Now())
	counters.Add("accepted_before", 1)
	return site.Answer{Reason: site.ReasonAcceptedBefore}
}

func (n *Node) mayBeStored(err error) site.Answer {
	counters.Add("may_be_stored", 1)
	return site.Answer{Err: errors.Wrap(site.ErrOutcomeUnknown, err.Error()), Reason: site.ReasonMayBeStored}
}

// announceJob informs the coordinator of a stored job. A lost announcement only causes a delay,
// because the coordinator reads new rows as well.
func (n *Node) announceJob(id jobs.ID, row []byte) {
	if t := n.term.Load(); t != nil {
		t.JobStored(id, row)
		return
	}
	view := n.coordinator.Load()
	if view == nil {
		return
	}
	n.runOnce("announcing a job", func() {
		ctx, cancel := context.WithTimeout(n.ctx, coordinatorCallTimeout)
		defer cancel()
		if _, err := n.dial(view.name, view.addr).JobOffer(ctx, &peer.JobOffer{From: n.deps.Self, Job: string(id), Row: row}); err != nil {
			n.log.Debug().Err(err).Str("job", string(id)).Msg("Entry: job could not be announced to the coordinator.")
		}
	})
}

// State returns a job's state, from the coordinator or, if it does not know the job, does not answer or
// may not know the latest state, from the store. A state that may be outdated is not returned: callers
// may have been told of a later one.
func (n *Node) State(ctx context.Context, id jobs.ID) site.Answer {
	fromCoordinator, known, current := n.stateFromCoordinator(ctx, id)
	if known && current {
		counters.Add("state_coordinator", 1)
		return fromCoordinator
	}
	counters.Add("state_store", 1)
	a := n.stateFromStore(ctx, id)
	if !known || !errors.Is(a.Err, site.ErrUnavailable) {
		return a
	}
	// The coordinator may have learned the outcome of its write meanwhile.
	if fromCoordinator, known, current = n.stateFromCoordinator(ctx, id); known && current {
		counters.Add("state_coordinator", 1)
		return fromCoordinator
	}
	counters.Add("state_in_doubt", 1)
	return a
}

// stateFromCoordinator asks the coordinator for a job's state. known is false if the coordinator does
// not know the job or does not answer, current is false if another entry VM may know a later state. Of a
// job that is not known, current tells that a coordinator has answered.
func (n *Node) stateFromCoordinator(ctx context.Context, id jobs.ID) (a site.Answer, known, current bool) {
	ctx, cancel := context.WithTimeout(ctx, coordinatorCallTimeout)
	defer cancel()
	if t := n.term.Load(); t != nil {
		s, err := t.State(ctx, id)
		if err != nil || s.State == "" {
			return a, false, err == nil && s.Current
		}
		return site.Answer{State: s.State, Reason: site.ReasonCoordinator}, true, s.Current
	}
	view := n.coordinator.Load()
	if view == nil || n.coordinatorSilent(n.deps.Now()) {
		return a, false, false
	}
	r := n.askCoordinator(ctx, id)
	if r == nil || !r.Known {
		return a, false, r != nil && r.Coordinates
	}
	s := jobs.State(r.State)
	return site.Answer{State: s, Reason: site.ReasonCoordinator}, true, r.Coordinates || s.Final()
}

// stateFromStore derives a job's state from its rows in the store.
func (n *Node) stateFromStore(ctx context.Context, id jobs.ID) site.Answer {
	// The progress is removed only after the job's row holds the final state. It is read first, so
	// that a final state cannot be missed in both.
	progress, err := n.deps.Table.Get(ctx, platform.PriorityClaim, coordinator.ProgressKey(id))
	if err != nil {
		return n.unavailable(err)
	}
	var p jobs.Progress
	if progress.Version != 0 {
		if err := json.Unmarshal(progress.Value, &p); err != nil {
			return n.unavailable(err)
		}
	}
	row, err := n.deps.Table.Get(ctx, platform.PriorityClaim, coordinator.JobKey(id))
	switch {
	case err != nil && p.Final.Final():
		return site.Answer{State: p.Final, Reason: site.ReasonStore}
	case err != nil:
		return n.unavailable(err)
	case row.Version == 0:
		return site.Answer{Err: errors.WithStack(site.ErrJobNotFound), Reason: site.ReasonStore}
	}
	a, err := jobs.DecodeAccepted(row.Value)
	if err != nil {
		return n.unavailable(err)
	}
	switch {
	case a.Withdrawn:
		return site.Answer{Err: errors.WithStack(site.ErrJobNotFound), Reason: site.ReasonWithdrawn}
	case a.Final.Final():
		return site.Answer{State: a.Final, Reason: site.ReasonStore}
	case p.Final.Final():
		return site.Answer{State: p.Final, Reason: site.ReasonStore}
	case progress.Version == 0:
		return site.Answer{State: jobs.StateQueued, Reason: site.ReasonStore}
	}
	return site.Answer{State: jobs.StateRunning, Reason: site.ReasonStore}
}

// Cancel cancels a job and returns once the cancellation is stored. A job that is not stored is withdrawn, so
// that no attempt to store it takes effect later; the answer is then ErrJobNotFound.
func (n *Node) Cancel(ctx context.Context, id jobs.ID) site.Answer {
	done, mayBeDone := n.cancelAtCoordinator(ctx, id)
	if done {
		counters.Add("cancel_coordinator", 1)
		return site.Answer{Reason: site.ReasonCoordinator}
	}
	row, err := n.deps.Table.Get(ctx, platform.PriorityClaim, coordinator.JobKey(id))
	switch {
	case err != nil && mayBeDone:
		return site.Answer{Err: errors.Wrap(site.ErrOutcomeUnknown, err.Error()), Reason: site.ReasonCoordinator}
	case err != nil:
		return n.unavailable(err)
	}
	switch {
	case row.Version == 0:
		n.logUnknownJob(id, mayBeDone)
		return n.withdraw(ctx, id)
	case jobs.IsWithdrawal(row.Value):
		return site.Answer{Err: errors.WithStack(site.ErrJobNotFound), Reason: site.ReasonWithdrawn}
	}
	return n.requestCancel(ctx, id)
}

// requestCancel stores a request to cancel a stored job, which the coordinator carries out.
func (n *Node) requestCancel(ctx context.Context, id jobs.ID) site.Answer {
	_, err := n.deps.Table.Commit(ctx, platform.PriorityClaim, platform.Txn{Puts: []platform.Put{{Key: coordinator.CancelKey(id), Value: []byte("{}")}}})
	if err != nil {
		return site.Answer{Err: errors.Wrap(site.ErrOutcomeUnknown, err.Error()), Reason: site.ReasonStore}
	}
	counters.Add("cancel_store", 1)
	return site.Answer{Reason: site.ReasonStore}
}

// cancelAtCoordinator asks the coordinator to cancel a job. done is set if the cancellation is stored,
// mayBeDone if the coordinator did not answer, or had not stored it in time.
func (n *Node) cancelAtCoordinator(ctx context.Context, id jobs.ID) (done, mayBeDone bool) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if t := n.term.Load(); t != nil {
		ok, err := t.Cancel(ctx, id)
		return ok && err == nil, mayBeCancelled(ok, err)
	}
	view := n.coordinator.Load()
	if view == nil || n.coordinatorSilent(n.deps.Now()) {
		return false, false
	}
	r, err := n.dial(view.name, view.addr).JobStop(ctx, &peer.JobRequest{From: n.deps.Self, Job: string(id)})
	if err != nil {
		return false, errors.Is(err, peer.ErrNoAnswer) || errors.Is(err, peer.ErrRemote)
	}
	return r.Coordinates && r.Known, false
}

// mayBeCancelled reports whether a job may be cancelled although Term.Cancel returned an error.
func mayBeCancelled(ok bool, err error) bool {
	return err != nil && (ok || !errors.Is(err, coordinator.ErrNotCoordinating))
}

// Pending returns how many accepted jobs of a queue have not started, and false if no recent count
// is known.
func (n *Node) Pending(_ context.Context, q model.Queue) (int, bool) {
	if t := n.term.Load(); t != nil {
		if counts := t.View(); counts != nil {
			return counts.Pending[q], true
		}
		return 0, false
	}
	view := n.coordinator.Load()
	if view == nil || view.countedAt == 0 || n.deps.Now()-view.countedAt > maxPendingAge {
		return 0, false
	}
	return view.pending[q], true
}
