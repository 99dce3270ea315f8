package schedule

import (
	"time"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// Snapshot is what a decision is made from. Times are on one steady clock.
type Snapshot struct {
	Now     time.Duration
	Steps   []Step
	Minions []Minion
	Teams   map[model.Team]*Team
	// InUse is what each team has running on the minions of a service, in thousandths of a
	// core.
	InUse map[model.Service]map[model.Team]int64
}

// Step is a step with tasks that can start now.
type Step struct {
	StepRun *jobs.StepRun
	Service model.Service
	Team    model.Team
	// Priority 0 comes first.
	Priority int
	// Arrived is when the job was accepted, or the occurrence due.
	Arrived time.Duration
	// Deadline is when the job must end to be in time.
	Deadline time.Duration
	// RemainingTime is the estimated time from the start of this step to the end of the job.
	RemainingTime time.Duration
	// RemainingWork is what is left of the job, in core-seconds, by its estimates.
	RemainingWork float64
	// Value is what the whole job is worth to its callers, 1 for a job of mean size.
	Value float64
	// Waiting are the tasks to start.
	Waiting []*jobs.Task
}

// Minion is a minion that can take work.
type Minion struct {
	ID      jobs.Minion
	Service model.Service
	Kind    string
	Rack    model.Rack
	Free    jobs.Resources
	// Capacity is the room of an empty minion.
	Capacity jobs.Resources
	// LatencySensitive counts tasks with a bound on response times, Scavengers those that use what is left.
	LatencySensitive, Scavengers int
	// LongRunning counts tasks that last.
	LongRunning int
	// Suspect minions failed or lost orders lately; they come last.
	Suspect bool
	// MaintenanceDue is set while the minion's machine is soon to be maintained: tasks that last would
	// have to be moved again.
	MaintenanceDue bool
	// TasksPerStep counts the tasks of each step run on the minion, for steps with a bound.
	TasksPerStep map[*jobs.StepRun]int
}

// Team is a team's use of its limit.
type Team struct {
	Weight float64
	// Limit has 0 for no limit.
	Limit jobs.Resources
	Used  jobs.Resources
}

// Assignment starts a task on a minion.
type Assignment struct {
	Task   *jobs.Task
	Minion jobs.Minion
}

// Reason says why a step has tasks that keep waiting.
type Reason string

const (
	ReasonNoCapacity Reason = "no_room"
	ReasonTeamLimit  Reason = "team_limit"
	ReasonNoMinion   Reason = "no_minion"
)

// Unplaced is a step that keeps waiting.
type Unplaced struct {
	StepRun *jobs.StepRun
	Tasks   int
	Reason  Reason
}

// Plan is the outcome of a decision.
type Plan struct {
	Start    []Assignment
	Unplaced []Unplaced
}
