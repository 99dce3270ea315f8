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
	s, ok, _, err = t.CurrentState(ctx, id)
	return s, ok, err
}

// CurrentState is State, and reports whether the state is current: while another entry VM may
// coordinate, only a final state is.
func (t *Term) CurrentState(ctx context.Context, id jobs.ID) (s jobs.State, ok, current bool, err error) {
	loaded := false
	err = t.do(ctx, func() {
		loaded = t.loaded
		if j := t.registry.Get(id); j != nil {
			s, ok = j.VisibleState(), true
			current = s.Final() || t.now < t.exclusiveUntil()
		}
	})
	if err == nil && !loaded {
		err = ErrNotCoordinating
	}
	return s, ok, current, err
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
