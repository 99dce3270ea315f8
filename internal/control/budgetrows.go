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
	// budgetReadIdle is how often the rows are read while nothing here needs a part.
	budgetReadIdle = 10 * time.Second
)

// budgetRow is the value of the row "budget/<service>".
type budgetRow struct {
	allotment.Row
	// Owed is how many VMs are out of service in a data centre beyond its part and cannot
	// be returned, such as failed ones. The others give up parts for them, so that failed
	// VMs count first in the whole fleet.
	Owed map[model.DataCentre]int `json:"owed,omitempty"`
}

// budgetShare is this data centre's knowledge of the row "budget/<service>", which splits
// a budget whose scope is the fleet like a limit. All of the budget is unassigned at
// first; a coordinator takes what it needs and gives back the rest, so that the sum of the
// parts never exceeds the budget.
type budgetShare struct {
	allotment.Part
	// owed is Owed of the known row.
	owed        map[model.DataCentre]int
	inFlight    bool
	nextAttempt time.Time
}

// update keeps a row that is newer than the known one.
func (b *budgetShare) update(row budgetRow, version uint64) {
	if _, at, ok := b.Row(); !ok || version > at {
		b.owed = row.Owed
	}
	b.Learn(row.Row, version)
}

// hasRow reports whether a row was read.
func (b *budgetShare) hasRow() bool {
	_, _, ok := b.Row()
	return ok
}

// owedToOthers counts what is owed to other data centres than dc.
func (b *budgetShare) owedToOthers(dc model.DataCentre) int {
	n := 0
	for d, k := range b.owed {
		if d != dc {
			n += k
		}
	}
	return n
}

// fleetBudgets returns the budgets whose scope is the fleet: the smallest per service.
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

// fleetBudgetShares returns this data centre's part of each budget whose scope is the fleet.
func (c *Control) fleetBudgetShares() map[model.Service]int {
	out := map[model.Service]int{}
	for s, limit := range fleetBudgets(c.cfg.index.Site) {
		b := c.budgetShare(s)
		if b.hasRow() {
			out[s] = b.Usable(c.self.DC, b.Limit(limit, c.cfg.version()))
			continue
		}
		// Until the row is read, what is out of service stays so and nothing is added.
		for vm, r := range c.fleet.vms {
			if r.current.State != model.VMServing && c.serviceOf(r) == s && c.cfg.index.VM(vm) != nil {
				out[s]++
			}
		}
	}
	return out
}

// serviceOf returns the service of the pool that a VM is in; empty in a spare pool.
func (c *Control) serviceOf(r *vmRecord) model.Service {
	if p := c.cfg.index.Pool(r.current.Pool); p != nil && !p.Spare {
		return p.Service
	}
	return ""
}

// updateBudgets reads the rows and moves parts: a data centre holds as much as VMs are out
// of service there or could be drained now.
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

// budgetDemand counts, per service, the VMs that are out of service, those that the plan takes
// out now, and those that a larger part would allow. stuck counts those that are out and
// cannot be returned to service.
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
	for svc, n := range plan.FleetWants {
		out[svc] += n
	}
	return out, stuck
}

// onBudgetRows keeps the rows of a complete scan; a row that is missing has version 0.
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

// updateBudget moves the own part of one budget towards what is needed. stuck of it is out
// of service and cannot be returned; it goes before the planned work of others.
func (c *Control) updateBudget(svc model.Service, limit, need, stuck int, now time.Time) {
	b := c.budgetShare(svc)
	if b.inFlight || now.Before(b.nextAttempt) || c.lease.termVersion == 0 || c.coord.local {
		return
	}
	known, _, _ := b.Row()
	version := c.cfg.version()
	if known.Version > version {
		return // a newer configuration is on its way
	}
	dc := c.self.DC
	row := budgetRow{Row: known.Settle(dc, limit, version), Owed: maps.Clone(b.owed)}
	held, free, owed := row.Held[dc], row.Free(limit), b.owedToOthers(dc)
	changed := known.Held[dc] != held || held > 0 && known.Base[dc] != limit
	target := need
	if owed > 0 {
		target = max(stuck, min(need, held-max(0, owed-free)))
	}
	switch {
	case b.Reserved() > 0 && b.Unchanged():
		// The write of the gift may still take effect; it is repeated until one does.
		row.Row, changed = known.Give(dc, "", b.Reserved(), limit, version), true
	case target > held && free > 0:
		row.Row, _ = known.Take(dc, target-held, limit, version)
		changed = true
	case target < held:
		b.Reserve(held - target)
		row.Row, changed = known.Give(dc, "", held-target, limit, version), true
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

// writeBudget writes a row on the condition that neither it nor the term changed.
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
	write := b.Begin(row.Row)
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		versions, err := c.deps.Table.Commit(ctx, platform.PriorityAllotment, txn)
		return func() {
			b.inFlight = false
			if err != nil {
				// What was given stays given: an earlier write of it may still take effect.
				// The next round reads the row again.
				b.nextAttempt = time.Now().Add(c.jitter(allotmentRetryDelay))
				if certainlyNoEffect(err) || stderrors.Is(err, platform.ErrConflict) {
					b.Abort(write)
				}
				return
			}
			b.update(row, versions[key])
			fleetOps.Add("budget_parts_moved", 1)
			c.log.Info().Str("service", string(svc)).Interface("held", row.Held).Int("limit", row.Limit).Msg("budget part written")
		}
	})
}
