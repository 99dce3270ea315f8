package control

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"maps"
	"strings"
	"time"

	"boragepulley/internal/admission"
	"boragepulley/internal/allotment"
	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

const allotPrefix = "allotment/"

// allotState is what the control goroutine knows about the parts of the teams' limits.
type allotState struct {
	// teams holds the rows, on the coordinator.
	teams map[model.Team]*teamPart
	// heard are the parts that the coordinator last reported, for a succession without
	// the table.
	heard map[model.Team]int
	// sent are the parts last given to admission.
	sent map[model.Team]int
	// seq increases when sent is replaced. Members get the list until they have confirmed it.
	seq     uint64
	checked time.Time
	reading bool
}

// teamPart is one team's row and the work on it.
type teamPart struct {
	allotment.Part
	busy bool
	// next is when the next attempt may be made.
	next time.Time
	// turn rotates through the data centres that are asked.
	turn int
	// recent is the team's running work in the last seconds.
	recent allotment.Recent
	// hold is held back until holdUntil for a data centre that asked while this one
	// was busy: running work ends, and the repeated ask finds its part free.
	hold      int
	holdUntil time.Time
}

func (s *allotState) init() {
	s.teams, s.heard = map[model.Team]*teamPart{}, map[model.Team]int{}
}

func (s *allotState) team(t model.Team) *teamPart {
	a := s.teams[t]
	if a == nil {
		a = &teamPart{}
		s.teams[t] = a
	}
	return a
}

// known reports whether a row was read.
func (a *teamPart) known() bool {
	_, _, ok := a.Row()
	return ok
}

// row returns the newest known row.
func (a *teamPart) row() allotment.Row {
	r, _, _ := a.Row()
	return r
}

// limitOf returns the limit that counts for a team: a row of a newer configuration
// can only lower it.
func (c *Control) limitOf(t model.Team, a *teamPart) int {
	team := c.cfg.index.Team(t)
	if team == nil {
		return 0
	}
	return a.Limit(team.Limit, c.cfg.version())
}

// allotments returns the part of each team's limit that this data centre may use.
func (c *Control) allotments(now time.Time) map[model.Team]int {
	out := map[model.Team]int{}
	if c.cfg.index == nil {
		return out
	}
	for _, t := range c.cfg.index.Teams {
		a := c.allot.team(t.Name)
		if a.known() {
			n := a.Usable(c.self.DC, c.limitOf(t.Name, a))
			if now.Before(a.holdUntil) {
				n -= a.hold
			}
			out[t.Name] = max(0, n)
		} else {
			out[t.Name] = min(c.allot.heard[t.Name], t.Limit)
		}
	}
	return out
}

// spendAllotments tells admission the parts if they changed.
func (c *Control) spendAllotments() {
	if c.coord == nil {
		return
	}
	parts := c.allotments(time.Now())
	if maps.Equal(parts, c.allot.sent) {
		return
	}
	c.allot.sent = parts
	c.allot.seq++
	c.coord.tasks.changed = true // tasks may wait for the team's part
	c.deliver(c.coord.adm.SetAllotments(time.Now(), parts))
}

// takeHeld keeps the parts that the coordinator reported.
func (c *Control) takeHeld(held map[model.Team]int) {
	if held != nil {
		c.allot.heard = held
	}
}

// onAllotRows keeps rows of a scan.
func (c *Control) onAllotRows(rows []platform.Row) {
	for _, r := range rows {
		var v allotment.Row
		if err := json.Unmarshal(r.Value, &v); err != nil {
			c.log.Error().Err(err).Str("key", r.Key).Msg("allotment row malformed")
			continue
		}
		c.allot.team(model.Team(strings.TrimPrefix(r.Key, allotPrefix))).Learn(v, r.Version)
	}
}

// settleAllotments reads the rows again, which restores parts of lost gifts, and
// creates and rescales rows.
func (c *Control) settleAllotments(now time.Time) {
	if c.coord == nil || c.coord.local || c.allot.reading || c.cfg.index == nil {
		return
	}
	if c.lease.term == 0 {
		c.readTerm()
	}
	c.allot.reading = true
	c.async(storeTimeout, func(ctx context.Context) func() {
		rows, err := c.d.Table.Scan(ctx, platform.PriorityAllotment, allotPrefix, 0)
		return func() {
			c.allot.reading = false
			if err != nil || c.coord == nil {
				return
			}
			c.onAllotRows(rows)
			c.rescale(time.Now())
			c.returnUnused(time.Now())
			c.spendAllotments()
			c.checkAllotments(time.Now())
		}
	})
}

// rescale writes rows that are missing or whose own part belongs to another limit.
func (c *Control) rescale(now time.Time) {
	for _, t := range c.cfg.index.Teams {
		a := c.allot.team(t.Name)
		limit := c.limitOf(t.Name, a)
		switch {
		case a.busy || now.Before(a.next) || c.lease.term == 0:
		case !a.known():
			c.writeAllotment(t.Name, a, allotment.First(limit, c.cfg.version(), slotsByDC(c.cfg.index.Site)), "first row", nil)
		case a.Reserved() == 0 && c.cfg.version() >= a.row().Version && (a.row().Base[c.self.DC] != limit || a.row().Limit != limit):
			c.writeAllotment(t.Name, a, a.row().Settle(c.self.DC, limit, c.cfg.version()), "limit changed", nil)
		}
	}
}

// writeAllotment writes a row on the condition that neither it nor the term changed.
// then, if any, is told whether the write took effect; known is false if that stays open.
func (c *Control) writeAllotment(t model.Team, a *teamPart, row allotment.Row, reason string, then func(ok, known bool)) {
	a.busy = true
	val, err := json.Marshal(row)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	key := allotPrefix + string(t)
	_, at, _ := a.Row()
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: at}, c.fence()},
		Puts:       []platform.Put{{Key: key, Value: val}},
	}
	write := a.Begin(row)
	c.spendAllotments()
	c.async(storeTimeout, func(ctx context.Context) func() {
		versions, err := c.d.Table.Commit(ctx, platform.PriorityAllotment, txn)
		var got platform.Row
		gotErr := err
		if err != nil && !unreachable(err) {
			got, gotErr = c.d.Table.Get(ctx, platform.PriorityAllotment, key)
		}
		return func() {
			a.busy = false
			ok, known := err == nil, err == nil || unreachable(err) || stderrors.Is(err, platform.ErrConflict)
			if ok {
				a.Learn(row, versions[key])
			} else {
				a.next = time.Now().Add(c.jitter(allotRetry))
				if gotErr == nil && got.Version > at {
					var v allotment.Row
					if json.Unmarshal(got.Value, &v) == nil {
						a.Learn(v, got.Version)
						// The row moved on, so the write cannot take effect any more.
						ok, known = string(got.Value) == string(val), true
					}
				}
			}
			if known && !ok {
				a.Abort(write)
			}
			allotOps.Add(map[bool]string{true: "written", false: "not_written"}[ok], 1)
			if ok {
				c.log.Info().Str("team", string(t)).Interface("held", row.Held).Int("limit", row.Limit).
					Str("reason", reason).Msg("allotment written")
			}
			if then != nil {
				then(ok, known)
			}
			c.spendAllotments()
			c.checkAllotments(time.Now())
		}
	})
}

// demand returns the team's demand in this data centre. Slots of unknown use count as
// running, as they do in admission.
func (c *Control) demand(u admission.Usage, t model.Team, a *teamPart, now time.Time) allotment.Demand {
	running := u.Running[t] + c.coord.adm.Blocked()
	a.recent.Observe(now, running)
	slots := slotsByDC(c.cfg.index.Site)[c.self.DC]
	return allotment.Demand{Running: running, Waiting: u.Waiting[t], Peak: a.recent.Max(now), Capacity: max(slots, running)}
}

// checkAllotments gets more of a limit for teams that wait because of their part or come
// close to it.
func (c *Control) checkAllotments(now time.Time) {
	k := c.coord
	if k == nil || k.local || c.lease.term == 0 || c.cfg.index == nil || now.Sub(c.allot.checked) < allotCheckGap {
		return
	}
	c.allot.checked = now
	u := k.adm.Usage(now)
	for t, a := range c.allot.teams {
		if !a.known() || a.busy || now.Before(a.next) || u.Running[t]+u.Waiting[t] == 0 {
			continue
		}
		limit := c.limitOf(t, a)
		part := a.Usable(c.self.DC, limit)
		d := c.demand(u, t, a, now)
		want := allotment.Wants(d, part)
		if want <= 0 || part >= limit {
			continue
		}
		if row, n := a.row().Take(c.self.DC, want, limit, c.cfg.version()); n > 0 {
			c.writeAllotment(t, a, row, "taken from the unassigned part", nil)
			continue
		}
		if d.Waiting > 0 {
			// The whole want, also above the limit: the giver divides by demand.
			c.askFor(t, a, want, now)
		}
	}
}

// askFor asks another data centre that holds a part of the team's limit, in turn.
func (c *Control) askFor(t model.Team, a *teamPart, want int, now time.Time) {
	var targets []*member
	for _, dc := range c.dataCentres() {
		f := c.far[dc]
		if dc == c.self.DC || f == nil || a.row().Held[dc] == 0 || f.coordinator == "" {
			continue
		}
		if m := c.byName[f.coordinator]; m != nil {
			targets = append(targets, m)
		}
	}
	if len(targets) == 0 {
		return
	}
	m := targets[a.turn%len(targets)]
	a.turn++
	a.busy, a.next = true, now.Add(c.jitter(allotRetry))
	msg := &peer.AllotmentAsk{From: c.self, Team: t, Want: want}
	c.async(2*storeTimeout, func(ctx context.Context) func() {
		r, err := m.remote.AllotmentAsk(ctx, msg)
		var got platform.Row
		if err == nil && r.Given > 0 {
			got, err = c.d.Table.Get(ctx, platform.PriorityAllotment, allotPrefix+string(t))
		}
		return func() {
			a.busy = false
			if err != nil || r.Given == 0 {
				allotOps.Add("ask_failed", 1)
				return
			}
			allotOps.Add("received", 1)
			a.next = time.Time{}
			got.Key = allotPrefix + string(t)
			c.onAllotRows([]platform.Row{got})
			c.spendAllotments()
			c.checkAllotments(time.Now())
		}
	})
}

// AllotmentAsk implements peer.ControlHandler. The giver subtracts in memory, makes
// sure that its followers know it, and then moves the part in the row: a loss on the
// way can only lose capacity, which reading the row again restores.
func (h handler) AllotmentAsk(ctx context.Context, m *peer.AllotmentAsk) (*peer.AllotmentAskReply, error) {
	c := h.c
	type gift struct {
		n     int
		since time.Time
	}
	g, err := ask(ctx, c, func() (gift, error) {
		n, err := c.subtract(m)
		if n > 0 {
			for _, p := range c.local() {
				c.beat(p)
			}
		}
		return gift{n, time.Now()}, err
	})
	if err != nil || g.n == 0 {
		return &peer.AllotmentAskReply{}, err
	}
	told := c.awaitFollowers(g.since)
	type outcome struct{ version uint64 }
	ch := make(chan outcome, 1)
	c.post(func() { c.give(m, g.n, told, func(v uint64) { ch <- outcome{v} }) })
	select {
	case o := <-ch:
		if o.version == 0 {
			return &peer.AllotmentAskReply{}, nil
		}
		return &peer.AllotmentAskReply{Given: g.n, RowVersion: o.version}, nil
	case <-c.ctx.Done():
		return nil, ErrStopped
	}
}

// subtract takes up to m.Want that is not needed here out of the own part.
func (c *Control) subtract(m *peer.AllotmentAsk) (int, error) {
	k := c.coord
	if k == nil || !c.onSender(m.From) {
		return 0, peer.ErrNotCoordinator
	}
	a := c.allot.teams[m.Team]
	if k.local || c.lease.term == 0 || c.cfg.index == nil || c.cfg.index.Team(m.Team) == nil || a == nil || !a.known() || a.busy || a.Reserved() > 0 {
		return 0, nil
	}
	now := time.Now()
	part := a.Usable(c.self.DC, c.limitOf(m.Team, a))
	d := c.demand(k.adm.Usage(now), m.Team, a, now)
	offer := allotment.Offers(d, part, a.row().Held[m.From.DC], m.Want)
	a.hold, a.holdUntil = offer.HoldBack, now.Add(holdFor)
	n := offer.Now
	if n <= 0 {
		c.spendAllotments()
		return 0, nil
	}
	a.busy = true
	a.Reserve(n)
	c.spendAllotments()
	return n, nil
}

// awaitFollowers waits until every member of the data centre that is in service has
// answered a message sent after since, and reports whether all have.
func (c *Control) awaitFollowers(since time.Time) bool {
	for range followerChecks {
		all, err := ask(c.ctx, c, func() (bool, error) {
			for _, m := range c.local() {
				if m.status != MemberGone && !m.exempt && m.answered.Before(since) {
					return false, nil
				}
			}
			return true, nil
		})
		if all || err != nil {
			return all
		}
		sleep(c.ctx, followerGap)
	}
	return false
}

// give moves n that was subtracted to the asking data centre, or to the unassigned part
// if there is none. done is told the row's
// version, or 0 if nothing was moved.
func (c *Control) give(m *peer.AllotmentAsk, n int, told bool, done func(version uint64)) {
	a := c.allot.teams[m.Team]
	if a == nil {
		// A takeover began after the part was subtracted; nothing was written.
		done(0)
		return
	}
	a.busy = false
	limit := 0
	if c.cfg.index != nil {
		limit = c.limitOf(m.Team, a)
	}
	if c.coord == nil || c.coord.local || c.lease.term == 0 || !told || !a.Unchanged() || a.row().Usable(c.self.DC, limit) < n {
		a.Release()
		c.spendAllotments()
		done(0)
		return
	}
	row := a.row().Give(c.self.DC, m.From.DC, n, limit, c.cfg.version())
	c.writeAllotment(m.Team, a, row, "given to "+string(m.From.DC), func(ok, known bool) {
		switch {
		case ok:
			allotOps.Add("given", 1)
			_, version, _ := a.Row()
			done(version)
			return
		case known:
			a.Release()
		}
		done(0)
	})
}

// returnUnused gives back what was not needed for a while, so that other data centres
// find it unassigned, also when this one is cut off later.
func (c *Control) returnUnused(now time.Time) {
	u := c.coord.adm.Usage(now)
	for _, t := range c.cfg.index.Teams {
		a := c.allot.team(t.Name)
		if !a.known() || a.busy || a.Reserved() > 0 || c.lease.term == 0 || now.Before(a.next) {
			continue
		}
		limit := c.limitOf(t.Name, a)
		part := a.Usable(c.self.DC, limit)
		first := allotment.First(limit, 0, slotsByDC(c.cfg.index.Site)).Held[c.self.DC]
		n := part - allotment.Returns(c.demand(u, t.Name, a, now), part, first)
		if n <= 0 || now.Sub(c.coord.since) < returnAfter {
			continue
		}
		a.busy = true
		a.Reserve(n)
		c.spendAllotments()
		for _, p := range c.local() {
			c.beat(p)
		}
		msg := &peer.AllotmentAsk{Team: t.Name, Want: n}
		c.async(2*storeTimeout, func(context.Context) func() {
			told := c.awaitFollowers(now)
			return func() { c.give(msg, n, told, func(uint64) {}) }
		})
	}
}

// slotsByDC counts the slots of each data centre of a configuration.
func slotsByDC(s *config.Site) map[model.DataCentre]int {
	out := map[model.DataCentre]int{}
	for _, d := range s.DataCentres {
		out[d.Name] = 0
	}
	for i := range s.VMs {
		out[s.VMs[i].DC] += s.VMs[i].Slots
	}
	return out
}
