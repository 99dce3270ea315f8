package control

import (
	"context"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

// takeover is the registration phase of a new coordinator. No permits are granted during
// it.
type takeover struct {
	token   model.Token
	local   bool
	started time.Time
	// pending holds the members that have neither answered nor been found unavailable.
	pending map[model.EntryVM]*member
	permits []model.Permit
	// orphans are reported permits whose holder's process has ended since. Its next process does not
	// hold them, but their jobs may still run.
	orphans []model.Permit
	// rowsSettled is set once the rows of VMs, waves and allotments were read or the read
	// has failed.
	rowsSettled bool
	// tasksSettled is set once the task rows were read or the read has failed; tasksRead
	// is set only if they were read.
	tasksSettled, tasksRead bool
	taskRows                []platform.Row
	taskSeq                 platform.Row
	// deferred holds the requests that arrived during the phase.
	deferred []func()
}

// startTakeover starts the registration at all entry VMs of the data centre. Unless the
// takeover is local, it also starts to read the rows of the table.
func (c *Control) startTakeover(t model.Token, local bool, reason string) {
	c.follow(t, c.self.Entry, reason)
	tk := &takeover{token: t, local: local, started: time.Now(), pending: map[model.EntryVM]*member{}}
	c.takeover = tk
	tk.tasksSettled = local
	if tk.rowsSettled = local; local {
		c.allot.teams = map[model.Team]*teamAllotment{}
		c.fleet.reset()
	} else {
		c.loadTakeoverRows(tk)
		c.loadTasks(tk)
	}
	for _, m := range c.localMembers() {
		m.confirmed, m.unregistered = time.Time{}, true
		if m.status != MemberGone {
			tk.pending[m.Name] = m
			c.register(m)
		}
	}
	c.checkTakeover(time.Now())
}

// register sends the current token to m. The reply confirms the token and lists the
// permits that m holds.
func (c *Control) register(m *member) {
	if m.registering {
		return
	}
	m.registering = true
	sent := time.Now()
	msg := &peer.Register{From: c.self, Token: c.following.token, Local: c.takeover != nil && c.takeover.local}
	c.runAsync(heartbeatTimeout, func(ctx context.Context) func() {
		r, err := m.client.Register(ctx, msg)
		return func() {
			m.registering = false
			c.onRegistered(m, msg.Token, r, err, sent)
		}
	})
}

// registerAgain registers at a member that is reachable again or does not have the token
// yet.
func (c *Control) registerAgain(m *member) {
	if c.takeover == nil && c.coord != nil {
		c.register(m)
	}
}

func (c *Control) onRegistered(m *member, t model.Token, r *peer.RegisterReply, err error, sent time.Time) {
	if t != c.following.token || c.following.coordinator != c.self.Entry {
		return // a reply to a registration of an earlier term
	}
	if err != nil {
		c.onUnanswered(m, sent)
		c.probe(m)
		return // checkTakeover repeats it
	}
	if !c.acceptSender(r.From) {
		return
	}
	if !r.Accepted {
		c.log.Warn().Str("peer", string(m.Name)).Stringer("token", r.Token).Msg("registration rejected")
		if !t.Less(r.Token) {
			c.stepDown("registration rejected by " + string(m.Name))
			return
		}
		c.observeToken(r.Token, "", "registration reply of "+string(m.Name))
		return
	}
	c.confirmToken(m, sent)
	m.unregistered = false
	switch {
	case c.takeover != nil:
		c.takeover.permits = append(c.takeover.permits, r.Permits...)
		delete(c.takeover.pending, m.Name)
		c.checkTakeover(time.Now())
	case c.coord != nil:
		c.deliverEffects(c.coord.admission.Adopt(time.Now(), r.Permits))
	}
}

// checkTakeover ends the registration phase once no member is left to wait for. It waits
// for a member that sent a message within the TTL, because that member may still dispatch
// with a permit of the earlier coordinator. A member without a message within the TTL
// cannot.
func (c *Control) checkTakeover(now time.Time) {
	tk := c.takeover
	if tk == nil {
		c.takeLeaseIfDue(now)
		return
	}
	for n, m := range tk.pending {
		switch {
		case m.status == MemberGone,
			!tk.local && now.Sub(m.lastMessage) > LeaseTTL && now.Sub(tk.started) > minRegisterWait,
			tk.local && m.isSilent(now):
			delete(tk.pending, n)
		default:
			if now.Sub(tk.started) > checkInterval {
				c.register(m)
			}
		}
	}
	if len(tk.pending) > 0 || !tk.rowsSettled || !tk.tasksSettled {
		return
	}
	if !tk.local && !c.lease.validUntil.After(now) || tk.local && !c.authorityUntil(now, true).After(now) {
		if now.Sub(tk.started) > 2*LeaseTTL {
			c.stepDown("no authority at the end of the registration")
		}
		return
	}
	c.startGranting(tk)
}

// startGranting ends the takeover; from here on this entry VM grants permits.
func (c *Control) startGranting(tk *takeover) {
	now := time.Now()
	c.takeover = nil
	c.coord = c.newCoordinator(tk.token, tk.local)
	c.gate.authorize(tk.token, c.authorityUntil(now, tk.local))
	c.adoptPermits(tk, now)
	c.adoptTasksAtTakeover(tk)
	c.snapshotStale = true
	setGauge("coordinator", 1)
	c.log.Info().Stringer("token", tk.token).Bool("local", tk.local).Int("permits", len(tk.permits)).
		Dur("registration", now.Sub(tk.started)).Msg("coordinator grants permits")
	if c.cfg.index != nil {
		c.applyDrains()
	}
	c.pollMinions(now)
	for _, f := range tk.deferred {
		f()
	}
}

// removeHolder records that the process of an entry VM has ended.
func (tk *takeover) removeHolder(name model.EntryVM) {
	var kept []model.Permit
	for _, p := range tk.permits {
		if p.Holder == name {
			tk.orphans = append(tk.orphans, p)
		} else {
			kept = append(kept, p)
		}
	}
	tk.permits = kept
}

// adoptPermits adds the permits that were reported during the takeover and those of this entry VM.
// Only the minions' status frees the orphans, unless their process turned out to be running and
// reported them again.
func (c *Control) adoptPermits(tk *takeover, now time.Time) {
	a := c.coord.admission
	c.deliverEffects(a.Adopt(now, tk.orphans))
	ended := map[model.EntryVM]bool{}
	for _, p := range tk.orphans {
		ended[p.Holder] = true
	}
	for holder := range ended {
		c.deliverEffects(a.RemoveHolder(now, holder))
	}
	c.deliverEffects(a.Adopt(now, append(tk.permits, c.gate.outstanding()...)))
}

// continueWithToken switches a local successor to the token that it has written to the
// table.
func (c *Control) continueWithToken(t model.Token) {
	c.follow(t, c.self.Entry, "local successor took the lease")
	c.coord.local = false
	c.coord.admission.SetToken(t)
	for _, m := range c.localMembers() {
		c.register(m)
	}
}

// Register implements peer.ControlHandler. An entry VM that accepts a token rejects all
// lower ones from then on.
func (h handler) Register(ctx context.Context, m *peer.Register) (*peer.RegisterReply, error) {
	c := h.c
	return callOnLoop(ctx, c, func() (*peer.RegisterReply, error) {
		r := &peer.RegisterReply{From: c.self}
		known := c.acceptSender(m.From)
		same := m.Token == c.following.token && m.From.Entry == c.following.coordinator
		if known && (same || c.following.token.Less(m.Token)) && m.From.DC == c.self.DC {
			if c.coord != nil {
				r.Unattributed = c.unattributed()
			}
			c.observeToken(m.Token, m.From.Entry, "registration")
			r.Accepted = true
			r.Permits = c.gate.outstanding()
		}
		r.Token = c.following.token
		return r, nil
	})
}
