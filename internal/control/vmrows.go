package control

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"maps"
	"slices"
	"strings"
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/invariant"
	"boragepulley/internal/maintenance"
	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

const (
	vmPrefix   = "vm/"
	wavePrefix = "wave/"
	// maxRowsPerWrite bounds the rows of one transaction. The remaining rows are written in
	// the next round.
	maxRowsPerWrite = 50
)

// vmRow is the value of the table row "vm/<name>". Only the coordinator of the VM's data
// centre writes it.
type vmRow struct {
	Pool  model.Pool    `json:"pool"`
	State model.VMState `json:"state"`
	// Wave is the wave for which the VM was drained, if any.
	Wave  string      `json:"wave,omitempty"`
	Since time.Time   `json:"since"`
	Token model.Token `json:"token"`
	// Request is the id of the reboot while the VM is in state rebooting, or that of a reboot
	// that may have been performed already while the VM is drained again (mergeVMState).
	Request string `json:"request,omitempty"`
	// Failed is when the VM last failed. It is kept after the repair, so that a new
	// coordinator knows why waves are paused.
	Failed time.Time `json:"failed,omitzero"`
	// Suspect is since when the VM does not answer polls, so that a new coordinator goes on
	// counting towards its failure.
	Suspect time.Time `json:"suspect,omitzero"`
}

// equalExceptToken reports whether two rows are equal except for the token of their writer.
func (r vmRow) equalExceptToken(o vmRow) bool {
	r.Token, o.Token = model.Token{}, model.Token{}
	timesEqual := r.Since.Equal(o.Since) && r.Failed.Equal(o.Failed) && r.Suspect.Equal(o.Suspect)
	r.Since, r.Failed, r.Suspect = time.Time{}, time.Time{}, time.Time{}
	o.Since, o.Failed, o.Suspect = time.Time{}, time.Time{}, time.Time{}
	return r == o && timesEqual
}

// vmRecord holds the coordinator's state of one VM of its data centre.
type vmRecord struct {
	// storedVersion and stored are the last known row in the table; version 0 means that
	// there is no row.
	storedVersion uint64
	stored        vmRow
	// current is the state in force here. It differs from stored while a write is due:
	// planned changes, which take capacity away, are written before they take effect, all
	// others afterwards.
	current vmRow
	health
	// rebootRequested is set once the platform has accepted the reboot current.Request.
	// rebootDoneAt is the send time of the status call that found it done.
	rebootRequested, rebootCallInFlight bool
	rebootDoneAt                        time.Time
	// repairs counts the reboots of the failed VM since it was last in service.
	repairs int
	retryAt time.Time
	// holdReason is why the VM has to wait according to the newest plan, and holdDetail the
	// figures behind it.
	holdReason, holdDetail string
}

// row returns the row that is to be stored.
func (r *vmRecord) row() vmRow {
	row := r.current
	row.Suspect = r.suspectSince
	return row
}

// waveRow is the value of the table row "wave/<name>/<dc>".
type waveRow struct {
	// Start distinguishes the wave from an earlier one of the same name.
	Start time.Time  `json:"start"`
	Done  []model.VM `json:"done"`
	// Began is when the first VM was drained, Ended when the last one was done.
	Began time.Time `json:"began,omitzero"`
	Ended time.Time `json:"ended,omitzero"`
}

// waveRecord is the progress of a wave in this data centre. dirty is set while the row in
// the table is out of date.
type waveRecord struct {
	storedVersion uint64
	current       waveRow
	dirty         bool
}

// fleetState is the coordinator's state of VMs and waves. It is kept when the role is lost,
// for a later succession without the table.
type fleetState struct {
	vms   map[model.VM]*vmRecord
	waves map[string]*waveRecord
	// suspects holds the health of the VMs that were suspect when the last term ended. Otherwise a
	// coordinator that loses its role again and again would never find a VM failed.
	suspects map[model.VM]health
	// writeInFlight is set while a transaction is in flight, so that two transactions of
	// this process never conflict. reload is set while the versions of the rows are not
	// known.
	writeInFlight, reload bool
	// loadedTerm is the term in which the rows were last loaded; they are loaded once per
	// term.
	loadedTerm uint64
	// effective is the configuration effectiveBase with each VM in its actual pool.
	effective, effectiveBase *config.Index
	// poolOverrides holds the VMs whose pool in effective differs from the configuration.
	poolOverrides map[model.VM]model.Pool
	// loggedPauses and loggedHolds hold the last logged reason by wave and by VM.
	loggedPauses map[string]string
	loggedHolds  map[model.VM]string
	// healthPollsInFlight counts the health polls in flight.
	healthPollsInFlight int
	budgets             map[model.Service]*budgetShare
	// readingBudgets is set while the budget rows are being read. budgetsRead is when the
	// last read was sent.
	readingBudgets bool
	budgetsRead    time.Time
	// budgetNeed is how much of each budget the newest plan needs. budgetStuck is how much
	// of that is for VMs that are out of service and cannot be returned.
	budgetNeed, budgetStuck map[model.Service]int
	// plan is the newest plan.
	plan maintenance.Plan
	// frequentPollsSince is when the frequent polls of all minions began; zero while there
	// are none.
	frequentPollsSince time.Time
}

func (f *fleetState) init() { f.reset() }

// reset drops the state of earlier terms. The fields that track calls in flight stay.
func (f *fleetState) reset() {
	if f.suspects == nil {
		f.suspects = map[model.VM]health{}
	}
	for vm, r := range f.vms {
		f.suspects[vm] = health{missed: r.missed, suspectSince: r.suspectSince, lastMissed: r.lastMissed}
	}
	maps.DeleteFunc(f.suspects, func(_ model.VM, h health) bool {
		return h.suspectSince.IsZero() || time.Since(h.lastMissed) > healthKeptFor
	})
	f.vms, f.waves, f.budgets = map[model.VM]*vmRecord{}, map[string]*waveRecord{}, map[model.Service]*budgetShare{}
	f.effective, f.effectiveBase, f.poolOverrides, f.plan, f.loadedTerm = nil, nil, nil, maintenance.Plan{}, 0
	f.loggedPauses, f.loggedHolds = map[string]string{}, map[model.VM]string{}
}

// vmRecord returns the record of a VM. A new record has the pool that the coordinator
// reported, or else the one in the configuration.
func (c *Control) vmRecord(vm model.VM) *vmRecord {
	r := c.fleet.vms[vm]
	if r == nil {
		r = &vmRecord{current: vmRow{State: c.vmState(vm), Since: time.Now()}, health: c.fleet.suspects[vm]}
		if p, ok := c.poolOverrides[vm]; ok {
			r.current.Pool = p
		} else if c.cfg.index != nil && c.cfg.index.VM(vm) != nil {
			r.current.Pool = c.cfg.index.VM(vm).Pool
		}
		c.fleet.vms[vm] = r
	}
	return r
}

// mergeVMState reconciles the state in force here with that of a newer row. currentKnown is
// whether the state here was reported by a coordinator or determined by this one. A change
// that takes capacity away is written before it takes effect, so the row applies. A change
// that returns capacity takes effect before it is written. Whether the state here is newer
// than the row is then not known, so the VM is drained again. A reboot of the row is then
// repeated with the same id, which does not repeat one that was performed.
func mergeVMState(current model.VMState, currentKnown bool, row model.VMState) model.VMState {
	switch {
	case !currentKnown || current == row:
		return row
	case current == model.VMFailed && row != model.VMRebooting:
		return model.VMFailed
	case row == model.VMDraining && current == model.VMEmpty:
		return model.VMEmpty
	case current == model.VMServing && (row == model.VMDraining || row == model.VMEmpty || row == model.VMRebooting):
		return model.VMDraining
	}
	return row
}

// onVMRows applies the rows of a scan. A VM with a malformed row counts as failed and gets
// no work.
func (c *Control) onVMRows(rows []platform.Row, known bool) {
	for _, r := range rows {
		name := model.VM(strings.TrimPrefix(r.Key, vmPrefix))
		if c.cfg.index != nil {
			if v := c.cfg.index.VM(name); v == nil || v.DC != c.self.DC {
				continue
			}
		}
		var v vmRow
		if err := json.Unmarshal(r.Value, &v); err != nil {
			c.log.Error().Err(err).Str("key", r.Key).Msg("vm row malformed; the VM gets no work")
			v.State = model.VMFailed
		}
		rec := c.vmRecord(name)
		if r.Version <= rec.storedVersion {
			continue
		}
		rec.storedVersion, rec.stored = r.Version, v
		state := mergeVMState(c.vmState(name), known, v.State)
		pool := rec.current.Pool
		if v.Pool != "" {
			pool = v.Pool
		}
		if state != v.State {
			// The state here differs, so the row will be written again.
			c.setVMState(name, state, "differs from the row, which says "+string(v.State))
			rec.current.Failed, rec.current.Wave, rec.current.Request = v.Failed, v.Wave, v.Request
		} else {
			c.setVMState(name, state, "read from the table")
			rec.current = v
		}
		rec.current.Pool = pool
		rec.rebootRequested, rec.rebootDoneAt = false, time.Time{}
		c.adoptSuspect(name, rec, v.Suspect)
	}
}

// onWaveRows applies the rows of a scan that belong to this data centre.
func (c *Control) onWaveRows(rows []platform.Row) {
	for _, r := range rows {
		name, ok := strings.CutSuffix(strings.TrimPrefix(r.Key, wavePrefix), "/"+string(c.self.DC))
		if !ok {
			continue
		}
		var v waveRow
		if err := json.Unmarshal(r.Value, &v); err != nil {
			c.log.Error().Err(err).Str("key", r.Key).Msg("wave row malformed; the wave starts again")
		}
		w := c.fleet.waves[name]
		if w == nil {
			w = &waveRecord{}
			c.fleet.waves[name] = w
		}
		if r.Version <= w.storedVersion {
			continue
		}
		if w.dirty && w.current.Start.Equal(v.Start) {
			// Keep the VMs that are done here but not stored yet.
			for _, vm := range w.current.Done {
				if !slices.Contains(v.Done, vm) {
					v.Done = append(v.Done, vm)
				}
			}
		}
		w.storedVersion, w.current = r.Version, v
	}
}

// loadFleet reads all rows again, because their versions are not known.
func (c *Control) loadFleet() {
	coord, term := c.coord, c.lease.termVersion
	c.fleet.writeInFlight = true
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		vms, err := c.deps.Table.Scan(ctx, platform.PriorityAllotment, vmPrefix, 0)
		var waves []platform.Row
		if err == nil {
			waves, err = c.deps.Table.Scan(ctx, platform.PriorityAllotment, wavePrefix, 0)
		}
		return func() {
			c.fleet.writeInFlight = false
			if err != nil || c.coord != coord || c.lease.termVersion != term {
				return
			}
			c.fleet.reload, c.fleet.loadedTerm = false, term
			c.onVMRows(vms, true)
			c.onWaveRows(waves)
			c.applyPools()
		}
	})
}

// plannedChange is a planned change of one VM that is written before it takes effect.
type plannedChange struct {
	vm     model.VM
	row    vmRow
	reason string
}

// writeFleet writes planned changes, and all rows that are out of date, in one transaction
// under the condition that neither the rows nor the term have changed. Planned changes take
// effect when the transaction has succeeded; otherwise the next round plans them again.
func (c *Control) writeFleet(planned []plannedChange) {
	coord := c.coord
	if coord == nil || coord.local || c.lease.termVersion == 0 || c.fleet.writeInFlight || c.cfg.index == nil {
		return
	}
	if c.fleet.reload || c.fleet.loadedTerm != c.lease.termVersion {
		c.loadFleet()
		return
	}
	t := &fleetWrite{c: c, txn: platform.Txn{Conditions: []platform.Condition{c.fencingCondition()}}, vms: map[model.VM]vmRow{}, waves: map[string]waveRow{}}
	for _, p := range planned {
		t.addVM(p.vm, p.row)
	}
	t.planned = planned
	for _, vm := range slices.Sorted(maps.Keys(c.fleet.vms)) {
		r := c.fleet.vms[vm]
		if v := c.cfg.index.VM(vm); v != nil && v.DC == c.self.DC && !r.row().equalExceptToken(r.stored) {
			t.addVM(vm, r.row())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.fleet.waves)) {
		if w := c.fleet.waves[name]; w.dirty {
			t.addWave(name, w)
		}
	}
	if len(t.txn.Puts) == 0 {
		return
	}
	c.fleet.writeInFlight = true
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		versions, err := c.deps.Table.Commit(ctx, platform.PriorityAllotment, t.txn)
		return func() { t.finish(coord, versions, err) }
	})
}

// fleetWrite is one transaction that writes rows of VMs and waves.
type fleetWrite struct {
	c       *Control
	txn     platform.Txn
	planned []plannedChange
	vms     map[model.VM]vmRow
	waves   map[string]waveRow
}

func (t *fleetWrite) put(key string, version uint64, v any) {
	val, err := json.Marshal(v)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	t.txn.Conditions = append(t.txn.Conditions, platform.Condition{Key: key, Version: version})
	t.txn.Puts = append(t.txn.Puts, platform.Put{Key: key, Value: val})
}

func (t *fleetWrite) addVM(vm model.VM, row vmRow) {
	if _, ok := t.vms[vm]; ok || len(t.txn.Puts) >= maxRowsPerWrite {
		return
	}
	row.Token, row.Suspect = t.c.following.token, t.c.vmRecord(vm).suspectSince
	t.vms[vm] = row
	t.put(vmPrefix+string(vm), t.c.fleet.vms[vm].storedVersion, row)
}

func (t *fleetWrite) addWave(name string, w *waveRecord) {
	if len(t.txn.Puts) >= maxRowsPerWrite {
		return
	}
	row := w.current
	row.Done = slices.Clone(row.Done)
	t.waves[name] = row
	t.put(wavePrefix+name+"/"+string(t.c.self.DC), w.storedVersion, row)
}

// finish handles the end of the transaction.
func (t *fleetWrite) finish(coord *coordinator, versions map[string]uint64, err error) {
	c := t.c
	c.fleet.writeInFlight = false
	if c.coord != coord {
		return // the next coordinator reads the rows
	}
	if err != nil {
		fleetOps.Add("write_failed", 1)
		// After a conflict the versions known here are out of date, and after a lost answer
		// they may be.
		c.fleet.reload = c.fleet.reload || !certainlyNoEffect(err)
		if stderrors.Is(err, platform.ErrConflict) {
			fleetOps.Add("write_conflict", 1)
		}
		return
	}
	fleetOps.Add("rows_written", int64(len(t.txn.Puts)))
	for vm, row := range t.vms {
		r := c.vmRecord(vm)
		r.storedVersion, r.stored = versions[vmPrefix+string(vm)], row
	}
	for name, row := range t.waves {
		w := c.fleet.waves[name]
		w.storedVersion = versions[wavePrefix+name+"/"+string(c.self.DC)]
		w.dirty = len(row.Done) != len(w.current.Done) || !row.Start.Equal(w.current.Start) || !row.Ended.Equal(w.current.Ended) || !row.Began.Equal(w.current.Began)
	}
	for _, p := range t.planned {
		if row, ok := t.vms[p.vm]; ok {
			c.applyChange(p, row)
		}
	}
}

// applyChange puts a planned change in force after its row was written.
func (c *Control) applyChange(p plannedChange, row vmRow) {
	r := c.vmRecord(p.vm)
	if c.vmState(p.vm) == model.VMFailed && row.State != model.VMRebooting {
		return // it has failed in the meantime; the row will be written again
	}
	if m := minionsByName(c.coord.admission)[p.vm]; row.State == model.VMRebooting && c.vmState(p.vm) == model.VMEmpty {
		invariant.Check(m.Used == 0, invariant.GracefulStop, "VM %s is rebooted with %d slots in use", p.vm, m.Used)
	}
	moved := r.current.Pool != row.Pool
	if moved {
		invariant.Check(c.vmState(p.vm) == model.VMEmpty, invariant.OnePool, "VM %s moves from pool %s to %s in state %s",
			p.vm, r.current.Pool, row.Pool, c.vmState(p.vm))
		c.recordEvent("vm_state", "vm/"+string(p.vm), "pool "+string(r.current.Pool), "pool "+string(row.Pool), p.reason)
		c.log.Info().Str("vm", string(p.vm)).Str("from", string(r.current.Pool)).Str("to", string(row.Pool)).Msg("vm moved to another pool")
	}
	r.current.Pool = row.Pool
	if moved {
		c.applyPools()
	}
	c.setVMState(p.vm, row.State, p.reason)
	failed := r.current.Failed
	r.current = row
	if failed.After(row.Failed) {
		r.current.Failed = failed
	}
	r.rebootRequested, r.rebootDoneAt = false, time.Time{}
	if row.State == model.VMRebooting {
		c.requestReboots()
	}
}

// effectiveConfig returns the configuration with each VM of this data centre in its actual
// pool. A VM changes its pool only once it is empty, not as soon as the configuration
// changes.
func (c *Control) effectiveConfig() *config.Index {
	base := c.cfg.index
	moved := map[model.VM]model.Pool{}
	for i := range base.VMs {
		v := &base.VMs[i]
		if v.DC != c.self.DC {
			continue
		}
		if p := c.vmRecord(v.Name).current.Pool; p != v.Pool {
			moved[v.Name] = p
		}
	}
	if c.fleet.effectiveBase == base && maps.Equal(moved, c.fleet.poolOverrides) {
		return c.fleet.effective
	}
	c.fleet.effectiveBase, c.fleet.poolOverrides, c.fleet.effective = base, moved, base
	if len(moved) > 0 {
		site := *base.Site
		site.VMs = slices.Clone(base.VMs)
		for i := range site.VMs {
			if p, ok := moved[site.VMs[i].Name]; ok {
				site.VMs[i].Pool = p
			}
		}
		c.fleet.effective = config.NewIndex(&site, base.Version)
	}
	return c.fleet.effective
}

// applyPools passes the effective configuration to admission if it has changed.
func (c *Control) applyPools() {
	if c.coord == nil || c.cfg.index == nil {
		return
	}
	if old := c.fleet.effective; c.effectiveConfig() != old {
		c.deliverEffects(c.coord.admission.SetConfig(c.fleet.effective, time.Now()))
	}
}
