package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/fencing"
	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

const (
	// resendInterval is the pause before an unanswered order is sent again; the first retry is
	// immediate. Starts and stops are idempotent: a minion carries out each run of a task once.
	resendInterval = 100 * time.Millisecond
	// stopRepeatInterval is the pause before an acknowledged stop is sent again because the minion
	// does not report the end of the run.
	stopRepeatInterval = 600 * time.Millisecond
	// noCapacityPause is how long a minion gets no new work after it had no free capacity for an
	// order.
	noCapacityPause = 150 * time.Millisecond
	// orderCheckInterval is how often pending orders are looked at if nothing is known to be due.
	orderCheckInterval = 10 * time.Millisecond
	// suspectDuration is how long a minion that refused or lost an order is chosen last.
	suspectDuration = time.Second
	// startGiveUpAfter is how long a start may remain without an answer although its minion answers all
	// polls and does not list the run. The task is then stopped there, and starts elsewhere: a
	// long-running task must have a run again after 6 s.
	startGiveUpAfter = time.Second
	// startGiveUpAtLatest is the same for a minion that answers some polls.
	startGiveUpAtLatest = 2 * time.Second
	// givenUpAvoidance is how long a minion is chosen last after a start on it was given up. It exceeds
	// the time that the stop of the start takes.
	givenUpAvoidance = 5 * time.Second
	// rejectingAfter is how many starts a minion must have rejected one after another for tasks to go to
	// minions on which they failed before instead.
	rejectingAfter = 3
)

// Reasons of stop orders, for logs.
const (
	reasonCancelled model.Reason = "cancelled_by_caller"
	reasonFailed    model.Reason = "job_failed"
	reasonLeaving   model.Reason = "minion_leaves"
	reasonWave      model.Reason = "maintenance"
)

// pendingStart is a start order whose outcome is not known.
type pendingStart struct {
	minion   *holding.Minion
	inFlight bool
	nextSend time.Duration
	tries    int
	// unansweredSince is when the first attempt was given up without an answer, or 0.
	unansweredSince time.Duration
	// leaseUntil is the end of the lease in all attempts, on the minion's clock, or 0 before the first one
	// to the present incarnation. expiresAt is when the leases in all attempts have expired: the minion
	// rejects a start that arrives after that.
	leaseUntil int64
	expiresAt  time.Duration
}

// giveUp reports whether the start is to be given up, because starts do not reach the minion and polls do.
// Where polls fail as well, a stop has no better chance to arrive than the start, but the task must not wait
// for either without a bound.
func (s *pendingStart) giveUp() bool {
	after := startGiveUpAfter
	if s.minion.LastPollFailure >= s.unansweredSince {
		after = startGiveUpAtLatest
	}
	return s.unansweredSince != 0 && s.minion.LastReported > s.unansweredSince+after
}

// pendingStop is a stop order whose run is not known to have ended.
type pendingStop struct {
	inFlight bool
	nextSend time.Duration
	// begunOrNever is from when on the run has begun or can't begin any more: it was running, the minion
	// has acknowledged the stop, or the leases in its starts have expired. It is over once a poll that was
	// sent later does not list it.
	begunOrNever time.Duration
}

// newPendingStop returns the stop of a task's run, which start orders if its outcome is not known.
func (t *Term) newPendingStop(task *jobs.Task, start *pendingStart) *pendingStop {
	switch {
	case task.Phase == jobs.Running:
		return &pendingStop{begunOrNever: task.PhaseSince}
	case start != nil:
		return &pendingStop{begunOrNever: max(t.now, start.expiresAt)}
	}
	return &pendingStop{begunOrNever: never}
}

// startTask assigns a task to a minion and orders a run of it.
func (t *Term) startTask(task *jobs.Task, run int, m *holding.Minion) {
	counters.Add("starts", 1)
	t.load.starts++
	t.registry.Order(task, run, m.ID, t.now)
	m.Assign(task)
	start := &pendingStart{minion: m}
	t.pendingStarts[task] = start
	j := task.Step.Job
	held := !j.RecordedOn(m.ID)
	t.log.Info().Str("task", task.Name()).Int("run", run).Str("minion", string(m.ID)).Dur("waited", t.now-j.LearnedAt).Bool("held", held).Msg("Coordinator: start.")
	if held {
		t.registry.MarkUnsaved(j)
		t.writer.heldStarts[j], t.writer.urgent = true, true
	}
	owned := t.ownRuns.give(run)
	if !owned {
		counters.Add("starts_held_for_numbers", 1)
		t.writer.urgent = true
	}
	if held || !owned || task.Step.Spec.Gang {
		t.ordersChanged = true
		return // resendOrders sends it once startStored holds
	}
	t.sendStart(task, start)
}

func (t *Term) sendStart(task *jobs.Task, start *pendingStart) {
	m := start.minion
	start.inFlight = true
	start.tries++
	m.LastStart = t.now
	m.StartsInFlight++
	if start.leaseUntil == 0 {
		// Polls renew it. A new lease in each attempt would extend the time for which an attempt may be
		// carried out late.
		start.leaseUntil = m.GrantLease(t.now, t.runLease)
		start.expiresAt = max(start.expiresAt, m.RunsExpireAt)
	}
	if start.tries > 1 {
		t.log.Info().Str("task", task.Name()).Int("run", task.Run).Str("minion", string(m.ID)).Stringer("phase", task.Phase).Int("attempt", start.tries).
			Int("restarts", m.Restarts).Int64("lease_until", start.leaseUntil).Msg("Coordinator: start sent again.")
	}
	order := site.StartOrder{Task: task.Name(), Run: task.Run, Payload: task.Step.Job.Spec.Payload, LeaseUntil: start.leaseUntil, Checkpoint: task.Checkpoint}
	to := addressOf(m)
	dc := m.DC
	allowed := func() bool { return t.mayStartIn(dc) }
	restarts := m.Restarts
	var clock int64
	var at time.Duration
	t.sendToMinion(m, func(ctx context.Context) (err error) {
		clock, err = t.orders.StartIf(ctx, to, order, allowed)
		at = t.deps.Now()
		if errors.Is(err, site.ErrLeaseEnded) && !allowed() {
			return errWithheld
		}
		return err
	}, func(err error) {
		t.noteLateAnswer(m, restarts, "start", order.LeaseUntil, clock, err)
		t.startAnswered(task, start, order.Run, restarts, clock, at, err)
	})
}

// sendToMinion sends an order in its own goroutine, for as long as the minion may take to answer.
func (t *Term) sendToMinion(m *holding.Minion, send func(ctx context.Context) error, answered func(err error)) {
	timeout := m.Latency.Timeout()
	t.async(timeout, func(ctx context.Context) func() {
		sent := t.deps.Now()
		err := send(ctx)
		took := t.deps.Now() - sent
		return func() {
			observeLatency(m, took, timeout, err)
			answered(err)
		}
	})
}

// observeLatency records how long a minion took to answer, or that it did not answer in time. An
// order that was not sent, or whose connection broke, tells neither.
func observeLatency(m *holding.Minion, took, timeout time.Duration, err error) {
	switch {
	case errors.Is(err, site.ErrNotSent):
	case !errors.Is(err, site.ErrNoAnswer):
		m.Latency.Answered(took)
	case took >= timeout:
		m.Latency.TimedOut(timeout)
	}
}

// startAnswered handles the answer to a start. restarts is the number of the minion's restarts that were
// known when it was sent, clock the minion's clock as read at time at.
func (t *Term) startAnswered(task *jobs.Task, start *pendingStart, run, restarts int, clock int64, at time.Duration, err error) {
	start.inFlight = false
	m := start.minion
	defer func() { m.StartsInFlight-- }()
	if errors.Is(err, site.ErrNoAnswer) {
		t.startUnanswered(m, task.Name(), run, start.tries, err)
	}
	if t.pendingStarts[task] != start || task.Run != run {
		return
	}
	if m.Restarts != restarts && !errors.Is(err, errWithheld) {
		// The answer does not tell which incarnation it is of, so the start is sent again.
		err = errors.Wrap(site.ErrNoAnswer, "sent before a restart of the minion")
		clock = 0
	}
	if m.ObserveClock(clock, at) {
		t.minionRestarted(m, 0, "start")
		m.ObserveClock(clock, at)
	}
	t.needsPlan = t.needsPlan || t.startsBounded
	if err == nil {
		m.RejectedStarts = 0
		t.registry.Started(task, t.now)
		t.runBegan(m, task, start)
		m.NextPoll = min(m.NextPoll, t.now+t.pollGap)
		return
	}
	if errors.Is(err, errWithheld) {
		start.tries-- // this attempt has not been sent
		t.ordersChanged = true
		return
	}
	t.startFailed(task, start, err)
}

func (t *Term) startFailed(task *jobs.Task, start *pendingStart, err error) {
	m := start.minion
	switch reason := site.RefusalOf(err); {
	case errors.Is(err, site.ErrNoAnswer), errors.Is(err, site.ErrNotSent) && start.tries > 1:
		// The start may be carried out, now or seconds later, so the task stays assigned to this
		// minion.
		counters.Add("starts_unanswered", 1)
		t.load.unanswered++
		if start.unansweredSince == 0 {
			start.unansweredSince = t.now
		}
		if start.tries > 1 {
			start.nextSend = t.now + resendInterval
		}
		t.ordersChanged = true
		m.AvoidUntil = max(m.AvoidUntil, t.now+suspectDuration)
		m.NextPoll = t.now // a minion without tasks would be polled seconds later
		return
	case errors.Is(err, fencing.ErrOutdated):
		t.ordersChanged = true // sent again with the raised token
		return
	case reason == site.RefusedFenced:
		t.End(errors.Wrap(err, "coordinator: replaced"))
		return
	case reason == site.RefusedStale && start.tries == 1:
		// This was the only attempt, so the run never began: a run with a number that this term does not know
		// was stopped or has ended there. A version that reserved no numbers may have ordered it.
		counters.Add("starts_below_earlier_runs", 1)
		t.registry.SkipRuns(task)
		t.requeueBecause(task, "start_below_earlier_run")
		return
	case reason == site.RefusedStale:
		// The run has already ended, or the next poll reports it as running.
		t.registry.AwaitReport(task, t.now)
		m.NextPoll = t.now
		return
	case reason == site.RefusedRoom:
		m.AvoidUntil = max(m.AvoidUntil, t.now+noCapacityPause)
	case errors.Is(err, site.ErrLeaseEnded):
		t.requeueBecause(task, "start_not_sent_lease_ended")
		return
	case errors.Is(err, site.ErrNotSent):
		// Nothing listens at the address. The minion gets no new work until a poll succeeds.
		m.FailedPolls, m.NextPoll = max(m.FailedPolls, 1), t.now
	default:
		m.AvoidUntil = max(m.AvoidUntil, t.now+suspectDuration)
		if errors.Is(err, site.ErrBusy) {
			m.RejectedStarts++
		}
	}
	counters.Add("starts_refused", 1)
	t.log.Info().Err(err).Str("task", task.Name()).Int("run", task.Run).Str("minion", string(m.ID)).Msg("Coordinator: start refused.")
	if start.tries > 1 && !errors.Is(err, site.ErrOtherIncarnation) {
		// An earlier attempt may still be carried out; only a stop order rules that out.
		t.stopRun(task, model.ReasonWorkerNotStarted)
		return
	}
	t.requeue(task)
}

// stopRun stops a run. The task is requeued, or has ended, once the end of the run is certain.
func (t *Term) stopRun(task *jobs.Task, reason model.Reason) {
	if !task.Active() {
		return
	}
	t.log.Info().Str("task", task.Name()).Int("run", task.Run).Str("minion", string(task.Minion)).Str("reason", string(reason)).Msg("Coordinator: stop.")
	if t.pendingStops[task] == nil {
		t.pendingStops[task] = t.newPendingStop(task, t.pendingStarts[task])
		t.ordersChanged = true
	}
	t.registry.Stop(task, reason, t.now)
}

func (t *Term) sendStop(task *jobs.Task, stop *pendingStop, m *holding.Minion) {
	stop.inFlight = true
	to, order := addressOf(m), site.StopOrder{Task: task.Name(), Run: task.Run}
	t.sendToMinion(m, func(ctx context.Context) error { return t.orders.Stop(ctx, to, order) },
		func(err error) { t.stopAnswered(task, stop, m, err) })
}

func (t *Term) stopAnswered(task *jobs.Task, stop *pendingStop, m *holding.Minion, err error) {
	stop.inFlight = false
	stop.nextSend = t.now + resendInterval
	if t.pendingStops[task] != stop {
		return
	}
	switch {
	case err == nil:
		stop.begunOrNever = min(stop.begunOrNever, t.now)
		stop.nextSend = t.now + stopRepeatInterval
		m.NextPoll = min(m.NextPoll, t.now+t.pollGap)
	case errors.Is(err, site.ErrOtherIncarnation):
		t.requeueBecause(task, "minion_restarted")
	case site.RefusalOf(err) == site.RefusedFenced:
		t.End(errors.Wrap(err, "coordinator: replaced"))
	default:
		m.AvoidUntil = max(m.AvoidUntil, t.now+suspectDuration)
		t.log.Info().Err(err).Str("task", task.Name()).Str("minion", string(m.ID)).Msg("Coordinator: stop not acknowledged yet.")
	}
}

// resendOrders sends starts and stops that are due. In a burst thousands of starts wait for their
// answer or for a write, so they are not looked at after each event.
func (t *Term) resendOrders() {
	if !t.ordersChanged && t.now < t.nextOrderCheck {
		return
	}
	t.ordersChanged, t.nextOrderCheck = false, t.now+orderCheckInterval
	t.load.orderChecks += len(t.pendingStarts) + len(t.pendingStops)
	gangs := map[*jobs.StepRun]bool{}
	for task, start := range t.pendingStarts {
		unresponsive := start.minion.FailedPolls > 0
		switch {
		case start.inFlight:
		case t.evacuated(start.minion.DC):
			t.withdrawStart(task, start)
		case t.now < start.nextSend:
		case unresponsive && start.tries == 0:
			t.requeueBecause(task, "start_not_sent_minion_silent")
		case !start.minion.ClockKnown():
			// It has restarted. The next poll, which is due, tells its clock, without which no lease can be
			// granted.
		case unresponsive:
			// A start is not sent again to a minion that does not answer: each one would extend the
			// lease that the minion may hold.
		case start.giveUp():
			counters.Add("starts_given_up", 1)
			start.minion.AvoidUntil = t.now + givenUpAvoidance
			t.stopRun(task, model.ReasonWorkerNotStarted)
		case start.minion.Unfenced:
			// It is sent once earlier orders can have no effect on the minion.
		case !t.mayStartIn(start.minion.DC):
			// It is sent once the operators' table has been read again.
		case start.tries > 0 || t.startStored(task, start, gangs):
			t.sendStart(task, start)
		}
	}
	for task, stop := range t.pendingStops {
		if stop.inFlight || t.now < stop.nextSend {
			continue
		}
		m := t.minions[task.Minion]
		if m == nil {
			t.requeueBecause(task, "minion_gone")
			continue
		}
		t.sendStop(task, stop, m)
	}
}

// settleOrders settles the pending orders for a task that has left a phase: a start is pending only while the task
// is ordered, a stop only while it is stopping. If the task is done without the run that the start is for, e.g. by the
// end of an earlier run or of another member of its gang, the minion may have carried the start out, or may do so
// later. The run is then stopped there, and its capacity is given away only after that.
func (t *Term) settleOrders(task *jobs.Task, left jobs.Phase) {
	switch left {
	case jobs.Ordered:
		start := t.pendingStarts[task]
		delete(t.pendingStarts, task)
		if start != nil && start.tries > 0 && task.Phase == jobs.Done {
			t.stopOnceAnswered(start.minion, task)
		}
	case jobs.Stopping:
		stop, m := t.pendingStops[task], t.minions[task.Minion]
		delete(t.pendingStops, task)
		if stop != nil && stop.begunOrNever > t.now && m != nil && task.Phase == jobs.Done {
			t.stopOnceAnswered(m, task)
		}
	}
}

// stopOnceAnswered lets the run of a task that is done be stopped when its minion answers.
func (t *Term) stopOnceAnswered(m *holding.Minion, task *jobs.Task) {
	counters.Add("starts_of_done_tasks", 1)
	t.log.Info().Str("task", task.Name()).Int("run", task.Run).Str("minion", string(m.ID)).Bool("silent", m.FailedPolls > 0).
		Msg("Coordinator: task is done, a start of it has no answer.")
	m.StaleStarts[task.Name()] = holding.StaleStart{Run: task.Run, Until: t.now + holding.OrdersVoidAfter}
	m.NextPoll = t.now
}
