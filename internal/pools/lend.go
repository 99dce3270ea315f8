package pools

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// vmDemand is a service's demand for one more VM.
type vmDemand struct {
	service model.Service
	level   *level
	lasted  time.Duration
	// useful is how long the VM is expected to be used after its move.
	useful time.Duration
}

// vmDemands returns the services that need one more VM, in order of decreasing expected gain.
func (p *planner) vmDemands() []vmDemand {
	var out []vmDemand
	seen := make(map[model.Service]bool, len(p.s.Pools))
	for i := range p.s.Pools {
		svc := p.s.Pools[i].Service
		if svc == "" || seen[svc] || p.affected[svc] {
			continue
		}
		seen[svc] = true
		l := p.s.Demand[svc].level(p.lent[svc]+1, p.s.Now)
		if l == nil || !l.high {
			continue
		}
		t := l.lasted(p.s.Now)
		if t <= p.s.MoveTime {
			p.hold(svc, ReasonNotSustained, fmt.Sprintf("demand has lasted %s, a move takes %s", t.Round(time.Second), p.s.MoveTime.Round(time.Second)))
			continue
		}
		out = append(out, vmDemand{service: svc, level: l, lasted: t, useful: l.remaining(t) - p.s.MoveTime})
	}
	slices.SortStableFunc(out, func(a, b vmDemand) int {
		return cmp.Or(cmp.Compare(b.gain(0), a.gain(0)), cmp.Compare(a.service, b.service))
	})
	return out
}

// gain returns the expected gain of a move, in seconds of one VM's service. donorUse is the
// fraction of the VM that its own pool would have used.
func (w vmDemand) gain(donorUse float64) float64 {
	return (w.level.short - donorUse) * w.useful.Seconds()
}

func (p *planner) hold(svc model.Service, r Reason, detail string) {
	p.plan.Held = append(p.plan.Held, Held{Service: svc, Reason: r, Detail: detail})
}

// lend plans the move of one VM to the service, or records why it gets none.
func (p *planner) lend(w vmDemand) {
	cost := 2 * p.s.MoveTime.Seconds() * moveCostFactor(p.s.Weights)
	if g := w.gain(0); g <= cost {
		p.hold(w.service, ReasonNoGain, fmt.Sprintf("%.0f s of service expected, %.0f s required", g, cost))
		return
	}
	to := p.poolBelowMax(w.service)
	if to == "" {
		p.hold(w.service, ReasonPoolFull, "")
		return
	}
	held := Held{Reason: ReasonNoDonor}
	for _, d := range p.donors(w) {
		g := w.gain(d.use)
		if g <= cost {
			held = Held{Reason: ReasonNoGain, Detail: fmt.Sprintf("pool %s needs its own VMs", d.vm.Pool)}
			continue
		}
		if !d.vm.MovedAt.IsZero() && (w.lasted <= 2*p.s.MoveTime || !p.stable(d.vm)) {
			held = Held{Reason: ReasonMovedRecently, Detail: string(d.vm.Name)}
			continue
		}
		h, ok := p.move(d.vm, to, Move{Reason: ReasonDemand, Gain: g, Cost: cost,
			Detail: fmt.Sprintf("service %s has needed it for %s", w.service, w.lasted.Round(time.Second))})
		if ok {
			p.lent[w.service]++
			return
		}
		held = h
	}
	p.hold(w.service, held.Reason, held.Detail)
}

// poolBelowMax returns the first pool of the service that is below its maximum.
func (p *planner) poolBelowMax(svc model.Service) model.Pool {
	for i := range p.s.Pools {
		if q := &p.s.Pools[i]; q.Service == svc && p.arriving[q.Name] < q.Max {
			return q.Name
		}
	}
	return ""
}

// donor is a VM that may be lent, and the fraction of it that its own pool uses.
type donor struct {
	vm  *VM
	use float64
}

// donors returns the VMs that may be lent to the service, the least used first. Only VMs in
// their home pool are candidates: a lent VM returns home before it is lent again.
func (p *planner) donors(w vmDemand) []donor {
	var out []donor
	for i := range p.s.VMs {
		v := &p.s.VMs[i]
		q := p.pools[v.Pool]
		if q == nil || v.Home != v.Pool || !p.ready(v) || q.Service == w.service {
			continue
		}
		if q.Spare {
			if p.staying[q.Name] > reserve(p.s.Weights, q) {
				out = append(out, donor{vm: v})
			}
			continue
		}
		if use, ok := p.lendable(q); ok {
			out = append(out, donor{vm: v, use: use})
		}
	}
	slices.SortStableFunc(out, func(a, b donor) int {
		return cmp.Or(cmp.Compare(a.use, b.use), compareBool(!a.vm.MovedAt.IsZero(), !b.vm.MovedAt.IsZero()), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	return out
}

// lendable reports whether a pool with a service may lend a VM, and the fraction of it that
// the service would have used. A pool lends one VM at a time, because the average use of the
// next one is only known after a long window without the first.
func (p *planner) lendable(q *Pool) (use float64, ok bool) {
	t := p.s.Demand[q.Service]
	if t == nil || !t.known(p.s.Now, p.s.MoveTime) || p.staying[q.Name] <= q.Min || p.lent[q.Service] > 0 || p.affected[q.Service] {
		return 0, false
	}
	if l := t.level(1, p.s.Now); l == nil || l.high {
		return 0, false
	}
	for i := range p.s.VMs {
		v := &p.s.VMs[i]
		if v.Home == q.Name && (p.inMove(v) || v.Pool != v.Home && p.s.Now.Sub(v.MovedAt) < longWindowMoves*p.s.MoveTime) {
			return 0, false
		}
	}
	return t.levels[0].long, true
}
