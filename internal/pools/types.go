package pools

import (
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// VM is one upstream VM of the data centre.
type VM struct {
	Name model.VM
	Rack model.Rack
	// Home is the pool that the files name, Pool the one that the VM is in.
	Home model.Pool
	Pool model.Pool
	// Target is the pool that the VM is moving to; empty if it does not move.
	Target model.Pool
	State  model.VMState
	Slots  int
	// Suspect is set for a VM that does not answer, Drained for one that the configuration
	// takes out of service.
	Suspect bool
	Drained bool
	// MovedAt is when the VM's last move ended; zero if none is known.
	MovedAt time.Time
}

// Pool is one pool as far as it concerns the data centre.
type Pool struct {
	Name    model.Pool
	Service model.Service // empty in a spare pool
	Spare   bool
	// Home counts the pool's home VMs in this data centre. Min and Max are the data
	// centre's part of the bounds.
	Home, Min, Max int
	// InWave is whether a maintenance wave that has started is not finished in the pool.
	InWave bool
}

// Snapshot is what a plan is computed from.
type Snapshot struct {
	Now   time.Time
	VMs   []VM
	Pools []Pool
	// Demand holds a tracker per service. Services without one need no VM and lend none.
	Demand map[model.Service]*Tracker
	// Budgets and FleetPart are as in package maintenance.
	Budgets          []config.Budget
	FleetBudgetShare map[model.Service]int
	Weights          config.Weights
	// MoveTime is how long a move takes from the drain to the return, as observed.
	MoveTime time.Duration
}

// Reason says why a VM moves or why a wanted move is held back.
type Reason string

const (
	// ReasonDemand: the service has waited for the VM longer than a move takes.
	ReasonDemand Reason = "lasting_demand"
	// ReasonDemandGone: the demand that the VM was lent for has ended.
	ReasonDemandGone Reason = "demand_ended"
	// ReasonHomeDemand: the home pool needs the VM more than the pool it is lent to.
	ReasonHomeDemand Reason = "home_pool_needs_it"
	// ReasonBounds: the bounds of a pool were changed and require the return.
	ReasonBounds Reason = "pool_bounds"
	// The reasons below hold a move back.
	ReasonNotSustained  Reason = "demand_not_lasting"
	ReasonNoGain        Reason = "gain_below_cost"
	ReasonPoolFull      Reason = "pool_at_max"
	ReasonNoDonor       Reason = "no_vm_to_lend"
	ReasonBudget        Reason = "availability_budget"
	ReasonInWave        Reason = "wave_goes_first"
	ReasonMovedRecently Reason = "moved_recently"
	ReasonNotServing    Reason = "vm_not_serving"
)

// Move is one VM to move now.
type Move struct {
	VM     model.VM
	From   model.Pool
	To     model.Pool
	Reason Reason
	Detail string
	// Gain and Cost are the expected gain and the cost that it was compared with, in
	// seconds of one VM's service. Both are 0 for a return.
	Gain, Cost float64
}

// Held is a move that is wanted but not made.
type Held struct {
	// Service that wants a VM, or VM that is to return.
	Service model.Service
	VM      model.VM
	Reason  Reason
	Detail  string
}

// Plan is the result for one snapshot.
type Plan struct {
	Moves []Move
	Held  []Held
}

// DefaultMoveTime is assumed until a move has been observed.
const DefaultMoveTime = 2 * time.Minute
