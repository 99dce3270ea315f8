package jobs

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// heapBytes returns the memory in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a coordinator whose process exceeds its memory because of jobs that wait for their time:
// each task of each occurrence was built when the job was accepted. 10,000 jobs of 5,000 occurrences have
// to fit in half of the 284 MB of an entry VM.
func TestMemoryOfAWaitingScheduleDoesNotGrowWithItsOccurrences(t *testing.T) {
	const schedules, budget = 1000, 284 << 20 / 2 / 10000
	b := NewRegistry()
	before := heapBytes()
	now := time.Unix(1e9, 0)
	for i := range schedules {
		b.Add(hourly(ID(fmt.Sprintf("%016x", i)), now.Add(7*24*time.Hour), 5000, chain()...), 0)
	}
	b.CreateDue(now, 0)
	require.Less(t, (heapBytes()-before)/schedules, int64(budget), "bytes of a schedule")
	require.Empty(t, b.Live(), "no scheduling run looks at them")
	runtime.KeepAlive(b)
}

// Guards against the same for occurrences that are all due: only as many are in memory as can begin soon.
func TestOccurrencesThatAreDueAreBounded(t *testing.T) {
	b := NewRegistry()
	first := time.Unix(1e9, 0)
	j := b.Add(hourly("1", first, 5000, chain()...), 0)
	now := first.Add(5000 * time.Hour)
	b.CreateDue(now, 0)
	j.OpenSteps(now, 0)
	require.LessOrEqual(t, len(j.LiveSteps()), maxIdleTasks)
	require.Len(t, j.CurrentSteps(), maxIdleTasks/4, "one step of each is open")
	for begun := 0; begun < 2000; { // none of them ends
		started := 0
		for _, s := range slices.Clone(j.CurrentSteps()) {
			for _, x := range s.WaitingTasks() {
				b.Order(x, 1, "m", 0)
				started++
			}
		}
		if started == 0 {
			break
		}
		begun += started
		j.OpenSteps(now, 0)
	}
	require.LessOrEqual(t, len(j.LiveSteps()), maxLiveTasks)
	require.GreaterOrEqual(t, len(j.LiveSteps()), maxLiveTasks-4)
}

// Guards against a wide step of which each waiting task takes memory.
func TestTasksThatWaitAreNotAllInMemory(t *testing.T) {
	b := NewRegistry()
	j := b.Add(accepted("1", Step{Count: MaxTasks}), 0)
	j.OpenSteps(time.Time{}, 0)
	s := j.Step(0, 0)
	require.Len(t, s.WaitingTasks(), maxWaitingTasks)
	for n := 0; !j.State().Final(); n++ {
		require.Less(t, n, MaxTasks)
		x := s.WaitingTasks()[0]
		b.Order(x, 1, "m", 0)
		b.Finish(x, 1, "m", EndDone, "", 1, 0)
	}
	require.Equal(t, StateCompleted, j.State())
	require.Empty(t, j.live, "nothing of the job is left in memory")
}

// Guards against occurrences that are lost, begin early, or run again after they have ended, over random
// runs and takeovers, and against memory that is not freed once occurrences have ended.
func TestOccurrencesRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := time.Unix(1e9, 0)
		repeat := rapid.IntRange(1, 12).Draw(t, "repeat")
		a := hourly("a", first, repeat, Step{Count: rapid.IntRange(1, 3).Draw(t, "count")}, Step{Count: 1, After: []int{0}})
		a.Spec.Interval = time.Duration(rapid.IntRange(0, 2).Draw(t, "interval")) * time.Hour
		b := NewRegistry()
		j := b.Add(a, 0)
		wall := first.Add(-time.Hour)
		done := map[string]bool{}
		held := map[*Task]bool{}
		release := func(x *Task) {
			if held[x] {
				delete(held, x)
				x.Release()
			}
		}
		for i := 0; !j.State().Final(); i++ {
			require.Less(t, i, 5000, "the job ends")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				wall = wall.Add(time.Hour)
			case 1: // a takeover; runs in progress are forgotten and start again
				value, err := EncodeProgress(j)
				require.NoError(t, err)
				b, held = NewRegistry(), map[*Task]bool{}
				j = b.Add(a, 0)
				require.NoError(t, b.Restore(j, value))
			case 2: // a report of a run that the registry does not know
				n := TaskName{"a", rapid.IntRange(0, repeat-1).Draw(t, "occurrence"), rapid.IntRange(0, 1).Draw(t, "step"), 0}
				x := b.Task(n)
				require.Equal(t, done[x.Name()], x.Phase == Done, "%s", x.Name())
			default:
				b.CreateDue(wall, 0)
				for _, live := range b.Live() {
					live.OpenSteps(wall, 0)
				}
				var can []*Task
				for _, s := range j.CurrentSteps() {
					for _, x := range s.Tasks {
						if x.Phase == Ordered {
							can = append(can, x)
						}
					}
					can = append(can, s.WaitingTasks()...)
				}
				if len(can) == 0 {
					continue
				}
				x := rapid.SampledFrom(can).Draw(t, "task")
				if x.Phase == Waiting {
					require.False(t, done[x.Name()], "%s runs again", x.Name())
					require.False(t, wall.Before(a.Spec.Due(x.Step.Occurrence)), "early")
					if x.Step.Index == 1 {
						for n := range a.Spec.Steps[0].Count {
							require.True(t, done[fmt.Sprintf("a.%d.0.%d", x.Step.Occurrence, n)])
						}
					}
					b.Order(x, x.NextRun(1), "m", 0)
					held[x] = true
					x.Hold()
					continue
				}
				how := rapid.SampledFrom([]End{EndDone, EndDone, EndFailed, EndStopped}).Draw(t, "how")
				b.Finish(x, x.Run, "m", how, "", 1000, 0)
				if how == EndDone {
					done[x.Name()] = true
				}
				release(x)
			}
		}
		require.Equal(t, StateCompleted, j.State())
		require.Len(t, done, repeat*(a.Spec.Steps[0].Count+1))
		for x := range held {
			release(x)
		}
		require.Empty(t, j.live)
		require.Empty(t, b.Live())
		require.Empty(t, b.waiting)
	})
}

// Guards against a job that goes on to wait for its time, in memory, after it was cancelled and removed.
func TestCancelledScheduleLeavesNothing(t *testing.T) {
	b := NewRegistry()
	for i := range 10 {
		b.Add(hourly(ID(fmt.Sprint(i)), time.Unix(1e9+int64(i*7%10), 0), 5, chain()...), 0)
	}
	for i := range 10 {
		b.Cancel(b.Get(ID(fmt.Sprint(i))), 0)
		require.Len(t, b.waiting, 9-i)
		for at, j := range b.waiting {
			require.Equal(t, at+1, j.waitingAt)
		}
	}
}

// Guards against runs of a job in a final state that are not found again, so that their minions count as
// full: a run that is reported then gets a new task each time.
func TestRunOfAnEndedJobIsOneTask(t *testing.T) {
	b := NewRegistry()
	j := b.Add(accepted("1", Step{Count: 2}), 0)
	b.Cancel(j, 0)
	name := TaskName{"1", 0, 0, 1}
	x := b.Task(name)
	b.Adopt(x, 1, "m", "", 0)
	x.Hold()
	require.Same(t, x, b.Task(name))
	require.Equal(t, []*Task{x}, j.Active())
	b.Stop(x, "r", 0)
	x.Release()
	b.Requeue(x, 0)
	require.Empty(t, j.live)
}

// Guards against a set of ended occurrences that differs from what was added to it.
func TestRanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r ranges
		want := map[int]bool{}
		for range rapid.IntRange(0, 40).Draw(t, "n") {
			k := rapid.IntRange(0, 20).Draw(t, "k")
			r.add(k)
			want[k] = true
			require.True(t, r.valid(21), "%v", r)
			require.Equal(t, len(want), r.count())
			for k := range 22 {
				require.Equal(t, want[k], r.contains(k), "%v %d", r, k)
				next := k
				for want[next] {
					next++
				}
				require.Equal(t, next, r.skip(k), "%v %d", r, k)
			}
		}
	})
	require.False(t, ranges{0, 1, 1, 2}.valid(5))
	require.False(t, ranges{0}.valid(5))
	require.False(t, ranges{-1, 1}.valid(5))
	require.False(t, ranges{3, 6}.valid(5))
}
