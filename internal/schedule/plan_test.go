package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// stepOf returns a step of a new job, with all its tasks waiting.
func stepOf(id jobs.ID, spec jobs.Step) Step {
	b := jobs.NewRegistry()
	j := b.Add(jobs.Accepted{ID: id, Queue: "q", Team: "t", Spec: jobs.Spec{Steps: []jobs.Step{spec}}}, 0)
	j.OpenSteps(time.Now(), 0)
	return Step{StepRun: j.Step(0, 0), Service: "s", Team: "t", Deadline: 10 * time.Second, RemainingTime: time.Second, Waiting: j.Step(0, 0).WaitingTasks()}
}

func minion(id jobs.Minion, cores int64) Minion {
	r := jobs.Resources{CPU: cores * 1000, MemoryMB: 1000}
	return Minion{ID: id, Service: "s", Kind: "a", Rack: model.Rack("r" + id), Free: r, Capacity: r}
}

func need(cores int64) jobs.Resources { return jobs.Resources{CPU: cores * 1000} }

// Guards against a gang of which only some members start.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	gang := stepOf("1", jobs.Step{Count: 3, Need: need(2), Gang: true})
	single := stepOf("2", jobs.Step{Count: 1, Need: need(2)})
	gang.Deadline, single.Deadline = time.Second, 2*time.Second // the gang comes first
	p := NewPlan(&Snapshot{Steps: []Step{gang, single}, Minions: []Minion{minion("a", 2), minion("b", 2)}})
	require.Len(t, p.Start, 1)
	require.Equal(t, jobs.ID("2"), p.Start[0].Task.Step.Job.ID)
	require.Equal(t, []Unplaced{{StepRun: gang.StepRun, Tasks: 3, Reason: ReasonNoCapacity}}, p.Unplaced)
}

// Guards against tasks on a minion of another service or without the required label, and against
// more tasks on a minion than MaxPerMinion.
func TestPlacementRespectsConstraints(t *testing.T) {
	s := stepOf("1", jobs.Step{Count: 5, Need: need(1), Label: "a", MaxPerMinion: 2})
	other, kind := minion("x", 9), minion("y", 9)
	other.Service, kind.Kind = "other", "b"
	p := NewPlan(&Snapshot{Steps: []Step{s}, Minions: []Minion{other, kind, minion("m", 9)}})
	require.Len(t, p.Start, 2)
	for _, a := range p.Start {
		require.Equal(t, jobs.Minion("m"), a.Minion)
	}
}

// Guards against late jobs that delay jobs which can still end in time.
func TestLateJobsComeLast(t *testing.T) {
	late, inTime := stepOf("1", jobs.Step{Count: 1, Need: need(1)}), stepOf("2", jobs.Step{Count: 1, Need: need(1)})
	late.Deadline = time.Second
	p := NewPlan(&Snapshot{Now: 5 * time.Second, Steps: []Step{late, inTime}, Minions: []Minion{minion("m", 1)}})
	require.Len(t, p.Start, 1)
	require.Equal(t, jobs.ID("2"), p.Start[0].Task.Step.Job.ID)
}

// Guards against a task that is started again on the minion on which it failed.
func TestAvoidsMinionsOnWhichATaskFailed(t *testing.T) {
	s := stepOf("1", jobs.Step{Count: 1, Need: need(1)})
	s.Waiting[0].FailedOn = []jobs.Minion{"a"}
	p := NewPlan(&Snapshot{Steps: []Step{s}, Minions: []Minion{minion("a", 1), minion("b", 9)}})
	require.Equal(t, jobs.Minion("b"), p.Start[0].Minion)
}

// Guards against long-running tasks spread over all minions, which could then not move to other
// pools, or all placed on one, whose loss would stop a whole step.
func TestLongRunningTasksArePacked(t *testing.T) {
	s := stepOf("1", jobs.Step{Count: 6, Need: need(1), LongRunning: true})
	p := NewPlan(&Snapshot{Steps: []Step{s}, Minions: []Minion{minion("a", 9), minion("b", 9), minion("c", 9)}})
	count := map[jobs.Minion]int{}
	for _, a := range p.Start {
		count[a.Minion]++
	}
	require.Len(t, count, 2)
	for _, n := range count {
		require.LessOrEqual(t, n, maxPacked)
	}
}

// Guards against long-running tasks that start on a machine due for maintenance although others
// have free capacity: they would have to move again, which delays the maintenance wave.
func TestLongRunningTasksAvoidMinionsDueForMaintenance(t *testing.T) {
	s := stepOf("1", jobs.Step{Count: 3, Need: need(1), LongRunning: true})
	due := minion("a", 9)
	due.MaintenanceDue, due.LongRunning = true, 1
	p := NewPlan(&Snapshot{Steps: []Step{s}, Minions: []Minion{due, minion("b", 2)}})
	count := map[jobs.Minion]int{}
	for _, a := range p.Start {
		count[a.Minion]++
	}
	require.Equal(t, map[jobs.Minion]int{"b": 2, "a": 1}, count, "a machine due for maintenance is used if no other has capacity")
}

// Guards against plans that break an invariant of the package, over random snapshots.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snap := &Snapshot{Teams: map[model.Team]*Team{"t": {Limit: need(rapid.Int64Range(0, 20).Draw(t, "limit"))}}}
		free := map[jobs.Minion]jobs.Resources{}
		for i := range rapid.IntRange(0, 5).Draw(t, "minions") {
			m := minion(jobs.Minion(fmt.Sprint(i)), rapid.Int64Range(0, 8).Draw(t, "cores"))
			snap.Minions = append(snap.Minions, m)
			free[m.ID] = m.Free
		}
		for i := range rapid.IntRange(0, 6).Draw(t, "steps") {
			snap.Steps = append(snap.Steps, stepOf(jobs.ID(fmt.Sprint(i)), jobs.Step{
				Count: rapid.IntRange(1, 6).Draw(t, "count"), Need: need(rapid.Int64Range(1, 4).Draw(t, "need")),
				Gang: rapid.Bool().Draw(t, "gang"), MaxPerMinion: rapid.IntRange(0, 2).Draw(t, "per"), LongRunning: rapid.Bool().Draw(t, "long-running"),
			}))
		}
		limit := snap.Teams["t"].Limit
		p := NewPlan(snap)
		used := jobs.Resources{}
		started := map[*jobs.StepRun]int{}
		perMinion := map[string]int{}
		for _, a := range p.Start {
			spec := a.Task.Step.Spec
			free[a.Minion] = free[a.Minion].Sub(spec.Need)
			used = used.Add(spec.Need)
			started[a.Task.Step]++
			key := fmt.Sprintf("%p %s", a.Task.Step, a.Minion)
			perMinion[key]++
			if spec.MaxPerMinion > 0 {
				require.LessOrEqual(t, perMinion[key], spec.MaxPerMinion)
			}
		}
		for _, r := range free {
			require.GreaterOrEqual(t, r.CPU, int64(0))
		}
		if limit.CPU > 0 {
			require.LessOrEqual(t, used.CPU, limit.CPU)
		}
		for s, n := range started {
			if s.Spec.Gang {
				require.Equal(t, s.Spec.Count, n)
			}
		}
	})
}

// BenchmarkMake measures NewPlan for the present number of minions (49) and for larger sites (350
// and 1200).
func BenchmarkMake(b *testing.B) {
	for _, n := range []int{49, 350, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				snap := &Snapshot{Teams: map[model.Team]*Team{"t": {}}}
				for i := range n {
					m := minion(jobs.Minion(fmt.Sprint(i)), 64)
					m.Service = model.Service(fmt.Sprint("s", i%5))
					snap.Minions = append(snap.Minions, m)
				}
				for i := range n {
					s := stepOf(jobs.ID(fmt.Sprint(i)), jobs.Step{Count: 10, Need: need(4)})
					s.Service = model.Service(fmt.Sprint("s", i%5))
					snap.Steps = append(snap.Steps, s)
				}
				b.StartTimer()
				NewPlan(snap)
			}
		})
	}
}
