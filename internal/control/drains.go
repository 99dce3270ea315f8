package control

import (
	"time"

	"boragepulley/internal/model"
)

// drainCheckEvery is how often draining VMs are looked at.
const drainCheckEvery = 200 * time.Millisecond

// applyDrains drains the VMs that the configuration takes out of service, and returns
// those that it does not drain any more.
func (c *Control) applyDrains() {
	for _, v := range c.cfg.index.VMs {
		if v.DC != c.self.DC {
			continue
		}
		state := c.vmState(v.Name)
		switch {
		case v.Drain && state == model.VMServing:
			c.setVMState(v.Name, model.VMDraining, "drain set in the configuration")
		case !v.Drain && (state == model.VMDraining || state == model.VMEmpty):
			c.setVMState(v.Name, model.VMServing, "drain cleared in the configuration")
		}
	}
}

// checkDrained moves draining VMs on which nothing runs any more to empty. No entry VM
// can dispatch there: all permits have come back, and none is granted while it drains.
func (c *Control) checkDrained(time.Time) {
	if c.coord == nil {
		return
	}
	for _, m := range c.coord.adm.Minions() {
		if m.State == model.VMDraining && m.Idle() {
			c.setVMState(m.VM, model.VMEmpty, "nothing runs on it")
		}
	}
}
