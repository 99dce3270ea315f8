package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
)

// longRunningStep returns a step of long-running tasks of the given CPU that wait or are to be
// relocated.
func longRunningStep(cpu int64, maxPerMinion, waiting, relocating int) Step {
	j := &jobs.Job{}
	run := &jobs.StepRun{Job: j, Spec: &jobs.Step{Count: waiting + relocating, Need: jobs.Resources{CPU: cpu}, LongRunning: true, MaxPerMinion: maxPerMinion}}
	s := Step{StepRun: run, Service: "s"}
	for i := range waiting + relocating {
		t := &jobs.Task{Step: run, Index: i}
		run.Tasks = append(run.Tasks, t)
		if i < waiting {
			s.Waiting = append(s.Waiting, t)
		} else {
			s.Relocating = append(s.Relocating, t)
		}
	}
	return s
}

func smallStep(n int) Step {
	run := &jobs.StepRun{Job: &jobs.Job{}, Spec: &jobs.Step{Count: n, Need: jobs.Resources{CPU: 1000}}}
	s := Step{StepRun: run, Service: "s"}
	for i := range n {
		s.Waiting = append(s.Waiting, &jobs.Task{Step: run, Index: i})
	}
	return s
}

func minionWith(id jobs.Minion, free int64) Minion {
	return Minion{ID: id, Service: "s", Capacity: jobs.Resources{CPU: 4000}, Free: jobs.Resources{CPU: free}}
}

// Guards against a large long-running task that never starts because small tasks fill each gap.
func TestCapacityIsHeldForALargeLongRunningTask(t *testing.T) {
	p := NewPlan(&Snapshot{Minions: []Minion{minionWith("a", 1000), minionWith("b", 2000)}, Steps: []Step{longRunningStep(3000, 0, 1, 0), smallStep(5)}})
	require.Len(t, p.Start, 1, "only the gap of the other minion is filled")
	require.Equal(t, jobs.Minion("a"), p.Start[0].Minion)
	require.Equal(t, ReasonNoCapacity, p.Unplaced[0].Reason)
}

// Guards against capacity that is held on a minion which can never take the task.
func TestNoCapacityIsHeldWhereTheTaskCanNotRun(t *testing.T) {
	full := minionWith("a", 1000)
	full.LongRunning, full.LongRunningUse = 1, jobs.Resources{CPU: 3000}
	limited := minionWith("b", 2000)
	s := longRunningStep(2000, 1, 1, 0)
	limited.TasksPerStep = map[*jobs.StepRun]int{s.StepRun: 1}
	p := NewPlan(&Snapshot{Minions: []Minion{full, limited}, Steps: []Step{s, smallStep(5)}})
	require.Len(t, p.Start, 3, "both gaps are filled")
	require.Equal(t, ReasonNoMinion, p.Unplaced[0].Reason)
}

// Guards against a task that is stopped without a place for its next run, or whose place is on a
// minion that it would have to leave again.
func TestRelocationNeedsAPlace(t *testing.T) {
	draining := minionWith("a", 4000)
	draining.Draining = true
	s := longRunningStep(2000, 0, 0, 1)
	p := NewPlan(&Snapshot{Minions: []Minion{draining, minionWith("b", 1000)}, Steps: []Step{s}})
	require.Empty(t, p.Relocate)
	require.Equal(t, []Unplaced{{s.StepRun, 1, ReasonNoCapacity}}, p.Unplaced)
	p = NewPlan(&Snapshot{Minions: []Minion{draining, minionWith("b", 2000)}, Steps: []Step{s}})
	require.Equal(t, []Assignment{{s.Relocating[0], "b"}}, p.Relocate)
	require.Empty(t, p.Start)
}

// Guards against a place that is given to a task that only changes its minion while another one has
// no run at all.
func TestWaitingTasksComeBeforeRelocations(t *testing.T) {
	moving, waiting := longRunningStep(2000, 0, 0, 1), longRunningStep(2000, 0, 1, 0)
	moving.StepRun.Job.ID, waiting.StepRun.Job.ID = "1", "2"
	p := NewPlan(&Snapshot{Minions: []Minion{minionWith("b", 2000)}, Steps: []Step{moving, waiting}})
	require.Len(t, p.Start, 1)
	require.Empty(t, p.Relocate)
}

// Guards against a place that is lost while a task which was stopped without one is being stopped:
// others take it, or the service's lack of a machine is forgotten.
func TestStoppingTaskKeepsItsPlace(t *testing.T) {
	stopping := longRunningStep(2000, 0, 0, 1)
	stopping.Stopping, stopping.Relocating = stopping.Relocating, nil
	p := NewPlan(&Snapshot{Minions: []Minion{minionWith("b", 2000)}, Steps: []Step{stopping, smallStep(2)}})
	require.Empty(t, p.Start)
	require.Empty(t, p.Relocate)
	full := minionWith("b", 0)
	full.LongRunning, full.LongRunningUse = 1, jobs.Resources{CPU: 4000}
	p = NewPlan(&Snapshot{Minions: []Minion{full}, Steps: []Step{stopping}})
	require.Equal(t, []Unplaced{{stopping.StepRun, 1, ReasonNoMinion}}, p.Unplaced)
}

// Guards against a task that is stopped on a draining minion because another one has a place, and then
// started on the draining one again because it is preferred to the other one.
func TestRelocatedTaskIsNotPlacedOnTheDrainingMinionAgain(t *testing.T) {
	for name, makeWorse := range map[string]func(m *Minion, s *Step){
		"failed before":   func(m *Minion, s *Step) { s.StepRun.Tasks[0].FailedOn = []jobs.Minion{m.ID} },
		"suspect":         func(m *Minion, _ *Step) { m.Suspect = true },
		"scavengers":      func(m *Minion, s *Step) { m.Scavengers, s.StepRun.Spec.TailTarget = 1, 1 },
		"data elsewhere":  func(_ *Minion, s *Step) { s.StepRun.Spec.DataRack = "near" },
		"maintenance due": func(m *Minion, _ *Step) { m.MaintenanceDue = true },
		"not packed":      func(m *Minion, _ *Step) { m.LongRunning = maxPacked },
	} {
		t.Run(name, func(t *testing.T) {
			plan := func(waiting, relocating int) Plan {
				draining, other := minionWith("a", 4000), minionWith("b", 1000)
				draining.Draining, draining.Rack, draining.LongRunning = true, "near", 1
				s := longRunningStep(500, 0, waiting, relocating)
				makeWorse(&other, &s)
				return NewPlan(&Snapshot{Minions: []Minion{draining, other}, Steps: []Step{s}})
			}
			relocate, start := plan(0, 1).Relocate, plan(1, 0).Start
			require.Len(t, relocate, 1)
			require.Len(t, start, 1)
			require.Equal(t, relocate[0].Minion, start[0].Minion)
		})
	}
}

// Guards against a task that is stopped on a draining minion although the only other place is on a
// minion that rejects each start: it would start on the draining one again and be stopped again.
func TestTaskIsNotRelocatedToAMinionThatRejectsStarts(t *testing.T) {
	draining, rejecting := minionWith("a", 4000), minionWith("b", 4000)
	draining.Draining, rejecting.Rejecting = true, true
	p := NewPlan(&Snapshot{Minions: []Minion{draining, rejecting}, Steps: []Step{longRunningStep(500, 0, 0, 1)}})
	require.Empty(t, p.Relocate)
}
