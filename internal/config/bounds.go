package config

import (
	"fmt"

	"boragepulley/internal/model"
)

// undeclared marks a bound of a pool that the files do not declare.
const undeclared = -1

// checkPoolBounds sets the bounds that are not declared to the number of home VMs, and
// checks the others against it: a site whose VMs are all at home must be within bounds.
func (d *draft) checkPoolBounds() {
	home := map[model.Pool]int{}
	for _, it := range d.vms {
		home[it.value.Pool]++
	}
	lendable := map[model.Pool]int{}
	all := 0
	for i := range d.pools {
		p, n := &d.pools[i].value, home[d.pools[i].value.Name]
		if p.Min == undeclared {
			p.Min = n
		}
		if p.Max == undeclared {
			p.Max = n
		}
		lendable[p.Name] = max(0, n-p.Min)
		all += lendable[p.Name]
	}
	for _, it := range d.pools {
		d.checkBounds(it, home[it.value.Name])
		if p := it.value; p.Max > home[p.Name] && all == lendable[p.Name] && it.table.Valid("min", "max") {
			it.table.Warn("max", fmt.Sprint(p.Max), "another pool with min below its VMs, or none can be lent to this pool")
		}
	}
}

// checkBounds checks the bounds of one pool with n home VMs.
func (d *draft) checkBounds(it item[Pool], n int) {
	p := it.value
	if p.Min > n && it.table.Valid("min") {
		it.table.Fault("min", fmt.Sprint(p.Min), fmt.Sprintf("at most %d, the VMs whose home pool it is", n))
	}
	if p.Max < n && it.table.Valid("max") {
		it.table.Fault("max", fmt.Sprint(p.Max), fmt.Sprintf("at least %d, the VMs whose home pool it is", n))
	}
	if p.Spare || p.Min == n || !it.table.Valid("min") {
		return
	}
	least := 1
	for _, b := range d.budgets {
		if b.value.Service == p.Service && b.value.Scope == ScopeFleet && b.table.Valid("max_unavailable") {
			least = b.value.MaxUnavailable + 1
		}
	}
	if p.Min < least {
		it.table.Fault("min", fmt.Sprint(p.Min), fmt.Sprintf("at least %d, more than the budget of service %q lets be out of service", least, p.Service))
	}
}
