package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

const (
	// runLeaseTTL is how long a minion continues its runs without a poll by the coordinator. It
	// exceeds the duration of a takeover (lease.TTL plus about 1 s with a slow store) and the time
	// since the last poll. A larger value would only delay the restart elsewhere of tasks that ran
	// on a failed rack. Minions grant leases of 6 s and more.
	runLeaseTTL = 4000 * time.Millisecond
	// pollWait is how long a minion with tasks may delay its answer to a poll until a run ends;
	// longRunningPollWait applies if all its tasks are long-running. When one answer in twenty is
	// lost, as in the users' test scenarios, a busy minion loses about one per second, and ends of
	// runs are then seen later by this wait plus the timeout.
	pollWait            = 300 * time.Millisecond
	longRunningPollWait = 700 * time.Millisecond
	// pollTimeout is added to the wait. An answer takes 2 to 10 ms, on a busy entry VM 100 ms.
	pollTimeout = 300 * time.Millisecond
	// minPollGap is the least time between two polls of a minion, so that runs that end together
	// are reported by one poll. With many minions the gap is longer, see pollGapFor.
	minPollGap = 25 * time.Millisecond
	// pollsPerCore limits the polls per second for each core of this entry VM. With 40 minions and
	// 0.4 cores the gap stays at minPollGap; with 240 minions and 0.8 cores it is 75 ms. A gap of
	// 25 ms there led to 2,500 polls per second, and writes took up to 0.5 s.
	pollsPerCore = 4000
	// idlePollInterval is how often a minion without tasks is polled, to know its clock within 40
	// ms and to detect a restart.
	idlePollInterval = 2 * time.Second
	// silentPollInterval is the pause between polls of a minion that does not answer.
	silentPollInterval = 200 * time.Millisecond
	// suspectDuration is how long a minion that refused or lost an order is chosen last.
	suspectDuration = time.Second
)

// applyMinionEntry applies an entry of the platform's list of minions. An unreadable entry is
// ignored; a nil value means that the entry was removed.
func (t *Term) applyMinionEntry(id string, value []byte) {
	if value == nil {
		delete(t.machines.endedMinions, jobs.Minion(id))
		if m := t.minions[jobs.Minion(id)]; m != nil && m.Listed {
			m.Listed = false
			t.log.Info().Str("minion", id).Int("tasks", len(m.Tasks)).Msg("Coordinator: minion removed from the list.")
		}
		return
	}
	e, err := t.deps.Codec.Minion(id, value)
	if err != nil {
		t.log.Warn().Err(err).Str("minion", id).Msg("Coordinator: ignoring unreadable minion entry.")
		return
	}
	m := t.minions[e.ID]
	switch {
	case m == nil && t.machines.endedMinions[e.ID]:
		return
	case m == nil:
		m = holding.New(e, 0)
		m.EmptySince = t.now
		t.minions[e.ID] = m
	case m.Incarnation != 0 && e.Incarnation != 0 && e.Incarnation < m.Incarnation:
		return // entry of an earlier incarnation
	default:
		if e.Leaving && !m.Leaving {
			t.log.Info().Str("minion", id).Int("tasks", len(m.Tasks)).Dur("remaining", e.Remaining).Msg("Coordinator: minion is leaving.")
		}
		if m.Incarnation != 0 && e.Incarnation > m.Incarnation {
			t.minionRestarted(m, e.Incarnation)
		}
		incarnation := m.Incarnation
		m.MinionEntry = e
		m.Incarnation = max(incarnation, e.Incarnation)
	}
	m.Listed = true
	t.needsPlan = true
}

// usable reports whether new work may be assigned to a minion.
func (t *Term) usable(m *holding.Minion) bool {
	return m.Listed && !m.Leaving && !m.Cordoned && m.Recorded && m.Polled && m.FailedPolls == 0 && m.ClockKnown()
}

// checkMinions polls each minion that is due, and requeues the tasks of minions whose leases have
// certainly expired.
func (t *Term) checkMinions() {
	busy := 0
	defer func() { t.pollGap = pollGapFor(busy, t.deps.Cores) }()
	for id, m := range t.minions {
		if len(m.Tasks) > 0 {
			busy++
		}
		if m.FailedPolls > 0 && t.now > m.RunsExpireAt {
			t.leasesExpired(m)
		}
		if !m.Listed && len(m.Tasks) == 0 && t.now > m.RunsExpireAt && m.FailedPolls > 0 {
			if m.Recorded {
				t.writer.goneMinions[id] = true
			}
			delete(t.writer.newMinions, m)
			delete(t.minions, id)
			continue
		}
		if m.Listed && !m.Recorded {
			t.writer.newMinions[m] = true
		}
		if m.Leaving && m.FailedPolls == 0 && t.leading() {
			t.evacuate(m, reasonLeaving)
		}
		if !m.Polling && t.now >= m.NextPoll && t.leading() {
			t.poll(m)
		}
	}
}

// poll sends one poll, which renews the leases of the minion's runs.
func (t *Term) poll(m *holding.Minion) {
	var o site.PollRequest
	if m.FailedPolls == 0 {
		// A minion that did not answer may have restarted. Its ends are then numbered from the
		// beginning again, and an old number would acknowledge ends that nobody has seen.
		o.Ack = m.NextAck()
	}
	// The leases of a minion that does not answer are not renewed: otherwise its tasks could never
	// be started elsewhere.
	if len(m.Tasks) > 0 && m.ClockKnown() && m.FailedPolls == 0 {
		o.LeaseUntil = m.GrantLease(t.now, t.runLease)
	}
	if len(m.Tasks) > 0 && m.FailedPolls == 0 && m.Polled {
		// The answer must arrive before the site's lease ends, which also ends the call.
		o.Wait = max(0, min(pollWaitFor(m), t.exclusiveUntil()-t.now-pollTimeout))
	}
	m.Polling = true
	to, sent := addressOf(m), t.now
	t.async(o.Wait+pollTimeout, func(ctx context.Context) func() {
		r, err := t.orders.Poll(ctx, to, o)
		at := t.deps.Now()
		return func() { t.pollAnswered(m, sent, at, o.Ack, r, err) }
	})
}

// pollGapFor returns the pause between two polls of a minion. It grows with the number of minions
// that have tasks and shrinks with the available cores: 25 ms for 40 minions and 0.4 cores, 75 ms
// for 240 minions and 0.8 cores. Without it, the polls during a burst delayed starts and writes.
func pollGapFor(busy int, cores float64) time.Duration {
	return max(minPollGap, time.Duration(float64(busy)/(pollsPerCore*max(cores, minCores))*float64(time.Second)))
}

// minCores is the lower bound for the configured cores of an entry VM.
const minCores = 0.05

// pollWaitFor returns how long a minion may delay its answer to a poll.
func pollWaitFor(m *holding.Minion) time.Duration {
	for task := range m.Tasks {
		if !task.Step.Spec.LongRunning {
			return pollWait
		}
	}
	return longRunningPollWait
}

// renewAllLeases renews the leases of all runs at once, before the coordinator role is handed over.
// The returned group is done when all minions have answered or not answered in time.
func (t *Term) renewAllLeases() *sync.WaitGroup {
	var pending sync.WaitGroup
	if !t.leading() {
		return &pending
	}
	for _, m := range t.minions {
		if len(m.Tasks) == 0 || m.FailedPolls > 0 || !m.ClockKnown() {
			continue
		}
		to, o := addressOf(m), site.PollRequest{LeaseUntil: m.GrantLease(t.now, t.runLease), Ack: m.NextAck()}
		pending.Add(1)
		t.async(finalRenewalTimeout, func(ctx context.Context) func() {
			defer pending.Done()
			if _, err := t.orders.Poll(ctx, to, o); err != nil {
				t.log.Info().Err(err).Str("minion", string(to.ID)).Msg("Coordinator: run leases of a minion not renewed before the handover.")
			}
			return nil
		})
	}
	return &pending
}

// pollAnswered handles the answer to a poll, given the times at which it was sent and answered and
// the acknowledged number that it carried.
func (t *Term) pollAnswered(m *holding.Minion, sent, at time.Duration, acked int64, r site.PollReport, err error) {
	m.Polling = false
	if t.minions[m.ID] != m {
		return
	}
	if err != nil {
		t.pollFailed(m, err)
		return
	}
	answersAgain := m.FailedPolls > 0
	if answersAgain {
		t.log.Info().Str("minion", string(m.ID)).Dur("silent", t.now-m.LastReply).Msg("Coordinator: minion answers again.")
	}
	if m.Incarnation != 0 && r.Incarnation != 0 && r.Incarnation != m.Incarnation {
		if r.Incarnation < m.Incarnation {
			m.NextPoll = t.now + silentPollInterval
			return
		}
		t.minionRestarted(m, r.Incarnation)
	} else {
		m.AckDelivered(acked)
	}
	if r.Incarnation != 0 {
		m.Incarnation = r.Incarnation
	}
	m.FailedPolls, m.LastReply = 0, t.now
	m.ObserveClock(r.Clock, at)
	t.reconcile(m, sent, r)
	t.rejectStaleStarts(m)
	m.Polled = true
	t.needsPlan = true
	m.NextPoll = t.now + t.pollGap
	if len(m.Tasks) > 0 && answersAgain {
		m.NextPoll = t.now // renew the leases at once
	}
	if len(m.Tasks) == 0 && !m.AckPending() {
		m.NextPoll = t.now + idlePollInterval
	}
}

// pollFailed handles a poll that was refused or not answered.
func (t *Term) pollFailed(m *holding.Minion, err error) {
	switch {
	case errors.Is(err, site.ErrLeaseEnded):
		m.NextPoll = t.now + silentPollInterval // nothing was sent; it says nothing about the minion
		return
	case errors.Is(err, site.ErrOtherIncarnation):
		// The address belongs to another minion. This one has ended, and so have its runs.
		t.log.Info().Str("minion", string(m.ID)).Int("tasks", len(m.Tasks)).Msg("Coordinator: another minion uses the address.")
		m.RunsExpireAt = 0
		t.leasesExpired(m)
	case site.RefusalOf(err) == site.RefusedFenced:
		t.log.Warn().Str("minion", string(m.ID)).Msg("Coordinator: minion has seen a higher fencing token.")
		t.End(errors.Wrap(err, "coordinator: replaced"))
		return
	}
	if m.FailedPolls == 0 {
		t.log.Info().Err(err).Str("minion", string(m.ID)).Int("tasks", len(m.Tasks)).Dur("lease_left", m.RunsExpireAt-t.now).Msg("Coordinator: minion does not answer.")
		if m.LastReply == 0 {
			m.LastReply = t.now
		}
	}
	m.FailedPolls++
	m.NextPoll = t.now + silentPollInterval
	if m.FailedPolls == 1 {
		m.NextPoll = t.now // retry at once, as a single answer may have been lost
	}
	if len(m.Tasks) == 0 && t.now > m.RunsExpireAt {
		m.NextPoll = t.now + idlePollInterval
	}
}

// leasesExpired requeues the tasks of a minion whose leases have expired.
func (t *Term) leasesExpired(m *holding.Minion) {
	if len(m.Tasks) > 0 {
		t.log.Warn().Str("minion", string(m.ID)).Int("tasks", len(m.Tasks)).Dur("silent", t.now-m.LastReply).Msg("Coordinator: leases over, tasks are requeued.")
	}
	for task := range m.Tasks {
		counters.Add("runs_given_up", 1)
		t.requeue(task)
	}
	// No unreported run can be in progress there any more.
	m.Polled = true
}

// minionRestarted handles a restart of a minion under the same id. The next poll reports what the
// new incarnation runs, as it may already have received a start. It may still carry out unanswered
// starts, so these are rejected by stop orders, see rejectStaleStarts.
func (t *Term) minionRestarted(m *holding.Minion, incarnation int64) {
	t.log.Info().Str("minion", string(m.ID)).Int("tasks", len(m.Tasks)).Int64("born", incarnation).Msg("Coordinator: minion restarted.")
	m.Restarted(incarnation)
	m.NextPoll = t.now
}

// rejectStaleStarts sends stop orders for starts that were sent to an earlier incarnation of a
// minion, so that the current one does not carry them out.
func (t *Term) rejectStaleStarts(m *holding.Minion) {
	if !t.leading() {
		return
	}
	for name, run := range m.StaleStarts {
		if task := t.taskByName(name); task != nil && task.Minion == m.ID && task.Run == run && task.Active() {
			continue // this run has been ordered there since
		}
		to, o := addressOf(m), site.StopOrder{Task: name, Run: run}
		t.async(orderTimeout, func(ctx context.Context) func() {
			err := t.orders.Stop(ctx, to, o)
			return func() {
				if err == nil && m.StaleStarts[name] == run {
					delete(m.StaleStarts, name)
				}
			}
		})
	}
}

// Reasons of stop orders, for logs.
const (
	reasonCancelled model.Reason = "cancelled_by_caller"
	reasonFailed    model.Reason = "job_failed"
	reasonLeaving   model.Reason = "minion_leaves"
	reasonWave      model.Reason = "maintenance"
)

// reconcile compares the runs that a minion reports with the job registry. sent is when the poll
// was sent: the report need not contain orders that were answered later.
func (t *Term) reconcile(m *holding.Minion, sent time.Duration, r site.PollReport) {
	seen := make(map[*jobs.Task]bool, len(r.Running))
	for _, x := range r.Ended {
		t.runEnded(m, x, seen)
	}
	for _, x := range r.Running {
		t.runReported(m, x, seen)
	}
	for x := range m.Tasks {
		if !seen[x] {
			t.runUnlisted(x, sent)
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

// runEnded handles an ended run that a minion reports.
func (t *Term) runEnded(m *holding.Minion, end site.EndReport, seen map[*jobs.Task]bool) {
	task := t.taskByName(end.Task)
	if task != nil && task.Minion == m.ID && task.Run <= end.Run {
		seen[task] = true
	}
	if !m.IsNewEnd(end.Seq) {
		return
	}
	if task == nil {
		m.AckOnceSaved(end.Seq, nil, 0)
		return
	}
	countEnd(end.Outcome)
	j := task.Step.Job
	was := j.State()
	if end.Outcome == jobs.EndDone && end.Run == task.Run {
		t.recordRunTime(task)
	}
	t.registry.Finish(task, end.Run, m.ID, end.Outcome, end.Checkpoint, t.queueOf(j).MaxAttempts, t.now)
	// An end that changes nothing may be redundant only because of another end that is not stored
	// yet, so it is not acknowledged before that one is.
	m.AckOnceSaved(end.Seq, j, j.LastChange())
	if !task.Active() {
		t.dropOrders(task)
		m.Unassign(task, t.now)
	}
	if end.Outcome != jobs.EndDone && end.Outcome != jobs.EndStopped {
		t.log.Info().Str("task", end.Task).Int("run", end.Run).Str("minion", string(m.ID)).Str("how", string(end.Outcome)).Msg("Coordinator: run ended.")
	}
	if now := j.State(); now != was && now.Final() {
		t.jobEnded(j)
	}
	t.needsPlan = true
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
	task := t.taskByName(run.Task)
	if task == nil {
		t.stopOrphan(m, run.Task, run.Run, "")
		return
	}
	switch {
	case task.Active() && task.Minion == m.ID && task.Run == run.Run:
		seen[task] = true
		task.Percent = run.Percent
		if run.Checkpoint != "" {
			task.Checkpoint = run.Checkpoint
		}
		t.registry.Started(task, t.now)
		delete(t.pendingStarts, task)
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
	t.async(orderTimeout, func(ctx context.Context) func() {
		if err := t.orders.Stop(ctx, to, site.StopOrder{Task: name, Run: run}); err != nil {
			t.log.Info().Err(err).Str("task", name).Msg("Coordinator: orphaned run not stopped yet.")
		}
		return nil
	})
}

// runUnlisted handles a task that its minion reports neither as running nor as ended.
func (t *Term) runUnlisted(task *jobs.Task, sent time.Duration) {
	switch {
	case task.Phase == jobs.Running && task.PhaseSince < sent:
		t.log.Warn().Str("task", task.Name()).Int("run", task.Run).Str("minion", string(task.Minion)).Msg("Coordinator: run is gone.")
		t.requeue(task)
	case task.Phase == jobs.Stopping:
		if s := t.pendingStops[task]; s != nil && s.answered != 0 && s.answered < sent {
			t.requeue(task)
		}
	}
}

// requeue returns a task whose run has certainly ended to the waiting tasks.
func (t *Term) requeue(task *jobs.Task) {
	if m := t.minions[task.Minion]; m != nil {
		m.Unassign(task, t.now)
	}
	t.dropOrders(task)
	t.registry.Requeue(task, t.now)
	t.needsPlan = true
}
