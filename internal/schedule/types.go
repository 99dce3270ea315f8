package schedule

import (
	"time"

	"boragepulley/internal/interference"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// Snapshot is the input of NewPlan. Its times are readings of one monotonic clock.
type Snapshot struct {
	Now     time.Duration
	Steps   []Step
	Minions []Minion
	Teams   map[model.Team]*Team
	// MaxStarts bounds the tasks that the plan starts, other than long-running ones and further members
	// of a gang; 0 means no bound, a negative number that none may start.
	MaxStarts int
	// InUse is the CPU that each team's running tasks use on the minions of a service, in
	// thousandths of a core.
	InUse map[model.Service]map[model.Team]int64
	// Interference tells which images slow each other down; nil while that is known of none.
	Interference *interference.Table
}

// Step is a step of a job with tasks that can start now.
type Step struct {
	StepRun *jobs.StepRun
	Service model.Service
	Team    model.Team
	// Priority is the queue's priority; 0 is the highest.
	Priority int
	// Arrived is when the job was accepted or, for a repeated job, the occurrence became due.
	Arrived time.Duration
	// Deadline is when the job must have ended to meet its objective.
	Deadline time.Duration
	// RemainingTime is the estimated time from the start of this step to the end of the job.
	RemainingTime time.Duration
	// RemainingWork is the job's estimated work in tasks that have not started, in core-seconds.
	RemainingWork float64
	// Value is the value of the whole job to its caller; 1 for a job of mean size.
	Value float64
	// Waiting lists the tasks that can start now.
	Waiting []*jobs.Task
	// Relocating lists the running long-running tasks that are to be stopped once there is a place
	// for their next run.
	Relocating []*jobs.Task
	// Stopping lists the long-running tasks that are being stopped without a place for their next
	// run. They keep what the plan found for them while they ran.
	Stopping []*jobs.Task
	// avoid is the set of images beside which its tasks should not be started.
	avoid uint64
}

// Minion is a minion that accepts new tasks.
type Minion struct {
	ID      jobs.Minion
	Service model.Service
	Kind    string
	Rack    model.Rack
	// Free is the part of Capacity that no task reserves.
	Free     jobs.Resources
	Capacity jobs.Resources
	// Serving counts the tasks with a latency target, Scavengers those that use only
	// processor time left over by others.
	Serving, Scavengers int
	// Images is the set of images of the minion's tasks, as bits of Snapshot.Interference.
	Images uint64
	// LongRunning counts the long-running tasks, LongRunningUse is what they reserve.
	LongRunning    int
	LongRunningUse jobs.Resources
	// Draining minions are to lose their long-running tasks: no task is relocated to them.
	Draining bool
	// Suspect minions recently refused an order or did not answer it; they are used last.
	Suspect bool
	// Rejecting minions have recently rejected several starts one after another; they are used only
	// if no other can take the task.
	Rejecting bool
	// Cold minions are slow for a while after their start.
	Cold bool
	// MaintenanceDue is set if the minion's machine will be maintained soon: long-running tasks
	// started on it would have to move again.
	MaintenanceDue bool
	// TasksPerStep counts the minion's tasks of each step that has a MaxPerMinion.
	TasksPerStep map[*jobs.StepRun]int
	// held is what is held for tasks that can not start yet. It is not part of Free.
	held jobs.Resources
	// interference is Snapshot.Interference.
	interference *interference.Table
}

// Team holds a team's weight, its resource limit and the use of it.
type Team struct {
	// Weight determines the team's fair share of an overloaded service.
	Weight float64
	// Limit bounds the resources of running tasks; a field of 0 means no limit.
	Limit jobs.Resources
	Used  jobs.Resources
	// held is the part of the limit for long-running tasks that wait for a place.
	held jobs.Resources
}

// Assignment starts a task on a minion.
type Assignment struct {
	Task   *jobs.Task
	Minion jobs.Minion
}

// Avoided is an assignment of Plan.Start to another minion than without Snapshot.Interference.
type Avoided struct {
	Assignment
	// InsteadOf is the minion that would have been chosen.
	InsteadOf jobs.Minion
}

// Reason tells why tasks of a step were not placed.
type Reason string

const (
	// ReasonNoCapacity: a minion can take the task once others on it have ended.
	ReasonNoCapacity Reason = "no_room"
	ReasonTeamLimit  Reason = "team_limit"
	// ReasonNoMinion: no minion of the service may take the task, or long-running tasks use them all.
	ReasonNoMinion Reason = "no_minion"
)

// Unplaced is a step of which some tasks were not placed.
type Unplaced struct {
	StepRun *jobs.StepRun
	Tasks   int
	Reason  Reason
}

// Plan lists the tasks to start, the running tasks to stop with the minion that is to run them
// next, and the steps with tasks that keep waiting or could not be relocated.
type Plan struct {
	Start    []Assignment
	Relocate []Assignment
	Unplaced []Unplaced
	Avoided  []Avoided
	// Bounded is set if Snapshot.MaxStarts kept tasks from being placed.
	Bounded bool
	// Tried counts the steps for which a place was searched, Compared the comparisons of two steps to
	// find out which comes first.
	Tried, Compared int
}
