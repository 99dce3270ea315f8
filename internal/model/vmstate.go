package model

// VMState is the state of an upstream VM.
//
// State machine:
//
//	serving -> draining -> empty -> rebooting -> serving
//	   |          |          |          |
//	   '----------+----------+----------'-> failed -> rebooting
//
// Only serving VMs receive new work. A VM changes pool only in state empty.
type VMState string

const (
	VMServing   VMState = "serving"
	VMDraining  VMState = "draining"
	VMEmpty     VMState = "empty"
	VMRebooting VMState = "rebooting"
	VMFailed    VMState = "failed"
)
