package control

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"boragepulley/internal/admission"
	"boragepulley/internal/config"
	"boragepulley/internal/invariant"
	"boragepulley/internal/maintenance"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

const (
	planInterval = time.Second
	// repairDelay is the wait before the second reboot of a failed VM; it doubles up to
	// maxRepairDelay.
	repairDelay    = 30 * time.Second
	maxRepairDelay = 10 * time.Minute
	// holdNoTable holds back a planned step while the table cannot be written: a budget
	// that spans data centres cannot be checked (D11).
	holdNoTable = "table_not_reachable"
	// holdHealthNotFresh holds back a planned step until the health of all minions is fresh.
	holdHealthNotFresh = "health_not_fresh"
	// maxHoldReasons bounds the VMs that a status names with their reason.
	maxHoldReasons = 200
)

// runFleetPlan plans the maintenance of this data centre and takes its steps.
func (c *Control) runFleetPlan(now time.Time) {
	coord := c.coord
	if coord == nil || c.cfg.index == nil || c.fleet.writeInFlight {
		// Planned changes in flight are neither in force nor void; the next round sees them.
		return
	}
	c.applyPools()
	s := c.fleetSnapshot(coord, now)
	plan := maintenance.NewPlan(s)
	c.fleet.plan = plan
	c.recordPlanHolds(&plan)
	planned := c.applySteps(&s, &plan, now)
	if len(planned) > 0 && !c.polledOftenEnough(now) {
		for _, p := range planned {
			c.recordHold(p.vm, holdHealthNotFresh, "the step waits for fresh polls of all minions")
		}
		planned = nil
	}
	if len(planned) > 0 && !c.canWritePlan() {
		for _, p := range planned {
			c.recordHold(p.vm, holdNoTable, "the step waits for the table")
		}
		planned = nil
	}
	c.trackWaves(&plan, now)
	c.updateBudgets(&s, &plan, now)
	c.writeFleet(planned)
	c.requestReboots()
}

// canWritePlan reports whether planned steps may start: the table is needed to write them.
func (c *Control) canWritePlan() bool {
	return c.coord != nil && !c.coord.local && c.lease.termVersion != 0 && !c.lease.callFailing &&
		c.fleet.loadedTerm == c.lease.termVersion && !c.fleet.reload && !c.fleet.writeInFlight
}

// fleetSnapshot collects what the planner works with.
func (c *Control) fleetSnapshot(coord *coordinator, now time.Time) maintenance.Snapshot {
	x := c.cfg.index
	s := maintenance.Snapshot{Now: now, Waves: x.Waves, Budgets: x.Budgets,
		FleetBudgetShare: c.fleetBudgetShares(), Done: map[string]map[model.VM]bool{}}
	for i := range x.Waves {
		w := &x.Waves[i]
		s.Cooldown = max(s.Cooldown, w.Cooldown)
		if r := c.fleet.waves[w.Name]; r != nil && r.current.Start.Equal(w.Start) {
			s.Done[w.Name] = map[model.VM]bool{}
			for _, vm := range r.current.Done {
				s.Done[w.Name][vm] = true
			}
		}
	}
	minions := minionsByName(coord.adm)
	for i := range x.VMs {
		v := &x.VMs[i]
		if v.DC != c.self.DC {
			continue
		}
		r := c.vmRecord(v.Name)
		s.VMs = append(s.VMs, c.plannerVM(v, r, minions[v.Name]))
		if !r.current.Failed.IsZero() {
			s.Failures = append(s.Failures, maintenance.Failure{VM: v.Name, Rack: v.Rack, At: r.current.Failed})
		}
	}
	slices.SortFunc(s.VMs, func(a, b maintenance.VM) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func (c *Control) plannerVM(v *config.VM, r *vmRecord, m admission.MinionInfo) maintenance.VM {
	out := maintenance.VM{Name: v.Name, Pool: r.current.Pool, Rack: v.Rack, State: r.current.State, Since: r.current.Since,
		Permits: m.Used, Idle: r.idle && m.Idle(), Drained: v.Drain, RetryAt: r.retryAt, Suspect: !r.suspectSince.IsZero(),
		Service: c.serviceOf(r)}
	if v.Pool != r.current.Pool {
		out.MoveTo = v.Pool
	}
	switch r.current.State {
	case model.VMFailed:
		// Slots that are only unknown must not keep a failed VM from its repair.
		out.Permits = m.Outstanding
	case model.VMServing:
		out.Permits = m.Outstanding
	case model.VMRebooting:
		out.Up = !r.rebootDoneAt.IsZero() && r.lastAnswered.After(r.rebootDoneAt)
	}
	return out
}

// applySteps takes the steps that return capacity or only record what happened, and
// returns those that must be written first.
func (c *Control) applySteps(s *maintenance.Snapshot, plan *maintenance.Plan, now time.Time) []plannedChange {
	var planned []plannedChange
	for i := range plan.Steps {
		st := &plan.Steps[i]
		r := c.vmRecord(st.VM)
		reason := string(st.Reason)
		if st.Detail != "" {
			reason += ": " + st.Detail
		}
		fleetOps.Add("step_"+string(st.Kind), 1)
		next := vmRow{Pool: r.current.Pool, Wave: r.current.Wave, Since: now, Failed: r.current.Failed}
		switch {
		case st.Kind == maintenance.StepDrain && st.Reason == maintenance.ReasonConfigured:
			c.setVMState(st.VM, model.VMDraining, reason)
		case st.Kind == maintenance.StepDrain:
			next.State = model.VMDraining
			if st.Reason == maintenance.ReasonWave {
				next.Wave = st.Detail
			}
			planned = append(planned, plannedChange{st.VM, next, reason})
		case st.Kind == maintenance.StepEmpty:
			c.setVMState(st.VM, model.VMEmpty, reason)
		case st.Kind == maintenance.StepReboot:
			next.State, next.Request = model.VMRebooting, string(model.NewIncarnation())
			planned = append(planned, plannedChange{st.VM, next, reason})
		case st.Kind == maintenance.StepMove:
			next.State, next.Pool, next.Wave = model.VMServing, c.cfg.index.VM(st.VM).Pool, ""
			if c.cfg.index.VM(st.VM).Drain {
				next.State = model.VMEmpty
			}
			planned = append(planned, plannedChange{st.VM, next, reason})
		case st.Kind == maintenance.StepReturn:
			c.returnVM(st, r, reason, now)
		case st.Kind == maintenance.StepFail:
			c.markFailed(st.VM, reason)
		}
	}
	c.assertBudgets(s, planned)
	return planned
}

// returnVM returns a VM to service and records the waves that are done with it.
func (c *Control) returnVM(st *maintenance.Step, r *vmRecord, reason string, now time.Time) {
	for _, name := range st.Waves {
		for i := range c.cfg.index.Waves {
			if w := &c.cfg.index.Waves[i]; w.Name == name {
				rec := c.waveRecord(w, now)
				rec.current.Done = append(rec.current.Done, st.VM)
				rec.dirty = true
			}
		}
	}
	to := model.VMServing
	if v := c.cfg.index.VM(st.VM); v != nil && v.Drain {
		to = model.VMDraining
	}
	c.setVMState(st.VM, to, reason)
	r.current.Wave = ""
}

// waveRecord returns the progress of a wave, a new one if the wave has another start.
func (c *Control) waveRecord(w *config.Wave, now time.Time) *waveRecord {
	r := c.fleet.waves[w.Name]
	if r == nil {
		r = &waveRecord{}
		c.fleet.waves[w.Name] = r
	}
	if !r.current.Start.Equal(w.Start) || r.current.Began.IsZero() {
		r.current, r.dirty = waveRow{Start: w.Start, Began: now}, true
		c.log.Info().Str("wave", w.Name).Msg("wave begins")
		c.recordEvent("wave", "wave/"+w.Name, "", "began", "start "+w.Start.UTC().Format(time.RFC3339))
	}
	return r
}

// assertBudgets checks planned drains against every budget, independently of the planner
// (I1).
func (c *Control) assertBudgets(s *maintenance.Snapshot, planned []plannedChange) {
	draining := map[model.VM]bool{}
	for _, p := range planned {
		if p.row.State == model.VMDraining {
			draining[p.vm] = true
		}
	}
	if len(draining) == 0 {
		return
	}
	for _, b := range s.Budgets {
		limit := b.MaxUnavailable
		if b.Scope == config.ScopeFleet {
			limit = min(limit, s.FleetBudgetShare[b.Service])
		}
		out, added := map[model.Rack]int{}, map[model.Rack]int{}
		for i := range s.VMs {
			v := &s.VMs[i]
			if v.Service != b.Service {
				continue
			}
			rack := v.Rack
			if b.Scope != config.ScopeRack {
				rack = ""
			}
			if draining[v.Name] {
				added[rack]++
			}
			if draining[v.Name] || v.State != model.VMServing || v.Suspect {
				out[rack]++
			}
		}
		for rack, n := range added {
			invariant.Check(out[rack] <= limit, invariant.AvailabilityBudget,
				"%d VMs drain although %d of service %s would be out %s %s, limit %d", n, out[rack], b.Service, b.Scope, rack, limit)
		}
	}
}

// requestReboots orders the reboots that were written and follows them.
func (c *Control) requestReboots() {
	coord := c.coord
	if coord == nil || c.deps.VMPools == nil {
		return
	}
	for _, vm := range slices.Sorted(maps.Keys(c.fleet.vms)) {
		r := c.fleet.vms[vm]
		if r.current.State != model.VMRebooting || r.current.Request == "" || r.stored.Request != r.current.Request || r.rebootCallInFlight {
			continue
		}
		if r.rebootRequested && !r.rebootDoneAt.IsZero() {
			continue
		}
		id, ordered, sent := r.current.Request, r.rebootRequested, time.Now()
		r.rebootCallInFlight = true
		c.runAsync(storeTimeout, func(ctx context.Context) func() {
			var err error
			var st platform.RebootState
			if ordered {
				st, err = c.deps.VMPools.RebootStatus(ctx, string(vm), id)
			} else {
				err = c.deps.VMPools.Reboot(ctx, string(vm), id)
			}
			return func() {
				r.rebootCallInFlight = false
				if c.coord != coord || r.current.Request != id || r.current.State != model.VMRebooting {
					return
				}
				c.onRebootReply(vm, r, st, ordered, sent, err)
			}
		})
	}
}

func (c *Control) onRebootReply(vm model.VM, r *vmRecord, st platform.RebootState, ordered bool, sent time.Time, err error) {
	switch {
	case err != nil:
		fleetOps.Add("reboot_calls_failed", 1)
		c.log.Warn().Str("vm", string(vm)).Str("request", r.current.Request).Err(err).Msg("reboot call failed; it is repeated with the same id")
	case !ordered:
		r.rebootRequested = true
		fleetOps.Add("reboots_ordered", 1)
		c.log.Info().Str("vm", string(vm)).Str("request", r.current.Request).Msg("reboot ordered")
	case st == platform.RebootDone:
		r.rebootDoneAt = sent
	case st == platform.RebootUnknown:
		r.rebootRequested = false
	}
}

// recordHold records why a VM waits, and logs it when the reason changes.
func (c *Control) recordHold(vm model.VM, reason, detail string) {
	r := c.vmRecord(vm)
	r.holdReason, r.holdDetail = reason, detail
	if c.fleet.loggedHolds[vm] != reason {
		c.fleet.loggedHolds[vm] = reason
		c.log.Info().Str("vm", string(vm)).Str("reason", reason).Str("detail", detail).Msg("vm held back")
	}
}

// recordPlanHolds takes the reasons of a plan.
func (c *Control) recordPlanHolds(plan *maintenance.Plan) {
	for _, r := range c.fleet.vms {
		r.holdReason, r.holdDetail = "", ""
	}
	held := map[model.VM]bool{}
	for _, h := range plan.Held {
		held[h.VM] = true
		c.recordHold(h.VM, string(h.Reason), h.Detail)
	}
	for vm := range c.fleet.loggedHolds {
		if !held[vm] {
			delete(c.fleet.loggedHolds, vm)
		}
	}
}

// trackWaves records the begin, pauses and the end of waves.
func (c *Control) trackWaves(plan *maintenance.Plan, now time.Time) {
	for i := range plan.Waves {
		st := &plan.Waves[i]
		if previous := c.fleet.loggedPauses[st.Name]; previous != string(st.Paused) {
			c.fleet.loggedPauses[st.Name] = string(st.Paused)
			from, to, reason := "proceeding", "paused", string(st.Paused)+": "+st.Detail
			if st.Paused == "" {
				from, to, reason = "paused", "proceeding", "after "+previous
			}
			c.log.Warn().Str("wave", st.Name).Str("to", to).Str("reason", reason).Msg("wave " + to)
			c.recordEvent("wave", "wave/"+st.Name, from, to, reason)
		}
		w := c.waveByName(st.Name)
		if st.Working > 0 && w != nil {
			c.waveRecord(w, now)
		}
		r := c.fleet.waves[st.Name]
		if r == nil || w == nil || !r.current.Start.Equal(w.Start) {
			continue
		}
		switch ended := st.Done == st.Total; {
		case ended && r.current.Ended.IsZero():
			r.current.Ended, r.dirty = now, true
			took := fmt.Sprintf("%d VMs in %s", st.Total, now.Sub(r.current.Began).Round(time.Millisecond))
			c.log.Info().Str("wave", st.Name).Str("took", took).Msg("wave ended in this data centre")
			c.recordEvent("wave", "wave/"+st.Name, "", "ended", took)
		case !ended && !r.current.Ended.IsZero():
			r.current.Ended, r.dirty = time.Time{}, true
		}
	}
}

func (c *Control) waveByName(name string) *config.Wave {
	for i := range c.cfg.index.Waves {
		if c.cfg.index.Waves[i].Name == name {
			return &c.cfg.index.Waves[i]
		}
	}
	return nil
}

// waveStatus returns the progress of the waves in this data centre, for operators.
func (c *Control) waveStatus() []peer.WaveStatus {
	var out []peer.WaveStatus
	for _, w := range c.fleet.plan.Waves {
		st := peer.WaveStatus{Name: w.Name, Done: w.Done, Active: w.Working, Total: w.Total}
		if w.Paused != "" {
			st.Paused = string(w.Paused) + ": " + w.Detail
		}
		out = append(out, st)
	}
	return out
}

// vmStatus returns the coordinator's view of its VMs, for operators.
func (c *Control) vmStatus() []peer.VMStatus {
	var out []peer.VMStatus
	shown := 0
	for _, m := range c.coord.adm.Minions() {
		v := peer.VMStatus{Name: m.VM, State: m.State, Used: m.Used, Ejected: m.Ejected}
		if r := c.fleet.vms[m.VM]; r != nil {
			v.Pool, v.Wave, v.Since, v.Suspect = r.current.Pool, r.current.Wave, r.current.Since, !r.suspectSince.IsZero()
			if x := c.cfg.index; x != nil && x.VM(m.VM) != nil && x.VM(m.VM).Pool != r.current.Pool {
				v.MoveTo = x.VM(m.VM).Pool
			}
			if r.holdReason != "" && shown < maxHoldReasons {
				shown++
				v.HoldReason, v.Detail = r.holdReason, r.holdDetail
			}
		}
		out = append(out, v)
	}
	return out
}
