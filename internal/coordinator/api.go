package coordinator

import (
	"context"

	"boragepulley/internal/jobs"
)

// JobStored informs the term of a job whose row is stored.
func (t *Term) JobStored(id jobs.ID, row []byte) {
	t.post(func() {
		if t.loaded {
			t.addJobRow(string(id), row, false)
		}
	})
}

// State returns a job's state as callers may see it. ok is false for an unknown job.
func (t *Term) State(ctx context.Context, id jobs.ID) (s jobs.State, ok bool, err error) {
	states, _, err := t.States(ctx, []jobs.ID{id})
	if err != nil {
		return "", false, err
	}
	return states[0], states[0] != "", nil
}

// States returns the states of jobs as callers may see them, empty for unknown jobs. While another
// entry VM may coordinate, leads is false, and only final states are certain. Errors:
// ErrNotCoordinating if the term is over or has not loaded its state; that of ctx.
func (t *Term) States(ctx context.Context, ids []jobs.ID) (states []jobs.State, leads bool, err error) {
	type answer struct {
		loaded, leads bool
		states        []jobs.State
	}
	a, err := ask(ctx, t, func() answer {
		t.load.queries += len(ids)
		a := answer{loaded: t.loaded, leads: t.now < t.exclusiveUntil(), states: make([]jobs.State, len(ids))}
		for i, id := range ids {
			if j := t.registry.Get(id); j != nil {
				a.states[i] = j.VisibleState()
			}
		}
		return a
	})
	switch {
	case err != nil:
		return nil, false, err
	case !a.loaded:
		return nil, false, ErrNotCoordinating
	}
	return a.states, a.leads, nil
}

// Cancel cancels a job and returns once the cancellation is stored. ok is false for an unknown job.
// Errors: ErrNotCoordinating with ok false means that nothing was done; after any other one, or with
// ok true, the job may be cancelled.
func (t *Term) Cancel(ctx context.Context, id jobs.ID) (ok bool, err error) {
	stored := make(chan struct{})
	type answer struct{ loaded, known bool }
	a, err := ask(ctx, t, func() answer {
		j := t.registry.Get(id)
		if !t.loaded || j == nil {
			return answer{loaded: t.loaded}
		}
		t.cancel(j)
		if !j.Unsaved() {
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
