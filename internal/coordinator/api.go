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
	states, err := t.States(ctx, []jobs.ID{id})
	if err != nil {
		return "", false, err
	}
	return states[0], states[0] != "", nil
}

// States returns the states of jobs as callers may see them, empty for unknown jobs.
func (t *Term) States(ctx context.Context, ids []jobs.ID) ([]jobs.State, error) {
	out := make([]jobs.State, len(ids))
	loaded := false
	err := t.do(ctx, func() {
		loaded = t.loaded
		t.load.queries += len(ids)
		for i, id := range ids {
			if j := t.registry.Get(id); j != nil {
				out[i] = j.VisibleState()
			}
		}
	})
	switch {
	case err != nil:
		return nil, err // out may still be written to
	case !loaded:
		return nil, ErrNotCoordinating
	}
	return out, nil
}

// Cancel cancels a job and returns once the cancellation is stored. ok is false for an unknown job.
func (t *Term) Cancel(ctx context.Context, id jobs.ID) (ok bool, err error) {
	done := make(chan struct{})
	loaded := false
	err = t.do(ctx, func() {
		if loaded = t.loaded; !loaded {
			return
		}
		j := t.registry.Get(id)
		if j == nil {
			return
		}
		ok = true
		t.cancel(j)
		if !j.Unsaved() {
			close(done)
			return
		}
		t.writer.urgent = true
		t.writer.waiters[id] = append(t.writer.waiters[id], func() { close(done) })
	})
	switch {
	case err != nil:
		return ok, err
	case !loaded:
		return false, ErrNotCoordinating
	case !ok:
		return false, nil
	}
	select {
	case <-done:
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
