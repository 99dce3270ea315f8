package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/fencing"
	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
)

const (
	// runLeaseTTL is how long a minion continues its runs without a poll by the coordinator. It
	// exceeds the duration of a takeover (lease.TTL plus about 1 s with a slow store) and the time
	// since the last poll. A larger value would only delay the restart elsewhere of tasks that ran
	// on a failed rack. Minions grant leases of 6 s and more.
	runLeaseTTL = 4000 * time.Millisecond
	// pollWait is how long a minion with tasks may delay its answer to a poll until a run ends;
	// longRunningPollWait applies if all its tasks are long-running and none is being stopped. When
	// one answer in twenty is lost, as in the users' test scenarios, a busy minion loses about one per
	// second, and ends of runs are then seen later by this wait plus the timeout.
	pollWait            = 300 * time.Millisecond
	longRunningPollWait = 700 * time.Millisecond
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
)

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
	timeout := m.Latency.Timeout()
	if len(m.Tasks) > 0 && m.FailedPolls == 0 && m.Polled && !m.Unfenced {
		// The answer must arrive before the site's lease ends, which also ends the call. A minion that
		// answers slowly is not made to wait as well, because its leases must be renewed in time.
		slowness := timeout - m.Latency.Least
		o.Wait = max(0, min(pollWaitFor(m)-slowness, t.exclusiveUntil()-t.now-timeout)).Truncate(time.Millisecond)
	}
	m.Polling = true
	to, p := addressOf(m), sentPoll{at: t.now, restarts: m.Restarts, ack: o.Ack, token: m.Token, grantsLease: o.LeaseUntil > 0}
	t.async(o.Wait+timeout, func(ctx context.Context) func() {
		began := t.deps.Now()
		r, err := t.orders.Poll(ctx, to, o)
		at := t.deps.Now()
		return func() {
			if took := at - began - o.Wait; took >= 0 { // the minion may answer before the wait is over
				observeLatency(m, took, timeout, err)
			}
			t.noteLateAnswer(m, p.restarts, "poll", o.LeaseUntil, r.Clock, err)
			t.pollAnswered(m, p, at, r, err)
		}
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

// pollWaitFor returns how long a minion may delay its answer to a poll. Of a run that never began there
// is no end to answer with, so that the end of its stop is seen only after this time.
func pollWaitFor(m *holding.Minion) time.Duration {
	for task := range m.Tasks {
		if !task.Step.Spec.LongRunning || task.Phase == jobs.Stopping {
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

// sentPoll is what must be known of a poll when it is answered.
type sentPoll struct {
	// at is when it was sent, restarts the number of the minion's restarts that were known then.
	at       time.Duration
	restarts int
	// ack and token are the acknowledged number and the raised token in it.
	ack   int64
	token uint64
	// grantsLease is set if it renewed the leases of the minion's runs.
	grantsLease bool
}

// pollAnswered handles the answer to a poll that was received at the given time.
func (t *Term) pollAnswered(m *holding.Minion, p sentPoll, at time.Duration, r site.PollReport, err error) {
	m.Polling = false
	if t.minions[m.ID] != m {
		return
	}
	if err != nil {
		if p.grantsLease && errors.Is(err, site.ErrNoAnswer) {
			m.InDoubt.LeaseUnanswered(t.now)
		}
		t.pollFailed(m, err)
		return
	}
	if m.Restarts != p.restarts && m.IsFormer(r.Incarnation) || r.Incarnation != 0 && r.Incarnation < m.Incarnation && p.at < m.IncarnationAt {
		m.NextPoll = t.now
		return
	}
	answersAgain := m.FailedPolls > 0
	if answersAgain {
		t.log.Info().Str("minion", string(m.ID)).Dur("silent", t.now-m.LastReply).Msg("Coordinator: minion answers again.")
	}
	if m.Incarnation != 0 && r.Incarnation != 0 && r.Incarnation != m.Incarnation {
		// It may be lower than the one before: the wall clock by which incarnations are numbered may have
		// been set back.
		t.minionRestarted(m, r.Incarnation, "poll")
	} else if m.Restarts == p.restarts {
		m.AckDelivered(p.ack) // otherwise the number is of an end of an earlier incarnation
	}
	unnamed := m.Incarnation == 0
	if unnamed && r.Incarnation != 0 {
		m.Incarnation, m.IncarnationAt = r.Incarnation, t.now
		t.recordAgain(m)
	}
	m.FailedPolls, m.LastReply, m.LastReported = 0, t.now, p.at
	t.startWaitsEnded(m, p.at)
	if m.ObserveClock(r.Clock, at) && unnamed {
		// The last known reading is of a start's answer, which names no incarnation.
		t.minionRestarted(m, r.Incarnation, "clock")
		m.ObserveClock(r.Clock, at)
	}
	if m.PollAnswered(p.token, at) {
		t.earlierOrdersVoid(m)
	}
	polled, orphaned := m.Polled, m.Orphaned
	t.reconcile(m, p.at, r)
	t.rejectStaleStarts(m)
	// A task whose end as done is not listed yet must not start again.
	m.Polled = m.Polled || !r.MoreEnds
	// Ended runs, which free capacity as well, ask for a scheduling run by themselves.
	t.needsPlan = t.needsPlan || !polled || answersAgain || orphaned != m.Orphaned
	m.NextPoll = t.now + t.pollGap
	if len(m.Tasks) > 0 && answersAgain {
		m.NextPoll = t.now // renew the leases at once
	}
	if m.Unfenced && m.Token == 0 {
		m.NextPoll = t.now + silentPollInterval // it takes no work until the token is raised
	}
	if len(m.Tasks) == 0 && !m.AckPending() && m.Orphaned == (jobs.Resources{}) {
		m.NextPoll = t.now + idlePollInterval
	}
}

// pollFailed handles a poll that was refused or not answered.
func (t *Term) pollFailed(m *holding.Minion, err error) {
	switch {
	case errors.Is(err, fencing.ErrClosed):
		m.NextPoll = t.now // sent once the term goes on, if it does
		return
	case errors.Is(err, fencing.ErrOutdated):
		if raised := t.orders.RaisedToken(m.ID); m.Token < raised {
			m.Token = raised // of a minion that had been dropped
		}
		m.NextPoll = t.now // sent again with the raised token
		return
	case errors.Is(err, site.ErrLeaseEnded):
		m.NextPoll = t.now + silentPollInterval // nothing was sent; it says nothing about the minion
		return
	case errors.Is(err, site.ErrOtherIncarnation):
		// The address belongs to another minion. This one has ended, and so have its runs.
		t.log.Info().Str("minion", string(m.ID)).Int("tasks", len(m.Tasks)).Msg("Coordinator: another minion uses the address.")
		m.RunsExpireAt = 0
		m.InDoubt.Void()
		t.leasesExpired(m)
	case site.RefusalOf(err) == site.RefusedFenced:
		t.log.Warn().Str("minion", string(m.ID)).Msg("Coordinator: minion has seen a higher fencing token.")
		t.End(errors.Wrap(err, "coordinator: replaced"))
		return
	}
	if m.FailedPolls == 0 {
		t.log.Info().Err(err).Str("minion", string(m.ID)).Int("tasks", len(m.Tasks)).Int64("born", m.Incarnation).
			Dur("lease_left", m.RunsExpireAt-t.now).Str("basis", string(m.ExpiryBasis)).Msg("Coordinator: minion does not answer.")
		if m.LastReply == 0 {
			m.LastReply = t.now
		}
	}
	m.FailedPolls++
	m.LastPollFailure = t.now
	t.recordInDoubt(m)
	m.NextPoll = t.now + silentPollInterval
	if m.FailedPolls == 1 {
		m.NextPoll = t.now // retry at once, as a single answer may have been lost
	}
	if len(m.Tasks) == 0 && t.now > m.RunsExpireAt {
		m.NextPoll = t.now + idlePollInterval
	}
}
