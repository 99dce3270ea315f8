package entry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// Guards against a coordinator whose process exceeds its memory because of the number of accepted jobs, and
// exceeds it again after each restart: no further job is accepted at any entry VM until some have ended. A
// job that was accepted before is not refused.
func TestNoJobIsAcceptedWhileTheBacklogIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 50
		waiting := newJob("")
		waiting.Spec.Repeat, waiting.Spec.FirstRun, waiting.Spec.Interval = 100, time.Now().Add(time.Hour), time.Hour
		tc := newLimitedCluster(t, 3, most*waiting.Spec.MemoryBytes())
		defer tc.stop()
		time.Sleep(3 * time.Second)
		id := func(i int) jobs.ID { return jobs.ID(fmt.Sprintf("%016x", i)) }
		node := func(i int) *Node { return tc.nodes[fmt.Sprint("e", i%3)] }
		accepted := 0
		var last site.Answer
		for i := range 2 * most {
			waiting.ID = id(i)
			if last = node(i).Submit(context.Background(), waiting); last.Err == nil {
				accepted++
			}
			time.Sleep(200 * time.Millisecond)
		}
		require.True(t, errors.Is(last.Err, site.ErrOverloaded), "%v", last.Err)
		require.Equal(t, site.ReasonFull, last.Reason)
		require.Positive(t, last.RetryAfter)
		require.GreaterOrEqual(t, accepted, most)
		require.Less(t, accepted, most+10, "the count is at most a second or two old")
		waiting.ID = id(0)
		for i := range 3 {
			require.NoError(t, node(i).Submit(context.Background(), waiting).Err, "accepted before")
		}
		for i := range 20 {
			require.NoError(t, node(0).Cancel(context.Background(), id(i)).Err)
		}
		time.Sleep(2 * time.Second)
		waiting.ID = id(1000)
		require.NoError(t, node(1).Submit(context.Background(), waiting).Err, "there is space again")
	})
}

// Guards against an entry VM without memory for a body that says a job is not accepted although an
// attempt at another entry VM has stored it.
func TestRefusalForLackOfMemoryIsTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newLimitedCluster(t, 3, 0)
		defer tc.stop()
		time.Sleep(3 * time.Second)
		a := newJob("5c0e7a21d94b36f8")
		require.NoError(t, tc.nodes["e1"].Submit(context.Background(), a).Err)
		// The check asks the coordinator, which learns of the job by an announcement.
		time.Sleep(100 * time.Millisecond)
		for _, n := range tc.nodes {
			require.NoError(t, n.Refuse(context.Background(), a.ID).Err, "accepted before")
			refused := n.Refuse(context.Background(), "00000000000000aa")
			require.ErrorIs(t, refused.Err, site.ErrOverloaded)
			require.GreaterOrEqual(t, refused.RetryAfter, time.Second)
			require.Equal(t, site.ReasonNoRoom, refused.Reason)
		}
	})
}

// Guards against a refusal that says a job is not accepted while an earlier attempt is still in the call
// of the store at the same entry VM, and against one that remains after that attempt has failed.
func TestNoRefusalWhileAnAttemptIsBeingStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		time.Sleep(4 * time.Second)
		n := tc.otherThan(tc.coordinator())
		n.attempts.begin(id1)
		require.ErrorIs(t, n.Refuse(t.Context(), id1).Err, site.ErrOutcomeUnknown)
		n.attempts.end(id1)
		require.ErrorIs(t, n.Refuse(t.Context(), id1).Err, site.ErrOverloaded)
		var during []site.Answer
		for name := range tc.nodes {
			tc.setFaults(name, false, refuseAll)
		}
		tc.setFaults(string(n.deps.Self.Entry), false, func(op string) fleet.Fault {
			if op == "commit" {
				during = append(during, n.Refuse(t.Context(), id1))
			}
			return fleet.Refuse
		})
		require.ErrorIs(t, n.Submit(t.Context(), newJob(id1)).Err, site.ErrUnavailable)
		require.NotEmpty(t, during)
		for _, a := range during {
			require.ErrorIs(t, a.Err, site.ErrOutcomeUnknown)
		}
		require.ErrorIs(t, n.Refuse(t.Context(), id1).Err, site.ErrOverloaded, "it has certainly failed")
	})
}

// Guards against a refusal that says a job is not accepted although another entry VM may have stored it,
// because the coordinator did not answer, and against jobs that are not stored for that reason.
func TestNoRefusalWithoutTheCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		time.Sleep(4 * time.Second)
		n := tc.otherThan(tc.coordinator())
		tc.mu.Lock()
		tc.answersLost[string(n.deps.Self.Entry)] = true
		tc.mu.Unlock()
		began := time.Now()
		require.ErrorIs(t, n.Refuse(t.Context(), id1).Err, site.ErrOutcomeUnknown)
		require.LessOrEqual(t, time.Since(began), attemptCheckTimeout)
		began = time.Now()
		require.NoError(t, n.Submit(t.Context(), newJob(id2)).Err)
		require.Less(t, time.Since(began), attemptCheckTimeout, "the coordinator is not asked")
	})
}

// Guards against a burst of jobs that all pass a count taken before them, so that the process exceeds its
// memory before the coordinator counts again.
func TestBurstBetweenTwoCountsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 10
		a := newJob("")
		a.Spec.Repeat, a.Spec.FirstRun, a.Spec.Interval = 100, time.Now().Add(time.Hour), time.Hour
		tc := newLimitedCluster(t, 3, most*a.Spec.MemoryBytes())
		defer tc.stop()
		time.Sleep(3 * time.Second)
		for name, n := range tc.nodes {
			accepted := 0
			for i := range 5 * most {
				a.ID = jobs.ID(fmt.Sprintf("%s%014x", name, i))
				if n.Submit(context.Background(), a).Err == nil {
					accepted++
				}
			}
			// Each entry VM knows of its own jobs only, until the next count.
			require.LessOrEqual(t, accepted, most+1, name)
		}
	})
}

// Guards against one job that takes the memory of the coordinator alone, and against a refusal of a job that
// another entry VM has accepted under a larger limit.
func TestJobThatTakesTooMuchMemoryIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := newJob("5c0e7a21d94b36f8")
		large.Spec.Steps[0].Count = 1000
		tc := newLimitedCluster(t, 3, 2*large.Spec.DueBytes()-2)
		defer tc.stop()
		time.Sleep(3 * time.Second)
		got := tc.nodes["e0"].Submit(context.Background(), large)
		require.ErrorIs(t, got.Err, site.ErrNotStorable)
		require.Equal(t, site.ReasonTooLarge, got.Reason)
		require.ErrorContains(t, got.Err, fmt.Sprintf("about %d bytes in memory, expected at most %d", large.Spec.DueBytes(), large.Spec.DueBytes()-1))
		small := newJob(large.ID)
		require.NoError(t, tc.nodes["e1"].Submit(context.Background(), small).Err)
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, tc.nodes["e0"].Submit(context.Background(), large).Err, "accepted before")
	})
}

// Guards against reservations that are kept after a job was not stored, or after the coordinator has counted
// it, which would end the acceptance for good.
func TestBacklogForgetsWhatIsCounted(t *testing.T) {
	var b backlog
	at := func(s int) countOfJobs { return countOfJobs{1, time.Duration(s) * time.Second} }
	require.True(t, b.reserve(10, at(1), 0, 9))
	require.False(t, b.reserve(10, at(1), 0, 9), "the first is being stored")
	b.settle(10, false)
	require.True(t, b.reserve(10, at(1), 0, 9))
	b.settle(10, true)
	require.False(t, b.reserve(10, at(1), 0, 9))
	require.False(t, b.reserve(10, at(2), 0, 9), "the count may not contain it")
	require.False(t, b.reserve(10, at(3), 10, 9), "counted")
	require.True(t, b.reserve(10, at(3), 0, 9), "ended")
}

// Guards against a few large jobs that take all memory for jobs, so that ordinary ones are refused.
func TestLargeJobsLeaveMemoryForOthers(t *testing.T) {
	const limit = 16 << 20
	var b backlog
	c := countOfJobs{1, time.Second}
	require.True(t, b.reserve(limit/2, c, 0, limit))
	require.False(t, b.reserve(limit/2, c, 0, limit))
	require.True(t, b.reserve(limit/4, c, 0, limit))
	for range limit / 4 / smallJob {
		require.True(t, b.reserve(smallJob, c, 0, limit))
	}
	require.False(t, b.reserve(smallJob+1, c, 0, limit))
	require.True(t, b.reserve(1, c, 0, limit), "the limit is reached, not exceeded")
	require.False(t, b.reserve(1, c, 0, limit))
}
