package pools

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"boragepulley/internal/maintenance"
	"boragepulley/internal/model"
)

// planner holds the intermediate results of one plan.
type planner struct {
	s      *Snapshot
	plan   Plan
	outage *maintenance.BudgetTracker
	pools  map[model.Pool]*Pool
	// stay counts the VMs of a pool that do not leave it, come those that are in it or on
	// their way: the bounds hold however the moves under way end.
	stay, come map[model.Pool]int
	// lent counts VMs in or on their way to the pools of a service from other pools.
	lent map[model.Service]int
	// touched marks services and pools that a move of this plan concerns.
	touched map[model.Service]bool
	moving  map[model.VM]bool
}

// NewPlan computes the plan for a snapshot: first VMs that go home, then for each service at
// most one VM that is lent, the service with the largest gain first.
func NewPlan(s Snapshot) Plan {
	if s.MoveTime <= 0 {
		s.MoveTime = DefaultMoveTime
	}
	p := &planner{s: &s, pools: make(map[model.Pool]*Pool, len(s.Pools)), stay: make(map[model.Pool]int), come: make(map[model.Pool]int),
		lent: make(map[model.Service]int), touched: make(map[model.Service]bool), moving: make(map[model.VM]bool)}
	for i := range s.Pools {
		p.pools[s.Pools[i].Name] = &s.Pools[i]
	}
	p.count()
	p.giveBack()
	for _, w := range p.wants() {
		p.lend(w)
	}
	return p.plan
}

// count enters the VMs into pools, services and budgets.
func (p *planner) count() {
	ms := maintenance.Snapshot{Now: p.s.Now, Budgets: p.s.Budgets, FleetBudgetShare: p.s.FleetBudgetShare}
	for i := range p.s.VMs {
		v := &p.s.VMs[i]
		p.come[v.Pool]++
		m := p.inService(v, v.Pool)
		if p.underWay(v) {
			p.moving[v.Name] = true
			p.come[v.Target]++
			m.State = model.VMDraining // it may still serve, but is about to leave
			// The target's budget counts the VM as well, until it serves there.
			to := p.inService(v, v.Target)
			to.State = model.VMRebooting
			ms.VMs = append(ms.VMs, to)
		} else {
			p.stay[v.Pool]++
		}
		if v.Home != p.target(v) {
			if svc := p.service(p.target(v)); svc != "" && svc != p.service(v.Home) {
				p.lent[svc]++
			}
		}
		ms.VMs = append(ms.VMs, m)
	}
	p.outage = maintenance.NewBudgetTracker(ms)
}

func (p *planner) underWay(v *VM) bool { return v.Target != "" && v.Target != v.Pool }

// target is the pool that the VM is in when no move is under way any more.
func (p *planner) target(v *VM) model.Pool { return cmp.Or(v.Target, v.Pool) }

func (p *planner) service(n model.Pool) model.Service {
	if q := p.pools[n]; q != nil {
		return q.Service
	}
	return ""
}

// inService is the VM as the budgets see it in a pool.
func (p *planner) inService(v *VM, in model.Pool) maintenance.VM {
	return maintenance.VM{Name: v.Name, Pool: in, Service: p.service(in), Rack: v.Rack, State: v.State, Suspect: v.Suspect, Drained: v.Drained}
}

// ready reports whether a VM may be moved: it serves, or is spare and up.
func (p *planner) ready(v *VM) bool {
	return v.State == model.VMServing && !v.Suspect && !v.Drained && !p.moving[v.Name] && !p.underWay(v)
}

// settled reports whether the VM has been where it is for at least two moves.
func (p *planner) settled(v *VM) bool {
	return v.MovedAt.IsZero() || p.s.Now.Sub(v.MovedAt) > 2*p.s.MoveTime
}

// move enters a move unless a budget or a wave holds it back.
func (p *planner) move(v *VM, to model.Pool, m Move) (h Held, ok bool) {
	from, dest := p.inService(v, v.Pool), p.inService(v, to)
	for _, n := range []model.Pool{v.Pool, to} {
		if q := p.pools[n]; q != nil && q.InWave && waveFirst(p.s.Weights) {
			return Held{Reason: ReasonInWave, Detail: "pool " + string(n)}, false
		}
	}
	for _, x := range []maintenance.VM{from, dest} {
		if _, detail, ok := p.outage.Allows(x); !ok && x.Service != "" {
			return Held{Reason: ReasonBudget, Detail: detail}, false
		}
	}
	p.outage.Add(from)
	if dest.Service != from.Service {
		p.outage.Add(dest)
	}
	p.moving[v.Name] = true
	p.stay[v.Pool]--
	p.come[to]++
	p.touched[from.Service], p.touched[dest.Service] = true, true
	m.VM, m.From, m.To = v.Name, v.Pool, to
	p.plan.Moves = append(p.plan.Moves, m)
	return Held{}, true
}

// giveBack sends VMs home that are not needed any more where they are.
func (p *planner) giveBack() {
	lent := make([]*VM, 0, 8)
	for i := range p.s.VMs {
		if v := &p.s.VMs[i]; v.Home != v.Pool && !p.underWay(v) && p.pools[v.Home] != nil {
			lent = append(lent, v)
		}
	}
	slices.SortStableFunc(lent, func(a, b *VM) int {
		// VMs of pools with a service go home before spare ones.
		return cmp.Or(compareBool(p.pools[a.Home].Spare, p.pools[b.Home].Spare), cmp.Compare(a.Name, b.Name))
	})
	for _, v := range lent {
		r, detail := p.returnReason(v)
		if r == "" {
			continue
		}
		h := Held{Reason: ReasonNotServing, Detail: string(v.State)}
		ok := false
		if p.ready(v) {
			h, ok = p.move(v, v.Home, Move{Reason: r, Detail: detail})
		}
		if ok {
			p.lent[p.service(v.Pool)]--
			continue
		}
		h.VM = v.Name
		p.plan.Held = append(p.plan.Held, h)
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// returnReason says why a lent VM is to go home; empty if it stays.
func (p *planner) returnReason(v *VM) (Reason, string) {
	here, home := p.pools[v.Pool], p.pools[v.Home]
	switch {
	case p.come[v.Home] >= home.Max:
		return "", "" // others are at home in its place, until the files change
	case here == nil:
		return ReasonBounds, "the pool is not in the files any more"
	case p.come[v.Pool] > here.Max && p.stay[v.Pool] > here.Min:
		return ReasonBounds, fmt.Sprintf("%d VMs in pool %s, at most %d allowed", p.come[v.Pool], here.Name, here.Max)
	case p.stay[v.Pool] <= here.Min:
		return "", ""
	case p.stay[v.Home] < home.Min:
		return ReasonBounds, fmt.Sprintf("%d VMs in pool %s, at least %d required", p.stay[v.Home], home.Name, home.Min)
	case here.Spare:
		return ReasonDemandGone, "a spare pool has no demand"
	case !p.settled(v):
		return "", ""
	}
	l := p.s.Demand[here.Service].level(min(p.lent[here.Service], MaxLevels), p.s.Now)
	if l == nil {
		return "", ""
	}
	// The long average keeps a VM where bursts that follow each other closely use it.
	if t := p.s.Now.Sub(l.quiet); !l.high && l.long < highUse && t > 2*p.s.MoveTime {
		return ReasonDemandGone, fmt.Sprintf("service %s has had no lasting need of it for %s", here.Service, t.Round(time.Second))
	}
	if home.Spare || p.lent[home.Service] > 0 || p.touched[home.Service] {
		return "", ""
	}
	h := p.s.Demand[home.Service].level(1, p.s.Now)
	if h != nil && h.high && h.lasted(p.s.Now) > 2*p.s.MoveTime && h.short > l.short {
		return ReasonHomeDemand, fmt.Sprintf("service %s has needed it for %s", home.Service, h.lasted(p.s.Now).Round(time.Second))
	}
	return "", ""
}
