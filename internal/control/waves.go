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
	// repairDelay is the delay before the second reboot of a failed VM. It doubles with each
	// reboot up to maxRepairDelay.
	repairDelay    = 30 * time.Second
	maxRepairDelay = 10 * time.Minute
	// holdNoTable is the reason to hold back a planned step while the table cannot be
	// written, because a budget that spans data centres cannot be checked
	// (docs/design.md, D11).
	holdNoTable = "table_not_reachable"
	// holdHealthNotFresh is the reason to hold back a planned step until the health of all
	// minions is recent enough.
	holdHealthNotFresh = "health_not_fresh"
	// maxHoldReasons bounds the number of VMs that a status lists with their hold reason.
	maxHoldReasons = 200
)

// runFleetPlan plans the maintenance of this data centre and carries out the steps.
func (c *Control) runFleetPlan(now time.Time) {
	coord := c.coord
	if coord == nil || c.cfg.index == nil || c.fleet.writeInFlight {
		// The outcome of the planned changes in flight is not known yet; the next round will
		// take them into account.
		return
	}
	c.applyPools()
	s := c.fleetSnapshot(coord, now)
	plan := maintenance.NewPlan(s)
	c.fleet.plan = plan
	c.recordPlanHolds(&plan)
	planned := c.applySteps(&s, &plan, now)
	if len(planned) > 0 && (!c.polledOftenEnough(now) || !c.healthKnown()) {
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

// canWritePlan reports whether planned steps can be written to the table, without which
// they must not start.
func (c *Control) canWritePlan() bool {
	return c.coord != nil && !c.coord.local && c.lease.termVersion != 0 && !c.lease.callFailing &&
		c.fleet.loadedTerm == c.lease.termVersion && !c.fleet.reload && !c.fleet.writeInFlight
}

// fleetSnapshot returns the input of the planner.
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
	minions := minionsByName(coord.admission)
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
		// Slots that may be in use must not prevent the repair of a failed VM.
		out.Permits = m.Outstanding
	case model.VMServing:
		out.Permits = m.Outstanding
	case model.VMRebooting:
		out.Up = !r.rebootDoneAt.IsZero() && r.lastAnswered.After(r.rebootDoneAt)
	}
	return out
}

// applySteps carries out the steps that return capacity or only record what has happened,
// and returns those that must be written to the table first.
func (c *Control) applySteps(s *maintenance.Snapshot, plan *maintenance.Plan, now time.Time) []plannedChange {
	var planned []plannedChange
	for i := range plan.Steps {
		step := &plan.Steps[i]
		r := c.vmRecord(step.VM)
		reason := string(step.Reason)
		if step.Detail != "" {
			reason += ": " + step.Detail
		}
		fleetOps.Add("step_"+string(step.Kind), 1)
		next := vmRow{Pool: r.current.Pool, Wave: r.current.Wave, Since: now, Failed: r.current.Failed}
		switch {
		case step.Kind == maintenance.StepDrain && step.Reason == maintenance.ReasonConfigured:
			c.setVMState(step.VM, model.VMDraining, reason)
		case step.Kind == maintenance.StepDrain:
			next.State = model.VMDraining
			if step.Reason == maintenance.ReasonWave {
				next.Wave = step.Detail
			}
			planned = append(planned, plannedChange{step.VM, next, reason})
		case step.Kind == maintenance.StepEmpty:
			c.setVMState(step.VM, model.VMEmpty, reason)
		case step.Kind == maintenance.StepReboot:
			next.State, next.Request = model.VMRebooting, c.rebootID(step, r)
			planned = append(planned, plannedChange{step.VM, next, reason})
		case step.Kind == maintenance.StepMove:
			next.State, next.Pool, next.Wave = model.VMServing, c.cfg.index.VM(step.VM).Pool, ""
			if c.cfg.index.VM(step.VM).Drain {
				next.State = model.VMEmpty
			}
			planned = append(planned, plannedChange{step.VM, next, reason})
		case step.Kind == maintenance.StepReturn:
			c.returnVM(step, r, reason, now)
		case step.Kind == maintenance.StepFail:
			c.markFailed(step.VM, reason)
		}
	}
	c.assertBudgets(s, planned)
	return planned
}

// rebootID returns the id of a reboot that the row named before the VM was drained again, if it
// was ordered for the same wave, and otherwise a new one.
func (c *Control) rebootID(step *maintenance.Step, r *vmRecord) string {
	if step.Reason == maintenance.ReasonWave && step.Detail == r.current.Wave {
		for i := range c.cfg.index.Waves {
			w := &c.cfg.index.Waves[i]
			if w.Name == r.current.Wave && !model.Incarnation(r.current.Request).StartedAt().Before(w.Start) {
				return r.current.Request
			}
		}
	}
	return string(model.NewIncarnation())
}

// returnVM returns a VM to service and records it as done in the given waves.
func (c *Control) returnVM(step *maintenance.Step, r *vmRecord, reason string, now time.Time) {
	for _, name := range step.Waves {
		for i := range c.cfg.index.Waves {
			if w := &c.cfg.index.Waves[i]; w.Name == name {
				record := c.waveRecord(w, now)
				record.current.Done = append(record.current.Done, step.VM)
				record.dirty = true
			}
		}
	}
	state := model.VMServing
	if v := c.cfg.index.VM(step.VM); v != nil && v.Drain {
		state = model.VMDraining
	}
	c.setVMState(step.VM, state, reason)
	r.current.Wave = ""
}

// waveRecord returns the progress of a wave. It creates a new record if there is none for
// the wave's start time.
func (c *Control) waveRecord(w *config.Wave, now time.Time) *waveRecord {
	record := c.fleet.waves[w.Name]
	if record == nil {
		record = &waveRecord{}
		c.fleet.waves[w.Name] = record
	}
	if !record.current.Start.Equal(w.Start) || record.current.Began.IsZero() {
		record.current, record.dirty = waveRow{Start: w.Start, Began: now}, true
		c.log.Info().Str("wave", w.Name).Msg("wave begins")
		c.recordEvent("wave", "wave/"+w.Name, "", "began", "start "+w.Start.UTC().Format(time.RFC3339))
	}
	return record
}

// assertBudgets checks the planned drains against every budget, independently of the planner
// (invariant I1).
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
				"draining %d VMs makes %d VMs of service %s unavailable in %s %s, limit %d", n, out[rack], b.Service, b.Scope, rack, limit)
		}
	}
}

// requestReboots sends the reboots whose rows are written to the platform and polls the
// status of those that the platform has accepted.
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
		id, accepted, sent := r.current.Request, r.rebootRequested, time.Now()
		r.rebootCallInFlight = true
		c.runAsync(storeTimeout, func(ctx context.Context) func() {
			var err error
			var status platform.RebootState
			if accepted {
				status, err = c.deps.VMPools.RebootStatus(ctx, string(vm), id)
			} else {
				err = c.deps.VMPools.Reboot(ctx, string(vm), id)
			}
			return func() {
				r.rebootCallInFlight = false
				if c.coord != coord || r.current.Request != id || r.current.State != model.VMRebooting {
					return
				}
				c.onRebootReply(vm, r, status, accepted, sent, err)
			}
		})
	}
}

func (c *Control) onRebootReply(vm model.VM, r *vmRecord, status platform.RebootState, accepted bool, sent time.Time, err error) {
	switch {
	case err != nil:
		fleetOps.Add("reboot_calls_failed", 1)
		c.log.Warn().Str("vm", string(vm)).Str("request", r.current.Request).Err(err).Msg("reboot call failed; repeating it with the same id")
	case !accepted:
		r.rebootRequested = true
		fleetOps.Add("reboots_ordered", 1)
		c.log.Info().Str("vm", string(vm)).Str("request", r.current.Request).Msg("reboot accepted by the platform")
	case status == platform.RebootDone:
		r.rebootDoneAt = sent
	case status == platform.RebootUnknown:
		r.rebootRequested = false
	}
}

// recordHold records why a VM has to wait, and logs the reason if it has changed.
func (c *Control) recordHold(vm model.VM, reason, detail string) {
	r := c.vmRecord(vm)
	r.holdReason, r.holdDetail = reason, detail
	if c.fleet.loggedHolds[vm] != reason {
		c.fleet.loggedHolds[vm] = reason
		c.log.Info().Str("vm", string(vm)).Str("reason", reason).Str("detail", detail).Msg("vm held back")
	}
}

// recordPlanHolds records why VMs have to wait according to a plan.
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

// trackWaves records and logs the begin, the pauses and the end of waves.
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
	for _, m := range c.coord.admission.Minions() {
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
