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

// Class orders the tasks of a team.
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
	// Accepts is false while the worker is unreachable, leaving or in quarantine.
	Accepts bool
	// Probe is set for a worker in quarantine that may get one task.
	Probe bool
}

// Task is one waiting or running task.
type Task struct {
	ID    model.JobID
	Team  model.Team
	Queue model.Queue
	Class Class
	// Size is the expected size, see Sizes.
	Size Size
	// Submitted is when the task began to wait for the first time.
	Submitted time.Time
	Deadline  time.Time
	// Worker is where the task runs; empty while it waits.
	Worker model.Worker
	// LastWorker is where a checkpointed task ran before.
	LastWorker model.Worker
	// Avoid lists workers that failed the task.
	Avoid []model.Worker
	// CanCheckpoint is whether the task can be checkpointed and continued later.
	CanCheckpoint bool
	// Checkpoints counts how often the task had to make room.
	Checkpoints int
	// Throttled is set while the task runs with half its cores.
	Throttled bool
	// Checkpointing is set between the request for a checkpoint and the end of the attempt.
	Checkpointing bool
	// lastResort is set during a plan once an urgent task found no other worker.
	lastResort bool
}

// Team is a team's share and what it may run.
type Team struct {
	Name  model.Team
	Share int
	// Headroom is how many more tasks the team may start here within its allotment.
	Headroom int
	// Running counts the team's running work in the whole fleet.
	Running int
}

// Snapshot is what a plan is computed from.
type Snapshot struct {
	Now     time.Time
	Workers []Worker
	Tasks   []Task
	Teams   []Team
}

// StepKind is what is done with a task.
type StepKind string

const (
	StepStart StepKind = "start"
	// StepThrottle halves the cores of a running task; StepUnthrottle gives them back.
	StepThrottle   StepKind = "throttle"
	StepUnthrottle StepKind = "unthrottle"
	// StepCheckpoint ends a running task after a checkpoint; it waits again.
	StepCheckpoint StepKind = "checkpoint"
	// StepRefuse ends a waiting task that cannot run on any worker.
	StepRefuse StepKind = "refuse"
)

// Reason says why a step is taken or a task waits.
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

// Step is one change to make now. Steps are in order: a start may need the throttling
// before it.
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
	// Worker is the worker that is being cleared or reserved for the task, if any.
	Worker model.Worker
}

// Plan is the result for one snapshot.
type Plan struct {
	Steps   []Step
	Waiting []Waiting
}

const (
	// AgingThreshold is the waiting time after which a task gets a worker reserved.
	AgingThreshold = 2 * time.Minute
	// MaxCheckpoints is how often a task may have to make room, so that it finishes.
	MaxCheckpoints = 2
)
