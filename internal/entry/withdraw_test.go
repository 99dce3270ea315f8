package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/coordinator"
	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// firstCommit returns faults of which the first commit has the given one and all other calls have none.
func firstCommit(f fleet.Fault) func(string) fleet.Fault {
	var begun atomic.Bool
	return func(op string) fleet.Fault {
		if op == "commit" && begun.CompareAndSwap(false, true) {
			return f
		}
		return fleet.None
	}
}

// leaveBeforeAnswer submits a job whose caller leaves after 70 ms. The write that stores it is performed 2 s later.
func (tc *testCluster) leaveBeforeAnswer(n *Node, id jobs.ID) {
	tc.setFaults(string(n.deps.Self.Entry), false, firstCommit(fleet.Late))
	ctx, cancel := context.WithTimeout(context.Background(), 70*time.Millisecond)
	defer cancel()
	require.ErrorIs(tc.t, n.Submit(ctx, newJob(id)).Err, site.ErrOutcomeUnknown)
	tc.setFaults(string(n.deps.Self.Entry), false, nil)
}

// Guards against a job that runs although its cancellation was answered with "no such job": the write that stores
// it is performed seconds later. The entry VM that sent the write may have ended, with or without a notice.
func TestJobDoesNotRunAfterItsCancellationWasAnswered(t *testing.T) {
	for name, lost := range map[string]func(tc *testCluster, n *Node){
		"none":                                    func(*testCluster, *Node) {},
		"the entry VM of the attempt":             func(tc *testCluster, n *Node) { n.Stop(); delete(tc.nodes, string(n.deps.Self.Entry)) },
		"the notices of the attempt":              func(tc *testCluster, _ *Node) { tc.forgetAttempts() },
		"the answer to the withdrawal":            func(tc *testCluster, _ *Node) { tc.setFaults("e1", false, firstCommit(fleet.Lose)) },
		"the answer to a withdrawal that is late": func(tc *testCluster, _ *Node) { tc.setFaults("e1", false, firstCommit(fleet.Late)) },
	} {
		t.Run("lost: "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t, 3)
				defer tc.stop()
				time.Sleep(4 * time.Second)
				tc.leaveBeforeAnswer(tc.nodes["e0"], id1)
				lost(tc, tc.nodes["e0"])
				ctx, cancel := context.WithTimeout(context.Background(), 2850*time.Millisecond)
				defer cancel()
				require.ErrorIs(t, tc.nodes["e1"].Cancel(ctx, id1).Err, site.ErrJobNotFound)
				time.Sleep(8 * time.Second)
				require.Zero(t, tc.minions.Starts(string(id1)+".0.0.0"))
				for name, n := range tc.nodes {
					require.ErrorIs(t, n.State(context.Background(), id1).Err, site.ErrJobNotFound, name)
					require.ErrorIs(t, n.Cancel(context.Background(), id1).Err, site.ErrJobNotFound, name)
				}
			})
		})
	}
}

// forgetAttempts empties the memory of attempts of all entry VMs, as if no notice had arrived.
func (tc *testCluster) forgetAttempts() {
	for _, n := range tc.nodes {
		n.attempts.mu.Lock()
		n.attempts.current, n.attempts.previous = nil, nil
		n.attempts.mu.Unlock()
	}
}

// Guards against a job that is stored while it is being withdrawn, and is then not cancelled.
func TestJobThatIsStoredDuringItsWithdrawalIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		tc.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return time.Minute, jobs.EndDone })
		time.Sleep(4 * time.Second)
		value, err := jobs.EncodeAccepted(newJob(id1), jobs.DefaultRowBytes)
		require.NoError(t, err)
		stores := sync.OnceFunc(func() { tc.store.Put(coordinator.JobKey(id1), value) })
		tc.setFaults("e1", false, func(op string) fleet.Fault {
			if op == "commit" {
				stores()
			}
			return fleet.None
		})
		require.NoError(t, tc.nodes["e1"].Cancel(context.Background(), id1).Err)
		time.Sleep(2 * time.Second)
		require.Equal(t, jobs.StateCancelled, tc.nodes["e2"].State(context.Background(), id1).State)
		require.Empty(t, tc.minions.Running(string(id1)+".0.0.0"))
	})
}

// Guards against a withdrawn job that counts as accepted when it is submitted again, also at a new coordinator, and
// against withdrawals that are kept for good, or in the way of a later job with the id.
func TestSubmissionOfAWithdrawnJobIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		time.Sleep(4 * time.Second)
		require.ErrorIs(t, tc.nodes["e1"].Cancel(context.Background(), id1).Err, site.ErrJobNotFound)
		rejected := func() {
			for name, n := range tc.nodes {
				a := n.Submit(context.Background(), newJob(id1))
				require.ErrorIs(t, a.Err, site.ErrWithdrawn, name)
				require.Greater(t, a.RetryAfter, time.Minute)
				require.ErrorIs(t, n.State(context.Background(), id1).Err, site.ErrJobNotFound, name)
			}
		}
		rejected()
		time.Sleep(time.Second)
		rejected()
		first := tc.coordinator()
		tc.setFaults(first, true, refuseAll)
		time.Sleep(8 * time.Second)
		tc.setFaults(first, false, nil)
		time.Sleep(4 * time.Second)
		require.NotEqual(t, first, tc.coordinator())
		rejected()
		time.Sleep(2 * time.Minute)
		require.Zero(t, tc.store.Row(coordinator.JobKey(id1)).Version)
		require.NoError(t, tc.nodes["e2"].Submit(context.Background(), newJob(id1)).Err)
		time.Sleep(4 * time.Second)
		require.Equal(t, jobs.StateCompleted, tc.nodes["e1"].State(context.Background(), id1).State)
	})
}
