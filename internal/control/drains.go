package control

import "boragepulley/internal/model"

// applyDrains drains the VMs that the configuration takes out of service. It does not
// wait for the table: the configuration itself is the durable record of these drains, and
// a data centre that is cut off must stop work on them too (invariant I8). The planning
// round returns VMs to service that are no longer drained by the configuration.
func (c *Control) applyDrains() {
	for _, v := range c.cfg.index.VMs {
		if v.DC == c.self.DC && v.Drain && c.vmState(v.Name) == model.VMServing {
			c.setVMState(v.Name, model.VMDraining, "drain set in the configuration")
		}
	}
}
