package pools

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"boragepulley/internal/maintenance"
	"boragepulley/internal/model"
)

// planner holds the intermediate results while a plan is computed.
type planner struct {
	s      *Snapshot
	plan   Plan
	outage *maintenance.BudgetTracker
	pools  map[model.Pool]*Pool
	// staying counts the VMs in a pool that are not moving away, arriving those in it or moving to
	// it. The bounds are checked against both, so that they hold whether or not the moves in
	// progress succeed.
	staying, arriving map[model.Pool]int
	// lent counts VMs of other pools that are in, or moving to, the pools of a service.
	lent map[model.Service]int
	// affected marks the services that a move of this plan affects.
	affected map[model.Service]bool
	moving   map[model.VM]bool
}

// NewPlan computes the plan for a snapshot: first the VMs that return home, then at most one
// lent VM per service, starting with the service with the largest gain.
func NewPlan(s Snapshot) Plan {
	if s.MoveTime <= 0 {
		s.MoveTime = DefaultMoveTime
	}
	p := &planner{s: &s, pools: make(map[model.Pool]*Pool, len(s.Pools)), staying: make(map[model.Pool]int), arriving: make(map[model.Pool]int),
		lent: make(map[model.Service]int), affected: make(map[model.Service]bool), moving: make(map[model.VM]bool)}
	for i := range s.Pools {
		p.pools[s.Pools[i].Name] = &s.Pools[i]
	}
	p.count()
	p.planReturns()
	for _, w := range p.vmDemands() {
		p.lend(w)
	}
	return p.plan
}

// count counts the VMs of each pool and service and those that the budgets count as out of
// service.
func (p *planner) count() {
	ms := maintenance.Snapshot{Now: p.s.Now, Budgets: p.s.Budgets, FleetBudgetShare: p.s.FleetBudgetShare}
	for i := range p.s.VMs {
		v := &p.s.VMs[i]
		p.arriving[v.Pool]++
		m := p.budgetVM(v, v.Pool)
		if p.inMove(v) {
			p.moving[v.Name] = true
			p.arriving[v.Target]++
			m.State = model.VMDraining // it may still serve, but its drain is imminent
			// The target's budget counts the VM as well, until it serves there.
			to := p.budgetVM(v, v.Target)
			to.State = model.VMRebooting
			ms.VMs = append(ms.VMs, to)
		} else {
			p.staying[v.Pool]++
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

func (p *planner) inMove(v *VM) bool { return v.Target != "" && v.Target != v.Pool }

// target returns the pool that the VM will be in after its current move, if any.
func (p *planner) target(v *VM) model.Pool { return cmp.Or(v.Target, v.Pool) }

func (p *planner) service(n model.Pool) model.Service {
	if q := p.pools[n]; q != nil {
		return q.Service
	}
	return ""
}

// budgetVM returns the VM as a VM of the given pool, for the availability budgets.
func (p *planner) budgetVM(v *VM, in model.Pool) maintenance.VM {
	return maintenance.VM{Name: v.Name, Pool: in, Service: p.service(in), Rack: v.Rack, State: v.State, Suspect: v.Suspect, Drained: v.Drained}
}

// ready reports whether a VM may be moved: it is serving and not moving yet.
func (p *planner) ready(v *VM) bool {
	return v.State == model.VMServing && !v.Suspect && !v.Drained && !p.moving[v.Name] && !p.inMove(v)
}

// stable reports whether the VM has been in its pool for more than twice the move time.
func (p *planner) stable(v *VM) bool {
	return v.MovedAt.IsZero() || p.s.Now.Sub(v.MovedAt) > 2*p.s.MoveTime
}

// move adds a move to the plan unless a budget or a wave prevents it.
func (p *planner) move(v *VM, to model.Pool, m Move) (h Held, ok bool) {
	from, dest := p.budgetVM(v, v.Pool), p.budgetVM(v, to)
	for _, n := range []model.Pool{v.Pool, to} {
		if q := p.pools[n]; q != nil && q.InWave && wavesFirst(p.s.Weights) {
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
	p.staying[v.Pool]--
	p.arriving[to]++
	p.affected[from.Service], p.affected[dest.Service] = true, true
	m.VM, m.From, m.To = v.Name, v.Pool, to
	p.plan.Moves = append(p.plan.Moves, m)
	return Held{}, true
}

// planReturns plans the return of lent VMs that are no longer needed where they are.
func (p *planner) planReturns() {
	lent := make([]*VM, 0, 8)
	for i := range p.s.VMs {
		if v := &p.s.VMs[i]; v.Home != v.Pool && !p.inMove(v) && p.pools[v.Home] != nil {
			lent = append(lent, v)
		}
	}
	slices.SortStableFunc(lent, func(a, b *VM) int {
		// VMs of pools with a service return before spare ones.
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

// returnReason returns why a lent VM is to return home; the reason is empty if it stays.
func (p *planner) returnReason(v *VM) (Reason, string) {
	here, home := p.pools[v.Pool], p.pools[v.Home]
	switch {
	case p.arriving[v.Home] >= home.Max:
		return "", "" // its home pool is at its maximum until the configuration changes
	case here == nil:
		return ReasonBounds, "the pool was removed from the configuration"
	case p.arriving[v.Pool] > here.Max && p.staying[v.Pool] > here.Min:
		return ReasonBounds, fmt.Sprintf("%d VMs in pool %s, at most %d allowed", p.arriving[v.Pool], here.Name, here.Max)
	case p.staying[v.Pool] <= here.Min:
		return "", ""
	case p.staying[v.Home] < home.Min:
		return ReasonBounds, fmt.Sprintf("%d VMs in pool %s, at least %d required", p.staying[v.Home], home.Name, home.Min)
	case here.Spare:
		return ReasonDemandGone, "a spare pool has no demand"
	case !p.stable(v):
		return "", ""
	}
	l := p.s.Demand[here.Service].level(min(p.lent[here.Service], MaxLevels), p.s.Now)
	if l == nil {
		return "", ""
	}
	// The long average keeps a VM where it is used by bursts in close succession.
	if t := p.s.Now.Sub(l.quiet); !l.high && l.long < highUse && t > 2*p.s.MoveTime {
		return ReasonDemandGone, fmt.Sprintf("service %s has had no lasting demand for it for %s", here.Service, t.Round(time.Second))
	}
	if home.Spare || p.lent[home.Service] > 0 || p.affected[home.Service] {
		return "", ""
	}
	h := p.s.Demand[home.Service].level(1, p.s.Now)
	if h != nil && h.high && h.lasted(p.s.Now) > 2*p.s.MoveTime && h.short > l.short {
		return ReasonHomeDemand, fmt.Sprintf("service %s has needed it for %s", home.Service, h.lasted(p.s.Now).Round(time.Second))
	}
	return "", ""
}
