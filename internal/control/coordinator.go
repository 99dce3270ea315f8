package control

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"boragepulley/internal/admission"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// coordinator is the state of a coordinator that grants permits.
type coordinator struct {
	since time.Time
	// local is set while the role was taken without the table.
	local bool
	adm   *admission.Admission
	// waiters holds the calls that wait for an answer, by attempt. A repeated call of
	// an attempt adds one.
	waiters map[permitKey][]chan<- waitResult
	// abandoned holds attempts whose last call ended without an answer, with the time.
	abandoned map[permitKey]abandoned
	polls     map[model.VM]*minionPoll
	polling   int
	tasks     tasks
}

type abandoned struct {
	holder model.EntryVM
	since  time.Time
}

type waitResult struct {
	reply *peer.AcquireReply
	err   error
}

func (c *Control) newCoordinator(t model.Token, local bool) *coordinator {
	k := &coordinator{
		since:     time.Now(),
		local:     local,
		adm:       admission.New(c.self.DC, t, admission.DefaultParams()),
		waiters:   map[permitKey][]chan<- waitResult{},
		abandoned: map[permitKey]abandoned{},
		polls:     map[model.VM]*minionPoll{},
		tasks:     newTasks(),
	}
	now := time.Now()
	if c.cfg.index != nil {
		k.adm.SetSite(c.effectiveSite(), now)
		for _, v := range c.cfg.index.VMs {
			if v.DC == c.self.DC {
				k.adm.SetMinionState(now, v.Name, c.vmState(v.Name))
			}
		}
	}
	c.allot.sent = c.allotments(now)
	c.allot.seq++
	k.adm.SetAllotments(now, c.allot.sent)
	return k
}

// applySite puts a new configuration in force at the coordinator.
func (c *Control) applySite() {
	k := c.coord
	if k == nil || c.cfg.index == nil {
		return
	}
	now := time.Now()
	// Limits come first: a lowered limit must hold before the new site starts anything.
	c.spendAllotments()
	c.deliver(k.adm.SetSite(c.effectiveSite(), now))
	for _, v := range c.cfg.index.VMs {
		if v.DC == c.self.DC {
			c.deliver(k.adm.SetMinionState(now, v.Name, c.vmState(v.Name)))
		}
	}
	c.applyDrains()
	c.dropWithdrawn()
	c.settleAllotments(now)
}

// Acquire implements peer.ControlHandler.
func (h handler) Acquire(ctx context.Context, m *peer.Acquire) (*peer.AcquireReply, error) {
	c := h.c
	ch := make(chan waitResult, 1)
	key := permitKey{m.Request.Job, m.Attempt}
	if !c.post(func() { c.submit(m, key, ch) }) {
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

// submit hands a request to admission.
func (c *Control) submit(m *peer.Acquire, key permitKey, ch chan<- waitResult) {
	if m.From.Entry != c.self.Entry && !c.onSender(m.From) {
		ch <- waitResult{err: peer.ErrStaleToken}
		return
	}
	if c.takeover != nil {
		tk := c.takeover
		tk.early = append(tk.early, func() { c.submit(m, key, ch) })
		return
	}
	k := c.coord
	if k == nil {
		ch <- waitResult{err: peer.ErrNotCoordinator}
		return
	}
	k.waiters[key] = append(k.waiters[key], ch)
	delete(k.abandoned, key)
	effects := k.adm.Submit(time.Now(), *m)
	c.deliver(effects)
	if len(effects) == 0 {
		c.checkAllotments(time.Now())
	}
}

// abandon handles the end of a call that waits. The request stays for waiterGrace,
// because its entry VM repeats the call over a new connection.
func (c *Control) abandon(key permitKey, holder model.EntryVM, ch chan<- waitResult) {
	k := c.coord
	if k == nil {
		return
	}
	list := k.waiters[key]
	for i, w := range list {
		if w == ch {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) > 0 {
		k.waiters[key] = list
		return
	}
	if _, ok := k.waiters[key]; ok {
		delete(k.waiters, key)
		k.abandoned[key] = abandoned{holder, time.Now()}
	}
}

// checkWaiters ends abandoned requests and lets admission act on the passing of time.
func (c *Control) checkWaiters(now time.Time) {
	k := c.coord
	if k == nil {
		return
	}
	for key, a := range k.abandoned {
		if now.Sub(a.since) > waiterGrace {
			delete(k.abandoned, key)
			c.deliver(k.adm.Cancel(now, key.job, key.attempt, a.holder))
		}
	}
	c.deliver(k.adm.Tick(now))
	setGauge("waiting_calls", int64(len(k.waiters)))
}

// endWaiters tells all waiting calls that this entry VM is not the coordinator.
func (c *Control) endWaiters() {
	if c.coord != nil {
		for _, list := range c.coord.waiters {
			for _, ch := range list {
				ch <- waitResult{err: peer.ErrNotCoordinator}
			}
		}
		clear(c.coord.waiters)
	}
	if c.takeover != nil {
		early := c.takeover.early
		c.takeover = nil
		c.coord = nil
		for _, f := range early {
			f()
		}
	}
}

// deliver answers the calls that admission decided on.
func (c *Control) deliver(effects []admission.Effect) {
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
			ch <- waitResult{reply: &reply}
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
	return ask(ctx, h.c, func() (*peer.Empty, error) {
		return h.c.giveBack(m.From, func(a *admission.Admission, now time.Time) []admission.Effect {
			return a.Cancel(now, m.Job, m.Attempt, m.From.Entry)
		})
	})
}

// Release implements peer.ControlHandler.
func (h handler) Release(ctx context.Context, m *peer.Release) (*peer.Empty, error) {
	return ask(ctx, h.c, func() (*peer.Empty, error) {
		return h.c.giveBack(m.From, func(a *admission.Admission, now time.Time) []admission.Effect {
			return a.Release(now, *m)
		})
	})
}

func (c *Control) giveBack(from peer.Sender, f func(*admission.Admission, time.Time) []admission.Effect) (*peer.Empty, error) {
	if c.coord == nil {
		return nil, peer.ErrNotCoordinator
	}
	if from.Entry != c.self.Entry && !c.onSender(from) {
		return nil, peer.ErrStaleToken
	}
	c.deliver(f(c.coord.adm, time.Now()))
	return &peer.Empty{}, nil
}

// unattributed counts the jobs of unknown origin per minion.
func (c *Control) unattributed() map[model.VM]int {
	out := map[model.VM]int{}
	for _, i := range c.coord.adm.Minions() {
		if i.Unattributed > 0 {
			out[i.VM] = i.Unattributed
		}
	}
	return out
}
