package config

import (
	"fmt"
	"strings"

	"boragepulley/internal/model"
	"boragepulley/internal/tomldoc"
)

// check applies the rules that concern more than one object.
func (d *draft) check() {
	d.checkSections()
	d.checkUnique()
	d.checkReferences()
	d.checkAddresses()
	d.checkConnections()
	d.checkKeys()
	d.checkTeams()
	d.checkBudgets()
	d.checkWaves()
	d.checkPoolBounds()
	d.checkUse()
}

// checkSections checks that the site has the sections that nothing works without.
func (d *draft) checkSections() {
	missing := func(section string) {
		d.faults = append(d.faults, Fault{File: "(all files)", Field: section, Found: "nothing", Expected: "at least one section"})
	}
	if d.site.table == nil {
		missing("[site]")
	}
	if len(d.dataCentres) == 0 {
		missing("[[data_centre]]")
	}
	if w := d.weights.value; w == (Weights{}) && d.weights.table != nil {
		d.weights.table.Fault("", "all weights 0", "at least one weight above 0")
	}
}

// unique reports objects whose name was used before.
func unique[T any](items []item[T], field string, name func(*T) string) {
	first := make(map[string]*item[T], len(items))
	for i := range items {
		it := &items[i]
		n := name(&it.value)
		if n == "" {
			continue
		}
		if f := first[n]; f != nil {
			it.table.Fault(field, fmt.Sprintf("%q again", n), "a unique name, first used at "+place(f.table, field))
			continue
		}
		first[n] = it
	}
}

func (d *draft) checkUnique() {
	unique(d.services, "name", func(s *Service) string { return string(s.Name) })
	unique(d.pools, "name", func(p *Pool) string { return string(p.Name) })
	unique(d.workers, "name", func(w *Worker) string { return string(w.Name) })
	unique(d.queues, "name", func(q *Queue) string { return string(q.Name) })
	unique(d.teams, "name", func(t *Team) string { return string(t.Name) })
	unique(d.keys, "id", func(k *Key) string { return k.ID })
	unique(d.waves, "name", func(w *Wave) string { return w.Name })
	unique(d.dataCentres, "name", func(c *DataCentre) string { return string(c.Name) })
	unique(d.budgets, "scope", func(b *Budget) string {
		if b.Service == "" || b.Scope == "" {
			return ""
		}
		return string(b.Service) + " per " + string(b.Scope)
	})
	d.checkUniqueVMs()
	d.checkUniqueEntryVMs()
}

// checkUniqueVMs tells a VM in two pools (I2) from a VM that is merely listed twice.
func (d *draft) checkUniqueVMs() {
	first := map[model.VM]*item[VM]{}
	for i := range d.vms {
		it := &d.vms[i]
		f := first[it.value.Name]
		switch {
		case it.value.Name == "":
		case f == nil:
			first[it.value.Name] = it
		case f.value.Pool != it.value.Pool:
			it.table.Fault("pool", fmt.Sprintf("VM %q in a second pool %q", it.value.Name, it.value.Pool),
				fmt.Sprintf("one pool per VM, it is in %q at %s", f.value.Pool, place(f.table, "pool")))
		default:
			it.table.Fault("name", fmt.Sprintf("%q again", it.value.Name), "a unique name, first used at "+place(f.table, "name"))
		}
	}
}

func (d *draft) checkUniqueEntryVMs() {
	first := map[model.EntryVM]*item[DataCentre]{}
	for i := range d.dataCentres {
		it := &d.dataCentres[i]
		for _, e := range it.value.EntryVMs {
			if f := first[e]; f != nil {
				it.table.Fault("entry_vms", fmt.Sprintf("%q in a second data centre", e), "one data centre per entry VM, first at "+place(f.table, "entry_vms"))
				continue
			}
			first[e] = it
		}
	}
}

// known is the set of names of one kind of object.
type known map[string]bool

func knownNames[T any](items []item[T], name func(*T) string) known {
	k := known{}
	for i := range items {
		k[name(&items[i].value)] = true
	}
	return k
}

// refer reports a reference to an object that does not exist. An empty reference has
// already been reported.
func (k known) refer(t *tomldoc.Table, field, kind, name string) {
	if name != "" && !k[name] {
		t.Fault(field, fmt.Sprintf("unknown %s %q", kind, name), "an existing "+kind)
	}
}

func (d *draft) checkReferences() {
	dcs := knownNames(d.dataCentres, func(c *DataCentre) string { return string(c.Name) })
	services := knownNames(d.services, func(s *Service) string { return string(s.Name) })
	pools := knownNames(d.pools, func(p *Pool) string { return string(p.Name) })
	teams := knownNames(d.teams, func(t *Team) string { return string(t.Name) })
	for _, it := range d.pools {
		services.refer(it.table, "service", "service", string(it.value.Service))
	}
	for _, it := range d.vms {
		pools.refer(it.table, "pool", "pool", string(it.value.Pool))
		dcs.refer(it.table, "data_centre", "data centre", string(it.value.DC))
	}
	for _, it := range d.workers {
		dcs.refer(it.table, "data_centre", "data centre", string(it.value.DC))
	}
	for _, it := range d.queues {
		services.refer(it.table, "service", "service", string(it.value.Service))
		for _, t := range it.value.Teams {
			teams.refer(it.table, "teams", "team", string(t))
		}
	}
	for _, it := range d.keys {
		teams.refer(it.table, "team", "team", string(it.value.Team))
	}
	for _, it := range d.budgets {
		services.refer(it.table, "service", "service", string(it.value.Service))
	}
	for _, it := range d.waves {
		for _, p := range it.value.Pools {
			pools.refer(it.table, "pools", "pool", string(p))
		}
	}
}

// checkAddresses reports an address that two machines share: one of them would receive
// the work of both.
func (d *draft) checkAddresses() {
	first := map[string]*tomldoc.Table{}
	add := func(t *tomldoc.Table, addr string) {
		if f := first[addr]; f != nil && addr != "" {
			t.Fault("address", fmt.Sprintf("%q again", addr), "an address of its own, first used at "+place(f, "address"))
			return
		}
		first[addr] = t
	}
	for _, it := range d.vms {
		add(it.table, it.value.Addr)
	}
	for _, it := range d.workers {
		add(it.table, it.value.Addr)
	}
}

// checkConnections checks that the connections of a VM suffice for every entry VM of its
// data centre, each of which uses an equal whole part of them.
func (d *draft) checkConnections() {
	entries := map[model.DataCentre]int{}
	for _, it := range d.dataCentres {
		entries[it.value.Name] = len(it.value.EntryVMs)
	}
	for _, it := range d.vms {
		v, n := it.value, entries[it.value.DC]
		if n == 0 || !it.table.Valid("slots", "connections") {
			continue
		}
		switch part := v.Connections / n; {
		case part == 0:
			it.table.Fault("connections", fmt.Sprint(v.Connections), fmt.Sprintf("at least 1 for each of the %d entry VMs of data centre %q", n, v.DC))
		case part*n < v.Slots:
			it.table.Warn("connections", fmt.Sprint(v.Connections),
				fmt.Sprintf("more: %d entry VMs use %d each, fewer than the %d slots in all", n, part, v.Slots))
		}
	}
}

// checkKeys reports two keys with the same secret, which could not be withdrawn one by one.
func (d *draft) checkKeys() {
	first := map[[32]byte]*item[Key]{}
	for i := range d.keys {
		it := &d.keys[i]
		if it.value.SHA256 == ([32]byte{}) {
			continue
		}
		if f := first[it.value.SHA256]; f != nil {
			it.table.Fault("sha256", "the hash of another key", "a secret of its own, first used at "+place(f.table, "sha256"))
			continue
		}
		first[it.value.SHA256] = it
	}
}

// capacity returns what the fleet can run at once: the slots of all VMs and, if there is
// a queue of tasks, the cores of all workers, since a task takes at least one core.
func (d *draft) capacity() int {
	n := 0
	for _, it := range d.vms {
		n += it.value.Slots
	}
	for _, it := range d.queues {
		if it.value.Kind == QueueTasks {
			for _, w := range d.workers {
				n += w.value.Cores
			}
			break
		}
	}
	return n
}

// checkTeams compares limits and shares with the capacity of the fleet.
func (d *draft) checkTeams() {
	capacity, sum := d.capacity(), 0
	for _, it := range d.teams {
		sum += it.value.Share
	}
	for _, it := range d.teams {
		t := it.value
		if t.Limit > capacity {
			it.table.Warn("limit", fmt.Sprint(t.Limit), fmt.Sprintf("at most %d, the capacity of the fleet", capacity))
		}
		if t.Share > 0 && capacity > 0 && t.Share*capacity < sum {
			it.table.Warn("share", fmt.Sprintf("%d of %d", t.Share, sum), fmt.Sprintf("at least %d, or the team gets less than one slot of %d when the fleet is full", (sum+capacity-1)/capacity, capacity))
		}
	}
}

// serviceOf maps each pool to its service; spare pools have none.
func (d *draft) serviceOf() map[model.Pool]model.Service {
	m := map[model.Pool]model.Service{}
	for _, it := range d.pools {
		m[it.value.Name] = it.value.Service
	}
	return m
}

// domains counts the VMs of each service in each failure domain of a scope.
func (d *draft) domains(scope BudgetScope) map[model.Service]map[string]int {
	service := d.serviceOf()
	out := map[model.Service]map[string]int{}
	for _, it := range d.vms {
		s := service[it.value.Pool]
		if s == "" {
			continue
		}
		if out[s] == nil {
			out[s] = map[string]int{}
		}
		out[s][domain(scope, it.value)]++
	}
	return out
}

func domain(scope BudgetScope, v VM) string {
	switch scope {
	case ScopeDataCentre:
		return string(v.DC)
	case ScopeRack:
		return string(v.DC) + "/" + string(v.Rack)
	}
	return "fleet"
}

// checkBudgets reports budgets that guarantee nothing because they allow every VM of
// the service to be out of service in every domain.
func (d *draft) checkBudgets() {
	domains := map[BudgetScope]map[model.Service]map[string]int{
		ScopeFleet: d.domains(ScopeFleet), ScopeDataCentre: d.domains(ScopeDataCentre), ScopeRack: d.domains(ScopeRack),
	}
	for _, it := range d.budgets {
		b := it.value
		if b.Service == "" || b.Scope == "" || !it.table.Valid("service", "max_unavailable") {
			continue
		}
		largest := 0
		for _, n := range domains[b.Scope][b.Service] {
			largest = max(largest, n)
		}
		switch {
		case largest == 0:
			it.table.Fault("service", fmt.Sprintf("service %q without VMs", b.Service), "a service with VMs, a budget over none guarantees nothing")
		case b.MaxUnavailable >= largest:
			it.table.Fault("max_unavailable", fmt.Sprint(b.MaxUnavailable),
				fmt.Sprintf("at most %d, since the service has at most %d VMs per %s", largest-1, largest, strings.ReplaceAll(string(b.Scope), "_", " ")))
		case b.Scope == ScopeDataCentre:
			d.warnSmallDomains(it, domains[b.Scope][b.Service])
		}
	}
}

// warnSmallDomains warns of data centres in which a budget allows all VMs of its service
// to be out of service.
func (d *draft) warnSmallDomains(it item[Budget], vms map[string]int) {
	b := it.value
	for _, dc := range d.dataCentres {
		n := vms[string(dc.value.Name)]
		if n > 0 && b.MaxUnavailable >= n {
			it.table.Warn("max_unavailable", fmt.Sprint(b.MaxUnavailable), fmt.Sprintf("at most %d, since data centre %q has %d VMs of the service", n-1, dc.value.Name, n))
		}
	}
}

// checkWaves compares waves with budgets and run times.
func (d *draft) checkWaves() {
	service := d.serviceOf()
	services := map[model.Service]item[Service]{}
	for _, it := range d.services {
		services[it.value.Name] = it
	}
	budgets := map[model.Service][]item[Budget]{}
	for _, it := range d.budgets {
		budgets[it.value.Service] = append(budgets[it.value.Service], it)
	}
	for _, it := range d.waves {
		for _, p := range it.value.Pools {
			s := service[p]
			if s == "" {
				continue
			}
			if len(budgets[s]) == 0 {
				it.table.Warn("pools", fmt.Sprintf("pool %q of service %q without a budget", p, s), "a budget, or the wave takes one VM of the service at a time in each data centre")
			}
			for _, b := range budgets[s] {
				if b.value.MaxUnavailable == 0 && b.table.Valid("max_unavailable") {
					b.table.Fault("max_unavailable", "0", fmt.Sprintf("at least 1, or wave %q at %s over pool %q can never proceed", it.value.Name, place(it.table, "name"), p))
				}
			}
			checkDrain(it, services[s])
		}
	}
}

// checkDrain warns of a wave that would report a VM as stuck while it still finishes its
// work. The service may be unknown, which is reported elsewhere.
func checkDrain(wave item[Wave], service item[Service]) {
	run := service.value.MaxRun
	if service.table == nil || !service.table.Valid("max_run") || !wave.table.Valid("drain_timeout") || wave.value.DrainTimeout >= run {
		return
	}
	wave.table.Warn("drain_timeout", fmt.Sprintf("%q", tomldoc.ShortDuration(wave.value.DrainTimeout)),
		fmt.Sprintf("at least %q, the max_run of service %q", tomldoc.ShortDuration(run), service.value.Name))
}

// checkUse warns of objects that have no effect, such as a service without VMs.
func (d *draft) checkUse() {
	services := d.domains(ScopeFleet)
	for _, it := range d.services {
		if s := it.value.Name; s != "" && len(services[s]) == 0 {
			it.table.Warn("name", fmt.Sprintf("service %q without VMs", s), "a pool of the service with VMs, or its queues refuse all work")
		}
	}
	if len(d.workers) == 0 {
		for _, it := range d.queues {
			if it.value.Kind == QueueTasks {
				it.table.Warn("kind", `"tasks"`, "workers in the site, or the queue refuses all work")
			}
		}
	}
	keyed := knownNames(d.keys, func(k *Key) string { return string(k.Team) })
	for _, it := range d.teams {
		if n := string(it.value.Name); n != "" && !keyed[n] {
			it.table.Warn("name", fmt.Sprintf("team %q without a key", n), "a [[key]] of the team, or it can submit nothing")
		}
	}
}

// place names the position of a field.
func place(t *tomldoc.Table, field string) string {
	return fmt.Sprintf("%s:%d", t.File(), t.Line(field))
}
