package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

const (
	// leaseSpan is how long runs go on without word from the coordinator. It is above the
	// time of a takeover (lease.TTL, and about 1 s with a slow store) and the time since the
	// last hold; beyond that it only delays the start elsewhere of what ran on a dark rack.
	// The minions grant 6 s and more.
	leaseSpan = 4000 * time.Millisecond
	// holdWait is how long a minion with tasks holds its answer back until a run ends, and
	// lastingWait if its tasks all last. When one answer in twenty is lost, as on the users'
	// days, a busy minion loses one a second, and ends are seen late by the time of the wait
	// and the timeout.
	holdWait    = 300 * time.Millisecond
	lastingWait = 700 * time.Millisecond
	// holdTimeout is added to it; an answer takes 2 to 10 ms, on a busy entry VM 100 ms.
	holdTimeout = 300 * time.Millisecond
	// holdGap is the least time between two holds of a minion, so that ends that come
	// together cost one look. With many minions it is longer, see lookGap.
	holdGap = 25 * time.Millisecond
	// looksPerCore bounds the looks a second for each core of this entry VM: at 40
	// minions and 0.4 cores holdGap stays as it is, at 240 and 0.8 it is 75 ms. With 25 ms
	// there, 2,500 looks a second were counted and writes took up to 0.5 s.
	looksPerCore = 4000
	// idleEvery is how often a minion without tasks is looked at, to keep its clock known
	// within 40 ms and to learn of a new life.
	idleEvery = 2 * time.Second
	// silentEvery is the pause between looks at a minion that does not answer.
	silentEvery = 200 * time.Millisecond
	// suspectFor is how long a minion that refused or lost an order comes last.
	suspectFor = time.Second
)

// listMinion notes an entry of the platform's list; an unreadable one names no minion.
func (t *Term) listMinion(id string, value []byte) {
	if value == nil {
		delete(t.machines.ended, jobs.Minion(id))
		if m := t.minions[jobs.Minion(id)]; m != nil && m.Listed {
			m.Listed = false
			t.log.Info().Str("minion", id).Int("tasks", len(m.Tasks)).Msg("Coordinator: minion left the list.")
		}
		return
	}
	e, err := t.d.Codec.Minion(id, value)
	if err != nil {
		t.log.Warn().Err(err).Str("minion", id).Msg("Coordinator: entry passed over.")
		return
	}
	m := t.minions[e.ID]
	switch {
	case m == nil && t.machines.ended[e.ID]:
		return
	case m == nil:
		m = holding.New(e, 0)
		m.EmptySince = t.now
		t.minions[e.ID] = m
	case m.Incarnation != 0 && e.Incarnation != 0 && e.Incarnation < m.Incarnation:
		return // word of an earlier life
	default:
		if e.Leaving && !m.Leaving {
			t.log.Info().Str("minion", id).Int("tasks", len(m.Tasks)).Dur("remaining", e.Remaining).Msg("Coordinator: minion leaves.")
		}
		if m.Incarnation != 0 && e.Incarnation > m.Incarnation {
			t.reborn(m, e.Incarnation)
		}
		born := m.Incarnation
		m.MinionEntry = e
		m.Incarnation = max(born, e.Incarnation)
	}
	m.Listed = true
	t.dirty = true
}

// usable reports whether new work may go to a minion.
func (t *Term) usable(m *holding.Minion) bool {
	return m.Listed && !m.Leaving && !m.Cordoned && m.Recorded && m.Polled && m.FailedPolls == 0 && m.ClockKnown()
}

// watchMinions looks at each minion whose turn has come, and frees the tasks of those
// whose leases are certainly over.
func (t *Term) watchMinions() {
	busy := 0
	defer func() { t.gap = lookGap(busy, t.d.Cores) }()
	for id, m := range t.minions {
		if len(m.Tasks) > 0 {
			busy++
		}
		if m.FailedPolls > 0 && t.now > m.RunsExpireAt {
			t.lapsed(m)
		}
		if !m.Listed && len(m.Tasks) == 0 && t.now > m.RunsExpireAt && m.FailedPolls > 0 {
			if m.Recorded {
				t.journal.goneMinions[id] = true
			}
			delete(t.journal.newMinions, m)
			delete(t.minions, id)
			continue
		}
		if m.Listed && !m.Recorded {
			t.journal.newMinions[m] = true
		}
		if m.Leaving && m.FailedPolls == 0 && t.leading() {
			t.evacuate(m, reasonLeaving)
		}
		if !m.Polling && t.now >= m.NextPoll {
			t.look(m)
		}
	}
}

// look sends one hold. Leases are prolonged only while this entry VM surely coordinates.
func (t *Term) look(m *holding.Minion) {
	var o site.PollRequest
	if m.FailedPolls == 0 {
		// A minion that did not answer may have started again: numbers of its ends begin
		// anew, and it would forget ends that nobody has seen.
		o.Ack = m.NextAck()
	}
	// A silent minion gets no longer lease: its tasks could never be started elsewhere.
	if len(m.Tasks) > 0 && m.ClockKnown() && m.FailedPolls == 0 && t.leading() {
		o.LeaseUntil = m.GrantLease(t.now, t.span)
	}
	if len(m.Tasks) > 0 && m.FailedPolls == 0 && m.Polled {
		o.Wait = waitFor(m)
	}
	m.Polling = true
	to, sent := t.receiver(m), t.now
	t.async(o.Wait+holdTimeout, func(ctx context.Context) func() {
		r, err := t.d.Minions.Poll(ctx, to, o)
		at := t.d.Now()
		return func() { t.looked(m, sent, at, o.Ack, r, err) }
	})
}

// lookGap is the pause before the next look at a minion. It grows with the minions that
// have tasks and shrinks with the processor: 25 ms for 40 minions and 0.4 cores, 75 ms for
// 240 and 0.8. Without it the looks of a burst took the processor from starts and writes.
func lookGap(busy int, cores float64) time.Duration {
	return max(holdGap, time.Duration(float64(busy)/(looksPerCore*max(cores, leastCores))*float64(time.Second)))
}

// leastCores stands in for an entry VM whose settings name fewer cores.
const leastCores = 0.05

// waitFor returns how long a minion may hold an answer back.
func waitFor(m *holding.Minion) time.Duration {
	for x := range m.Tasks {
		if !x.Step.Spec.LongRunning {
			return holdWait
		}
	}
	return lastingWait
}

// prolongAll prolongs all leases at once, before the coordinator role is handed over.
func (t *Term) prolongAll() {
	if !t.leading() {
		return
	}
	for _, m := range t.minions {
		if len(m.Tasks) == 0 || m.FailedPolls > 0 || !m.ClockKnown() {
			continue
		}
		to, o := t.receiver(m), site.PollRequest{LeaseUntil: m.GrantLease(t.now, t.span), Ack: m.NextAck()}
		t.async(holdTimeout, func(ctx context.Context) func() {
			if _, err := t.d.Minions.Poll(ctx, to, o); err != nil {
				t.log.Info().Err(err).Str("minion", string(to.ID)).Msg("Coordinator: lease not prolonged before the hand-over.")
			}
			return nil
		})
	}
}

// looked takes the answer of a hold that was sent and answered at given times, with a
// number as noted.
func (t *Term) looked(m *holding.Minion, sent, at time.Duration, noted int64, r site.PollReport, err error) {
	m.Polling = false
	if t.minions[m.ID] != m {
		return
	}
	if err != nil {
		t.notAnswered(m, err)
		return
	}
	answersAgain := m.FailedPolls > 0
	if answersAgain {
		t.log.Info().Str("minion", string(m.ID)).Dur("silent", t.now-m.LastReply).Msg("Coordinator: minion answers again.")
	}
	if m.Incarnation != 0 && r.Incarnation != 0 && r.Incarnation != m.Incarnation {
		if r.Incarnation < m.Incarnation {
			m.NextPoll = t.now + silentEvery
			return
		}
		t.reborn(m, r.Incarnation)
	} else {
		m.AckDelivered(noted)
	}
	if r.Incarnation != 0 {
		m.Incarnation = r.Incarnation
	}
	m.FailedPolls, m.LastReply = 0, t.now
	m.ObserveClock(r.Clock, at)
	t.reconcile(m, sent, r)
	t.barStarts(m)
	m.Polled = true
	t.dirty = true
	m.NextPoll = t.now + t.gap
	if len(m.Tasks) > 0 && answersAgain {
		m.NextPoll = t.now // prolong the leases at once
	}
	if len(m.Tasks) == 0 && !m.AckPending() {
		m.NextPoll = t.now + idleEvery
	}
}

func (t *Term) notAnswered(m *holding.Minion, err error) {
	switch {
	case errors.Is(err, site.ErrOtherIncarnation):
		// The address belongs to another minion: this one is over, and so are its runs.
		t.log.Info().Str("minion", string(m.ID)).Int("tasks", len(m.Tasks)).Msg("Coordinator: another minion at the address.")
		m.RunsExpireAt = 0
		t.lapsed(m)
	case site.RefusalOf(err) == site.RefusedFenced:
		t.log.Warn().Str("minion", string(m.ID)).Msg("Coordinator: minion has seen a higher token.")
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
	m.NextPoll = t.now + silentEvery
	if m.FailedPolls == 1 {
		m.NextPoll = t.now // one answer may have been lost
	}
	if len(m.Tasks) == 0 && t.now > m.RunsExpireAt {
		m.NextPoll = t.now + idleEvery
	}
}

// lapsed frees the tasks of a minion whose leases are over.
func (t *Term) lapsed(m *holding.Minion) {
	if len(m.Tasks) > 0 {
		t.log.Warn().Str("minion", string(m.ID)).Int("tasks", len(m.Tasks)).Dur("silent", t.now-m.LastReply).Msg("Coordinator: leases over, tasks start elsewhere.")
	}
	for x := range m.Tasks {
		counters.Add("runs_given_up", 1)
		t.over(x)
	}
	// Nothing unseen goes on there any more.
	m.Polled = true
}

// reborn notes that a minion started again under its id. What the new life runs, its next
// lists tell: a start may have reached it already. Starts without an answer may still be
// carried out by it, and are ruled out there.
func (t *Term) reborn(m *holding.Minion, born int64) {
	t.log.Info().Str("minion", string(m.ID)).Int("tasks", len(m.Tasks)).Int64("born", born).Msg("Coordinator: minion started again.")
	m.Restarted(born)
	m.NextPoll = t.now
}

// barStarts rules out starts that were sent to an earlier life of a minion.
func (t *Term) barStarts(m *holding.Minion) {
	if !t.leading() {
		return
	}
	for name, run := range m.StaleStarts {
		if x := t.taskNamed(name); x != nil && x.Minion == m.ID && x.Run == run && x.Active() {
			continue // it is meant to run there
		}
		to, o := t.receiver(m), site.StopOrder{Task: name, Run: run}
		t.async(orderTimeout, func(ctx context.Context) func() {
			err := t.d.Minions.Stop(ctx, to, o)
			return func() {
				if err == nil && m.StaleStarts[name] == run {
					delete(m.StaleStarts, name)
				}
			}
		})
	}
}

// Reasons of stops, for logs.
const (
	reasonCancelled model.Reason = "cancelled_by_caller"
	reasonFailed    model.Reason = "job_failed"
	reasonLeaving   model.Reason = "minion_leaves"
	reasonWave      model.Reason = "maintenance"
)

// reconcile compares a minion's lists with the book. sent is when they were asked for:
// orders that were answered later are not in them.
func (t *Term) reconcile(m *holding.Minion, sent time.Duration, r site.PollReport) {
	seen := make(map[*jobs.Task]bool, len(r.Running))
	for _, x := range r.Ended {
		t.ended(m, x, seen)
	}
	for _, x := range r.Running {
		t.running(m, x, seen)
	}
	for x := range m.Tasks {
		if !seen[x] {
			t.unlisted(x, sent)
		}
	}
}

func (t *Term) taskNamed(name string) *jobs.Task {
	n, err := jobs.ParseTaskName(name)
	if err != nil {
		t.log.Warn().Err(err).Msg("Coordinator: minion names an unknown task.")
		return nil
	}
	return t.book.Task(n)
}

// ended takes one end from a minion's list.
func (t *Term) ended(m *holding.Minion, x site.EndReport, seen map[*jobs.Task]bool) {
	task := t.taskNamed(x.Task)
	if task != nil && task.Minion == m.ID && task.Run <= x.Run {
		seen[task] = true
	}
	if !m.IsNewEnd(x.Seq) {
		return
	}
	if task == nil {
		m.AckOnceSaved(x.Seq, nil, 0)
		return
	}
	countEnd(x.Outcome)
	j := task.Step.Job
	was := j.State()
	if x.Outcome == jobs.EndDone && x.Run == task.Run {
		t.noteRuntime(task)
	}
	t.book.Finish(task, x.Run, m.ID, x.Outcome, x.Checkpoint, t.queueOf(j).MaxAttempts, t.now)
	// An end that changes nothing may do so because of another one that is not stored yet.
	m.AckOnceSaved(x.Seq, j, j.LastChange())
	if !task.Active() {
		t.forgetOrders(task)
		m.Unassign(task, t.now)
	}
	if x.Outcome != jobs.EndDone && x.Outcome != jobs.EndStopped {
		t.log.Info().Str("task", x.Task).Int("run", x.Run).Str("minion", string(m.ID)).Str("how", string(x.Outcome)).Msg("Coordinator: run ended.")
	}
	if now := j.State(); now != was && now.Final() {
		t.concluded(j)
	}
	t.dirty = true
}

// concluded ends what still runs of a job in a final state.
func (t *Term) concluded(j *jobs.Job) {
	t.journal.urgent = true
	t.log.Info().Str("job", string(j.ID)).Str("queue", string(j.Queue)).Str("state", string(j.State())).Dur("after", t.now-j.LearnedAt).Msg("Coordinator: job ended.")
	for _, x := range j.Active() {
		t.stopRun(x, reasonFailed)
	}
}

// running takes one run from a minion's list.
func (t *Term) running(m *holding.Minion, x site.RunReport, seen map[*jobs.Task]bool) {
	task := t.taskNamed(x.Task)
	if task == nil {
		t.stopStray(m, x.Task, x.Run, "")
		return
	}
	switch {
	case task.Active() && task.Minion == m.ID && task.Run == x.Run:
		seen[task] = true
		task.Percent = x.Percent
		if x.Checkpoint != "" {
			task.Checkpoint = x.Checkpoint
		}
		t.book.Started(task, t.now)
		delete(t.orders, task)
	case task.Phase == jobs.Waiting && !task.Step.Job.State().Final():
		t.book.Adopt(task, x.Run, m.ID, x.Checkpoint, t.now)
		task.Percent = x.Percent
		m.Assign(task)
		seen[task] = true
	case task.Step.Job.State().Final() && !task.Active():
		t.book.Adopt(task, x.Run, m.ID, x.Checkpoint, t.now)
		m.Assign(task)
		seen[task] = true
		t.stopRun(task, reasonCancelled)
	default:
		t.stopStray(m, x.Task, x.Run, task.Minion)
	}
}

// stopStray ends a run that the book does not have there.
func (t *Term) stopStray(m *holding.Minion, name string, run int, elsewhere jobs.Minion) {
	t.log.Warn().Str("task", name).Int("run", run).Str("minion", string(m.ID)).Str("elsewhere", string(elsewhere)).Msg("Coordinator: stray run is stopped.")
	if !t.leading() {
		return
	}
	to := t.receiver(m)
	t.async(orderTimeout, func(ctx context.Context) func() {
		if err := t.d.Minions.Stop(ctx, to, site.StopOrder{Task: name, Run: run}); err != nil {
			t.log.Info().Err(err).Str("task", name).Msg("Coordinator: stray run not stopped yet.")
		}
		return nil
	})
}

// unlisted deals with a task that a minion lists neither as running nor as ended.
func (t *Term) unlisted(x *jobs.Task, sent time.Duration) {
	switch {
	case x.Phase == jobs.Running && x.PhaseSince < sent:
		t.log.Warn().Str("task", x.Name()).Int("run", x.Run).Str("minion", string(x.Minion)).Msg("Coordinator: run is gone.")
		t.over(x)
	case x.Phase == jobs.Stopping:
		if s := t.stops[x]; s != nil && s.answered != 0 && s.answered < sent {
			t.over(x)
		}
	}
}

// over makes a task wait whose run is certainly over.
func (t *Term) over(x *jobs.Task) {
	if m := t.minions[x.Minion]; m != nil {
		m.Unassign(x, t.now)
	}
	t.forgetOrders(x)
	t.book.Requeue(x, t.now)
	t.dirty = true
}
