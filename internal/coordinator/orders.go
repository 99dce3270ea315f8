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
	// orderTimeout bounds one order; an answer takes 2 to 10 ms, on a busy entry VM 100 ms.
	orderTimeout = 300 * time.Millisecond
	// resendEvery is the pause before an order without an answer is sent again, which it is at
	// once the first time. Starts and stops can be repeated: a minion carries out one run of a
	// task once.
	resendEvery = 100 * time.Millisecond
	// stopAgainEvery is the pause before a stop that was answered, but whose end is not
	// listed, is sent again.
	stopAgainEvery = 600 * time.Millisecond
	// roomPause keeps new work from a minion that had no room for an order.
	roomPause = 150 * time.Millisecond
)

// order is a start whose outcome is not known.
type order struct {
	minion   *holding.Minion
	inFlight bool
	next     time.Duration
	tries    int
}

// stopping is a stop whose run has not ended.
type stopping struct {
	inFlight bool
	next     time.Duration
	// answered is when the minion last acknowledged the stop; 0 if it did not.
	answered time.Duration
}

// start orders a run of a task.
func (t *Term) start(x *jobs.Task, m *holding.Minion) {
	run := x.NextRun(t.firstRun())
	counters.Add("starts", 1)
	t.book.Order(x, run, m.ID, t.now)
	m.Assign(x)
	o := &order{minion: m}
	t.orders[x] = o
	t.log.Info().Str("task", x.Name()).Int("run", run).Str("minion", string(m.ID)).Dur("waited", t.now-x.Step.Job.LearnedAt).Msg("Coordinator: start.")
	if j := x.Step.Job; !j.RecordedOn(m.ID) {
		t.book.MarkUnsaved(j)
		t.journal.starting[j], t.journal.urgent = true, true
		return // sent once it is stored, see resendOrders
	}
	t.sendStart(x, o)
}

// runsPerEpoch is how many numbers of runs each coordinator has for a task: numbers of
// earlier coordinators, known or not, are lower.
const runsPerEpoch = 1000

func (t *Term) firstRun() int { return int(t.epoch-1)*runsPerEpoch + 1 }

func (t *Term) sendStart(x *jobs.Task, o *order) {
	m := o.minion
	o.inFlight = true
	o.tries++
	so := site.StartOrder{Task: x.Name(), Run: x.Run, Payload: x.Step.Job.Spec.Payload, LeaseUntil: m.GrantLease(t.now, t.span), Checkpoint: x.Checkpoint}
	to := t.receiver(m)
	var clock int64
	var at time.Duration
	t.order(orderTimeout, func(ctx context.Context) (err error) {
		clock, err = t.d.Minions.Start(ctx, to, so)
		at = t.d.Now()
		return err
	}, func(err error) { t.startAnswered(x, o, so.Run, clock, at, err) })
}

// startAnswered takes the answer of a start, with a reading of the minion's clock that came
// at a time.
func (t *Term) startAnswered(x *jobs.Task, o *order, run int, clock int64, at time.Duration, err error) {
	o.inFlight = false
	m := o.minion
	if t.orders[x] != o || x.Run != run {
		return
	}
	if m.ObserveClock(clock, at) {
		t.reborn(m, 0)
		m.ObserveClock(clock, at)
	}
	if err == nil {
		t.book.Started(x, t.now)
		delete(t.orders, x)
		m.NextPoll = min(m.NextPoll, t.now+t.gap)
		return
	}
	t.startFailed(x, o, err)
}

func (t *Term) startFailed(x *jobs.Task, o *order, err error) {
	m := o.minion
	switch reason := site.RefusalOf(err); {
	case errors.Is(err, site.ErrNoAnswer), errors.Is(err, site.ErrNotSent) && o.tries > 1:
		// It may be carried out, now or seconds later: the task stays with this minion.
		m.UnconfirmedStarts[x.Name()] = x.Run
		counters.Add("starts_unanswered", 1)
		if o.tries > 1 {
			o.next = t.now + resendEvery
		}
		m.AvoidUntil = t.now + suspectFor
		return
	case reason == site.RefusedFenced:
		t.End(errors.Wrap(err, "coordinator: replaced"))
		return
	case reason == site.RefusedStale:
		// The run was there and has ended, or will be listed as running by the next look.
		t.book.Started(x, t.now)
		delete(t.orders, x)
		m.NextPoll = t.now
		return
	case reason == site.RefusedRoom:
		m.AvoidUntil = t.now + roomPause
	case errors.Is(err, site.ErrNotSent):
		// Nobody answers at the address: no more work goes there before a look succeeds.
		m.FailedPolls, m.NextPoll = max(m.FailedPolls, 1), t.now
	default:
		m.AvoidUntil = t.now + suspectFor
	}
	counters.Add("starts_refused", 1)
	t.log.Info().Err(err).Str("task", x.Name()).Int("run", x.Run).Str("minion", string(m.ID)).Msg("Coordinator: start refused.")
	if o.tries > 1 && !errors.Is(err, site.ErrOtherIncarnation) {
		// An earlier sending may still be carried out; only a stop rules that out.
		t.stopRun(x, model.ReasonWorkerNotStarted)
		return
	}
	t.over(x)
}

// stopRun ends a run. The task waits again, or is over, once its end is certain.
func (t *Term) stopRun(x *jobs.Task, why model.Reason) {
	if !x.Active() {
		return
	}
	t.log.Info().Str("task", x.Name()).Int("run", x.Run).Str("minion", string(x.Minion)).Str("reason", string(why)).Msg("Coordinator: stop.")
	t.book.Stop(x, why, t.now)
	delete(t.orders, x)
	if t.stops[x] == nil {
		t.stops[x] = &stopping{}
	}
}

func (t *Term) sendStop(x *jobs.Task, s *stopping, m *holding.Minion) {
	s.inFlight = true
	to, o := t.receiver(m), site.StopOrder{Task: x.Name(), Run: x.Run}
	t.order(orderTimeout, func(ctx context.Context) error { return t.d.Minions.Stop(ctx, to, o) },
		func(err error) { t.stopAnswered(x, s, m, err) })
}

func (t *Term) stopAnswered(x *jobs.Task, s *stopping, m *holding.Minion, err error) {
	s.inFlight = false
	s.next = t.now + resendEvery
	if t.stops[x] != s {
		return
	}
	switch {
	case err == nil:
		s.answered = t.now
		s.next = t.now + stopAgainEvery
		m.NextPoll = min(m.NextPoll, t.now+t.gap)
	case errors.Is(err, site.ErrOtherIncarnation):
		t.over(x)
	case site.RefusalOf(err) == site.RefusedFenced:
		t.End(errors.Wrap(err, "coordinator: replaced"))
	default:
		t.log.Info().Err(err).Str("task", x.Name()).Str("minion", string(m.ID)).Msg("Coordinator: stop not taken yet.")
	}
}

// resendOrders sends starts and stops that are due.
func (t *Term) resendOrders() {
	for x, o := range t.orders {
		silent := o.minion.FailedPolls > 0
		switch {
		case o.inFlight || t.now < o.next:
		case silent && o.tries == 0:
			t.over(x) // it was never sent
		case silent:
			// A silent minion gets no start again: each would prolong the lease that it may have.
		case o.tries > 0 || x.Step.Job.RecordedOn(o.minion.ID):
			t.sendStart(x, o)
		}
	}
	for x, s := range t.stops {
		if s.inFlight || t.now < s.next {
			continue
		}
		m := t.minions[x.Minion]
		if m == nil {
			t.over(x)
			continue
		}
		t.sendStop(x, s, m)
	}
}

// forgetOrders drops the orders about a task's present run.
func (t *Term) forgetOrders(x *jobs.Task) {
	delete(t.orders, x)
	delete(t.stops, x)
}
