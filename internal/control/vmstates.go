package control

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

// vmState returns the state of a VM; one that is not listed serves.
func (c *Control) vmState(vm model.VM) model.VMState {
	if s, ok := c.vms[vm]; ok {
		return s
	}
	return model.VMServing
}

// notServing lists the VMs in any state but serving.
func (c *Control) notServing() map[model.VM]model.VMState { return maps.Clone(c.vms) }

// takeVMStates keeps the coordinator's list for a succession without the table.
func (c *Control) takeVMStates(s map[model.VM]model.VMState) {
	c.vms = maps.Clone(s)
	if c.vms == nil {
		c.vms = map[model.VM]model.VMState{}
	}
}

// setVMState puts a VM state in force at the coordinator.
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
	c.log.Info().Str("vm", string(vm)).Str("from", string(old)).Str("to", string(s)).Str("reason", reason).Msg("vm state")
	c.event("vm_state", "vm/"+string(vm), string(old), string(s), reason)
	if c.coord != nil {
		c.deliver(c.coord.adm.SetMinionState(time.Now(), vm, s))
	}
}

// vmRow is the part of the table row "vm/<name>" that decides about placement.
type vmRow struct {
	State model.VMState `json:"state"`
}

// loadRows reads the VM states and the allotments for a takeover through the table.
func (c *Control) loadRows(tk *takeover) {
	c.allot.teams = map[model.Team]*teamPart{}
	c.async(storeTimeout, func(ctx context.Context) func() {
		rows, err := c.d.Table.Scan(ctx, platform.PriorityLease, "vm/", 0)
		var allots []platform.Row
		if err == nil {
			allots, err = c.d.Table.Scan(ctx, platform.PriorityLease, allotPrefix, 0)
		}
		return func() {
			if c.takeover != tk {
				return
			}
			if err != nil {
				c.log.Warn().Err(err).Msg("vm states and allotments not read; the last known ones hold")
				tk.rowsKnown = true
				c.checkTakeover(time.Now())
				return
			}
			for _, r := range rows {
				var v vmRow
				if err := json.Unmarshal(r.Value, &v); err != nil {
					c.log.Error().Err(err).Str("key", r.Key).Msg("vm row malformed; the VM gets no work")
					v.State = model.VMFailed
				}
				c.setVMState(model.VM(strings.TrimPrefix(r.Key, "vm/")), v.State, "read at takeover")
			}
			c.onAllotRows(allots)
			tk.rowsKnown = true
			c.checkTakeover(time.Now())
		}
	})
}
