package poolmodel

import (
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/maintenance"
	"boragepulley/internal/model"
	"boragepulley/internal/pools"
)

// planEvery is how often moves are planned, in seconds.
const planEvery = 3

// second takes samples and plans the wave and the moves of each data centre.
func (s *site) second(n int) {
	for d := range s.cfg.DataCentres {
		s.sample(d)
		s.planWave(d)
		if s.policy == AtOnce {
			s.begin(atOnce(s.snapshot(d), s.shortage(d)))
		}
		if s.policy == Lasting && n/int(time.Second/tick)%planEvery == 0 {
			s.begin(pools.NewPlan(s.snapshot(d)).Moves)
		}
	}
	s.closeness()
	if s.result.Rollout == 0 && s.waveDone() {
		s.result.Rollout = s.now.Sub(s.wave.Start)
	}
}

// sample feeds the trackers of a data centre.
func (s *site) sample(d int) {
	for i, svc := range s.cfg.Services {
		x := pools.Sample{At: s.now, Work: s.queues[i][d].n, Unit: 8}
		for _, v := range s.vms {
			if v.dc == d && s.service[v.Pool] == svc.Name {
				x.Work += len(v.running)
				if v.Home == v.Pool && v.State == model.VMServing {
					x.Slots += v.Slots
				}
			}
		}
		s.trackers[d][svc.Name].Observe(x, s.moveTime)
	}
}

// shortage returns by how many requests the work of each service exceeds the slots of the
// VMs that serve it now.
func (s *site) shortage(d int) map[model.Service]int {
	out := map[model.Service]int{}
	for i, svc := range s.cfg.Services {
		out[svc.Name] = s.queues[i][d].n - s.free(i, d)
	}
	return out
}

// fleetPart gives a data centre what the others leave of each budget of the fleet.
func (s *site) fleetPart(d int) map[model.Service]int {
	part := map[model.Service]int{}
	for _, b := range s.cfg.Budgets {
		if b.Scope == config.ScopeFleet {
			part[b.Service] = b.MaxUnavailable
		}
	}
	for _, v := range s.vms {
		if v.dc == d {
			continue
		}
		if v.State != model.VMServing {
			part[s.service[v.Pool]]--
		}
		if v.Target != "" {
			part[s.service[v.Target]]--
		}
	}
	for svc := range part {
		part[svc] = max(0, part[svc])
	}
	return part
}

// snapshot is what the policies plan from.
func (s *site) snapshot(d int) pools.Snapshot {
	x := pools.Snapshot{Now: s.now, Demand: s.trackers[d], Budgets: s.cfg.Budgets, FleetBudgetShare: s.fleetPart(d), Weights: s.cfg.Weights, MoveTime: s.moveTime}
	waiting := map[model.Pool]bool{}
	for _, v := range s.vms {
		if v.dc == d {
			x.VMs = append(x.VMs, v.VM)
			waiting[v.Pool] = waiting[v.Pool] || !s.now.Before(s.wave.Start) && s.inWave(v) && !s.done[s.wave.Name][v.Name]
		}
	}
	for _, p := range s.parts[d] {
		p.InWave = waiting[p.Name]
		x.Pools = append(x.Pools, p)
	}
	return x
}

func (s *site) begin(moves []pools.Move) {
	for _, m := range moves {
		for _, v := range s.vms {
			if v.Name == m.VM {
				v.Target, v.moving, v.began = m.To, true, s.now
				s.enter(v, model.VMDraining)
				s.result.VMMoves++
			}
		}
	}
}

func (s *site) inWave(v *vm) bool {
	for _, p := range s.wave.Pools {
		if p == v.Pool {
			return true
		}
	}
	return false
}

func (s *site) waveDone() bool {
	if s.now.Before(s.wave.Start) {
		return false
	}
	for _, v := range s.vms {
		if s.inWave(v) && !s.done[s.wave.Name][v.Name] {
			return false
		}
	}
	return true
}

// planWave plans and performs the steps of the wave in a data centre. A VM that moves is
// shown as one that reboots, so that it counts as out of service and is left alone.
func (s *site) planWave(d int) {
	x := maintenance.Snapshot{Now: s.now, Waves: []config.Wave{s.wave}, Budgets: s.cfg.Budgets, FleetBudgetShare: s.fleetPart(d), Done: s.done}
	byName := map[model.VM]*vm{}
	for _, v := range s.vms {
		if v.dc != d {
			continue
		}
		byName[v.Name] = v
		m := maintenance.VM{Name: v.Name, Pool: v.Pool, Service: s.service[v.Pool], Rack: v.Rack, State: v.State, Since: v.since,
			Permits: len(v.running), Idle: len(v.running) == 0, Up: v.State != model.VMRebooting || !s.now.Before(v.until)}
		if v.moving {
			m.State, m.Since, m.Up = model.VMRebooting, s.now, false
			if svc := s.service[v.Target]; svc != "" {
				to := m
				to.Service, to.Pool = svc, v.Target
				x.VMs = append(x.VMs, to)
			}
		}
		x.VMs = append(x.VMs, m)
	}
	for _, st := range maintenance.NewPlan(x).Steps {
		v := byName[st.VM]
		switch st.Kind {
		case maintenance.StepDrain:
			s.enter(v, model.VMDraining)
		case maintenance.StepEmpty:
			s.enter(v, model.VMEmpty)
		case maintenance.StepReboot:
			s.reboot(v)
		case maintenance.StepReturn:
			s.enter(v, model.VMServing)
			for _, w := range st.Waves {
				s.done[w][v.Name] = true
			}
		}
	}
}

// atOnce is the baseline that follows the demand at once: a service with waiting requests
// gets a VM, a spare one or an unused one of a pool above its minimum, and a lent VM goes
// home when no request would have to wait without it. Bounds and budgets hold as for the
// policy.
func atOnce(s pools.Snapshot, shortage map[model.Service]int) []pools.Move {
	var out []pools.Move
	byName, count := map[model.Pool]pools.Pool{}, map[model.Pool]int{}
	for _, p := range s.Pools {
		byName[p.Name] = p
	}
	ms := maintenance.Snapshot{Now: s.Now, Budgets: s.Budgets, FleetBudgetShare: s.FleetBudgetShare}
	asVM := func(v pools.VM, in model.Pool) maintenance.VM {
		return maintenance.VM{Name: v.Name, Pool: in, Service: byName[in].Service, Rack: v.Rack, State: v.State}
	}
	for _, v := range s.VMs {
		ms.VMs = append(ms.VMs, asVM(v, v.Pool))
		if v.Target != "" {
			ms.VMs = append(ms.VMs, asVM(v, v.Target))
			count[v.Target]++
			continue
		}
		count[v.Pool]++
	}
	outage := maintenance.NewBudgetTracker(ms)
	move := func(v pools.VM, to model.Pool) bool {
		from, dest := asVM(v, v.Pool), asVM(v, to)
		_, _, ok := outage.Allows(from)
		if _, _, room := outage.Allows(dest); !ok || !room {
			return false
		}
		outage.Add(from)
		outage.Add(dest)
		count[v.Pool]--
		count[to]++
		shortage[from.Service] += v.Slots
		shortage[dest.Service] -= v.Slots
		out = append(out, pools.Move{VM: v.Name, From: v.Pool, To: to})
		return true
	}
	moved := map[model.VM]bool{}
	for _, v := range s.VMs {
		if v.State == model.VMServing && v.Home != v.Pool && shortage[byName[v.Pool].Service]+v.Slots <= 0 {
			moved[v.Name] = move(v, v.Home)
		}
	}
	for _, p := range s.Pools {
		for _, spare := range []bool{true, false} {
			for _, v := range s.VMs {
				from := byName[v.Pool]
				if !p.Spare && shortage[p.Service] > 0 && count[p.Name] < p.Max && v.State == model.VMServing && !moved[v.Name] && v.Pool == v.Home &&
					from.Spare == spare && v.Pool != p.Name && count[v.Pool] > from.Min && (spare || shortage[from.Service]+v.Slots <= 0) {
					moved[v.Name] = move(v, p.Name)
				}
			}
		}
	}
	return out
}
