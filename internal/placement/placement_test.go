package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/model"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func workers(n int, size Size) []Worker {
	out := make([]Worker, n)
	for i := range out {
		out[i] = Worker{Name: model.Worker(fmt.Sprintf("w%04d", i)), Rack: model.Rack(fmt.Sprintf("r%d", i/4)), Size: size, Accepts: true}
	}
	return out
}

func id(i int) model.JobID { return model.JobID(fmt.Sprintf("j%05d", i)) }

// randomSnapshot draws a snapshot whose running tasks fit on their workers.
func randomSnapshot(t *rapid.T, n, tasks int) Snapshot {
	s := Snapshot{Now: epoch, Workers: workers(n, Size{8, 16, 2}), Teams: []Team{{"a", 1, 3, 2}, {"b", 3, 5, 0}}}
	free := make([]Size, n)
	for i := range free {
		free[i] = s.Workers[i].Size
		s.Workers[i].Accepts = rapid.IntRange(0, 4).Draw(t, "accepts") > 0
		s.Workers[i].Probe = !s.Workers[i].Accepts && rapid.Bool().Draw(t, "probe")
	}
	for i := range tasks {
		k := Task{ID: id(i), Team: rapid.SampledFrom([]model.Team{"a", "b"}).Draw(t, "team"), Queue: "q",
			Class: rapid.SampledFrom([]Class{Urgent, Normal, Deferrable}).Draw(t, "class"),
			Size: Size{rapid.IntRange(1, 9).Draw(t, "cores"), rapid.IntRange(1, 12).Draw(t, "memory"),
				rapid.IntRange(0, 1).Draw(t, "accelerators")},
			Submitted:     epoch.Add(-time.Duration(rapid.IntRange(0, 180).Draw(t, "age")) * time.Second),
			CanCheckpoint: rapid.Bool().Draw(t, "can checkpoint"), Checkpoints: rapid.IntRange(0, 2).Draw(t, "checkpoints")}
		if w := rapid.IntRange(0, n-1).Draw(t, "worker"); rapid.Bool().Draw(t, "runs") && k.Size.fits(free[w]) {
			k.Worker, free[w] = s.Workers[w].Name, free[w].minus(k.Size)
			k.Checkpointing = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
		} else if rapid.IntRange(0, 4).Draw(t, "avoids") == 0 {
			k.Avoid = []model.Worker{s.Workers[w].Name}
		}
		s.Tasks = append(s.Tasks, k)
	}
	return s
}

// Guards against plans that overcommit workers, place tasks on workers that must not get them,
// exceed a team's allotment, omit a task or handle it twice, or let a task wait for capacity
// that is free.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := randomSnapshot(t, rapid.IntRange(1, 6).Draw(t, "workers"), rapid.IntRange(0, 20).Draw(t, "tasks"))
		plan := NewPlan(s)
		tasks, free, on := map[model.JobID]*Task{}, map[model.Worker]Size{}, map[model.Worker]int{}
		ws, room, seen := map[model.Worker]*Worker{}, map[model.Team]int{}, map[model.JobID]int{}
		for i := range s.Workers {
			ws[s.Workers[i].Name], free[s.Workers[i].Name] = &s.Workers[i], s.Workers[i].Size
		}
		for i := range s.Tasks {
			k := &s.Tasks[i]
			tasks[k.ID] = k
			if k.Worker != "" {
				free[k.Worker] = free[k.Worker].minus(k.Size)
				on[k.Worker]++
			}
		}
		for _, tm := range s.Teams {
			room[tm.Name] = tm.Headroom
		}
		for _, st := range plan.Steps {
			k := tasks[st.Task]
			switch st.Kind {
			case StepStart:
				seen[k.ID]++
				room[k.Team]--
				w := ws[st.Worker]
				free[w.Name] = free[w.Name].minus(k.Size)
				require.True(t, w.Accepts || (w.Probe && on[w.Name] == 0), "worker accepts no task")
				require.NotContains(t, k.Avoid, w.Name)
				require.True(t, Size{}.fits(free[w.Name]), "worker overcommitted: %v", free[w.Name])
				require.GreaterOrEqual(t, room[k.Team], 0)
				on[w.Name]++
			case StepThrottle:
				require.NotEqual(t, Urgent, k.Class)
				free[st.Worker] = free[st.Worker].plus(throttled(k.Size))
			case StepCheckpoint:
				require.True(t, k.Class != Urgent && k.CanCheckpoint && k.Checkpoints < MaxCheckpoints && !k.Checkpointing)
			case StepRefuse:
				seen[k.ID]++
				require.Greater(t, k.Size.Cores, 8)
			}
		}
		reserved := map[model.Worker]bool{}
		for _, w := range plan.Waiting {
			reserved[w.Worker] = true
			seen[w.Task]++
		}
		for _, k := range tasks {
			if k.Worker == "" {
				require.Equal(t, 1, seen[k.ID], "task %s is handled once", k.ID)
			}
		}
		for _, w := range plan.Waiting {
			for name, f := range free {
				if k := tasks[w.Task]; w.Reason == ReasonNoCapacity && len(k.Avoid) == 0 && ws[name].Accepts && !reserved[name] {
					require.False(t, k.Size.fits(f), "task %s fits on %s", k.ID, name)
				}
			}
		}
	})
}

// Guards against preempting more tasks than needed for an urgent one, by comparison with every
// set of victims on every worker.
func TestFewestVictims(t *testing.T) {
	var preempted int
	rapid.Check(t, func(t *rapid.T) {
		s := randomSnapshot(t, rapid.IntRange(1, 3).Draw(t, "workers"), rapid.IntRange(1, 8).Draw(t, "tasks"))
		running := s.Tasks[:0]
		for _, k := range s.Tasks {
			if k.Checkpointing = false; k.Worker != "" {
				running = append(running, k)
			}
		}
		u := Task{ID: "urgent", Team: "b", Class: Urgent, Submitted: epoch, Size: Size{rapid.IntRange(1, 8).Draw(t, "need"), 6, 0}}
		s.Tasks = append(running, u)
		got := 0
		plan := NewPlan(s)
		for _, st := range plan.Steps {
			if st.Reason == ReasonPreempted {
				got++
			}
		}
		best := -1
		for i := range s.Workers {
			if !s.Workers[i].Accepts {
				continue
			}
			sl := &slot{Worker: &s.Workers[i], free: s.Workers[i].Size}
			for j := range running {
				if running[j].Worker == sl.Name {
					sl.running = append(sl.running, &running[j])
					sl.free = sl.free.minus(running[j].Size)
				}
			}
			vs := sl.victims()
			for set := range 1 << len(vs) {
				free, n, twice := sl.free, 0, map[*Task]int{}
				for b, v := range vs {
					if set>>b&1 == 1 {
						free, n = free.plus(v.frees), n+1
						twice[v.task]++
					}
				}
				if len(twice) == n && n <= maxVictims && u.Size.fits(free) && (best < 0 || n < best) {
					best = n
				}
			}
		}
		require.Equal(t, max(best, 0), got, "%+v", plan)
		preempted += got
	})
	require.Positive(t, preempted)
}

// Guards against preempting more tasks while checkpoints for the urgent task are in progress.
func TestCheckpointsInProgress(t *testing.T) {
	s := Snapshot{Now: epoch, Workers: workers(2, Size{4, 4, 0}), Teams: []Team{{"a", 1, 9, 0}}}
	for i, w := range s.Workers {
		s.Tasks = append(s.Tasks, Task{ID: id(i), Team: "a", Class: Normal, Worker: w.Name, Size: w.Size, CanCheckpoint: true})
	}
	s.Tasks = append(s.Tasks, Task{ID: "urgent", Team: "a", Class: Urgent, Size: Size{4, 4, 0}, Submitted: epoch})
	first := NewPlan(s)
	require.Equal(t, []Step{{StepCheckpoint, id(0), "w0000", ReasonPreempted}}, first.Steps)
	s.Tasks[0].Checkpointing = true
	second := NewPlan(s)
	require.Empty(t, second.Steps)
	require.Equal(t, []Waiting{{"urgent", ReasonPreempting, "w0000"}}, second.Waiting)
}

// Guards against starvation of a large deferrable task by a stream of small ones, and against
// urgent tasks that wait although others can be preempted.
func TestNoStarvation(t *testing.T) {
	s := Snapshot{Now: epoch, Workers: workers(3, Size{8, 16, 0}), Teams: []Team{{"a", 1, 100, 0}}}
	s.Tasks = []Task{{ID: "large", Team: "a", Class: Deferrable, Size: Size{8, 16, 0}, Submitted: epoch, Deadline: epoch.Add(time.Hour)}}
	ends, n := map[model.JobID]time.Time{}, 0
	for range 60 {
		s.Now = s.Now.Add(5 * time.Second)
		kept := s.Tasks[:0]
		for _, k := range s.Tasks {
			if end, ok := ends[k.ID]; !ok || end.After(s.Now) {
				kept = append(kept, k)
			}
		}
		s.Tasks = kept
		for range 10 {
			n++
			s.Tasks = append(s.Tasks, Task{ID: id(n), Team: "a", Class: Normal, Size: Size{2, 3, 0}, Submitted: s.Now, Deadline: s.Now.Add(time.Minute)})
		}
		s.Tasks = append(s.Tasks, Task{ID: id(50000 + n), Team: "a", Class: Urgent, Size: Size{2, 3, 0}, Submitted: s.Now})
		for _, st := range NewPlan(s).Steps {
			for i := range s.Tasks {
				if k := &s.Tasks[i]; k.ID == st.Task && st.Kind == StepStart {
					k.Worker, ends[k.ID] = st.Worker, s.Now.Add(time.Duration(5+len(k.ID)%3*7+i%4*5)*time.Second)
					if k.ID == "large" {
						return
					}
				}
			}
		}
		for _, k := range s.Tasks {
			require.False(t, k.Class == Urgent && k.Worker == "", "urgent task waits")
		}
	}
	require.Fail(t, "the large task never started")
}

// Guards against placing tasks by their declared sizes or on failing workers although usage
// reports and results show otherwise.
func TestLearnedSizesAndHealth(t *testing.T) {
	sizes, k, largest := NewSizeEstimator(), TaskKind{"a", "q"}, Size{16, 100, 0}
	for range minSamples {
		require.Equal(t, Size{10, 10, 1}, sizes.Estimate(k, Size{10, 10, 1}, largest))
		sizes.Observe(k, 2, 50)
	}
	require.Equal(t, Size{2, 55, 1}, sizes.Estimate(k, Size{10, 10, 1}, largest))
	sizes.Observe(k, 1000, 1000)
	require.Equal(t, Size{16, 100, 1}, sizes.Estimate(k, Size{10, 10, 1}, largest))

	h, ws := NewHealthTracker(), workers(4, largest)
	for i, w := range []model.Worker{"w0000", "w0000", "w0000", "w0001", "w0001", "w0001"} {
		h.Observe(epoch, w, id(i%3*(i/3)), false) // w0000 fails one task three times
	}
	h.Apply(epoch, ws)
	require.True(t, ws[0].Accepts)
	require.False(t, ws[1].Accepts || ws[1].Probe)
	at := epoch.Add(quarantineMin)
	probe := func(at time.Time) bool {
		ws = workers(4, largest)
		h.Apply(at, ws)
		return ws[1].Probe && !ws[1].Accepts
	}
	require.True(t, probe(at))
	h.Observe(at, "w0001", "probe", false)
	require.False(t, probe(at.Add(quarantineMin)))
	require.True(t, probe(at.Add(2*quarantineMin)))
	h.Observe(at, "w0001", "probe 2", true)
	h.Apply(at, workers(4, largest))
	require.Empty(t, h.byName["w0001"])
}

// BenchmarkNewPlan measures one plan with two running tasks per worker and as many waiting.
func BenchmarkNewPlan(b *testing.B) {
	for _, n := range []int{50, 1200} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			s := Snapshot{Now: epoch, Workers: workers(n, Size{64, 128, 1})}
			for i := range 31 {
				s.Teams = append(s.Teams, Team{model.Team(fmt.Sprintf("t%d", i)), 1 + i%5, 1000, i})
			}
			for i := range 4 * n {
				k := Task{ID: id(i), Team: s.Teams[i%31].Name, Queue: model.Queue(fmt.Sprintf("q%d", i%7)), Class: Class(i % 3),
					Size: Size{10 + i%20, 20 + i%30, 0}, Submitted: epoch, CanCheckpoint: i%2 == 0}
				if i < 2*n {
					k.Worker = s.Workers[i/2].Name
				}
				s.Tasks = append(s.Tasks, k)
			}
			b.ReportAllocs()
			for b.Loop() {
				NewPlan(s)
			}
		})
	}
}
