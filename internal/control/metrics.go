package control

import "expvar"

// Counters of control decisions since the start of the process, and gauges of the current
// state.
var (
	membershipOps = expvar.NewMap("control_membership_changes")
	leaseOps      = expvar.NewMap("control_lease")
	decisions     = expvar.NewMap("control_decisions")
	configOps     = expvar.NewMap("control_configuration")
	allotmentOps  = expvar.NewMap("control_allotments")
	fleetOps      = expvar.NewMap("control_fleet")
	taskOps       = expvar.NewMap("control_tasks")
	permitOps     = expvar.NewMap("control_permits")
	gauges        = expvar.NewMap("control_gauges")
)

func setGauge(name string, v int64) {
	i := new(expvar.Int)
	i.Set(v)
	gauges.Set(name, i)
}
