package entry

import (
	"bytes"
	"context"
	"encoding/json"
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
	// askTimeout bounds a question to the coordinator; the store is asked after it.
	askTimeout = 700 * time.Millisecond
	// cancelTimeout bounds a cancelling at the coordinator, which waits for a store write.
	cancelTimeout = 1200 * time.Millisecond
	// pendingAge is how old the count of waiting jobs may be (the users' pages).
	pendingAge = 2 * time.Second
)

// Config returns the configuration in force, or nil.
func (n *Node) Config() *site.Config {
	if c := n.config.Load(); c != nil {
		return c.Config
	}
	return nil
}

// Ready reports whether the balancer should send connections here.
func (n *Node) Ready() bool { return n.config.Load() != nil && n.reached.Load() && !n.leaving.Load() }

// Submit stores a job. The row's absence is its condition, so that one id is one job
// however often and wherever it is handed in.
func (n *Node) Submit(ctx context.Context, a jobs.Accepted) site.Answer {
	value, err := json.Marshal(a)
	if err != nil {
		return site.Answer{Err: errors.Wrap(site.ErrOutcomeUnknown, err.Error())}
	}
	key := coordinator.JobKey(a.ID)
	_, err = platform.CommitAndVerify(ctx, n.d.Table, platform.PriorityClaim, platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: value}},
	}, key, func(r platform.Row) bool { return bytes.Equal(r.Value, value) })
	switch {
	case err == nil:
		n.offer(a.ID, value)
		counters.Add("accepted", 1)
		n.log.Info().Str("job", string(a.ID)).Str("queue", string(a.Queue)).Str("team", string(a.Team)).Msg("Entry: job accepted.")
		return site.Answer{}
	case errors.Is(err, platform.ErrConflict):
		counters.Add("accepted_before", 1)
		n.log.Info().Str("job", string(a.ID)).Msg("Entry: job was accepted before.")
		return site.Answer{}
	case errors.Is(err, platform.ErrUnknownOutcome):
		counters.Add("may_be_stored", 1)
		n.log.Warn().Err(err).Str("job", string(a.ID)).Msg("Entry: job may be stored.")
		return site.Answer{Err: errors.Wrap(site.ErrOutcomeUnknown, err.Error())}
	}
	counters.Add("store_away", 1)
	n.log.Info().Err(err).Str("job", string(a.ID)).Msg("Entry: job not accepted, store away.")
	return site.Answer{Err: errors.Wrap(site.ErrUnavailable, err.Error()), RetryAfter: n.comeBack()}
}

// offer tells the coordinator of a stored job. A lost offer costs little: the coordinator
// reads new rows as well.
func (n *Node) offer(id jobs.ID, row []byte) {
	if t := n.term.Load(); t != nil {
		t.JobStored(id, row)
		return
	}
	l := n.leader.Load()
	if l == nil {
		return
	}
	n.once("offering a job", func() {
		ctx, cancel := context.WithTimeout(n.ctx, askTimeout)
		defer cancel()
		if _, err := n.dial(l.name, l.addr).JobOffer(ctx, &peer.JobOffer{From: n.d.Self, Job: string(id), Row: row}); err != nil {
			n.log.Debug().Err(err).Str("job", string(id)).Msg("Entry: job not offered.")
		}
	})
}

// State returns a job's state: from the coordinator, or from the store while there is none.
func (n *Node) State(ctx context.Context, id jobs.ID) site.Answer {
	if a, ok := n.askState(ctx, id); ok {
		counters.Add("state_coordinator", 1)
		return a
	}
	counters.Add("state_store", 1)
	return n.storedState(ctx, id)
}

// askState asks the coordinator; ok is unset if it does not know the job or is not there.
func (n *Node) askState(ctx context.Context, id jobs.ID) (a site.Answer, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if t := n.term.Load(); t != nil {
		s, known, err := t.State(ctx, id)
		return site.Answer{State: s}, err == nil && known
	}
	l := n.leader.Load()
	if l == nil || n.silent(n.d.Now()) {
		return a, false
	}
	r, err := n.dial(l.name, l.addr).JobState(ctx, &peer.JobAsk{From: n.d.Self, Job: string(id)})
	if err != nil || !r.Coordinates || !r.Known {
		return a, false
	}
	return site.Answer{State: jobs.State(r.State)}, true
}

// storedState reads what the store knows of a job.
func (n *Node) storedState(ctx context.Context, id jobs.ID) site.Answer {
	notNow := func(err error) site.Answer {
		return site.Answer{Err: errors.Wrap(site.ErrUnavailable, err.Error()), RetryAfter: n.comeBack()}
	}
	// Progress goes only after the job's row has the final state, so it is read first.
	progress, err := n.d.Table.Get(ctx, platform.PriorityClaim, coordinator.ProgressKey(id))
	if err != nil {
		return notNow(err)
	}
	row, err := n.d.Table.Get(ctx, platform.PriorityClaim, coordinator.JobKey(id))
	if err != nil {
		return notNow(err)
	}
	if row.Version == 0 {
		return site.Answer{Err: errors.WithStack(site.ErrJobNotFound)}
	}
	var a jobs.Accepted
	if err := json.Unmarshal(row.Value, &a); err != nil {
		return notNow(err)
	}
	var p jobs.Progress
	if progress.Version != 0 {
		if err := json.Unmarshal(progress.Value, &p); err != nil {
			return notNow(err)
		}
	}
	switch {
	case a.Final.Final():
		return site.Answer{State: a.Final}
	case p.Final.Final():
		return site.Answer{State: p.Final}
	case progress.Version == 0:
		return site.Answer{State: jobs.StateQueued}
	}
	return site.Answer{State: jobs.StateRunning}
}

// Cancel cancels a job and returns once that is stored.
func (n *Node) Cancel(ctx context.Context, id jobs.ID) site.Answer {
	if n.askCancel(ctx, id) {
		counters.Add("cancel_coordinator", 1)
		return site.Answer{}
	}
	row, err := n.d.Table.Get(ctx, platform.PriorityClaim, coordinator.JobKey(id))
	if err != nil {
		return site.Answer{Err: errors.Wrap(site.ErrUnavailable, err.Error()), RetryAfter: n.comeBack()}
	}
	if row.Version == 0 {
		return site.Answer{Err: errors.WithStack(site.ErrJobNotFound)}
	}
	_, err = n.d.Table.Commit(ctx, platform.PriorityClaim, platform.Txn{Puts: []platform.Put{{Key: coordinator.CancelKey(id), Value: []byte("{}")}}})
	if err != nil {
		return site.Answer{Err: errors.Wrap(site.ErrOutcomeUnknown, err.Error())}
	}
	counters.Add("cancel_store", 1)
	n.log.Info().Str("job", string(id)).Msg("Entry: cancelling stored for the coordinator.")
	return site.Answer{}
}

// askCancel cancels a job at the coordinator and reports whether that is stored.
func (n *Node) askCancel(ctx context.Context, id jobs.ID) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if t := n.term.Load(); t != nil {
		ok, err := t.Cancel(ctx, id)
		return ok && err == nil
	}
	l := n.leader.Load()
	if l == nil || n.silent(n.d.Now()) {
		return false
	}
	r, err := n.dial(l.name, l.addr).JobStop(ctx, &peer.JobAsk{From: n.d.Self, Job: string(id)})
	return err == nil && r.Coordinates && r.Known
}

// Pending returns how many accepted jobs of a queue have not begun.
func (n *Node) Pending(_ context.Context, q model.Queue) (int, bool) {
	if t := n.term.Load(); t != nil {
		if v := t.View(); v != nil {
			return v.Pending[q], true
		}
		return 0, false
	}
	l := n.leader.Load()
	if l == nil || l.counted == 0 || n.d.Now()-l.counted > pendingAge {
		return 0, false
	}
	return l.pending[q], true
}
