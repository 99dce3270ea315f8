package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// Guards against capacity that is held for tasks which their team's limit does not let run, so that
// the other teams' tasks wait.
func TestNoCapacityIsHeldAboveTheTeamLimit(t *testing.T) {
	s := longRunningStep(3000, 1, 3, 0)
	s.Team = "capped"
	teams := map[model.Team]*Team{"capped": {Weight: 1, Limit: jobs.Resources{CPU: 3000}}}
	p := NewPlan(&Snapshot{Teams: teams, Minions: []Minion{minionWith("a", 1000), minionWith("b", 2000)}, Steps: []Step{s, smallStep(5)}})
	require.Len(t, p.Start, 1, "only the gap of the other minion is filled")
	require.Equal(t, []Unplaced{{s.StepRun, 1, ReasonNoCapacity}, {s.StepRun, 2, ReasonTeamLimit}}, p.Unplaced[:2])
}

// Guards against machines that are taken from other services for more tasks of a team than its limit
// lets run, spread over several jobs on a service without minions.
func TestTeamLimitCountsTasksOfAllJobsThatWait(t *testing.T) {
	a, b := longRunningStep(1000, 1, 2, 0), longRunningStep(1000, 1, 2, 0)
	a.Team, b.Team = "capped", "capped"
	a.StepRun.Job.ID, b.StepRun.Job.ID = "1", "2"
	teams := map[model.Team]*Team{"capped": {Weight: 1, Limit: jobs.Resources{CPU: 3000}}}
	p := NewPlan(&Snapshot{Teams: teams, Steps: []Step{a, b}})
	require.Equal(t, []Unplaced{{a.StepRun, 2, ReasonNoMinion}, {b.StepRun, 1, ReasonNoMinion}, {b.StepRun, 1, ReasonTeamLimit}}, p.Unplaced)
}

// Guards against a small long-running task that waits, although there is free capacity for it, because
// that is held for a larger one.
func TestSmallLongRunningTaskStartsInHeldCapacity(t *testing.T) {
	large, small := longRunningStep(3000, 0, 2, 0), longRunningStep(500, 0, 3, 0)
	large.StepRun.Job.ID, small.StepRun.Job.ID = "1", "2"
	p := NewPlan(&Snapshot{Minions: []Minion{minionWith("a", 1000), minionWith("b", 400)}, Steps: []Step{large, small, smallStep(5)}})
	require.Equal(t, []Assignment{{small.Waiting[0], "a"}, {small.Waiting[1], "a"}}, p.Start, "and no other task starts")

	large = longRunningStep(3000, 0, 1, 0)
	large.StepRun.Job.ID = "1"
	p = NewPlan(&Snapshot{Minions: []Minion{minionWith("a", 1000), minionWith("b", 500)}, Steps: []Step{large, small}})
	require.Equal(t, jobs.Minion("b"), p.Start[0].Minion, "capacity that is not held comes first")
}
