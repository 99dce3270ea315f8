package control

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"boragepulley/internal/admission"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// coordinator is the state of this entry VM while it is the coordinator and grants
// permits.
type coordinator struct {
	since time.Time
	// local is set while the role is held without the table; see checkLocalSuccession.
	local     bool
	admission *admission.Admission
	// waiters holds the pending Acquire calls by attempt. A repeated call for the same
	// attempt adds a second waiter.
	waiters map[permitKey][]chan<- acquireResult
	// abandoned holds the attempts whose last pending call ended without an answer.
	abandoned     map[permitKey]abandoned
	minionPolls   map[model.VM]*minionPoll
	pollsInFlight int
	tasks         tasks
}

type abandoned struct {
	holder model.EntryVM
	since  time.Time
}

type acquireResult struct {
	reply *peer.AcquireReply
	err   error
}

func (c *Control) newCoordinator(t model.Token, local bool) *coordinator {
	coord := &coordinator{
		since:       time.Now(),
		local:       local,
		admission:   admission.New(c.self.DC, t, admission.DefaultParams()),
		waiters:     map[permitKey][]chan<- acquireResult{},
		abandoned:   map[permitKey]abandoned{},
		minionPolls: map[model.VM]*minionPoll{},
		tasks:       newTasks(),
	}
	now := time.Now()
	if c.cfg.index != nil {
		coord.admission.SetConfig(c.effectiveConfig(), now)
		for _, v := range c.cfg.index.VMs {
			if v.DC == c.self.DC {
				coord.admission.SetMinionState(now, v.Name, c.vmState(v.Name))
			}
		}
	}
	c.allot.current = c.allotments(now)
	c.allot.seq++
	coord.admission.SetAllotments(now, c.allot.current)
	return coord
}

// applySite puts a new configuration in force at the coordinator.
func (c *Control) applySite() {
	coord := c.coord
	if coord == nil || c.cfg.index == nil {
		return
	}
	now := time.Now()
	// The allotments are updated first: a lowered limit must apply before the new
	// configuration starts anything.
	c.updateAllotments()
	c.deliverEffects(coord.admission.SetConfig(c.effectiveConfig(), now))
	for _, v := range c.cfg.index.VMs {
		if v.DC == c.self.DC {
			c.deliverEffects(coord.admission.SetMinionState(now, v.Name, c.vmState(v.Name)))
		}
	}
	c.applyDrains()
	c.endWithdrawnTasks()
	c.readAllotments(now)
}

// Acquire implements peer.ControlHandler.
func (h handler) Acquire(ctx context.Context, m *peer.Acquire) (*peer.AcquireReply, error) {
	c := h.c
	ch := make(chan acquireResult, 1)
	key := permitKey{m.Request.Job, m.Attempt}
	submit := func() {
		submitted := false
		defer func() {
			if !submitted { // it panicked; the caller asks the next coordinator
				fail(ch)
			}
		}()
		c.submit(m, key, ch)
		submitted = true
	}
	if !c.post(submit) {
		return nil, ErrStopped
	}
	select {
	case r := <-ch:
		return r.reply, r.err
	case <-ctx.Done():
		c.post(func() { c.abandon(key, m.From.Entry, ch) })
		return nil, ctx.Err()
	case <-c.ctx.Done():
		return nil, peer.ErrNotCoordinator
	}
}

// submit passes a request to admission. Requests that arrive during a takeover are
// deferred until it ends.
func (c *Control) submit(m *peer.Acquire, key permitKey, ch chan<- acquireResult) {
	if m.From.Entry != c.self.Entry && !c.acceptSender(m.From) {
		ch <- acquireResult{err: peer.ErrStaleToken}
		return
	}
	if c.takeover != nil {
		tk := c.takeover
		tk.deferred = append(tk.deferred, func() { c.submit(m, key, ch) })
		return
	}
	coord := c.coord
	if coord == nil {
		ch <- acquireResult{err: peer.ErrNotCoordinator}
		return
	}
	coord.waiters[key] = append(coord.waiters[key], ch)
	delete(coord.abandoned, key)
	effects := coord.admission.Submit(time.Now(), *m)
	c.deliverEffects(effects)
	if len(effects) == 0 {
		c.requestAllotments(time.Now())
	}
}

// abandon removes a pending call that ended without an answer. The request stays queued
// for waiterGrace, because its entry VM repeats the call over a new connection.
func (c *Control) abandon(key permitKey, holder model.EntryVM, ch chan<- acquireResult) {
	coord := c.coord
	if coord == nil {
		return
	}
	list := coord.waiters[key]
	for i, w := range list {
		if w == ch {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) > 0 {
		coord.waiters[key] = list
		return
	}
	if _, ok := coord.waiters[key]; ok {
		delete(coord.waiters, key)
		coord.abandoned[key] = abandoned{holder, time.Now()}
	}
}

// checkWaiters cancels requests that stayed abandoned for waiterGrace and runs the
// time-dependent work of admission.
func (c *Control) checkWaiters(now time.Time) {
	coord := c.coord
	if coord == nil {
		return
	}
	for key, a := range coord.abandoned {
		if now.Sub(a.since) > waiterGrace {
			delete(coord.abandoned, key)
			c.deliverEffects(coord.admission.Cancel(now, key.job, key.attempt, a.holder))
		}
	}
	c.deliverEffects(coord.admission.Tick(now))
	setGauge("waiting_calls", int64(len(coord.waiters)))
}

// fail answers a pending call with ErrNotCoordinator, unless it was answered before.
func fail(ch chan<- acquireResult) {
	select {
	case ch <- acquireResult{err: peer.ErrNotCoordinator}:
	default:
	}
}

// failWaiters answers all pending calls with ErrNotCoordinator.
func (c *Control) failWaiters() {
	if c.coord != nil {
		for _, list := range c.coord.waiters {
			for _, ch := range list {
				fail(ch)
			}
		}
		clear(c.coord.waiters)
	}
	if c.takeover != nil {
		early := c.takeover.deferred
		c.takeover = nil
		c.coord = nil
		for _, f := range early {
			f()
		}
	}
}

// deliverEffects logs the decisions of admission and answers the pending calls.
func (c *Control) deliverEffects(effects []admission.Effect) {
	for i := range effects {
		e := &effects[i]
		c.logEffect(e)
		if c.coord == nil {
			continue
		}
		key := permitKey{e.Job, e.Attempt}
		delete(c.coord.abandoned, key)
		reply := e.Reply()
		for _, ch := range c.coord.waiters[key] {
			ch <- acquireResult{reply: &reply}
		}
		delete(c.coord.waiters, key)
	}
}

func (c *Control) logEffect(e *admission.Effect) {
	decisions.Add(string(e.Kind)+"_"+string(e.Reason), 1)
	var ev *zerolog.Event
	if e.Kind == admission.EffectGrant {
		ev = c.log.Info().Str("minion", string(e.Permit.Minion)).Stringer("token", e.Permit.Token)
	} else {
		ev = c.log.Info().Str("forward_to", string(e.To))
	}
	ev.Str("job", string(e.Job)).Int("attempt", e.Attempt).Str("holder", string(e.Holder)).
		Str("team", string(e.Team)).Str("queue", string(e.Queue)).Str("reason", string(e.Reason)).
		Str("detail", e.Detail).Msg(string(e.Kind))
}

// CancelAcquire implements peer.ControlHandler.
func (h handler) CancelAcquire(ctx context.Context, m *peer.CancelAcquire) (*peer.Empty, error) {
	return callOnLoop(ctx, h.c, func() (*peer.Empty, error) {
		return h.c.applyRelease(m.From, func(a *admission.Admission, now time.Time) []admission.Effect {
			return a.Cancel(now, m.Job, m.Attempt, m.From.Entry)
		})
	})
}

// Release implements peer.ControlHandler.
func (h handler) Release(ctx context.Context, m *peer.Release) (*peer.Empty, error) {
	return callOnLoop(ctx, h.c, func() (*peer.Empty, error) {
		return h.c.applyRelease(m.From, func(a *admission.Admission, now time.Time) []admission.Effect {
			return a.Release(now, *m)
		})
	})
}

func (c *Control) applyRelease(from peer.Sender, f func(*admission.Admission, time.Time) []admission.Effect) (*peer.Empty, error) {
	if c.coord == nil {
		return nil, peer.ErrNotCoordinator
	}
	if from.Entry != c.self.Entry && !c.acceptSender(from) {
		return nil, peer.ErrStaleToken
	}
	c.deliverEffects(f(c.coord.admission, time.Now()))
	return &peer.Empty{}, nil
}

// unattributed returns the number of running jobs of unknown origin per minion.
func (c *Control) unattributed() map[model.VM]int {
	out := map[model.VM]int{}
	for _, i := range c.coord.admission.Minions() {
		if i.Unattributed > 0 {
			out[i.VM] = i.Unattributed
		}
	}
	return out
}
