package coordinator

import (
	"context"
	"maps"
	"time"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
)

const (
	// maxRemaining bounds the time that a leaving minion says it has left.
	maxRemaining = 24 * time.Hour
	// maxCold bounds the time for which a minion says it is slow after its start.
	maxCold = time.Hour
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
	e, err := t.decodeMinion(id, value)
	if err != nil {
		t.log.Warn().Err(err).Str("minion", id).Msg("Coordinator: ignoring unreadable minion entry.")
		return
	}
	m := t.minions[e.ID]
	switch {
	case m == nil && t.endedByOrder(e):
		return
	case m == nil:
		m = holding.New(e, 0)
		m.EmptySince, m.LeavesAt, m.IncarnationAt = t.now, t.now+min(e.Remaining, maxRemaining), t.now
		switch {
		case t.droppedLately(e.ID):
			m.Unfence(t.now, t.deps.Limits.MaxMinionLease)
		case t.epoch > 1 && t.now <= t.predecessorSentUntil()+holding.OrdersVoidAfter:
			m.InheritLongLeases(t.epoch, t.now, t.deps.Limits.MaxMinionLease) // an earlier coordinator may have dropped it
		}
		t.setCold(m, e)
		t.minions[e.ID] = m
		// The removal of the minion's row may still be due. It would follow the new record.
		delete(t.writer.goneMinions, e.ID)
	case m.Listed && m.Incarnation != 0 && e.Incarnation != 0 && e.Incarnation < m.Incarnation:
		// Of an earlier incarnation, or of one that started after the wall clock was set back, which the
		// next poll tells.
		return
	default:
		if e.Leaving {
			m.LeavesAt = t.now + min(e.Remaining, maxRemaining)
		}
		if e.Leaving && !m.Leaving {
			t.log.Info().Str("minion", id).Int("tasks", len(m.Tasks)).Dur("remaining", e.Remaining).Msg("Coordinator: minion is leaving.")
		}
		if m.Incarnation != 0 && e.Incarnation > m.Incarnation {
			t.minionRestarted(m, e.Incarnation, "list")
		}
		if e.ColdLeft != m.ColdLeft || e.Incarnation != m.ColdOf {
			t.setCold(m, e) // an entry that is written again unchanged does not extend it
		}
		incarnation := m.Incarnation
		if incarnation == 0 {
			m.IncarnationAt = t.now
		}
		m.MinionEntry = e
		m.Incarnation = max(incarnation, e.Incarnation)
	}
	m.Listed = true
	t.needsPlan = true
}

// droppedLately reports whether a minion has been dropped that may come back under its id before all orders
// to it are void.
func (t *Term) droppedLately(id jobs.Minion) bool {
	maps.DeleteFunc(t.droppedMinions, func(_ jobs.Minion, at time.Duration) bool { return t.now > at+holding.OrdersVoidAfter })
	_, ok := t.droppedMinions[id]
	return ok
}

// setCold records how long a minion is slow after its start, by its entry.
func (t *Term) setCold(m *holding.Minion, e site.MinionEntry) {
	m.ColdUntil, m.ColdOf = t.now+min(e.ColdLeft, maxCold), e.Incarnation
}

// endedByOrder reports whether an entry is of a minion that an order for its machine has ended, and not
// of a later incarnation under the same id.
func (t *Term) endedByOrder(e site.MinionEntry) bool {
	incarnation, ended := t.machines.endedMinions[e.ID]
	return ended && (incarnation == 0 || e.Incarnation <= incarnation)
}

// usable reports whether new work may be assigned to a minion.
func (t *Term) usable(m *holding.Minion) bool {
	return m.Listed && !m.Leaving && !m.Cordoned && t.now >= m.OrderedUntil && m.Recorded && m.Polled && !m.Unfenced && m.FailedPolls == 0 && m.ClockKnown() && t.mayStartIn(m.DC)
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
		if !m.Listed && len(m.Tasks) == 0 && t.now > m.RunsExpireAt && m.FailedPolls > 0 && !t.startsInDoubt(m) {
			if m.Recorded {
				t.writer.goneMinions[id] = true
			}
			delete(t.writer.newMinions, m)
			delete(t.minions, id)
			t.droppedMinions[id] = t.now
			continue
		}
		if m.Listed && !m.Recorded {
			t.writer.newMinions[m] = true
		}
		if m.LongLeasesRecorded && !m.Unfenced && t.now > m.LongLeasesUntil {
			t.recordAgain(m)
		}
		if m.OrderedUntil != 0 && t.now >= m.OrderedUntil {
			t.setOrdered(m, m.Ordered)
		}
		if m.Leaving && m.FailedPolls == 0 && t.leading() && t.now >= m.LeavesAt-evictionMargin {
			t.evict(m, reasonLeaving)
		}
		if !m.Polling && t.now >= m.NextPoll && t.leading() {
			t.poll(m)
		}
	}
}

// leasesExpired requeues the tasks of a minion whose leases have expired, but those of which a start may still
// be carried out.
func (t *Term) leasesExpired(m *holding.Minion) {
	given := make([]*jobs.Task, 0, len(m.Tasks))
	for task := range m.Tasks {
		if !t.waitsForStart(m, task) {
			given = append(given, task)
		}
	}
	if len(given) > 0 {
		t.log.Warn().Str("minion", string(m.ID)).Int("tasks", len(given)).Int("waiting", len(m.Tasks)-len(given)).Dur("silent", t.now-m.LastReply).
			Int64("born", m.Incarnation).Int("restarts", m.Restarts).Str("basis", string(m.ExpiryBasis)).Msg("Coordinator: leases over, tasks are requeued.")
	}
	for _, task := range given {
		counters.Add("runs_given_up", 1)
		t.log.Info().Str("task", task.Name()).Int("run", task.Run).Str("minion", string(m.ID)).Stringer("phase", task.Phase).
			Bool("start_pending", t.pendingStarts[task] != nil).Msg("Coordinator: run given up.")
		t.requeue(task)
		m.Unassign(task, t.now) // a task that is done has no minion any more
	}
	// No unreported run can be in progress there any more.
	m.Polled = true
}

// minionRestarted handles a restart of a minion under the same id. The next poll reports what the
// new incarnation runs, as it may already have received a start. It may still carry out unanswered
// starts, so these are rejected by stop orders, see rejectStaleStarts. source is what told of the restart.
func (t *Term) minionRestarted(m *holding.Minion, incarnation int64, source string) {
	counters.Add("minion_restarts", 1)
	before := m.Incarnation
	clock, age := m.Clock(t.now)
	m.Restarted(incarnation, t.now, t.deps.Limits.MaxMinionLease)
	t.log.Info().Str("minion", string(m.ID)).Int("tasks", len(m.Tasks)).Int64("born", incarnation).Int64("born_before", before).Str("source", source).
		Int64("clock_before", clock).Dur("clock_age", age).Bool("poll_in_flight", m.Polling).Int("starts_in_flight", m.StartsInFlight).Int("starts_unanswered", len(m.StaleStarts)).
		Dur("lease_left", m.RunsExpireAt-t.now).Str("basis", string(m.ExpiryBasis)).Msg("Coordinator: minion restarted.")
	m.NextPoll = t.now
	t.recordAgain(m)
	// A start of which nothing is known may reach the new incarnation. The lease in it is on the clock of
	// the one before.
	for task := range m.Tasks {
		if incarnation != 0 && before != 0 && t.endedWithIncarnation(m, task) {
			t.requeueBecause(task, "minion_restarted")
			continue
		}
		if start := t.pendingStarts[task]; start != nil {
			start.leaseUntil, start.expiresAt = 0, max(start.expiresAt, m.RunsExpireAt)
			if start.unansweredSince != 0 {
				start.unansweredSince = t.now // the present incarnation has not been asked yet
			}
		}
		if stop := t.pendingStops[task]; stop != nil && stop.begunOrNever > t.now {
			stop.begunOrNever = max(stop.begunOrNever, m.RunsExpireAt)
		}
	}
}

// endedWithIncarnation reports whether a task's run has ended with the incarnation of the minion that has just
// been replaced: that one listed the run, and no other attempt to start it can reach the present one.
func (t *Term) endedWithIncarnation(m *holding.Minion, task *jobs.Task) bool {
	if _, ok := m.StaleStarts[task.Name()]; ok {
		return false
	}
	if stop := t.pendingStops[task]; stop != nil {
		return stop.begunOrNever < m.LastReported
	}
	return task.Phase == jobs.Running && task.PhaseSince < m.LastReported
}

// earlierOrdersVoid is called once a minion carries out no order to an earlier incarnation any more.
func (t *Term) earlierOrdersVoid(m *holding.Minion) {
	clear(m.StaleStarts)
	for task := range m.Tasks {
		if stop := t.pendingStops[task]; stop != nil {
			stop.begunOrNever = min(stop.begunOrNever, t.now)
		}
	}
	t.needsPlan, t.ordersChanged = true, true
}

// recordAgain writes the row of a recorded minion anew.
func (t *Term) recordAgain(m *holding.Minion) {
	if m.Recorded {
		t.writer.newMinions[m] = true
	}
}

// noteLateAnswer logs an answer to a call that was sent before the minion's last known restart. restarts is
// the number of restarts that were known then, leaseUntil the end of the lease in the call on the minion's
// clock, or 0, and clock the reading in the answer.
func (t *Term) noteLateAnswer(m *holding.Minion, restarts int, call string, leaseUntil, clock int64, err error) {
	if m.Restarts == restarts {
		return
	}
	counters.Add("answers_to_earlier_calls", 1)
	known, age := m.Clock(t.now)
	t.log.Info().Err(err).Str("minion", string(m.ID)).Str("call", call).Int64("lease_until", leaseUntil).Int64("clock", clock).Int64("clock_known", known).Dur("clock_age", age).Msg("Coordinator: answer to a call from before a restart.")
}

// rejectStaleStarts sends stop orders for starts that are not wanted any more, so that the minion does not carry
// them out.
func (t *Term) rejectStaleStarts(m *holding.Minion) {
	if !t.leading() {
		return
	}
	for name, stale := range m.StaleStarts {
		run := stale.Run
		if t.now > stale.Until {
			delete(m.StaleStarts, name)
			continue
		}
		if task := t.taskByName(name); task != nil && task.Minion == m.ID && task.Run == run && task.Active() {
			continue // this run has been ordered there since
		}
		to, o := addressOf(m), site.StopOrder{Task: name, Run: run}
		t.sendToMinion(m, func(ctx context.Context) error { return t.orders.Stop(ctx, to, o) },
			func(err error) {
				if err == nil && m.StaleStarts[name].Run == run {
					delete(m.StaleStarts, name)
				}
			})
	}
}
