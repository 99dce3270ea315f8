package control

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"maps"
	"strings"
	"time"

	"boragepulley/internal/allotment"
	"boragepulley/internal/config"
	"boragepulley/internal/maintenance"
	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

const (
	budgetPrefix = "budget/"
	// budgetReadIdle is the interval at which the rows are read while this data centre
	// needs no part of any budget.
	budgetReadIdle = 10 * time.Second
)

// budgetRow is the value of the table row "budget/<service>".
type budgetRow struct {
	allotment.Row
	// Owed is the number of VMs that are out of service in a data centre in excess of its
	// part and cannot be returned to service, such as failed ones. The other data centres
	// give up parts of the budget for them, so that failed VMs take precedence over planned
	// work in the whole fleet.
	Owed map[model.DataCentre]int `json:"owed,omitempty"`
}

// budgetShare is the known state of the row "budget/<service>", which divides a budget with
// the scope "fleet" among the data centres, like the limit of a team. At first all of the
// budget is unassigned. A coordinator takes what it needs and returns what it no longer
// needs, so that the sum of the parts never exceeds the budget.
type budgetShare struct {
	allotment.LocalState
	// owed is the field Owed of the known row.
	owed        map[model.DataCentre]int
	inFlight    bool
	nextAttempt time.Time
}

// update replaces the known row by a newer one.
func (b *budgetShare) update(row budgetRow, version uint64) {
	if _, at, ok := b.Row(); !ok || version > at {
		b.owed = row.Owed
	}
	b.Update(row.Row, version)
}

// hasRow reports whether the row is known.
func (b *budgetShare) hasRow() bool {
	_, _, ok := b.Row()
	return ok
}

// owedToOthers returns the sum of what is owed to all data centres except dc.
func (b *budgetShare) owedToOthers(dc model.DataCentre) int {
	n := 0
	for d, k := range b.owed {
		if d != dc {
			n += k
		}
	}
	return n
}

// fleetBudgets returns the smallest budget with the scope "fleet" of each service.
func fleetBudgets(s *config.Site) map[model.Service]int {
	out := map[model.Service]int{}
	for _, b := range s.Budgets {
		if b.Scope != config.ScopeFleet {
			continue
		}
		if n, ok := out[b.Service]; !ok || b.MaxUnavailable < n {
			out[b.Service] = b.MaxUnavailable
		}
	}
	return out
}

func (c *Control) budgetShare(s model.Service) *budgetShare {
	b := c.fleet.budgets[s]
	if b == nil {
		b = &budgetShare{}
		c.fleet.budgets[s] = b
	}
	return b
}

// fleetBudgetShares returns this data centre's part of each budget with the scope "fleet".
func (c *Control) fleetBudgetShares() map[model.Service]int {
	out := map[model.Service]int{}
	for s, limit := range fleetBudgets(c.cfg.index.Site) {
		b := c.budgetShare(s)
		if b.hasRow() {
			out[s] = b.Usable(c.self.DC, b.Limit(limit, c.cfg.version()))
			continue
		}
		// Until the row is read, VMs that are out of service stay so and none is added.
		for vm, r := range c.fleet.vms {
			if r.current.State != model.VMServing && c.serviceOf(r) == s && c.cfg.index.VM(vm) != nil {
				out[s]++
			}
		}
	}
	return out
}

// serviceOf returns the service of the pool that a VM is in; empty for a spare pool.
func (c *Control) serviceOf(r *vmRecord) model.Service {
	if p := c.cfg.index.Pool(r.current.Pool); p != nil && !p.Spare {
		return p.Service
	}
	return ""
}

// updateBudgets reads the rows and adjusts the parts of this data centre: it holds one unit
// for each of its VMs that is out of service or could be drained now.
func (c *Control) updateBudgets(s *maintenance.Snapshot, plan *maintenance.Plan, now time.Time) {
	limits := fleetBudgets(c.cfg.index.Site)
	c.fleet.budgetNeed, c.fleet.budgetStuck = budgetDemand(s, plan)
	if c.coord.local || c.lease.termVersion == 0 || c.fleet.readingBudgets || len(limits) == 0 {
		return
	}
	idle := true
	for svc := range limits {
		b := c.budgetShare(svc)
		row, _, known := b.Row()
		idle = idle && known && c.fleet.budgetNeed[svc] == 0 && row.Held[c.self.DC]+b.owed[c.self.DC] == 0
	}
	if idle && now.Sub(c.fleet.budgetsRead) < budgetReadIdle {
		return
	}
	coord := c.coord
	c.fleet.readingBudgets, c.fleet.budgetsRead = true, now
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		rows, err := c.deps.Table.Scan(ctx, platform.PriorityAllotment, budgetPrefix, 0)
		return func() {
			c.fleet.readingBudgets = false
			if err != nil || c.coord != coord || c.cfg.index == nil {
				return
			}
			c.onBudgetRows(rows)
			for svc, limit := range fleetBudgets(c.cfg.index.Site) {
				c.updateBudget(svc, limit, c.fleet.budgetNeed[svc], c.fleet.budgetStuck[svc], time.Now())
			}
		}
	})
}

// budgetDemand counts the VMs of each service that are out of service, that the plan takes
// out of service now, or that it would take out with a larger part of the budget. stuck
// counts those that are out of service and cannot be returned.
func budgetDemand(s *maintenance.Snapshot, plan *maintenance.Plan) (out, stuck map[model.Service]int) {
	out, stuck = map[model.Service]int{}, map[model.Service]int{}
	service := map[model.VM]model.Service{}
	for i := range s.VMs {
		v := &s.VMs[i]
		service[v.Name] = v.Service
		if v.State != model.VMServing || v.Suspect {
			out[v.Service]++
		}
		if v.Suspect || v.Drained || v.State == model.VMRebooting || v.State == model.VMFailed {
			stuck[v.Service]++
		}
	}
	for i := range plan.Steps {
		if st := &plan.Steps[i]; st.Kind == maintenance.StepDrain {
			out[service[st.VM]]++
		}
	}
	for svc, n := range plan.FleetBudgetDemand {
		out[svc] += n
	}
	return out, stuck
}

// onBudgetRows updates the state with the rows of a complete scan. A row that does not
// exist has version 0.
func (c *Control) onBudgetRows(rows []platform.Row) {
	for _, r := range rows {
		var v budgetRow
		if err := json.Unmarshal(r.Value, &v); err != nil {
			c.log.Error().Err(err).Str("key", r.Key).Msg("budget row malformed; no part of it is used")
			continue
		}
		c.budgetShare(model.Service(strings.TrimPrefix(r.Key, budgetPrefix))).update(v, r.Version)
	}
	for svc, limit := range fleetBudgets(c.cfg.index.Site) {
		if b := c.budgetShare(svc); !b.hasRow() {
			b.update(budgetRow{Row: allotment.Row{Limit: limit, Version: c.cfg.version()}}, 0)
		}
	}
}

// updateBudget adjusts this data centre's part of one budget to what it needs. The number
// stuck is for VMs that are out of service and cannot be returned; it takes precedence over
// the planned work of other data centres.
func (c *Control) updateBudget(svc model.Service, limit, need, stuck int, now time.Time) {
	b := c.budgetShare(svc)
	if b.inFlight || now.Before(b.nextAttempt) || c.lease.termVersion == 0 || c.coord.local {
		return
	}
	known, _, _ := b.Row()
	version := c.cfg.version()
	if known.Version > version {
		return // a newer configuration is in force elsewhere and will arrive here
	}
	dc := c.self.DC
	row := budgetRow{Row: known.Rebase(dc, limit, version), Owed: maps.Clone(b.owed)}
	held, free, owed := row.Held[dc], row.Unassigned(limit), b.owedToOthers(dc)
	changed := known.Held[dc] != held || held > 0 && known.Base[dc] != limit
	target := need
	if owed > 0 {
		target = max(stuck, min(need, held-max(0, owed-free)))
	}
	switch {
	case b.Reserved() > 0 && b.Unchanged():
		// The write of the last transfer may still take effect. It is repeated until one
		// does.
		row.Row, changed = known.Transfer(dc, "", b.Reserved(), limit, version), true
	case target > held && free > 0:
		row.Row, _ = known.TakeUnassigned(dc, target-held, limit, version)
		changed = true
	case target < held:
		b.Reserve(held - target)
		row.Row, changed = known.Transfer(dc, "", held-target, limit, version), true
	}
	if n := max(0, stuck-row.Held[dc]); n != row.Owed[dc] {
		if row.Owed == nil {
			row.Owed = map[model.DataCentre]int{}
		}
		row.Owed[dc], changed = n, true
		if n == 0 {
			delete(row.Owed, dc)
		}
	}
	if changed {
		c.writeBudget(svc, b, row)
	}
}

// writeBudget writes a row under the condition that neither it nor the term has changed.
func (c *Control) writeBudget(svc model.Service, b *budgetShare, row budgetRow) {
	val, err := json.Marshal(row)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	key := budgetPrefix + string(svc)
	_, at, _ := b.Row()
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: at}, c.fencingCondition()},
		Puts:       []platform.Put{{Key: key, Value: val}},
	}
	b.inFlight = true
	write := b.BeginWrite(row.Row)
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		versions, err := c.deps.Table.Commit(ctx, platform.PriorityAllotment, txn)
		return func() {
			b.inFlight = false
			if err != nil {
				// The reservation stays, because an earlier write of the transfer may still take
				// effect. The next round reads the row again.
				b.nextAttempt = time.Now().Add(c.jitter(allotmentRetryDelay))
				if certainlyNoEffect(err) || stderrors.Is(err, platform.ErrConflict) {
					b.AbortWrite(write)
				}
				return
			}
			b.update(row, versions[key])
			fleetOps.Add("budget_parts_moved", 1)
			c.log.Info().Str("service", string(svc)).Interface("held", row.Held).Int("limit", row.Limit).Msg("budget part written")
		}
	})
}
