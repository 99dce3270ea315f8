package coordinator

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
)

// reconcile compares the runs that a minion reports with the job registry. sent is when the poll
// was sent: the report need not contain orders that were answered later.
func (t *Term) reconcile(m *holding.Minion, sent time.Duration, r site.PollReport) {
	seen := make(map[*jobs.Task]bool, len(r.Running))
	m.Orphaned = jobs.Resources{}
	t.load.polls++
	t.load.ends += len(r.Ended)
	t.load.running += len(r.Running)
	for _, x := range r.Ended {
		t.isolatedTask(x.Task, "handling the end of a run", func() { t.runEnded(m, x, seen) })
	}
	for _, x := range r.Running {
		t.isolatedTask(x.Task, "handling a reported run", func() { t.runReported(m, x, seen) })
	}
	for x := range m.Tasks {
		switch {
		case seen[x]:
		case x.Phase == jobs.Done:
			// Another member of its gang has ended, or an earlier run. A start that is to be ruled out uses its
			// capacity.
			if _, stale := m.StaleStarts[x.Name()]; !stale && x.PhaseSince < sent {
				m.Unassign(x, t.now)
			}
		default:
			t.runUnlisted(x, sent, r.MoreEnds)
		}
	}
}

func (t *Term) taskByName(name string) *jobs.Task {
	n, err := jobs.ParseTaskName(name)
	if err != nil {
		t.log.Warn().Err(err).Msg("Coordinator: minion reports an invalid task name.")
		return nil
	}
	return t.registry.Task(n)
}

// runEnded handles an ended run that a minion reports. It lists each end until that is acknowledged.
func (t *Term) runEnded(m *holding.Minion, end site.EndReport, seen map[*jobs.Task]bool) {
	if !m.IsNewEnd(end.Seq) {
		return // no task is assigned to the minion for a run that was reported to have ended
	}
	task := t.reportedTask(end.Task, end.Run)
	if task != nil && task.Minion == m.ID && task.Run <= end.Run {
		seen[task] = true
	}
	t.load.newEnds++
	if task == nil {
		m.AckOnceSaved(end.Seq, nil, 0)
		return
	}
	countEnd(end.Outcome)
	if end.Run == task.Run && m.ID == task.Minion {
		t.startCarriedOut(m, task)
		delete(t.pendingStops, task)
	}
	j := task.Step.Job
	was := j.State()
	current := currentRun{task.Run, task.Minion, task.Phase}
	if end.Outcome == jobs.EndDone && end.Run == task.Run {
		t.recordRunTime(task)
		t.learnFromEnd(m, task, end)
	}
	t.registry.Finish(task, end.Run, m.ID, end.Outcome, end.Checkpoint, t.queueOf(j).MaxAttempts, t.now)
	// An end that changes nothing may be redundant only because of another end that is not stored
	// yet, so it is not acknowledged before that one is.
	m.AckOnceSaved(end.Seq, j, j.LastChange())
	if !task.Active() {
		m.Unassign(task, t.now)
	}
	if end.Outcome != jobs.EndDone && end.Outcome != jobs.EndStopped {
		t.log.Info().Str("task", end.Task).Int("run", end.Run).Str("minion", string(m.ID)).Str("how", string(end.Outcome)).Object("current", current).Msg("Coordinator: run ended.")
	}
	if now := j.State(); now != was && now.Final() {
		t.jobEnded(j)
	}
	t.needsPlan = true
}

// currentRun is the run that the registry assigns to a task, for logs.
type currentRun struct {
	number int
	minion jobs.Minion
	phase  jobs.Phase
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (r currentRun) MarshalZerologObject(e *zerolog.Event) {
	e.Int("run", r.number).Str("minion", string(r.minion)).Stringer("phase", r.phase)
}

// jobEnded stops the remaining runs of a job that has reached a final state.
func (t *Term) jobEnded(j *jobs.Job) {
	t.writer.urgent = true
	t.log.Info().Str("job", string(j.ID)).Str("queue", string(j.Queue)).Str("state", string(j.State())).Dur("after", t.now-j.LearnedAt).Msg("Coordinator: job ended.")
	for _, task := range j.Active() {
		t.stopRun(task, reasonFailed)
	}
}

// runReported handles a run in progress that a minion reports.
func (t *Term) runReported(m *holding.Minion, run site.RunReport, seen map[*jobs.Task]bool) {
	task := t.reportedTask(run.Task, run.Run)
	if task == nil {
		t.stopOrphan(m, run.Task, run.Run, "")
		return
	}
	switch {
	case task.Active() && task.Minion == m.ID && task.Run == run.Run:
		seen[task] = true
		if stop := t.pendingStops[task]; stop != nil {
			stop.begunOrNever = min(stop.begunOrNever, t.now)
		}
		task.Percent = run.Percent
		t.runBegan(m, task, t.startCarriedOut(m, task))
		t.learnFromTail(m, task, run)
		task.Checkpointed(run.Run, run.Checkpoint)
		t.registry.Started(task, t.now)
	case task.Phase == jobs.Waiting && !task.Step.Job.State().Final():
		t.registry.Adopt(task, run.Run, m.ID, run.Checkpoint, t.now)
		task.Percent = run.Percent
		m.Assign(task)
		seen[task] = true
	case task.Step.Job.State().Final() && !task.Active():
		t.registry.Adopt(task, run.Run, m.ID, run.Checkpoint, t.now)
		m.Assign(task)
		seen[task] = true
		t.stopRun(task, reasonCancelled)
	default:
		// It uses capacity until it has stopped.
		m.Orphaned = m.Orphaned.Add(task.Step.Spec.Reserved())
		t.stopOrphan(m, run.Task, run.Run, task.Minion)
	}
}

// stopOrphan stops a run that the job registry does not assign to the minion.
func (t *Term) stopOrphan(m *holding.Minion, name string, run int, elsewhere jobs.Minion) {
	t.log.Warn().Str("task", name).Int("run", run).Str("minion", string(m.ID)).Str("elsewhere", string(elsewhere)).Msg("Coordinator: stopping orphaned run.")
	if !t.leading() {
		return
	}
	to := addressOf(m)
	t.sendToMinion(m, func(ctx context.Context) error { return t.orders.Stop(ctx, to, site.StopOrder{Task: name, Run: run}) },
		func(err error) {
			if err != nil {
				t.log.Info().Err(err).Str("task", name).Msg("Coordinator: orphaned run not stopped yet.")
			}
		})
}

// runUnlisted handles a task that its minion reports neither as running nor as ended. If the minion
// has more ends than it lists, the run may have ended as done, which a long-running one never does.
func (t *Term) runUnlisted(task *jobs.Task, sent time.Duration, moreEnds bool) {
	switch {
	case moreEnds && !task.Step.Spec.LongRunning:
	case task.Phase == jobs.Running && t.mayStartLate(task):
		// The minion has restarted and may carry out a start of the task until it knows a higher token.
	case task.Phase == jobs.Running && task.PhaseSince < sent:
		t.log.Warn().Str("task", task.Name()).Int("run", task.Run).Str("minion", string(task.Minion)).Msg("Coordinator: run is gone.")
		t.requeue(task)
	case task.Phase == jobs.Ordered && t.startExpired(task, sent):
		t.requeueBecause(task, "start_expired_not_listed")
	case task.Phase == jobs.Stopping:
		if s := t.pendingStops[task]; s != nil && s.begunOrNever < sent {
			t.requeueBecause(task, "stopped_run_not_listed")
		}
	}
}

// requeueBecause requeues a task and logs the reason, for reasons that no other line tells.
func (t *Term) requeueBecause(task *jobs.Task, reason string) {
	t.log.Info().Str("task", task.Name()).Int("run", task.Run).Str("minion", string(task.Minion)).Str("reason", reason).Msg("Coordinator: task requeued.")
	t.requeue(task)
}

// requeue returns a task whose run has certainly ended to the waiting tasks.
func (t *Term) requeue(task *jobs.Task) {
	if m := t.minions[task.Minion]; m != nil {
		m.Unassign(task, t.now)
	}
	t.registry.Requeue(task, t.now)
	t.needsPlan = true
}
