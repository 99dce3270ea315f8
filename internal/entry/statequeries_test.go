package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
)

// Guards against a call of the coordinator for each query of a caller: in a backlog 3,500 a second took
// a third of its processor, so that starts and acknowledgements waited for it.
func TestQueriesOfCallersShareCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 2)
		defer tc.stop()
		time.Sleep(2 * time.Second)
		n := tc.otherThan(tc.coordinator())
		ids := []jobs.ID{id1, id2}
		for i := range 500 {
			ids = append(ids, jobs.ID(fmt.Sprintf("%016x", 1000+i))) // these are unknown
		}
		require.NoError(t, n.Submit(t.Context(), newJob(id1)).Err)
		require.NoError(t, n.Submit(t.Context(), newJob(id2)).Err)
		time.Sleep(3 * time.Second)
		before := tc.stateCalls.Load()
		began := time.Now()
		require.Equal(t, jobs.StateCompleted, n.State(t.Context(), id1).State)
		require.Less(t, time.Since(began), 5*time.Millisecond, "a single query does not wait for others")
		var all sync.WaitGroup
		for i := range 1000 {
			all.Go(func() {
				a := n.State(context.Background(), ids[i%2])
				require.Equal(t, site.Answer{State: jobs.StateCompleted, Reason: site.ReasonCoordinator}, a)
			})
			time.Sleep(time.Millisecond)
		}
		all.Wait()
		require.LessOrEqual(t, tc.stateCalls.Load()-before, int64(time.Second/stateQueryGap)+3)
		for _, id := range ids { // more at once than one call asks for
			all.Go(func() {
				if a := n.State(context.Background(), id); id == id1 || id == id2 {
					require.Equal(t, jobs.StateCompleted, a.State)
				} else {
					require.ErrorIs(t, a.Err, site.ErrJobNotFound)
				}
			})
		}
		all.Wait()
	})
}

// Guards against queries that wait behind a call whose answer is lost.
func TestQueryWithoutAnswerHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 2)
		defer tc.stop()
		time.Sleep(2 * time.Second)
		n := tc.otherThan(tc.coordinator())
		require.NoError(t, n.Submit(t.Context(), newJob(id1)).Err)
		time.Sleep(3 * time.Second)
		lose := func(is bool) {
			tc.mu.Lock()
			defer tc.mu.Unlock()
			tc.answersLost[string(n.deps.Self.Entry)] = is
		}
		lose(true)
		go n.State(context.Background(), id2)
		time.Sleep(10 * time.Millisecond)
		lose(false)
		began := time.Now()
		require.Equal(t, site.Answer{State: jobs.StateCompleted, Reason: site.ReasonCoordinator}, n.State(t.Context(), id1))
		require.Less(t, time.Since(began), stateQueryStuck+10*time.Millisecond)
		time.Sleep(time.Second)
	})
}
