package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// submitWithLostAnswer submits a job while the commits of an entry VM have the given fault and all
// its reads fail, so that the outcome stays unknown.
func (tc *testCluster) submitWithLostAnswer(n *Node, id jobs.ID, f fleet.Fault) {
	tc.setFaults(string(n.deps.Self.Entry), false, func(op string) fleet.Fault {
		if op == "commit" {
			return f
		}
		return fleet.Refuse
	})
	for name := range tc.nodes {
		if name != string(n.deps.Self.Entry) {
			tc.setFaults(name, false, refuseAll)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	require.ErrorIs(tc.t, n.Submit(ctx, newJob(id)).Err, site.ErrOutcomeUnknown)
	tc.setFaults(string(n.deps.Self.Entry), false, refuseAll)
}

// Guards against a caller that is told that its job never runs although an earlier attempt, at the
// same entry VM or at another one, has stored it or will: its outcome was unknown.
func TestNoRejectionAfterAnUncertainAttempt(t *testing.T) {
	for _, same := range []bool{true, false} {
		t.Run(fmt.Sprint("same entry VM ", same), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t, 3)
				defer tc.stop()
				time.Sleep(4 * time.Second)
				first := tc.nodes["e0"]
				second := tc.nodes["e1"]
				if same {
					second = first
				}
				tc.submitWithLostAnswer(first, id1, fleet.Late)
				require.ErrorIs(t, second.Submit(context.Background(), newJob(id1)).Err, site.ErrOutcomeUnknown)
				require.ErrorIs(t, second.Submit(context.Background(), newJob(id2)).Err, site.ErrUnavailable, "an id without an earlier attempt is rejected")
				for name := range tc.nodes {
					tc.setFaults(name, false, nil)
				}
				time.Sleep(8 * time.Second)
				require.Equal(t, 1, tc.minions.Starts(string(id1)+".0.0.0"), "the first attempt is carried out late")
				require.Zero(t, tc.minions.Starts(string(id2)+".0.0.0"))
			})
		})
	}
}

// Guards against a caller that is told that its job never runs although it is stored and the
// coordinator knows it: its first request was accepted and the answer was lost, or it arrives again
// after the answer.
func TestNoRejectionOfAJobThatTheCoordinatorKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		tc.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return time.Minute, jobs.EndDone })
		time.Sleep(4 * time.Second)
		require.NoError(t, tc.nodes["e0"].Submit(context.Background(), newJob(id1)).Err)
		time.Sleep(500 * time.Millisecond)
		for name := range tc.nodes {
			tc.setFaults(name, false, refuseAll)
		}
		for name, n := range tc.nodes {
			require.NoError(t, n.Submit(context.Background(), newJob(id1)).Err, name)
			require.ErrorIs(t, n.Submit(context.Background(), newJob(id2)).Err, site.ErrUnavailable, name)
		}
	})
}

// Guards against a caller that is told that its job was not cancelled although the coordinator did it and
// only its answer was lost.
func TestCancelWithALostAnswerIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		tc.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return time.Minute, jobs.EndDone })
		time.Sleep(4 * time.Second)
		n := tc.otherThan(tc.coordinator())
		name := string(n.deps.Self.Entry)
		require.NoError(t, n.Submit(context.Background(), newJob(id1)).Err)
		time.Sleep(500 * time.Millisecond)
		tc.setFaults(name, false, refuseAll)
		tc.mu.Lock()
		tc.answersLost[name] = true
		tc.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		require.ErrorIs(t, n.Cancel(ctx, id1).Err, site.ErrOutcomeUnknown)
		require.Equal(t, jobs.StateCancelled, tc.nodes[tc.coordinator()].State(context.Background(), id1).State, "it was cancelled")
	})
}

// Guards against a refusal of a cancellation that a busy coordinator carries out after its caller
// has given up.
func TestLateCancelIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		tc.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return time.Minute, jobs.EndDone })
		time.Sleep(4 * time.Second)
		n := tc.otherThan(tc.coordinator())
		require.NoError(t, n.Submit(context.Background(), newJob(id1)).Err)
		time.Sleep(500 * time.Millisecond)
		tc.store.Put("servers/"+slowMinion, tc.minions.EntryRow("m"))
		time.Sleep(50 * time.Millisecond)
		for name := range tc.nodes {
			tc.setFaults(name, false, refuseAll)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		require.ErrorIs(t, n.Cancel(ctx, id1).Err, site.ErrOutcomeUnknown)
		for name := range tc.nodes {
			tc.setFaults(name, false, nil)
		}
		time.Sleep(slowDecoding)
		require.Equal(t, jobs.StateCancelled, tc.nodes[tc.coordinator()].State(context.Background(), id1).State, "it was cancelled")
	})
}

// Guards against attempts that are forgotten too early or never.
func TestAttemptsAreRememberedForAWhile(t *testing.T) {
	var a attempts
	a.record(id1, true, 0)
	a.record(id1, false, 0)
	a.record(id2, false, attemptTTL+1)
	stored, known := a.lookup(id1)
	require.True(t, stored && known)
	stored, known = a.lookup(id2)
	require.True(t, !stored && known)
	a.record("3", false, 2*attemptTTL+2)
	_, known = a.lookup(id1)
	require.False(t, known)
	for i := range 3 * maxAttempts {
		a.record(jobs.ID(fmt.Sprint("x", i)), false, 2*attemptTTL+2)
	}
	require.LessOrEqual(t, len(a.current)+len(a.previous), 2*maxAttempts)
}
