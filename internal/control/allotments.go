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

const allotmentPrefix = "allotment/"

// allotmentState holds the known state of the teams' allotments: the parts of their limits
// that this data centre may use.
type allotmentState struct {
	// teams holds the state by team; it is used only on the coordinator.
	teams map[model.Team]*teamAllotment
	// reported holds the allotments that the coordinator last reported, for a succession
	// without the table.
	reported map[model.Team]int
	// current holds the allotments last passed to admission.
	current map[model.Team]int
	// seq increases when current is replaced. Heartbeats to a member contain the
	// allotments until the member has confirmed them.
	seq       uint64
	lastCheck time.Time
	reading   bool
}

// teamAllotment is the state of one team's row, and of the calls in progress for it.
type teamAllotment struct {
	allotment.LocalState
	inFlight bool
	// nextAttempt is the earliest time of the next attempt to change the row.
	nextAttempt time.Time
	// nextDonor rotates through the data centres that are asked for a part.
	nextDonor int
	// recentRunning tracks how much work of the team has run recently.
	recentRunning allotment.SlidingMax
	// heldBack is not used until heldBackUntil. It is kept for a data centre that asked
	// for it while it was in use here: as running work ends, the capacity becomes free
	// for the repeated request.
	heldBack      int
	heldBackUntil time.Time
}

func (s *allotmentState) init() {
	s.teams, s.reported = map[model.Team]*teamAllotment{}, map[model.Team]int{}
}

func (s *allotmentState) team(t model.Team) *teamAllotment {
	a := s.teams[t]
	if a == nil {
		a = &teamAllotment{}
		s.teams[t] = a
	}
	return a
}

// hasRow reports whether the row is known.
func (a *teamAllotment) hasRow() bool {
	_, _, ok := a.Row()
	return ok
}

// latestRow returns the newest known row.
func (a *teamAllotment) latestRow() allotment.Row {
	r, _, _ := a.Row()
	return r
}

// effectiveLimit returns the limit that applies to a team. A row that was written with a
// newer configuration can only lower the limit of the configuration in force.
func (c *Control) effectiveLimit(t model.Team, a *teamAllotment) int {
	team := c.cfg.index.Team(t)
	if team == nil {
		return 0
	}
	return a.Limit(team.Limit, c.cfg.version())
}

// allotments returns the part of each team's limit that this data centre may use now.
func (c *Control) allotments(now time.Time) map[model.Team]int {
	out := map[model.Team]int{}
	if c.cfg.index == nil {
		return out
	}
	for _, t := range c.cfg.index.Teams {
		a := c.allot.team(t.Name)
		if a.hasRow() {
			n := a.Usable(c.self.DC, c.effectiveLimit(t.Name, a))
			if now.Before(a.heldBackUntil) {
				n -= a.heldBack
			}
			out[t.Name] = max(0, n)
		} else {
			out[t.Name] = min(c.allot.reported[t.Name], t.Limit)
		}
	}
	return out
}

// updateAllotments passes the allotments to admission if they have changed.
func (c *Control) updateAllotments() {
	if c.coord == nil {
		return
	}
	parts := c.allotments(time.Now())
	if maps.Equal(parts, c.allot.current) {
		return
	}
	c.allot.current = parts
	c.allot.seq++
	c.coord.tasks.planNeeded = true // tasks may be waiting for a larger allotment
	c.deliverEffects(c.coord.admission.SetAllotments(time.Now(), parts))
}

// keepReportedAllotments keeps the allotments that the coordinator reported.
func (c *Control) keepReportedAllotments(held map[model.Team]int) {
	if held != nil {
		c.allot.reported = held
	}
}

// onAllotmentRows updates the state with rows that were read.
func (c *Control) onAllotmentRows(rows []platform.Row) {
	for _, r := range rows {
		var v allotment.Row
		if err := json.Unmarshal(r.Value, &v); err != nil {
			c.log.Error().Err(err).Str("key", r.Key).Msg("allotment row malformed")
			continue
		}
		c.allot.team(model.Team(strings.TrimPrefix(r.Key, allotmentPrefix))).Update(v, r.Version)
	}
}

// readAllotments reads all rows. This restores the parts whose transfer was lost. It then
// creates missing rows, rebases rows after a change of the limit and returns unused parts.
func (c *Control) readAllotments(now time.Time) {
	if c.coord == nil || c.coord.local || c.allot.reading || c.cfg.index == nil {
		return
	}
	if c.lease.termVersion == 0 {
		c.readTermVersion()
	}
	c.allot.reading = true
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		rows, err := c.deps.Table.Scan(ctx, platform.PriorityAllotment, allotmentPrefix, 0)
		return func() {
			c.allot.reading = false
			if err != nil || c.coord == nil {
				return
			}
			c.onAllotmentRows(rows)
			c.rebaseAllotments(time.Now())
			c.returnUnused(time.Now())
			c.updateAllotments()
			c.requestAllotments(time.Now())
		}
	})
}

// rebaseAllotments writes the rows that are missing, and those in which the part of this
// data centre is still based on another limit.
func (c *Control) rebaseAllotments(now time.Time) {
	for _, t := range c.cfg.index.Teams {
		a := c.allot.team(t.Name)
		limit := c.effectiveLimit(t.Name, a)
		switch {
		case a.inFlight || now.Before(a.nextAttempt) || c.lease.termVersion == 0:
		case !a.hasRow():
			c.writeAllotment(t.Name, a, allotment.InitialRow(limit, c.cfg.version(), slotsByDC(c.cfg.index.Site)), "initial row", nil)
		case a.Reserved() == 0 && c.cfg.version() >= a.latestRow().Version && (a.latestRow().Base[c.self.DC] != limit || a.latestRow().Limit != limit):
			c.writeAllotment(t.Name, a, a.latestRow().Rebase(c.self.DC, limit, c.cfg.version()), "limit changed", nil)
		}
	}
}

// writeAllotment writes a row under the condition that neither it nor the term has
// changed. done, if any, is called with whether the write took effect; known is false if
// that could not be determined.
func (c *Control) writeAllotment(t model.Team, a *teamAllotment, row allotment.Row, reason string, done func(ok, known bool)) {
	a.inFlight = true
	val, err := json.Marshal(row)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	key := allotmentPrefix + string(t)
	_, at, _ := a.Row()
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: at}, c.fencingCondition()},
		Puts:       []platform.Put{{Key: key, Value: val}},
	}
	write := a.BeginWrite(row)
	c.updateAllotments()
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		versions, err := c.deps.Table.Commit(ctx, platform.PriorityAllotment, txn)
		var got platform.Row
		gotErr := err
		if err != nil && !certainlyNoEffect(err) {
			got, gotErr = c.deps.Table.Get(ctx, platform.PriorityAllotment, key)
		}
		return func() {
			a.inFlight = false
			ok, known := err == nil, err == nil || certainlyNoEffect(err) || stderrors.Is(err, platform.ErrConflict)
			if ok {
				a.Update(row, versions[key])
			} else {
				a.nextAttempt = time.Now().Add(c.jitter(allotmentRetryDelay))
				if gotErr == nil && got.Version > at {
					var v allotment.Row
					if json.Unmarshal(got.Value, &v) == nil {
						a.Update(v, got.Version)
						// The row has changed, so the write can no longer take effect.
						ok, known = string(got.Value) == string(val), true
					}
				}
			}
			if known && !ok {
				a.AbortWrite(write)
			}
			allotmentOps.Add(map[bool]string{true: "written", false: "not_written"}[ok], 1)
			if ok {
				c.log.Info().Str("team", string(t)).Interface("held", row.Held).Int("limit", row.Limit).
					Str("reason", reason).Msg("allotment written")
			}
			if done != nil {
				done(ok, known)
			}
			c.updateAllotments()
			c.requestAllotments(time.Now())
		}
	})
}

// teamDemand returns the team's demand in this data centre. Slots that may be in use count
// as running, as they do in admission.
func (c *Control) teamDemand(u admission.Usage, t model.Team, a *teamAllotment, now time.Time) allotment.Demand {
	running := u.Running[t] + c.coord.admission.BlockedSlots()
	a.recentRunning.Observe(now, running)
	slots := slotsByDC(c.cfg.index.Site)[c.self.DC]
	return allotment.Demand{Running: running, Waiting: u.Waiting[t], Peak: a.recentRunning.Max(now), Capacity: max(slots, running)}
}

// requestAllotments tries to get larger allotments for teams whose work waits because of
// the allotment or comes close to it: first from the unassigned part of the limit, then
// from other data centres.
func (c *Control) requestAllotments(now time.Time) {
	coord := c.coord
	if coord == nil || coord.local || c.lease.termVersion == 0 || c.cfg.index == nil || now.Sub(c.allot.lastCheck) < allotmentCheckInterval {
		return
	}
	c.allot.lastCheck = now
	usage := coord.admission.Usage(now)
	for t, a := range c.allot.teams {
		if !a.hasRow() || a.inFlight || now.Before(a.nextAttempt) || usage.Running[t]+usage.Waiting[t] == 0 {
			continue
		}
		limit := c.effectiveLimit(t, a)
		part := a.Usable(c.self.DC, limit)
		demand := c.teamDemand(usage, t, a, now)
		want := allotment.AdditionalDemand(demand, part)
		if want <= 0 || part >= limit {
			continue
		}
		if row, n := a.latestRow().TakeUnassigned(c.self.DC, want, limit, c.cfg.version()); n > 0 {
			c.writeAllotment(t, a, row, "taken from the unassigned part", nil)
			continue
		}
		if demand.Waiting > 0 {
			// The full demand is sent, even if it is above the limit, because the donor divides
			// the capacity by demand.
			c.askOtherDC(t, a, want, now)
		}
	}
}

// askOtherDC asks one of the other data centres that hold a part of the team's limit, in
// rotation, to transfer some of it.
func (c *Control) askOtherDC(t model.Team, a *teamAllotment, want int, now time.Time) {
	var targets []*member
	for _, dc := range c.dataCentres() {
		remote := c.remoteDCs[dc]
		if dc == c.self.DC || remote == nil || a.latestRow().Held[dc] == 0 || remote.coordinator == "" {
			continue
		}
		if m := c.byName[remote.coordinator]; m != nil {
			targets = append(targets, m)
		}
	}
	if len(targets) == 0 {
		return
	}
	m := targets[a.nextDonor%len(targets)]
	a.nextDonor++
	a.inFlight, a.nextAttempt = true, now.Add(c.jitter(allotmentRetryDelay))
	msg := &peer.AllotmentAsk{From: c.self, Team: t, Want: want}
	c.runAsync(2*storeTimeout, func(ctx context.Context) func() {
		r, err := m.client.AllotmentAsk(ctx, msg)
		var got platform.Row
		if err == nil && r.Given > 0 {
			got, err = c.deps.Table.Get(ctx, platform.PriorityAllotment, allotmentPrefix+string(t))
		}
		return func() {
			a.inFlight = false
			if err != nil || r.Given == 0 {
				allotmentOps.Add("ask_failed", 1)
				return
			}
			allotmentOps.Add("received", 1)
			a.nextAttempt = time.Time{}
			got.Key = allotmentPrefix + string(t)
			c.onAllotmentRows([]platform.Row{got})
			c.updateAllotments()
			c.requestAllotments(time.Now())
		}
	})
}

// AllotmentAsk implements peer.ControlHandler. The donor first reserves the capacity in
// memory, then waits until its followers know the smaller allotment, and only then
// transfers it in the row. A failure in between can only lose capacity, which is restored
// when the row is read again.
func (h handler) AllotmentAsk(ctx context.Context, m *peer.AllotmentAsk) (*peer.AllotmentAskReply, error) {
	c := h.c
	type reservation struct {
		in    *teamAllotment
		n     int
		since time.Time
	}
	reserved, err := callOnLoop(ctx, c, func() (reservation, error) {
		n, err := c.reserveTransfer(m)
		if n > 0 {
			for _, p := range c.localMembers() {
				c.sendHeartbeat(p)
			}
		}
		return reservation{c.allot.teams[m.Team], n, time.Now()}, err
	})
	if err != nil || reserved.n == 0 {
		return &peer.AllotmentAskReply{}, err
	}
	informed := c.awaitFollowers(reserved.since)
	type outcome struct{ version uint64 }
	ch := make(chan outcome, 1)
	c.post(func() { c.transfer(m, reserved.in, reserved.n, informed, func(v uint64) { ch <- outcome{v} }) })
	select {
	case o := <-ch:
		if o.version == 0 {
			return &peer.AllotmentAskReply{}, nil
		}
		return &peer.AllotmentAskReply{Given: reserved.n, RowVersion: o.version}, nil
	case <-c.ctx.Done():
		return nil, ErrStopped
	}
}

// reserveTransfer reserves up to m.Want of this data centre's part that is not needed
// here, and returns how much.
func (c *Control) reserveTransfer(m *peer.AllotmentAsk) (int, error) {
	coord := c.coord
	if coord == nil || !c.acceptSender(m.From) {
		return 0, peer.ErrNotCoordinator
	}
	a := c.allot.teams[m.Team]
	if coord.local || c.lease.termVersion == 0 || c.cfg.index == nil || c.cfg.index.Team(m.Team) == nil || a == nil || !a.hasRow() || a.inFlight || a.Reserved() > 0 {
		return 0, nil
	}
	now := time.Now()
	part := a.Usable(c.self.DC, c.effectiveLimit(m.Team, a))
	demand := c.teamDemand(coord.admission.Usage(now), m.Team, a, now)
	offer := allotment.ComputeOffer(demand, part, a.latestRow().Held[m.From.DC], m.Want)
	a.heldBack, a.heldBackUntil = offer.Deferred, now.Add(holdBackTime)
	n := offer.Immediate
	if n <= 0 {
		c.updateAllotments()
		return 0, nil
	}
	a.inFlight = true
	a.Reserve(n)
	c.updateAllotments()
	return n, nil
}

// awaitFollowers waits until every available member of the data centre has answered a
// message sent after since, and reports whether all have.
func (c *Control) awaitFollowers(since time.Time) bool {
	for range maxFollowerChecks {
		all, err := callOnLoop(c.ctx, c, func() (bool, error) {
			for _, m := range c.localMembers() {
				if m.status != MemberGone && !m.confirmationWaived && m.answered.Before(since) {
					return false, nil
				}
			}
			return true, nil
		})
		if all || err != nil {
			return all
		}
		sleep(c.ctx, followerCheckDelay)
	}
	return false
}

// transfer moves the amount reserved in a to the data centre that asked, or to the unassigned part
// of the limit if none did. done is called with the new version of the row, or with 0 if
// nothing was moved.
func (c *Control) transfer(m *peer.AllotmentAsk, a *teamAllotment, amount int, informed bool, done func(version uint64)) {
	if a == nil || c.allot.teams[m.Team] != a {
		// A takeover began after the capacity was reserved; nothing was written. What is reserved
		// since then belongs to another transfer.
		done(0)
		return
	}
	a.inFlight = false
	limit := 0
	if c.cfg.index != nil {
		limit = c.effectiveLimit(m.Team, a)
	}
	if c.coord == nil || c.coord.local || c.lease.termVersion == 0 || !informed || !a.Unchanged() || a.latestRow().Usable(c.self.DC, limit) < amount {
		a.Release()
		c.updateAllotments()
		done(0)
		return
	}
	row := a.latestRow().Transfer(c.self.DC, m.From.DC, amount, limit, c.cfg.version())
	c.writeAllotment(m.Team, a, row, "transferred to "+string(m.From.DC), func(ok, known bool) {
		switch {
		case ok:
			allotmentOps.Add("given", 1)
			_, version, _ := a.Row()
			done(version)
			return
		case known:
			a.Release()
		}
		done(0)
	})
}

// returnUnused moves capacity that has not been needed for some time to the unassigned
// part of the limit. Other data centres can then take it even if this one is cut off.
func (c *Control) returnUnused(now time.Time) {
	usage := c.coord.admission.Usage(now)
	for _, t := range c.cfg.index.Teams {
		a := c.allot.team(t.Name)
		if !a.hasRow() || a.inFlight || a.Reserved() > 0 || c.lease.termVersion == 0 || now.Before(a.nextAttempt) {
			continue
		}
		limit := c.effectiveLimit(t.Name, a)
		part := a.Usable(c.self.DC, limit)
		first := allotment.InitialRow(limit, 0, slotsByDC(c.cfg.index.Site)).Held[c.self.DC]
		n := part - allotment.Retained(c.teamDemand(usage, t.Name, a, now), part, first)
		if n <= 0 || now.Sub(c.coord.since) < returnObservationTime {
			continue
		}
		a.inFlight = true
		a.Reserve(n)
		c.updateAllotments()
		for _, p := range c.localMembers() {
			c.sendHeartbeat(p)
		}
		msg := &peer.AllotmentAsk{Team: t.Name, Want: n}
		c.runAsync(2*storeTimeout, func(context.Context) func() {
			informed := c.awaitFollowers(now)
			return func() { c.transfer(msg, a, n, informed, func(uint64) {}) }
		})
	}
}

// slotsByDC returns the number of slots in each data centre of a configuration.
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
