package control

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

// leaseRow is the value of the table row "coordinator/<dc>".
type leaseRow struct {
	// Holder is empty after the lease was released by a graceful shutdown.
	Holder      model.EntryVM     `json:"holder"`
	Incarnation model.Incarnation `json:"incarnation"`
	Epoch       uint64            `json:"epoch"`
	// Seq increases with each renewal, so that reading the row back shows whether a write
	// took effect.
	Seq uint64 `json:"seq"`
	// Expiry is by the holder's clock and only informs operators. Entry VMs that may
	// take the lease use their own monotonic clock.
	Expiry time.Time `json:"expiry"`
}

// leaseState holds the known state of the lease row.
type leaseState struct {
	// rowKnown is set once the row was read, or found to be absent.
	rowKnown bool
	version  uint64
	row      leaseRow
	// changedAt is when this entry VM first saw the present version.
	changedAt time.Time
	// lastUsable is when the table was last usable. It is not usable while the last call
	// failed or the last write had no effect, even if reads succeed.
	lastUsable   time.Time
	callFailing  bool
	writeFailing bool
	// nextAttempt is the earliest time to try to take the lease after a failed write.
	nextAttempt  time.Time
	lastRead     time.Time
	readInFlight bool
	// writeInFlight is set while a write is in flight; there is at most one.
	writeInFlight bool
	// termVersion is the version of the row "term/<dc>" that this entry VM wrote when it
	// took the lease; 0 if not known.
	termVersion uint64
	// validUntil is when the lease held by this entry VM ends: LeaseTTL after the latest
	// successful write was sent.
	validUntil time.Time
}

// following identifies the coordinator that this entry VM follows. The token never
// decreases.
type following struct {
	token       model.Token
	coordinator model.EntryVM
	// resigned is the highest token whose coordinator has stepped down. It never
	// coordinates again with that token.
	resigned model.Token
}

func (c *Control) leaseKey() string { return "coordinator/" + string(c.self.DC) }

// termKey is the key of the row that changes whenever the lease is taken but not when it
// is renewed. The writes of a coordinator are conditional on it. If they were conditional
// on the lease row itself, a write that takes longer than leaseRenewInterval would always
// conflict with a renewal.
func (c *Control) termKey() string { return "term/" + string(c.self.DC) }

// fencingCondition returns the condition under which writes of a replaced coordinator
// fail.
func (c *Control) fencingCondition() platform.Condition {
	return platform.Condition{Key: c.termKey(), Version: c.lease.termVersion}
}

// readTermVersion reads the version of the term row. It is needed when the answer to the
// write that took the lease was lost.
func (c *Control) readTermVersion() {
	epoch := c.lease.row.Epoch
	c.runAsync(leaseCallTimeout, func(ctx context.Context) func() {
		row, err := c.deps.Table.Get(ctx, platform.PriorityLease, c.termKey())
		if err != nil {
			return nil
		}
		var v leaseRow
		if json.Unmarshal(row.Value, &v) != nil || v.Epoch != epoch || v.Incarnation != c.self.Incarnation {
			return nil
		}
		return func() {
			if c.lease.row.Epoch == epoch {
				c.lease.termVersion = row.Version
			}
		}
	})
}

// observeToken follows the holder of a token if it is higher than the known one, and steps
// down if this entry VM is the coordinator with a lower one. A token of this entry VM that
// others report belongs to an earlier process of it, which has ended: this process follows its
// own tokens from the time at which it takes the role. If it reported itself as the holder, the
// others would go on waiting for a coordinator that does not exist.
func (c *Control) observeToken(t model.Token, holder model.EntryVM, source string) {
	if !c.following.token.Less(t) {
		return
	}
	if c.coord != nil || c.takeover != nil {
		c.stepDown("higher token " + t.String() + " in " + source)
	}
	if holder == c.self.Entry {
		c.following.resigned, holder = t, ""
	}
	c.follow(t, holder, source)
}

// follow sets the token and the coordinator that this entry VM follows.
func (c *Control) follow(t model.Token, holder model.EntryVM, reason string) {
	old := c.following.coordinator
	if c.byName[holder] == nil && holder != c.self.Entry {
		holder = "" // not in the settings, so there is no connection to it
	}
	c.following.token, c.following.coordinator = t, holder
	c.gate.follow(t, holder, holder == c.self.Entry)
	c.snapshotStale = true
	c.log.Info().Str("from", string(old)).Str("to", string(holder)).Stringer("token", t).
		Str("reason", reason).Msg("coordinator change")
	c.recordEvent("lease", "coordinator/"+string(c.self.DC), string(old), string(holder), reason+" token "+t.String())
	if m := c.byName[holder]; m != nil {
		// The coordinator is confirmed to be alive without waiting for the next round.
		c.sendHeartbeat(m)
	}
}

// markResigned records that the coordinator of the current token has stepped down.
func (c *Control) markResigned(reason string) {
	c.following.resigned = c.following.token
	c.follow(c.following.token, "", reason)
}

// stepDown gives up the coordinator role. Entry VMs send their waiting requests again to
// the next coordinator.
func (c *Control) stepDown(reason string) {
	leaseOps.Add("step_down", 1)
	c.log.Warn().Stringer("token", c.following.token).Str("reason", reason).Msg("coordinator steps down")
	c.failWaiters()
	if c.coord != nil {
		// The allotments to use if this entry VM takes the role again without the table.
		c.allot.reported = c.allot.current
	}
	c.coord, c.takeover = nil, nil
	c.lease.validUntil = time.Time{}
	setGauge("coordinator", 0)
	if c.following.coordinator == c.self.Entry {
		c.markResigned(reason)
	}
}

// readLease polls the lease row while this entry VM does not hold it.
func (c *Control) readLease(now time.Time) {
	held := c.coord != nil && !c.coord.local
	if held || c.lease.readInFlight || c.shuttingDown {
		return
	}
	if c.lowerNamedAlive() >= fastLeaseReaders && c.lease.rowKnown && now.Sub(c.lease.lastRead) < leaseReadIntervalSlow {
		return
	}
	c.lease.readInFlight, c.lease.lastRead = true, now
	c.runAsync(leaseCallTimeout, func(ctx context.Context) func() {
		row, err := c.deps.Table.Get(ctx, platform.PriorityLease, c.leaseKey())
		return func() {
			c.lease.readInFlight = false
			c.onLeaseRead(row, err)
		}
	})
}

// lowerNamedAlive returns the number of living entry VMs of the data centre whose names
// sort before this one's.
func (c *Control) lowerNamedAlive() int {
	n := 0
	for _, m := range c.localMembers() {
		if m.Name < c.self.Entry && m.status != MemberGone && m.status != MemberSuspect {
			n++
		}
	}
	return n
}

// noteTableResult records whether the table answered a call.
func (c *Control) noteTableResult(err error) {
	c.lease.callFailing = err != nil && !stderrors.Is(err, platform.ErrConflict)
	if c.lease.usable() {
		c.lease.lastUsable = time.Now()
	}
}

func (l *leaseState) usable() bool { return !l.callFailing && !l.writeFailing }

// noteLeaseWrite records whether the row changed, by this write or by another one. If it
// did not, the next attempt is delayed.
func (c *Control) noteLeaseWrite(tookEffect bool) {
	now := time.Now()
	c.lease.writeFailing = !tookEffect
	if tookEffect {
		c.lease.lastUsable = now
	} else {
		c.lease.nextAttempt = now.Add(c.jitter(leaseRetryDelay))
	}
}

func (c *Control) onLeaseRead(row platform.Row, err error) {
	c.noteTableResult(err)
	if err != nil {
		leaseOps.Add("read_failed", 1)
		return
	}
	if c.lease.rowKnown && row.Version <= c.lease.version {
		c.takeLeaseIfDue(time.Now())
		return
	}
	var v leaseRow
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &v); err != nil {
			// The value is unusable, but the row still expires if its version does not change.
			c.log.Error().Err(err).Msg("lease row malformed")
			v = leaseRow{Holder: "?"}
		}
	}
	c.lease.rowKnown, c.lease.version, c.lease.row, c.lease.changedAt = true, row.Version, v, time.Now()
	c.takeLeaseIfDue(time.Now())
}

// takeLeaseIfDue takes the lease if its holder is gone or has not renewed it in time, or
// if this entry VM coordinates without the table and the table is available again.
func (c *Control) takeLeaseIfDue(now time.Time) {
	if c.shuttingDown || c.takeover != nil || c.lease.writeInFlight || !c.lease.rowKnown || c.lease.callFailing || now.Before(c.lease.nextAttempt) {
		return
	}
	if c.coord != nil {
		if c.coord.local {
			c.takeLease("table available again")
		}
		return
	}
	if c.coordinatorAlive(now) {
		return
	}
	if reason := c.takeReason(now); reason != "" {
		c.takeLease(reason)
	}
}

// coordinatorAlive reports whether another entry VM is the coordinator, is not known to be
// dead and answered within the TTL.
func (c *Control) coordinatorAlive(now time.Time) bool {
	m := c.byName[c.following.coordinator]
	return m != nil && m.status != MemberGone && now.Sub(c.gate.lastConfirmed()) <= LeaseTTL
}

// takeReason returns why the lease may be taken now, or "" if it may not.
func (c *Control) takeReason(now time.Time) string {
	row := c.lease.row
	m := c.byName[row.Holder]
	switch {
	case row.Holder == "":
		return "no holder"
	case row.Holder == c.self.Entry:
		return "own row of an earlier term"
	case m != nil && m.isEnded(row.Incarnation):
		return "holder is gone"
	case m != nil && m.status == MemberGone && m.goneAt.After(c.lease.changedAt):
		return "holder is gone"
	case now.Sub(c.lease.changedAt) > LeaseTTL+leaseExpiryMargin:
		return "lease expired"
	}
	return ""
}

// takeLease writes the lease row with the next epoch.
func (c *Control) takeLease(reason string) {
	epoch := max(c.lease.row.Epoch, c.following.token.Epoch) + 1
	v := leaseRow{Holder: c.self.Entry, Incarnation: c.self.Incarnation, Epoch: epoch, Seq: 1}
	c.log.Info().Uint64("epoch", epoch).Str("reason", reason).Msg("taking the coordinator lease")
	c.writeLease(v, func(ok bool) {
		if !ok {
			return
		}
		leaseOps.Add("taken", 1)
		if c.lease.termVersion == 0 {
			c.readTermVersion()
		}
		t := model.Token{Epoch: epoch}
		switch {
		case !c.following.token.Less(t):
			// A higher token was seen while the write was in flight.
			c.log.Warn().Stringer("token", t).Msg("lease taken with an outdated token")
			c.lease.validUntil = time.Time{}
		case c.coord != nil && c.coord.local:
			c.continueWithToken(t)
		default:
			c.startTakeover(t, false, reason)
		}
	})
}

// renewLease extends the lease if this entry VM holds it.
func (c *Control) renewLease(now time.Time) {
	if (c.coord == nil || c.coord.local) && (c.takeover == nil || c.takeover.local) || c.lease.writeInFlight {
		return
	}
	if c.lease.row.Holder != c.self.Entry || c.lease.row.Epoch != c.following.token.Epoch {
		return
	}
	v := c.lease.row
	v.Seq++
	c.writeLease(v, func(ok bool) {
		if ok {
			leaseOps.Add("renewed", 1)
		}
	})
}

// writeLease writes the row under the condition that it still has the last known version.
// If the answer is lost or the condition fails, it reads the row back. done is called on
// the control goroutine with whether the write took effect.
func (c *Control) writeLease(v leaseRow, done func(ok bool)) {
	c.lease.writeInFlight = true
	sent := time.Now()
	v.Expiry = sent.Add(LeaseTTL)
	val, err := json.Marshal(v)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	key, term := c.leaseKey(), c.termKey()
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: c.lease.version}},
		Puts:       []platform.Put{{Key: key, Value: val}},
	}
	if v.Seq == 1 {
		c.lease.termVersion = 0
		txn.Puts = append(txn.Puts, platform.Put{Key: term, Value: val})
	}
	c.runAsync(2*leaseCallTimeout, func(ctx context.Context) func() {
		wctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
		versions, err := c.deps.Table.Commit(wctx, platform.PriorityLease, txn)
		cancel()
		if err == nil {
			row := platform.Row{Key: key, Version: versions[key], Value: val}
			return func() {
				if n := versions[term]; n > 0 {
					c.lease.termVersion = n
				}
				c.onLeaseWritten(row, v, sent, true, nil, done)
			}
		}
		if stderrors.Is(err, platform.ErrUnavailable) || stderrors.Is(err, platform.ErrRateLimited) {
			return func() { c.onLeaseWritten(platform.Row{}, v, sent, false, err, done) }
		}
		row, rerr := c.deps.Table.Get(ctx, platform.PriorityLease, key)
		return func() { c.onLeaseWritten(row, v, sent, false, rerr, done) }
	})
}

// onLeaseWritten handles the end of a write. row is the row in the table, unless err is
// set.
func (c *Control) onLeaseWritten(row platform.Row, v leaseRow, sent time.Time, ok bool, err error, done func(bool)) {
	c.lease.writeInFlight = false
	c.noteTableResult(err)
	if err != nil {
		leaseOps.Add("write_failed", 1)
		c.noteLeaseWrite(false)
		done(false)
		return
	}
	c.lease.rowKnown = true
	before := c.lease.version
	var got leaseRow
	if row.Version > 0 && json.Unmarshal(row.Value, &got) != nil {
		got = leaseRow{Holder: "?"}
	}
	if row.Version > c.lease.version {
		c.lease.version, c.lease.row, c.lease.changedAt = row.Version, got, time.Now()
	}
	own := got.Holder == v.Holder && got.Incarnation == v.Incarnation && got.Epoch == v.Epoch
	if !ok {
		leaseOps.Add("read_back", 1)
		ok = own && got.Seq == v.Seq
	}
	c.noteLeaseWrite(ok || row.Version > before)
	if ok && v.Holder == c.self.Entry {
		c.lease.validUntil = sent.Add(LeaseTTL)
	}
	if !own && v.Holder == c.self.Entry && (c.coord != nil && !c.coord.local || c.takeover != nil && !c.takeover.local) {
		c.stepDown("lease row is held by " + string(got.Holder))
	}
	done(ok)
}

// authorityUntil returns the time until which this entry VM may grant permits. That is the
// end of its lease in the table. While the table is unreachable, it is LeaseTTL after the
// oldest of the latest confirmations by the other entry VMs of the data centre, without
// those that are silent. A refused connection counts as a confirmation, but no longer than
// one: a new process of that entry VM may have taken over since.
func (c *Control) authorityUntil(now time.Time, local bool) time.Time {
	if !local && c.lease.validUntil.After(now) {
		return c.lease.validUntil
	}
	if !local && c.lease.usable() {
		return c.lease.validUntil
	}
	until := now.Add(LeaseTTL)
	for _, m := range c.localMembers() {
		if m.confirmationWaived {
			continue
		}
		t := m.confirmed
		if m.goneAt.After(t) {
			t = m.goneAt
		}
		if t = t.Add(LeaseTTL); t.Before(until) {
			until = t
		}
	}
	return until
}

// checkAuthority steps down once neither the lease nor confirmations are valid.
func (c *Control) checkAuthority(now time.Time) {
	if c.coord == nil {
		return
	}
	until := c.authorityUntil(now, c.coord.local)
	if now.After(until) {
		c.stepDown("neither a valid lease nor confirmations")
		return
	}
	c.gate.authorize(c.following.token, until)
}
