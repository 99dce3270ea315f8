package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// planner holds the intermediate results of one plan.
type planner struct {
	s      *Snapshot
	plan   Plan
	ledger *ledger
	// need is the wave for which each VM is to be rebooted.
	need map[model.VM]*config.Wave
	// returning are the VMs that go back to service before they were rebooted.
	returning   []*VM
	paused      bool
	pauseDetail string
}

// NewPlan computes the plan for a snapshot. VMs that have failed or reboot count against the
// budgets first. VMs that are on their way out stay out as far as the budgets allow, and
// return to service otherwise; then as many serving VMs as possible are drained.
func NewPlan(s Snapshot) Plan {
	p := &planner{s: &s, ledger: newLedger(&s), need: make(map[model.VM]*config.Wave)}
	p.plan.FleetBudgetDemand = make(map[model.Service]int)
	p.pauseDetail, p.paused = pause(&s)
	p.assign()
	var leaving, serving []*VM
	for i := range s.VMs {
		v := &s.VMs[i]
		switch {
		case v.State == model.VMFailed:
			p.ledger.count(v)
			p.repair(v)
		case v.State == model.VMRebooting:
			p.ledger.count(v)
			p.comeBack(v)
		case v.Drained:
			p.ledger.count(v)
			p.keepOut(v)
		case v.State == model.VMDraining || v.State == model.VMEmpty:
			leaving = append(leaving, v)
		case v.Suspect:
			// It counts as out of service; draining it would only hide that it may come back.
			p.ledger.count(v)
			p.hold(v, ReasonSuspect, "out of service until it answers or fails")
		default:
			serving = append(serving, v)
		}
	}
	slices.SortStableFunc(leaving, p.leavingOrder)
	for _, v := range leaving {
		p.leave(v)
	}
	for _, v := range p.returning {
		p.ledger.count(v) // out of service until the step is made
	}
	slices.SortStableFunc(serving, p.drainOrder)
	for _, v := range serving {
		p.drain(v)
	}
	p.status()
	return p.plan
}

// assign finds the wave that each VM waits for: the first one to start that has not
// finished the VM.
func (p *planner) assign() {
	waves := make([]*config.Wave, 0, len(p.s.Waves))
	for i := range p.s.Waves {
		waves = append(waves, &p.s.Waves[i])
	}
	slices.SortStableFunc(waves, func(a, b *config.Wave) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Name, b.Name))
	})
	for i := range p.s.VMs {
		v := &p.s.VMs[i]
		for _, w := range waves {
			if slices.Contains(w.Pools, v.Pool) && !p.s.Done[w.Name][v.Name] {
				p.need[v.Name] = w
				break
			}
		}
	}
}

// started reports whether the wave may begin.
func (p *planner) started(w *config.Wave) bool { return w != nil && !w.Start.After(p.s.Now) }

func (p *planner) step(v *VM, k StepKind, r Reason, detail string) {
	p.plan.Steps = append(p.plan.Steps, Step{Kind: k, VM: v.Name, Reason: r, Detail: detail})
}

// hold records why a VM waits, if a wave or a repair needs it.
func (p *planner) hold(v *VM, r Reason, detail string) {
	h := Held{VM: v.Name, Reason: r, Detail: detail}
	if w := p.need[v.Name]; w != nil {
		h.Wave = w.Name
	} else if v.State == model.VMServing && v.MoveTo == "" {
		return
	}
	p.plan.Held = append(p.plan.Held, h)
}

// inState is how long the VM has been in its state, for details.
func (p *planner) inState(v *VM) time.Duration {
	return p.s.Now.Sub(v.Since).Round(time.Millisecond)
}

// inUse says what still keeps a VM from being empty.
func inUse(v *VM) string {
	if v.Permits > 0 {
		return fmt.Sprintf("%d permits are outstanding", v.Permits)
	}
	return "the minion has not confirmed yet that nothing runs"
}

// keepOut drains a VM that the configuration takes out of service. The operator's wish
// goes before the budgets; the VM counts against them.
func (p *planner) keepOut(v *VM) {
	switch {
	case v.State == model.VMServing:
		p.step(v, StepDrain, ReasonConfigured, "")
	case v.State == model.VMDraining && (v.Permits > 0 || !v.Idle):
		p.hold(v, ReasonInUse, inUse(v))
	case v.State == model.VMDraining:
		p.step(v, StepEmpty, ReasonDrained, "after "+p.inState(v).String())
	case v.MoveTo != "":
		p.step(v, StepMove, ReasonMove, "to pool "+string(v.MoveTo))
	default:
		p.hold(v, ReasonConfigured, "")
	}
}

// repair reboots a failed VM: it is out of service already.
func (p *planner) repair(v *VM) {
	switch {
	case v.Drained:
		p.hold(v, ReasonConfigured, "the VM is not repaired while the configuration drains it")
	case v.Permits > 0 && p.s.Now.Sub(v.Since) < FailedGrace:
		p.hold(v, ReasonInUse, inUse(v))
	case p.s.Now.Before(v.RetryAt):
		p.hold(v, ReasonBackOff, "next reboot in "+v.RetryAt.Sub(p.s.Now).String())
	default:
		p.step(v, StepReboot, ReasonRepair, "failed for "+p.inState(v).String())
	}
}

// comeBack returns a rebooted VM to service.
func (p *planner) comeBack(v *VM) {
	switch {
	case v.Up:
		p.step(v, StepReturn, ReasonRebooted, "after "+p.inState(v).String())
		last := &p.plan.Steps[len(p.plan.Steps)-1]
		for i := range p.s.Waves {
			w := &p.s.Waves[i]
			// A reboot that began before the wave does not count for it.
			if slices.Contains(w.Pools, v.Pool) && !w.Start.After(v.Since) && !p.s.Done[w.Name][v.Name] {
				last.Waves = append(last.Waves, w.Name)
			}
		}
	case p.s.Now.Sub(v.Since) > RebootTimeout:
		p.step(v, StepFail, ReasonRebootTimeout, "no answer for "+p.inState(v).String())
	default:
		p.hold(v, ReasonRebooting, "for "+p.inState(v).String())
	}
}

// leavingOrder puts first what is closest to its reboot: empty VMs, then those with the
// fewest requests.
func (p *planner) leavingOrder(a, b *VM) int {
	if a.State != b.State {
		if a.State == model.VMEmpty {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Permits, b.Permits), cmp.Compare(a.Name, b.Name))
}

// leave moves a draining or empty VM on, or returns it to service.
func (p *planner) leave(v *VM) {
	w := p.need[v.Name]
	if !p.started(w) && v.MoveTo == "" {
		p.returning = append(p.returning, v)
		p.step(v, StepReturn, ReasonNoWave, "it was draining for a wave that has ended or changed")
		return
	}
	if b, ok := p.ledger.admit(v); !ok {
		p.returning = append(p.returning, v)
		p.step(v, StepReturn, b.reason, b.detail)
		return
	}
	busy := v.Permits > 0 || !v.Idle
	switch {
	case busy && w != nil && p.s.Now.Sub(v.Since) > w.DrainTimeout && w.DrainTimeout > 0:
		p.hold(v, ReasonDrainTimeout, inUse(v)+", after "+p.inState(v).String())
	case busy:
		p.hold(v, ReasonInUse, inUse(v))
	case v.State == model.VMDraining:
		p.step(v, StepEmpty, ReasonDrained, "after "+p.inState(v).String())
	case v.MoveTo != "":
		p.step(v, StepMove, ReasonMove, "to pool "+string(v.MoveTo))
	case p.paused:
		p.hold(v, ReasonPaused, p.pauseDetail)
	default:
		p.step(v, StepReboot, ReasonWave, w.Name)
	}
}

// drainOrder puts first the VMs of the earliest wave, then those that drain fastest.
func (p *planner) drainOrder(a, b *VM) int {
	wa, wb := p.need[a.Name], p.need[b.Name]
	if wa != wb {
		if wa == nil || wb == nil {
			if wa != nil {
				return -1
			}
			return 1
		}
		if c := cmp.Or(wa.Start.Compare(wb.Start), cmp.Compare(wa.Name, wb.Name)); c != 0 {
			return c
		}
	}
	return cmp.Or(cmp.Compare(a.Permits, b.Permits), cmp.Compare(a.Name, b.Name))
}

// drain takes a serving VM out of service if its wave and every budget allow it.
func (p *planner) drain(v *VM) {
	w := p.need[v.Name]
	switch {
	case w == nil && v.MoveTo == "":
	case !p.started(w) && v.MoveTo == "":
		p.hold(v, ReasonNotStarted, "in "+w.Start.Sub(p.s.Now).String())
	case p.paused:
		p.hold(v, ReasonPaused, p.pauseDetail)
	default:
		b, ok := p.ledger.admit(v)
		switch {
		case ok && v.MoveTo != "":
			p.step(v, StepDrain, ReasonMove, "to pool "+string(v.MoveTo))
			return
		case ok:
			p.step(v, StepDrain, ReasonWave, w.Name)
			return
		}
		if b.reason == ReasonFleetBudget {
			p.plan.FleetBudgetDemand[v.Service]++
		}
		p.hold(v, b.reason, b.detail)
	}
}

// status summarises each wave.
func (p *planner) status() {
	for i := range p.s.Waves {
		w := &p.s.Waves[i]
		st := WaveStatus{Name: w.Name}
		for j := range p.s.VMs {
			v := &p.s.VMs[j]
			switch {
			case !slices.Contains(w.Pools, v.Pool):
				continue
			case p.s.Done[w.Name][v.Name]:
				st.Done++
			case p.need[v.Name] == w && v.State != model.VMServing && v.State != model.VMFailed:
				st.Working++
			}
			st.Total++
		}
		if p.paused && p.started(w) && st.Done < st.Total {
			st.Paused, st.Detail = ReasonPaused, p.pauseDetail
		}
		p.plan.Waves = append(p.plan.Waves, st)
	}
}
