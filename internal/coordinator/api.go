package coordinator

import (
	"context"
	"time"

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

// finalStateWait bounds how long a caller waits for the write of a job's final state.
const finalStateWait = 300 * time.Millisecond

// State returns a job's state as callers may see it, and whether it is current: while another entry VM
// may coordinate, or the store may have a final state that this term does not know to be stored, only
// a final state is. ok is false for an unknown job.
func (t *Term) State(ctx context.Context, id jobs.ID) (s jobs.State, ok, current bool, err error) {
	var stored chan jobs.State
	loaded := false
	err = t.do(ctx, func() {
		loaded = t.loaded
		j := t.registry.Get(id)
		if j == nil {
			return
		}
		s, ok = j.VisibleState(), true
		if j.State().Final() && !s.Final() {
			stored = make(chan jobs.State, 1)
			t.writer.waiters[id] = append(t.writer.waiters[id], func() { stored <- j.VisibleState() })
			return
		}
		current = s.Final() || t.now < t.exclusiveUntil()
	})
	if err == nil && !loaded {
		err = ErrNotCoordinating
	}
	if err != nil || stored == nil {
		return s, ok, current, err
	}
	limit := time.NewTimer(finalStateWait)
	defer limit.Stop()
	select {
	case s = <-stored:
		return s, true, true, nil
	case <-limit.C:
	case <-ctx.Done():
	case <-t.ctx.Done():
		return jobs.StateRunning, true, false, ErrNotCoordinating
	}
	return jobs.StateRunning, true, false, nil
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
