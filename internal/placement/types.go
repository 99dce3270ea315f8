package placement

import (
	"time"

	"boragepulley/internal/model"
)

// Size is what a task needs or a worker has.
type Size struct {
	Cores        int
	MemoryMB     int
	Accelerators int
}

func (s Size) fits(o Size) bool {
	return s.Cores <= o.Cores && s.MemoryMB <= o.MemoryMB && s.Accelerators <= o.Accelerators
}

func (s Size) plus(o Size) Size {
	return Size{s.Cores + o.Cores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

func (s Size) minus(o Size) Size {
	return Size{s.Cores - o.Cores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Class is the scheduling class of a task within its team, the highest first.
type Class uint8

const (
	Urgent Class = iota
	Normal
	Deferrable
)

// Worker is one worker of the data centre.
type Worker struct {
	Name model.Worker
	Rack model.Rack
	Size Size
	// Accepts is false while the worker is unreachable, shutting down or quarantined.
	Accepts bool
	// Probe is set for a quarantined worker that may get one task.
	Probe bool
}

// Task is one waiting or running task.
type Task struct {
	ID    model.JobID
	Team  model.Team
	Queue model.Queue
	Class Class
	// Size is the expected size, see SizeEstimator.
	Size Size
	// Submitted is when the task first started to wait.
	Submitted time.Time
	Deadline  time.Time
	// Worker is the worker on which the task runs; empty while it waits.
	Worker model.Worker
	// LastWorker is the worker on which a checkpointed task ran before.
	LastWorker model.Worker
	// Avoid lists workers on which the task failed.
	Avoid []model.Worker
	// CanCheckpoint is whether the task can be checkpointed and continued later.
	CanCheckpoint bool
	// Checkpoints counts how often the task was checkpointed for others.
	Checkpoints int
	// Throttled is set while the task runs with half its cores.
	Throttled bool
	// Checkpointing is set between the request for a checkpoint and the end of the attempt.
	Checkpointing bool
	// lastResort is set while a plan is computed if an urgent task has found no worker: it may
	// then use a worker that is reserved for an aged task.
	lastResort bool
}

// Team holds a team's share, usage and headroom.
type Team struct {
	Name  model.Team
	Share int
	// Headroom is how many more tasks the team may start here within its allotment.
	Headroom int
	// Running counts the team's running work in the whole fleet.
	Running int
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Now     time.Time
	Workers []Worker
	Tasks   []Task
	Teams   []Team
}

// StepKind is the kind of a Step.
type StepKind string

const (
	StepStart StepKind = "start"
	// StepThrottle halves the cores of a running task; StepUnthrottle restores them.
	StepThrottle   StepKind = "throttle"
	StepUnthrottle StepKind = "unthrottle"
	// StepCheckpoint stops a running task after a checkpoint; it then waits again.
	StepCheckpoint StepKind = "checkpoint"
	// StepRefuse refuses a waiting task that cannot run on any worker.
	StepRefuse StepKind = "refuse"
)

// Reason is why a step is made or a task waits.
type Reason string

const (
	ReasonPlaced        Reason = "placed"
	ReasonSameWorker    Reason = "continued_on_same_worker"
	ReasonPreempted     Reason = "room_for_urgent_task"
	ReasonCoresFree     Reason = "cores_free_again"
	ReasonTooLarge      Reason = "larger_than_every_worker"
	ReasonNoCapacity    Reason = "no_worker_has_room"
	ReasonPreempting    Reason = "tasks_are_making_room"
	ReasonReserved      Reason = "worker_reserved_for_it"
	ReasonAllotmentUsed Reason = "team_allotment_used"
)

// Step is one change to make now. The order of steps matters: a start may depend on a
// throttle before it.
type Step struct {
	Kind   StepKind
	Task   model.JobID
	Worker model.Worker
	Reason Reason
}

// Waiting is a task that does not start now.
type Waiting struct {
	Task   model.JobID
	Reason Reason
	// Worker is the worker on which tasks are preempted for the task, or which is reserved for
	// it, if any.
	Worker model.Worker
}

// Plan is the result for one snapshot.
type Plan struct {
	Steps   []Step
	Waiting []Waiting
}

const (
	// AgingThreshold is the waiting time after which a task is aged and may get a worker
	// reserved.
	AgingThreshold = 2 * time.Minute
	// MaxCheckpoints is how often a task may be checkpointed for others, so that it finishes
	// eventually.
	MaxCheckpoints = 2
)
