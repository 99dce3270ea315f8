package jobs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hourly returns a job that repeats each hour.
func hourly(id ID, first time.Time, repeat int, steps ...Step) Accepted {
	a := accepted(id, steps...)
	a.Spec.Repeat, a.Spec.FirstRun, a.Spec.Interval = repeat, first, time.Hour
	return a
}

// chain returns four steps of one task that run one after the other.
func chain() []Step {
	steps := []Step{{Count: 1, Estimate: time.Second}}
	for i := range 3 {
		steps = append(steps, Step{Count: 1, Estimate: time.Second, After: []int{i}})
	}
	return steps
}

// Guards against a row that grows with the occurrences of a job until the store refuses it: three bytes
// for each step of each occurrence, whether it had begun or not.
func TestProgressDoesNotGrowWithTheOccurrences(t *testing.T) {
	const repeat = 5000
	first := time.Unix(1e9, 0)
	b := NewRegistry()
	j := b.Add(hourly("1", first, repeat, chain()...), 0)
	size := func() int {
		value, err := EncodeProgress(j)
		require.NoError(t, err)
		return len(value)
	}
	require.Less(t, size(), 200, "nothing has begun")
	finish := func(occurrence, step int) {
		x := b.Task(TaskName{j.ID, occurrence, step, 0})
		b.Order(x, x.NextRun(1), "m", 0)
		b.Finish(x, x.Run, "m", EndDone, "", 1, 0)
	}
	for k := range repeat - 1 {
		j.OpenSteps(first.Add(time.Duration(k)*time.Hour), 0)
		for i := range 4 {
			if k != 1000 || i < 2 {
				finish(k, i)
			}
		}
	}
	require.Less(t, size(), 200, "one occurrence has not ended and one has not begun")

	value, err := EncodeProgress(j)
	require.NoError(t, err)
	next := NewRegistry()
	k := next.Add(j.Accepted, 0)
	require.NoError(t, next.Restore(k, value))
	for _, x := range []struct {
		occurrence, step int
		done             bool
	}{{0, 3, true}, {999, 3, true}, {1000, 1, true}, {1000, 2, false}, {1001, 0, true}, {repeat - 2, 3, true}, {repeat - 1, 0, false}} {
		require.Equal(t, x.done, next.Task(TaskName{j.ID, x.occurrence, x.step, 0}).Phase == Done, "%v", x)
	}
}

// Guards against a row of failed runs that the store refuses: 18 bytes for each task.
func TestProgressOfManyFailedTasksFitsARow(t *testing.T) {
	b := NewRegistry()
	j := b.Add(accepted("1", Step{Count: MaxTasks}), 0)
	for n := range MaxTasks {
		x := b.Task(TaskName{j.ID, 0, 0, n})
		for run := range 1 + n%3 {
			b.Order(x, 2001+run, "m", 0)
			b.Finish(x, x.Run, "m", EndFailed, "", 9, 0)
		}
	}
	value, err := EncodeProgress(j)
	require.NoError(t, err)
	require.Less(t, len(value), DefaultRowBytes/2)
	next := NewRegistry()
	k := next.Add(j.Accepted, 0)
	require.NoError(t, next.Restore(k, value))
	for n := range MaxTasks {
		name := TaskName{j.ID, 0, 0, n}
		require.Equal(t, b.Task(name).FailedRuns, next.Task(name).FailedRuns)
		require.Equal(t, b.Task(name).Run, next.Task(name).Run)
	}
}

// Guards against progress of earlier versions that is not understood after an upgrade: they list the
// steps of all occurrences one after the other.
func TestProgressOfEarlierVersionsIsRestored(t *testing.T) {
	b := NewRegistry()
	j := b.Add(hourly("1", time.Unix(1e9, 0), 3, chain()...), 0)
	require.NoError(t, b.Restore(j, []byte(`{"d":["01","01","01","01","01","01","","","","","",""],"f":{"1.2.0":[5]}}`)))
	require.Equal(t, Done, b.Task(TaskName{j.ID, 1, 1, 0}).Phase)
	require.Equal(t, []int{5}, b.Task(TaskName{j.ID, 1, 2, 0}).FailedRuns)
	require.Equal(t, Waiting, b.Task(TaskName{j.ID, 2, 0, 0}).Phase)
}

// Guards against a valid job whose row the store refuses: 260 steps with long lists of steps before them.
func TestRowOfAJobWithLongDependenciesFits(t *testing.T) {
	a := accepted("", densestSteps(260)...)
	value, err := EncodeAccepted(a, DefaultRowBytes)
	require.NoError(t, err)
	require.LessOrEqual(t, len(value), DefaultRowBytes)
	got, err := DecodeAccepted(value)
	require.NoError(t, err)
	require.Equal(t, a, got)

	small := accepted("", Step{Count: 1})
	value, err = EncodeAccepted(small, DefaultRowBytes)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(value), "{"), "read by earlier versions too")
	_, err = EncodeAccepted(a, 1000)
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = DecodeAccepted([]byte("\x1f\x8b\x08"))
	require.ErrorIs(t, err, ErrRecord)
}

// Guards against a coordinator that accepts jobs beyond its memory because due jobs count as little as
// those that wait, and against a count that keeps what ended jobs took, so that nothing is accepted later.
func TestMemoryOfDueJobsIsCounted(t *testing.T) {
	b := NewRegistry()
	a := accepted("1", chain()...)
	a.Spec.Steps[0].Count = 8
	j := b.Add(a, 0)
	j.OpenSteps(time.Time{}, 0)
	untouched := b.MemoryBytes()
	require.Greater(t, untouched, j.Spec.MemoryBytes())
	for _, s := range j.LiveSteps() {
		s.AllTasks()
	}
	require.Greater(t, b.MemoryBytes(), untouched)
	require.Equal(t, j.Spec.DueBytes(), b.MemoryBytes())
	b.Cancel(j, 0)
	require.Zero(t, b.MemoryBytes())

	first := time.Unix(1e9, 0)
	repeated := b.Add(hourly("2", first, 3, Step{Count: 2}), 0)
	waiting := b.MemoryBytes()
	require.Equal(t, repeated.Spec.MemoryBytes(), waiting)
	for k := range 2 {
		b.CreateDue(first.Add(time.Duration(k)*time.Hour), 0)
		repeated.OpenSteps(first.Add(time.Duration(k)*time.Hour), 0)
		for i := range 2 {
			x := b.Task(TaskName{repeated.ID, k, 0, i})
			x.Hold()
			b.Order(x, x.NextRun(1), "m", 0)
			require.Greater(t, b.MemoryBytes(), waiting)
			b.Finish(x, x.Run, "m", EndDone, "", 1, 0)
			x.Release()
		}
		require.Equal(t, waiting, b.MemoryBytes(), "an occurrence that has ended takes nothing")
	}
	b.Remove("2")
	require.Zero(t, b.MemoryBytes())
}

// Guards against a count that refuses ordinary jobs: thousands of open jobs of a few steps must fit into the
// share of a VM of 184 MB that is for accepted jobs.
func TestMemoryOfOrdinaryJobsFits(t *testing.T) {
	const open, limit = 2000, 184 * 15 / 100 << 20
	b := NewRegistry()
	for i := range open {
		a := accepted(ID(fmt.Sprintf("%016x", i)), Step{Count: 8, Estimate: time.Second}, Step{Count: 8, Estimate: time.Second, After: []int{0}})
		j := b.Add(a, 0)
		j.OpenSteps(time.Time{}, 0)
		for _, s := range j.LiveSteps() {
			s.AllTasks()
		}
	}
	many := accepted("", make([]Step, MaxTasks)...)
	for i := range many.Spec.Steps {
		many.Spec.Steps[i].Count = 1
	}
	wide := accepted("", Step{Count: MaxTasks})
	t.Logf("%d jobs of 2 steps of 8 tasks: %d bytes of %d; a job of %d steps: %d, of one step of as many tasks: %d", open, b.MemoryBytes(), limit, MaxTasks,
		many.Spec.DueBytes(), wide.Spec.DueBytes())
	require.Less(t, b.MemoryBytes(), int64(limit)/2)
}
