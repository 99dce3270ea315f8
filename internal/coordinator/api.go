package coordinator

import (
	"context"

	"boragepulley/internal/jobs"
	"boragepulley/internal/platform"
)

// JobStored informs the term of a job whose row is stored.
func (t *Term) JobStored(id jobs.ID, row []byte) {
	t.post(func() {
		if t.loaded {
			t.addJobRow(string(id), platform.Row{Value: row}, false)
		}
	})
}

// JobState is a job's state as callers may see it.
type JobState struct {
	// State is empty for an unknown job.
	State jobs.State
	// Current is set unless another entry VM may know a later state: one that coordinates meanwhile, or
	// one that reads a final state from the store of which this term does not know that it is stored.
	Current bool
}

// State returns a job's state. Errors are those of States.
func (t *Term) State(ctx context.Context, id jobs.ID) (JobState, error) {
	states, err := t.States(ctx, []jobs.ID{id})
	if err != nil {
		return JobState{}, err
	}
	return states[0], nil
}

// States returns the states of jobs, in their order. Errors: ErrNotCoordinating if the term is over or
// has not loaded its state; that of ctx.
func (t *Term) States(ctx context.Context, ids []jobs.ID) ([]JobState, error) {
	states, err := ask(ctx, t, func() []JobState {
		t.load.queries += len(ids)
		if !t.loaded {
			return nil
		}
		out := make([]JobState, len(ids))
		for i, id := range ids {
			if j := t.knownJob(id); j != nil {
				out[i] = t.visibleState(j)
			} else {
				out[i].Current = t.now < t.exclusiveUntil()
			}
		}
		return out
	})
	if err == nil && states == nil {
		err = ErrNotCoordinating
	}
	return states, err
}

// knownJob returns an accepted job, or nil.
func (t *Term) knownJob(id jobs.ID) *jobs.Job {
	if j := t.registry.Get(id); j != nil && !j.Withdrawn {
		return j
	}
	return nil
}

func (t *Term) visibleState(j *jobs.Job) JobState {
	s := j.VisibleState()
	return JobState{s, s.Final() || t.now < t.exclusiveUntil() && !j.FinalStateSent}
}

// Cancel cancels a job and returns once the cancellation is stored. ok is false for an unknown job.
// Errors: ErrNotCoordinating with ok false means that nothing was done; after any other one, or with
// ok true, the job may be cancelled.
func (t *Term) Cancel(ctx context.Context, id jobs.ID) (ok bool, err error) {
	stored := make(chan struct{})
	type answer struct{ loaded, known bool }
	a, err := ask(ctx, t, func() answer {
		j := t.knownJob(id)
		if !t.loaded || j == nil {
			return answer{loaded: t.loaded}
		}
		t.cancel(j)
		if j.FinalStateStored() {
			close(stored)
		} else {
			t.writer.urgent = true
			t.writer.waiters[id] = append(t.writer.waiters[id], func() { close(stored) })
		}
		return answer{true, true}
	})
	switch {
	case err != nil:
		return false, err
	case !a.loaded:
		return false, ErrNotCoordinating
	case !a.known:
		return false, nil
	}
	select {
	case <-stored:
		return true, nil
	case <-ctx.Done():
		return true, ctx.Err()
	case <-t.ctx.Done():
		return true, ErrNotCoordinating
	}
}

// cancel cancels a job unless it is in a final state.
func (t *Term) cancel(j *jobs.Job) {
	if !t.registry.Cancel(j, t.now) {
		return
	}
	t.writer.urgent = true
	active := j.Active()
	t.log.Info().Str("job", string(j.ID)).Int("running", len(active)).Msg("Coordinator: job cancelled.")
	for _, task := range active {
		t.stopRun(task, reasonCancelled)
	}
	t.needsPlan = true
}
