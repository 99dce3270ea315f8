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
