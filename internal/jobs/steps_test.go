package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// densestSteps returns n steps of which each depends on all earlier ones.
func densestSteps(n int) []Step {
	steps := make([]Step, n)
	for i := range steps {
		steps[i] = Step{Count: 1, Estimate: 50 * time.Millisecond}
		for a := range i {
			steps[i].After = append(steps[i].After, a)
		}
	}
	return steps
}

// Guards against a coordinator that one job stops for good: the longest chain of dependent steps was
// searched along every path, which takes 2^n calls for n steps that depend on all earlier ones.
func TestJobOfManyDependentStepsIsAddedAtOnce(t *testing.T) {
	added := make(chan *Job, 1)
	go func() { added <- NewRegistry().Add(accepted("1", densestSteps(260)...), 0) }()
	select {
	case j := <-added:
		require.Equal(t, 260*50*time.Millisecond, j.LongestChain())
	case <-time.After(30 * time.Second):
		require.Fail(t, "the job was not added")
	}
}

// Guards against estimates that overflow when they are added up: a negative chain made each deadline
// of the job pass at once.
func TestLongestChainDoesNotOverflow(t *testing.T) {
	s := Spec{Steps: []Step{{Count: 1, Estimate: 1 << 62}, {Count: 1, Estimate: 1 << 62, After: []int{0}}, {Count: 1, Estimate: 1, After: []int{1}}}}
	require.Equal(t, time.Duration(1<<63-1), s.CriticalPaths()[0])
}

// Guards against a critical path other than the longest one, and against steps that open before the
// steps that they depend on have ended, or do not open after that.
func TestStepsOpenInTheOrderOfTheirDependencies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := make([]Step, rapid.IntRange(1, 8).Draw(t, "steps"))
		for i := range steps {
			steps[i] = Step{Count: rapid.IntRange(1, 2).Draw(t, "count"), Estimate: time.Duration(rapid.IntRange(0, 9).Draw(t, "estimate"))}
			if i > 0 { // an entry may be there twice
				steps[i].After = rapid.SliceOfN(rapid.IntRange(0, i-1), 0, 3).Draw(t, "after")
			}
		}
		b := NewRegistry()
		j := b.Add(accepted("1", steps...), 0)
		var longest func(i int) time.Duration
		longest = func(i int) time.Duration {
			var after time.Duration
			for k := range steps {
				for _, a := range steps[k].After {
					if a == i {
						after = max(after, longest(k))
					}
				}
			}
			return steps[i].Estimate + after
		}
		for i := range steps {
			require.Equal(t, longest(i), j.CriticalPath(i))
		}
		for !j.State().Final() {
			j.OpenSteps(time.Time{}, 0)
			var waiting []*Task
			for i, s := range j.LiveSteps() {
				want := true
				for _, a := range steps[i].After {
					want = want && j.Step(0, a).Ended()
				}
				require.Equal(t, want, s.Open, "step %d", i)
				waiting = append(waiting, s.WaitingTasks()...)
			}
			require.NotEmpty(t, waiting)
			x := rapid.SampledFrom(waiting).Draw(t, "task")
			b.Order(x, x.NextRun(1), "m", 0)
			b.Finish(x, x.Run, "m", EndDone, "", 1, 0)
		}
		require.Empty(t, j.CurrentSteps())
		require.Equal(t, StateCompleted, j.State())
	})
}
