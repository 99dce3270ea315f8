package maintenance

import (
	"fmt"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// domain is what one budget counts in: a service in the fleet, data centre or a rack.
type domain struct {
	scope   config.BudgetScope
	service model.Service
	rack    model.Rack // only for rack scope
}

// ledger counts the VMs that are out of service against every budget. The domains of a
// service are nested (rack in data centre in fleet part), so adding VMs in any order
// until none fits gives a largest possible set.
type ledger struct {
	limits map[domain]int
	out    map[domain]int
	// scopes lists the budgets of a service, the widest first.
	scopes map[model.Service][]config.BudgetScope
}

func newLedger(s *Snapshot) *ledger {
	l := &ledger{limits: make(map[domain]int), out: make(map[domain]int), scopes: make(map[model.Service][]config.BudgetScope)}
	for _, scope := range []config.BudgetScope{config.ScopeFleet, config.ScopeDataCentre, config.ScopeRack} {
		for _, b := range s.Budgets {
			if b.Scope == scope {
				l.add(b, s.FleetBudgetShare)
			}
		}
	}
	return l
}

// add enters a budget; of two budgets for the same domain the smaller one holds.
func (l *ledger) add(b config.Budget, parts map[model.Service]int) {
	k, n := domain{scope: b.Scope, service: b.Service}, b.MaxUnavailable
	if b.Scope == config.ScopeFleet {
		n = min(n, parts[b.Service])
	}
	if old, ok := l.limits[k]; ok {
		l.limits[k] = min(old, n)
		return
	}
	l.limits[k] = n
	l.scopes[b.Service] = append(l.scopes[b.Service], b.Scope)
}

func (l *ledger) domains(v *VM) []domain {
	out := make([]domain, 0, 3)
	for _, scope := range l.scopes[v.Service] {
		d := domain{scope: scope, service: v.Service}
		if scope == config.ScopeRack {
			d.rack = v.Rack
		}
		out = append(out, d)
	}
	if len(out) == 0 && v.Service != "" {
		out = append(out, domain{service: v.Service})
	}
	return out
}

func (l *ledger) limit(d domain) int {
	if d.scope == "" {
		return 1 // a service without a budget: one VM at a time
	}
	d.rack = ""
	return l.limits[d]
}

// count enters a VM that is out of service in any case.
func (l *ledger) count(v *VM) {
	for _, d := range l.domains(v) {
		l.out[d]++
	}
}

// block is the budget that keeps a VM in service.
type block struct {
	reason Reason
	detail string
}

// room reports whether every budget allows the VM to be out of service; otherwise it
// returns the narrowest budget that does not.
func (l *ledger) room(v *VM) (b block, ok bool) {
	for _, d := range l.domains(v) {
		if n, limit := l.out[d], l.limit(d); n >= limit {
			b = block{reason: scopeReason(d.scope), detail: fmt.Sprintf("%d of %d VMs of service %s are out%s", n, limit, d.service, where(d))}
		}
	}
	return b, b.reason == ""
}

// admit takes the VM out of service if every budget allows it.
func (l *ledger) admit(v *VM) (b block, ok bool) {
	if b, ok = l.room(v); ok {
		l.count(v)
	}
	return b, ok
}

func scopeReason(s config.BudgetScope) Reason {
	switch s {
	case config.ScopeFleet:
		return ReasonFleetBudget
	case config.ScopeDataCentre:
		return ReasonDCBudget
	case config.ScopeRack:
		return ReasonRackBudget
	}
	return ReasonNoBudget
}

func where(d domain) string {
	switch d.scope {
	case config.ScopeFleet:
		return " (this data centre's part of the fleet's budget)"
	case config.ScopeRack:
		return " in rack " + string(d.rack)
	}
	return " in this data centre"
}
