package coordinator

import (
	"slices"
	"time"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
)

// longestLease is how long a run lasts at most on a minion that does not answer.
func (t *Term) longestLease() time.Duration {
	return holding.LongestLease(t.deps.Limits.MaxMinionLease)
}

// startUnanswered records that a start got no answer: it may be carried out, also by a later incarnation.
func (t *Term) startUnanswered(m *holding.Minion, task string, run, attempt int, err error) {
	m.InDoubt.Unanswered(task, run, t.now)
	t.log.Info().Err(err).Str("task", task).Int("run", run).Str("minion", string(m.ID)).Int("attempt", attempt).
		Int("restarts", m.Restarts).Msg("Coordinator: start not answered.")
	if m.FailedPolls > 0 {
		t.recordInDoubt(m)
	}
}

// startCarriedOut records that the current run of a task is known to have begun on a minion, and returns its start
// if that was pending. Unless other attempts to start it are on their way, none is in doubt any more.
func (t *Term) startCarriedOut(m *holding.Minion, task *jobs.Task) *pendingStart {
	start := t.pendingStarts[task]
	delete(t.pendingStarts, task)
	if start != nil && !start.inFlight {
		m.InDoubt.CarriedOut(task.Name(), task.Run, start.tries)
	}
	return start
}

// waitsForStart reports whether a task must stay assigned to a minion that does not answer and whose known leases
// are over, because a start of it may still be carried out there.
func (t *Term) waitsForStart(m *holding.Minion, task *jobs.Task) bool {
	if task.Phase == jobs.Done || task.Step.Job.State().Final() {
		return false // it is not started elsewhere
	}
	attempts := m.InDoubt.Of(task.Name())
	if attempts == nil {
		return false
	}
	d := m.InDoubt.Decide(task.Name(), t.longestLease())
	if t.now > d.NotBefore {
		t.startWaitEnded(m, task, "start_void")
		return false
	}
	if attempts.WaitingSince == 0 {
		attempts.WaitingSince = t.now
		counters.Add("start_waits", 1)
		t.log.Warn().Str("task", task.Name()).Int("run", task.Run).Str("minion", string(m.ID)).Stringer("phase", task.Phase).Int("starts_in_doubt", attempts.Count).
			Int("highest_run", attempts.Run).Dur("at_most", d.NotBefore-t.now).Str("reason", string(d.Reason)).Msg("Coordinator: task waits, as a start of it may be carried out late.")
	}
	return true
}

// startWaitEnded records the end of the wait of a task for a start, if it waits.
func (t *Term) startWaitEnded(m *holding.Minion, task *jobs.Task, outcome string) {
	attempts := m.InDoubt.Of(task.Name())
	if attempts == nil || attempts.WaitingSince == 0 {
		return
	}
	waited := t.now - attempts.WaitingSince
	attempts.WaitingSince = 0
	startWaits.add(waited)
	t.log.Info().Str("task", task.Name()).Int("run", task.Run).Str("minion", string(m.ID)).Dur("waited", waited).Str("outcome", outcome).
		Msg("Coordinator: task waits no more for a start.")
}

// startWaitsEnded ends the waits of the tasks of a minion that has answered a poll sent at the given time.
func (t *Term) startWaitsEnded(m *holding.Minion, sent time.Duration) {
	if m.InDoubt.Len() == 0 {
		return
	}
	for task := range m.Tasks {
		t.startWaitEnded(m, task, "minion_answers")
	}
	m.InDoubt.Reported(sent)
	if m.InDoubt.Len() == 0 && len(m.InDoubtRecorded) > 0 {
		t.recordAgain(m)
	}
}

// startExpired reports whether the leases in all attempts to start a task were over at the given time, so that the
// incarnation that they were sent to carries none of them out any more.
func (t *Term) startExpired(task *jobs.Task, at time.Duration) bool {
	start := t.pendingStarts[task]
	return start != nil && start.tries > 0 && !start.inFlight && start.leaseUntil != 0 && at > start.expiresAt
}

// mayStartLate reports whether the minion of a task, which answers, may carry out a start of the task that was
// sent to an earlier incarnation.
func (t *Term) mayStartLate(task *jobs.Task) bool {
	m := t.minions[task.Minion]
	if m == nil || !m.Unfenced {
		return false
	}
	stale, ok := m.StaleStarts[task.Name()]
	return ok && t.now <= stale.Until
}

// startsInDoubt reports whether starts that were sent to a minion may still be carried out, or their runs may be in
// progress.
func (t *Term) startsInDoubt(m *holding.Minion) bool {
	m.InDoubt.Forget(t.now, t.longestLease())
	return m.InDoubt.Len() > 0
}

// inheritInDoubt takes over the starts in doubt that an earlier coordinator has sent to a minion.
func (t *Term) inheritInDoubt(m *holding.Minion, tasks []string) {
	for _, task := range tasks {
		m.InDoubt.Assume(task, 0, t.predecessorSentUntil()+holding.OrdersVoidAfter)
	}
	m.InDoubtRecorded = tasks
}

// startOfJobInDoubt reports whether a start of any task of a job may still be carried out on a minion, or its run may
// be in progress there.
func (t *Term) startOfJobInDoubt(m *holding.Minion, j *jobs.Job) bool {
	for _, name := range m.InDoubt.Tasks() {
		if n, err := jobs.ParseTaskName(name); err == nil && n.Job == j.ID && t.now <= m.InDoubt.Decide(name, t.longestLease()).NotBefore {
			return true
		}
	}
	return false
}

// recordInDoubt lets the row of a minion that does not answer tell successors of the starts in doubt.
func (t *Term) recordInDoubt(m *holding.Minion) {
	if !slices.Equal(m.InDoubt.Tasks(), m.InDoubtRecorded) {
		t.recordAgain(m)
	}
}
