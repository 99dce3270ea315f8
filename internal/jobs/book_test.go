package jobs

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func accepted(id ID, steps ...Step) Accepted {
	return Accepted{ID: id, Queue: "q", Spec: Spec{Steps: steps}}
}

// Guards against a failed run that is counted twice, so that the job fails too early: a new
// coordinator is told again of a failed run that the stored progress contains.
func TestFailedRunIsCountedOnceAcrossATakeover(t *testing.T) {
	b := NewRegistry()
	j := b.Add(accepted("1", Step{Count: 1}), 0)
	x := j.Step(0, 0).Task(0)
	b.Order(x, 1, "m", 0)
	require.True(t, b.Finish(x, 1, "m", EndFailed, "", 2, 0))
	value, err := EncodeProgress(j)
	require.NoError(t, err)

	next := NewRegistry()
	k := next.Add(accepted("1", Step{Count: 1}), 0)
	require.NoError(t, next.Restore(k, value))
	require.False(t, next.Finish(k.Step(0, 0).Task(0), 1, "m", EndFailed, "", 2, 0), "reported again, not acknowledged yet")
	require.False(t, k.State().Final())
	y := k.Step(0, 0).Task(0)
	require.Equal(t, 2, y.NextRun(1))
	next.Order(y, 2, "m", 0)
	next.Finish(y, 2, "m", EndFailed, "", 2, 0)
	require.Equal(t, StateFailed, k.State())
}

// Guards against the end of a run on one minion that counts as the end of a run in progress on another one, and
// against the number of a later run that does not exceed both.
func TestEndOfAnotherRunIsNotThatOfTheCurrentOne(t *testing.T) {
	for _, how := range []End{EndFailed, EndStopped, EndLeaseExpired} {
		b := NewRegistry()
		x := b.Add(accepted("1", Step{Count: 1, LongRunning: true}), 0).Step(0, 0).Task(0)
		b.Order(x, 1001, "m1", 0)
		b.Started(x, 0)
		b.Finish(x, 1061, "m0", how, "", 1, 0)
		require.Equal(t, Running, x.Phase, how)
		require.Equal(t, 1001, x.Run, "the run on m1 is still the current one")
		require.Equal(t, 1062, x.NextRun(1001))
		b.Finish(x, 1001, "m1", how, "", 1, 0)
		require.Equal(t, Waiting, x.Phase, how)
		require.Equal(t, 1062, x.NextRun(1001))

		b.Adopt(x, 1002, "m1", "", 0)
		require.Equal(t, 1062, x.NextRun(1001), "a run with a lower number that a minion reports")
	}
}

// Guards against a task that needs a start for each number that lies between those of its earlier runs and the
// lowest one that the coordinator may use.
func TestSkippedRunsDouble(t *testing.T) {
	b := NewRegistry()
	x := b.Add(accepted("1", Step{Count: 1, LongRunning: true}), 0).Step(0, 0).Task(0)
	starts := 0
	for last := 1_000_000; x.HighestRun <= last; starts++ {
		b.Order(x, x.NextRun(1), "m", 0)
		if x.Run <= last {
			b.SkipRuns(x)
			b.Requeue(x, 0)
		}
	}
	require.Less(t, starts, 25)
	b.Started(x, 0)
	before := x.HighestRun
	b.SkipRuns(x)
	require.Equal(t, before+1, x.HighestRun)
}

// Guards against a gang whose other members run again after one member is done.
func TestGangMembersEndTogether(t *testing.T) {
	b := NewRegistry()
	j := b.Add(accepted("1", Step{Count: 3, Gang: true}), 0)
	for _, x := range j.Step(0, 0).AllTasks() {
		b.Order(x, 1, "m", 0)
	}
	b.Finish(j.Step(0, 0).Task(1), 1, "m", EndDone, "", 1, 0)
	require.Equal(t, StateCompleted, j.State())
}

// Guards against a long-running task that counts as done when it ends, or that fails its job.
func TestLongRunningTasksAreRequeuedWhenTheyEnd(t *testing.T) {
	b := NewRegistry()
	j := b.Add(accepted("1", Step{Count: 1, LongRunning: true}), 0)
	x := j.Step(0, 0).Task(0)
	for run, how := range []End{EndDone, EndFailed, EndLeaseExpired, EndStopped, EndFailed} {
		b.Order(x, run+1, "m", 0)
		b.Finish(x, run+1, "m", how, "", 1, 0)
		require.Equal(t, Waiting, x.Phase)
		require.Equal(t, StateRunning, j.State())
	}
}

// Guards against an occurrence that starts before it is due.
func TestOccurrencesOpenWhenDue(t *testing.T) {
	b := NewRegistry()
	first := time.Unix(1000, 0)
	a := accepted("1", Step{Count: 1})
	a.Spec.Repeat, a.Spec.FirstRun, a.Spec.Interval = 2, first, 10*time.Second
	j := b.Add(a, 0)
	j.OpenSteps(first.Add(-time.Millisecond), 0)
	require.Empty(t, j.Step(0, 0).WaitingTasks())
	j.OpenSteps(first, 0)
	require.Len(t, j.Step(0, 0).WaitingTasks(), 1)
	require.Empty(t, j.Step(1, 0).WaitingTasks())
}

// Guards against stored progress that is restored differently, after random runs.
func TestProgressRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := []Step{{Count: rapid.IntRange(1, 20).Draw(t, "n")}, {Count: rapid.IntRange(1, 9).Draw(t, "m"), After: []int{0}}}
		b := NewRegistry()
		j := b.Add(accepted("abc", steps...), 0)
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			s := j.Step(0, rapid.IntRange(0, 1).Draw(t, "step"))
			x := s.Task(rapid.IntRange(0, s.Spec.Count-1).Draw(t, "task"))
			if x.Phase == Done || j.State().Final() {
				continue
			}
			b.Order(x, x.NextRun(1), "m", 0)
			how := rapid.SampledFrom([]End{EndDone, EndFailed, EndLeaseExpired}).Draw(t, "how")
			b.Finish(x, x.Run, "m", how, "", 100, 0)
		}
		next := NewRegistry()
		if j.State().Final() {
			require.Equal(t, j.State(), next.Add(j.Tombstone(j.State()), 0).VisibleState())
			require.Empty(t, next.Open())
			return
		}
		value, err := EncodeProgress(j)
		require.NoError(t, err)
		k := next.Add(accepted("abc", steps...), 0)
		require.NoError(t, next.Restore(k, value))
		for i, s := range j.LiveSteps() {
			require.Equal(t, s.Ended(), k.Step(0, i).Ended())
			for n, x := range s.AllTasks() {
				y := k.Step(0, i).Task(n)
				require.Equal(t, x.Phase == Done, y.Phase == Done)
				require.Equal(t, x.FailedRuns, y.FailedRuns)
			}
		}
	})
}

// Guards against malformed rows that make a coordinator panic at takeover.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"d":["ff",""],"f":{"0.0.1":[1,2]}}`), "a.0.0.1")
	f.Add([]byte(`{"f":{"":[]}}`), "....")
	f.Add([]byte(`{"d":["zz"]}`), "a.-1.0.0")
	f.Add([]byte(`{"r":[0,2,3,4],"p":{"2":["01",""],"9":["ff"]},"b":{"2.0":{"1001":"03"}},"o":["m"]}`), "r.2.0.1")
	f.Add([]byte(`{"r":[4,2],"p":{"-1":["01"],"4611686018427387904":["01"]}}`), "r.4611686018427387904.0.0")
	f.Fuzz(func(t *testing.T, value []byte, name string) {
		b := NewRegistry()
		j := b.Add(accepted("a", Step{Count: 3}, Step{Count: 2, After: []int{0}}), 0)
		_ = b.Restore(j, value) // may return an error, must not panic
		r := b.Add(hourly("r", time.Unix(1e9, 0), 12, Step{Count: 3}, Step{Count: 2, After: []int{0}}), 0)
		if b.Restore(r, value) == nil {
			_, err := EncodeProgress(r)
			require.NoError(t, err)
		}
		b.CreateDue(time.Unix(2e9, 0), 0)
		for _, live := range b.Live() {
			live.OpenSteps(time.Unix(2e9, 0), 0)
		}
		if n, err := ParseTaskName(name); err == nil {
			b.Task(n)
		}
	})
}

// Guards against jobs that are accepted although they can never end.
func TestSpecCheck(t *testing.T) {
	for name, s := range map[string]Spec{
		"no steps":                 {},
		"count 0":                  {Steps: []Step{{}}},
		"after later":              {Steps: []Step{{Count: 1, After: []int{1}}, {Count: 1}}},
		"after self":               {Steps: []Step{{Count: 1, After: []int{0}}}},
		"negative":                 {Steps: []Step{{Count: 1, Need: Resources{CPU: -1}}}},
		"too many":                 {Steps: []Step{{Count: MaxTasks}}, Repeat: 2},
		"overflow of the tasks":    {Steps: []Step{{Count: 2}}, Repeat: math.MaxInt64},
		"overflow of the interval": {Steps: []Step{{Count: 1}}, Repeat: 5000, Interval: math.MaxInt64 / 4000},
		"overflow of the year":     {Steps: []Step{{Count: 1}}, Repeat: 2, FirstRun: time.Unix(1e18, 0)},
		"overflow of the need":     {Steps: []Step{{Count: 1, Need: Resources{MemoryMB: math.MaxInt64}}}},
	} {
		require.ErrorIs(t, s.Check(), ErrSpec, name)
	}
	require.NoError(t, (&Spec{Steps: []Step{{Count: 1}, {Count: 2, After: []int{0}}}}).Check())
}

// Guards against counts of tasks by phase that differ from the tasks' phases: the scheduler starts what
// they say is waiting.
func TestPhaseCountsMatchTheTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRegistry()
		j := b.Add(accepted("1", Step{Count: 4, Gang: rapid.Bool().Draw(t, "gang"), LongRunning: rapid.Bool().Draw(t, "long-running")}, Step{Count: 2, After: []int{0}}), 0)
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			s := j.Step(0, rapid.IntRange(0, 1).Draw(t, "step"))
			x := s.Task(rapid.IntRange(0, s.Spec.Count-1).Draw(t, "task"))
			outcome := rapid.SampledFrom([]End{EndDone, EndFailed, EndStopped, EndLeaseExpired}).Draw(t, "outcome")
			switch rapid.IntRange(0, 6).Draw(t, "change") {
			case 0:
				if x.Phase == Waiting {
					b.Order(x, i+1, "m", 0)
				}
			case 1:
				b.Started(x, 0)
			case 2:
				b.Stop(x, "r", 0)
			case 3:
				b.Requeue(x, 0)
			case 4:
				b.Finish(x, x.Run, "m", outcome, "", 100, 0)
			case 5:
				b.Adopt(x, i+1, "m", "", 0)
			case 6:
				value, err := EncodeProgress(j)
				require.NoError(t, err)
				if !j.State().Final() {
					b = NewRegistry()
					j = b.Add(j.Accepted, 0)
					require.NoError(t, b.Restore(j, value))
				}
			}
			j.OpenSteps(time.Now(), 0)
			work, steps := 0.0, []*StepRun{j.Step(0, 0), j.Step(0, 1)}
			for _, s := range steps {
				count := [Done + 1]int{}
				var waiting []*Task
				for _, x := range s.AllTasks() {
					count[x.Phase]++
					if x.Phase == Waiting && s.Open {
						waiting = append(waiting, x)
					}
				}
				require.Equal(t, count, s.byPhase)
				require.Equal(t, len(waiting), len(s.WaitingTasks()))
				for i, x := range s.WaitingTasks() {
					require.Same(t, waiting[i], x)
				}
				require.Equal(t, count[Done] == s.Spec.Count, s.Ended())
				work += float64(count[Waiting]) * s.Spec.Work()
			}
			require.InDelta(t, work, steps[0].WorkLeft(), 1e-9)
		}
	})
}

// Guards against a scheduling run whose cost grows with the tasks that wait and do not change: each of
// them was looked at and copied in each run.
func TestWaitingTasksAreNotCollectedAgain(t *testing.T) {
	b := NewRegistry()
	j := b.Add(accepted("1", Step{Count: 1000}), 0)
	j.OpenSteps(time.Now(), 0)
	s := j.Step(0, 0)
	before := s.WaitingTasks()
	require.Zero(t, testing.AllocsPerRun(10, func() { s.WaitingTasks() }))
	b.Order(s.Tasks[0], 1, "m", 0)
	after := s.WaitingTasks()
	require.NotContains(t, after, s.Task(0))
	require.GreaterOrEqual(t, len(after), maxWaitingTasks, "a scheduling run can start as many as it may")
	require.Len(t, before, maxWaitingTasks, "a plan may still use what it was given")
	for i := range s.Spec.Count {
		require.Equal(t, i != 0, s.Task(i).Phase == Waiting)
	}
	require.Len(t, s.WaitingTasks(), 999)
}
