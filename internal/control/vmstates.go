package control

import (
	"context"
	"maps"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

// vmState returns the state of a VM. A VM that is not listed is serving.
func (c *Control) vmState(vm model.VM) model.VMState {
	if s, ok := c.vms[vm]; ok {
		return s
	}
	return model.VMServing
}

// notServing returns the VMs in any state but serving.
func (c *Control) notServing() map[model.VM]model.VMState { return maps.Clone(c.vms) }

// keepReportedVMStates keeps the states that the coordinator reported, for a succession
// without the table.
func (c *Control) keepReportedVMStates(s map[model.VM]model.VMState, pools map[model.VM]model.Pool) {
	c.vmStatesKnown = true
	c.poolOverrides = pools
	c.vms = maps.Clone(s)
	if c.vms == nil {
		c.vms = map[model.VM]model.VMState{}
	}
}

// setVMState changes the state of a VM and passes it to admission.
func (c *Control) setVMState(vm model.VM, s model.VMState, reason string) {
	old := c.vmState(vm)
	if old == s {
		return
	}
	if s == model.VMServing {
		delete(c.vms, vm)
	} else {
		c.vms[vm] = s
	}
	r := c.vmRecord(vm)
	r.current.State, r.current.Since, r.idle = s, time.Now(), false
	switch s {
	case model.VMServing:
		r.current.Request, r.repairs, r.missed, r.suspectSince = "", 0, 0, time.Time{}
	case model.VMRebooting:
		if old == model.VMFailed {
			r.repairs++
			r.retryAt = r.current.Since.Add(min(repairDelay<<min(r.repairs-1, 10), maxRepairDelay))
		}
	}
	c.log.Info().Str("vm", string(vm)).Str("from", string(old)).Str("to", string(s)).Str("reason", reason).Msg("vm state")
	c.recordEvent("vm_state", "vm/"+string(vm), string(old), string(s), reason)
	if c.coord != nil {
		c.deliverEffects(c.coord.admission.SetMinionState(time.Now(), vm, s))
	}
}

// loadTakeoverRows reads the rows of VMs, waves and allotments for a takeover that is not
// local.
func (c *Control) loadTakeoverRows(tk *takeover) {
	c.allot.teams = map[model.Team]*teamAllotment{}
	c.fleet.reset()
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		rows, err := c.deps.Table.Scan(ctx, platform.PriorityLease, vmPrefix, 0)
		var allots, waves []platform.Row
		if err == nil {
			waves, err = c.deps.Table.Scan(ctx, platform.PriorityLease, wavePrefix, 0)
		}
		if err == nil {
			allots, err = c.deps.Table.Scan(ctx, platform.PriorityLease, allotmentPrefix, 0)
		}
		return func() {
			if c.takeover != tk {
				return
			}
			if err != nil {
				c.log.Warn().Err(err).Msg("vm states and allotments not read; using the last known ones")
				tk.rowsSettled = true
				c.checkTakeover(time.Now())
				return
			}
			c.onVMRows(rows, c.vmStatesKnown)
			c.onWaveRows(waves)
			c.onAllotmentRows(allots)
			tk.rowsSettled = true
			c.checkTakeover(time.Now())
		}
	})
}
