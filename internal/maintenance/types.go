package maintenance

import (
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// VM is one upstream VM of the data centre.
type VM struct {
	Name    model.VM
	Pool    model.Pool
	Service model.Service // empty in a spare pool
	Rack    model.Rack
	State   model.VMState
	// Since is when the state was entered.
	Since time.Time
	// Permits counts outstanding permits for the VM.
	Permits int
	// Idle is whether the minion reported that nothing runs since the last permit ended.
	Idle bool
	// Up is whether the minion answers; after a reboot, by its new process.
	Up bool
	// Suspect is set for a serving VM that does not answer; it counts as unavailable.
	Suspect bool
	// RetryAt is the earliest time to reboot a failed VM again.
	RetryAt time.Time
	// Drained is whether the configuration takes the VM out of service: it is not counted
	// as available and not rebooted.
	Drained bool
	// MoveTo is the pool that the configuration wants the VM in, if it is not Pool. The VM
	// moves when it is empty.
	MoveTo model.Pool
}

// Failure is the failure of one VM, kept for at least FailureWindow plus Cooldown.
type Failure struct {
	VM   model.VM
	Rack model.Rack
	At   time.Time
}

// Snapshot is what a plan is computed from.
type Snapshot struct {
	Now time.Time
	// VMs are the VMs of this data centre, by name.
	VMs     []VM
	Waves   []config.Wave
	Budgets []config.Budget
	// FleetBudgetShare is this data centre's part of each budget whose scope is the fleet.
	FleetBudgetShare map[model.Service]int
	// Done holds the VMs that a wave has finished.
	Done     map[string]map[model.VM]bool
	Failures []Failure
	// Cooldown is how long waves stay paused after the last correlated failure; 0 selects
	// the constant Cooldown.
	Cooldown time.Duration
}

// StepKind is a change of a VM's state.
type StepKind string

const (
	// StepDrain: serving -> draining.
	StepDrain StepKind = "drain"
	// StepEmpty: draining -> empty, nothing runs any more.
	StepEmpty StepKind = "empty"
	// StepReboot: empty or failed -> rebooting.
	StepReboot StepKind = "reboot"
	// StepReturn: draining, empty or rebooting -> serving.
	StepReturn StepKind = "return"
	// StepFail: rebooting -> failed.
	StepFail StepKind = "fail"
	// StepMove: empty -> serving in another pool.
	StepMove StepKind = "move"
)

// Reason says why a step is taken or a VM is held back.
type Reason string

const (
	ReasonWave          Reason = "wave"
	ReasonDrained       Reason = "drained"
	ReasonRepair        Reason = "repair_failed_vm"
	ReasonRebooted      Reason = "rebooted"
	ReasonNoWave        Reason = "no_wave_needs_it"
	ReasonRebootTimeout Reason = "reboot_timed_out"
	ReasonConfigured    Reason = "drain_configured"
	ReasonMove          Reason = "pool_change"
	// The reasons below hold a VM back, or return it to service before its turn.
	ReasonNotStarted   Reason = "wave_not_started"
	ReasonPaused       Reason = "paused_after_correlated_failure"
	ReasonFleetBudget  Reason = "fleet_budget"
	ReasonDCBudget     Reason = "data_centre_budget"
	ReasonRackBudget   Reason = "rack_budget"
	ReasonNoBudget     Reason = "one_at_a_time_without_budget"
	ReasonInUse        Reason = "requests_running"
	ReasonSuspect      Reason = "vm_does_not_answer"
	ReasonDrainTimeout Reason = "drain_timeout_exceeded"
	ReasonRebooting    Reason = "rebooting"
	ReasonBackOff      Reason = "reboot_back_off"
)

// Step is one change to make now.
type Step struct {
	Kind   StepKind
	VM     model.VM
	Reason Reason
	// Detail names the wave, budget or count behind the reason.
	Detail string
	// Waves lists the waves that a StepReturn after a reboot completes for the VM.
	Waves []string
}

// Held is a VM that has to wait.
type Held struct {
	VM     model.VM
	Wave   string
	Reason Reason
	Detail string
}

// WaveStatus is the progress of one wave in this data centre.
type WaveStatus struct {
	Name  string
	Total int
	Done  int
	// Working counts VMs that are draining, empty or rebooting for the wave.
	Working int
	// Paused is the reason of a pause, or empty.
	Paused Reason
	Detail string
}

// Plan is the result for one snapshot.
type Plan struct {
	Steps []Step
	Held  []Held
	Waves []WaveStatus
	// FleetBudgetDemand is how many more VMs per service could be drained with a larger part of
	// the budget whose scope is the fleet.
	FleetBudgetDemand map[model.Service]int
}

const (
	// FailureWindow is the time within which two failures in a rack count as correlated.
	FailureWindow = time.Minute
	// Cooldown is how long a wave stays paused after the last correlated failure, so that
	// a fault of the rack or of the reboot itself shows before the next VM is drained.
	Cooldown = 10 * time.Minute
	// RebootTimeout is when a VM that does not come back counts as failed.
	RebootTimeout = 10 * time.Minute
	// FailedGrace is how long a failed VM with outstanding permits is left alone: its
	// requests may still be answered.
	FailedGrace = time.Minute
)
