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
	// Home is the VM's pool in the configuration, Pool the one that it is in.
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

// Pool is the data centre's part of one pool.
type Pool struct {
	Name    model.Pool
	Service model.Service // empty in a spare pool
	Spare   bool
	// Home counts the pool's home VMs in this data centre. Min and Max are the data
	// centre's part of the bounds.
	Home, Min, Max int
	// InWave is whether a started maintenance wave is unfinished in the pool.
	InWave bool
}

// Snapshot is the input of a plan.
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
	// MoveTime is the observed duration of a move, from the drain to the return to service.
	MoveTime time.Duration
}

// Reason is why a VM moves, or why a wanted move is not made.
type Reason string

const (
	// ReasonDemand means that demand for the VM has lasted longer than a move takes.
	ReasonDemand Reason = "lasting_demand"
	// ReasonDemandGone means that the demand for which the VM was lent has ended.
	ReasonDemandGone Reason = "demand_ended"
	// ReasonHomeDemand means that the home pool needs the VM more than the pool it is lent to.
	ReasonHomeDemand Reason = "home_pool_needs_it"
	// ReasonBounds means that the bounds of a pool have changed and require the return.
	ReasonBounds Reason = "pool_bounds"
	// The reasons below prevent a move.
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
	// Gain is the expected gain and Cost the cost that it was compared with, both in seconds of
	// one VM's service. They are 0 for a return.
	Gain, Cost float64
}

// Held is a wanted move that is not made.
type Held struct {
	// Service is set if a service needs a VM, VM if a VM is to return.
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
