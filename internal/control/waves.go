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
	planEvery = time.Second
	// repairGap is the wait before the second reboot of a failed VM; it doubles up to
	// repairGapMax.
	repairGap    = 30 * time.Second
	repairGapMax = 10 * time.Minute
	// heldNoTable holds back a planned step while the table cannot be written: a budget
	// that spans data centres cannot be checked (D11).
	heldNoTable = "table_not_reachable"
	// heldNotWatched holds back a planned step until the health of all minions is fresh.
	heldNotWatched = "health_not_fresh"
	// maxHeld bounds the VMs that a status names with their reason.
	maxHeld = 200
)

// planRound plans the maintenance of this data centre and takes its steps.
func (c *Control) planRound(now time.Time) {
	k := c.coord
	if k == nil || c.cfg.index == nil || c.fleet.writing {
		// Planned changes in flight are neither in force nor void; the next round sees them.
		return
	}
	c.applyPools()
	s := c.fleetSnapshot(k, now)
	plan := maintenance.Make(s)
	c.fleet.plan = plan
	c.explainHeld(&plan)
	planned := c.takeSteps(&s, &plan, now)
	if len(planned) > 0 && !c.watched(now) {
		for _, p := range planned {
			c.hold(p.vm, heldNotWatched, "the step waits for fresh polls of all minions")
		}
		planned = nil
	}
	if len(planned) > 0 && !c.mayPlan() {
		for _, p := range planned {
			c.hold(p.vm, heldNoTable, "the step waits for the table")
		}
		planned = nil
	}
	c.trackWaves(&plan, now)
	c.settleBudgets(&s, &plan, now)
	c.writeFleet(planned)
	c.orderReboots()
}

// mayPlan reports whether planned steps may start: the table is needed to write them.
func (c *Control) mayPlan() bool {
	return c.coord != nil && !c.coord.local && c.lease.term != 0 && !c.lease.failing &&
		c.fleet.term == c.lease.term && !c.fleet.reload && !c.fleet.writing
}

// fleetSnapshot collects what the planner works with.
func (c *Control) fleetSnapshot(k *coordinator, now time.Time) maintenance.Snapshot {
	x := c.cfg.index
	s := maintenance.Snapshot{Now: now, Waves: x.Waves, Budgets: x.Budgets,
		FleetPart: c.fleetParts(), Done: map[string]map[model.VM]bool{}}
	for i := range x.Waves {
		w := &x.Waves[i]
		s.Cooldown = max(s.Cooldown, w.Cooldown)
		if r := c.fleet.waves[w.Name]; r != nil && r.cur.Start.Equal(w.Start) {
			s.Done[w.Name] = map[model.VM]bool{}
			for _, vm := range r.cur.Done {
				s.Done[w.Name][vm] = true
			}
		}
	}
	minions := minionsByName(k.adm)
	for i := range x.VMs {
		v := &x.VMs[i]
		if v.DC != c.self.DC {
			continue
		}
		r := c.vmRecord(v.Name)
		s.VMs = append(s.VMs, c.vmForPlan(v, r, minions[v.Name]))
		if !r.cur.Failed.IsZero() {
			s.Failures = append(s.Failures, maintenance.Failure{VM: v.Name, Rack: v.Rack, At: r.cur.Failed})
		}
	}
	slices.SortFunc(s.VMs, func(a, b maintenance.VM) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func (c *Control) vmForPlan(v *config.VM, r *vmRecord, m admission.MinionInfo) maintenance.VM {
	out := maintenance.VM{Name: v.Name, Pool: r.cur.Pool, Rack: v.Rack, State: r.cur.State, Since: r.cur.Since,
		Permits: m.Used, Idle: r.idle && m.Idle(), Drained: v.Drain, RetryAt: r.retryAt, Suspect: !r.suspect.IsZero(),
		Service: c.serviceOf(r)}
	if v.Pool != r.cur.Pool {
		out.MoveTo = v.Pool
	}
	switch r.cur.State {
	case model.VMFailed:
		// Slots that are only unknown must not keep a failed VM from its repair.
		out.Permits = m.Outstanding
	case model.VMServing:
		out.Permits = m.Outstanding
	case model.VMRebooting:
		out.Up = !r.rebooted.IsZero() && r.answered.After(r.rebooted)
	}
	return out
}

// takeSteps takes the steps that return capacity or only record what happened, and
// returns those that must be written first.
func (c *Control) takeSteps(s *maintenance.Snapshot, plan *maintenance.Plan, now time.Time) []change {
	var planned []change
	for i := range plan.Steps {
		st := &plan.Steps[i]
		r := c.vmRecord(st.VM)
		reason := string(st.Reason)
		if st.Detail != "" {
			reason += ": " + st.Detail
		}
		fleetOps.Add("step_"+string(st.Kind), 1)
		next := vmRow{Pool: r.cur.Pool, Wave: r.cur.Wave, Since: now, Failed: r.cur.Failed}
		switch {
		case st.Kind == maintenance.StepDrain && st.Reason == maintenance.ReasonConfigured:
			c.setVMState(st.VM, model.VMDraining, reason)
		case st.Kind == maintenance.StepDrain:
			next.State = model.VMDraining
			if st.Reason == maintenance.ReasonWave {
				next.Wave = st.Detail
			}
			planned = append(planned, change{st.VM, next, reason})
		case st.Kind == maintenance.StepEmpty:
			c.setVMState(st.VM, model.VMEmpty, reason)
		case st.Kind == maintenance.StepReboot:
			next.State, next.Request = model.VMRebooting, string(model.NewIncarnation())
			planned = append(planned, change{st.VM, next, reason})
		case st.Kind == maintenance.StepMove:
			next.State, next.Pool, next.Wave = model.VMServing, c.cfg.index.VM(st.VM).Pool, ""
			if c.cfg.index.VM(st.VM).Drain {
				next.State = model.VMEmpty
			}
			planned = append(planned, change{st.VM, next, reason})
		case st.Kind == maintenance.StepReturn:
			c.returnVM(st, r, reason, now)
		case st.Kind == maintenance.StepFail:
			c.fail(st.VM, reason)
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
				rec.cur.Done = append(rec.cur.Done, st.VM)
				rec.dirty = true
			}
		}
	}
	to := model.VMServing
	if v := c.cfg.index.VM(st.VM); v != nil && v.Drain {
		to = model.VMDraining
	}
	c.setVMState(st.VM, to, reason)
	r.cur.Wave = ""
}

// waveRecord returns the progress of a wave, a new one if the wave has another start.
func (c *Control) waveRecord(w *config.Wave, now time.Time) *waveRecord {
	r := c.fleet.waves[w.Name]
	if r == nil {
		r = &waveRecord{}
		c.fleet.waves[w.Name] = r
	}
	if !r.cur.Start.Equal(w.Start) || r.cur.Began.IsZero() {
		r.cur, r.dirty = waveRow{Start: w.Start, Began: now}, true
		c.log.Info().Str("wave", w.Name).Msg("wave begins")
		c.event("wave", "wave/"+w.Name, "", "began", "start "+w.Start.UTC().Format(time.RFC3339))
	}
	return r
}

// assertBudgets checks planned drains against every budget, independently of the planner
// (I1).
func (c *Control) assertBudgets(s *maintenance.Snapshot, planned []change) {
	leaving := map[model.VM]bool{}
	for _, p := range planned {
		if p.next.State == model.VMDraining {
			leaving[p.vm] = true
		}
	}
	if len(leaving) == 0 {
		return
	}
	for _, b := range s.Budgets {
		limit := b.MaxUnavailable
		if b.Scope == config.ScopeFleet {
			limit = min(limit, s.FleetPart[b.Service])
		}
		out, new := map[model.Rack]int{}, map[model.Rack]int{}
		for i := range s.VMs {
			v := &s.VMs[i]
			if v.Service != b.Service {
				continue
			}
			rack := v.Rack
			if b.Scope != config.ScopeRack {
				rack = ""
			}
			if leaving[v.Name] {
				new[rack]++
			}
			if leaving[v.Name] || v.State != model.VMServing || v.Suspect {
				out[rack]++
			}
		}
		for rack, n := range new {
			invariant.Check(out[rack] <= limit, invariant.AvailabilityBudget,
				"%d VMs drain although %d of service %s would be out %s %s, limit %d", n, out[rack], b.Service, b.Scope, rack, limit)
		}
	}
}

// orderReboots orders the reboots that were written and follows them.
func (c *Control) orderReboots() {
	k := c.coord
	if k == nil || c.d.VMPools == nil {
		return
	}
	for _, vm := range slices.Sorted(maps.Keys(c.fleet.vms)) {
		r := c.fleet.vms[vm]
		if r.cur.State != model.VMRebooting || r.cur.Request == "" || r.row.Request != r.cur.Request || r.ordering {
			continue
		}
		if r.ordered && !r.rebooted.IsZero() {
			continue
		}
		id, ordered, sent := r.cur.Request, r.ordered, time.Now()
		r.ordering = true
		c.async(storeTimeout, func(ctx context.Context) func() {
			var err error
			var st platform.RebootState
			if ordered {
				st, err = c.d.VMPools.RebootStatus(ctx, string(vm), id)
			} else {
				err = c.d.VMPools.Reboot(ctx, string(vm), id)
			}
			return func() {
				r.ordering = false
				if c.coord != k || r.cur.Request != id || r.cur.State != model.VMRebooting {
					return
				}
				c.onReboot(vm, r, st, ordered, sent, err)
			}
		})
	}
}

func (c *Control) onReboot(vm model.VM, r *vmRecord, st platform.RebootState, ordered bool, sent time.Time, err error) {
	switch {
	case err != nil:
		fleetOps.Add("reboot_calls_failed", 1)
		c.log.Warn().Str("vm", string(vm)).Str("request", r.cur.Request).Err(err).Msg("reboot call failed; it is repeated with the same id")
	case !ordered:
		r.ordered = true
		fleetOps.Add("reboots_ordered", 1)
		c.log.Info().Str("vm", string(vm)).Str("request", r.cur.Request).Msg("reboot ordered")
	case st == platform.RebootDone:
		r.rebooted = sent
	case st == platform.RebootUnknown:
		r.ordered = false
	}
}

// hold records why a VM waits, and logs it when the reason changes.
func (c *Control) hold(vm model.VM, reason, detail string) {
	r := c.vmRecord(vm)
	r.held, r.detail = reason, detail
	if c.fleet.shown[vm] != reason {
		c.fleet.shown[vm] = reason
		c.log.Info().Str("vm", string(vm)).Str("reason", reason).Str("detail", detail).Msg("vm held back")
	}
}

// explainHeld takes the reasons of a plan.
func (c *Control) explainHeld(plan *maintenance.Plan) {
	for _, r := range c.fleet.vms {
		r.held, r.detail = "", ""
	}
	held := map[model.VM]bool{}
	for _, h := range plan.Held {
		held[h.VM] = true
		c.hold(h.VM, string(h.Reason), h.Detail)
	}
	for vm := range c.fleet.shown {
		if !held[vm] {
			delete(c.fleet.shown, vm)
		}
	}
}

// trackWaves records the begin, pauses and the end of waves.
func (c *Control) trackWaves(plan *maintenance.Plan, now time.Time) {
	for i := range plan.Waves {
		st := &plan.Waves[i]
		if was := c.fleet.paused[st.Name]; was != string(st.Paused) {
			c.fleet.paused[st.Name] = string(st.Paused)
			from, to, reason := "proceeding", "paused", string(st.Paused)+": "+st.Detail
			if st.Paused == "" {
				from, to, reason = "paused", "proceeding", "after "+was
			}
			c.log.Warn().Str("wave", st.Name).Str("to", to).Str("reason", reason).Msg("wave " + to)
			c.event("wave", "wave/"+st.Name, from, to, reason)
		}
		w := c.waveOf(st.Name)
		if st.Working > 0 && w != nil {
			c.waveRecord(w, now)
		}
		r := c.fleet.waves[st.Name]
		if r == nil || w == nil || !r.cur.Start.Equal(w.Start) {
			continue
		}
		switch ended := st.Done == st.Total; {
		case ended && r.cur.Ended.IsZero():
			r.cur.Ended, r.dirty = now, true
			took := fmt.Sprintf("%d VMs in %s", st.Total, now.Sub(r.cur.Began).Round(time.Millisecond))
			c.log.Info().Str("wave", st.Name).Str("took", took).Msg("wave ended in this data centre")
			c.event("wave", "wave/"+st.Name, "", "ended", took)
		case !ended && !r.cur.Ended.IsZero():
			r.cur.Ended, r.dirty = time.Time{}, true
		}
	}
}

func (c *Control) waveOf(name string) *config.Wave {
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
			v.Pool, v.Wave, v.Since, v.Suspect = r.cur.Pool, r.cur.Wave, r.cur.Since, !r.suspect.IsZero()
			if x := c.cfg.index; x != nil && x.VM(m.VM) != nil && x.VM(m.VM).Pool != r.cur.Pool {
				v.MoveTo = x.VM(m.VM).Pool
			}
			if r.held != "" && shown < maxHeld {
				shown++
				v.HoldReason, v.Detail = r.held, r.detail
			}
		}
		out = append(out, v)
	}
	return out
}
