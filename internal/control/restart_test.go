package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// panicOnLoop makes the control goroutine of a node panic.
func (n *node) panicOnLoop() {
	n.control.post(func() { panic("unexpected") })
}

// Guards against one message that ends the process, against a coordinator that goes on with state
// that may be half changed, and against a minion over its slots or a team over its limit after it.
func TestPanicOfTheCoordinatorHandsTheRoleOver(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.startServing(2, 3)
		held, reason := cl.acquire(old, "t", time.Second)
		require.NotNil(t, held, reason)
		cl.startJob(held)
		cl.nodes[old].panicOnLoop()
		panicked := time.Now()
		cl.advance(10 * time.Millisecond)
		require.Empty(t, cl.coordinators("a"))
		next := cl.awaitCoordinator("a", 2200*time.Millisecond)
		require.NotEqual(t, old, next)
		require.Less(t, time.Since(panicked), 2200*time.Millisecond)
		p, reason := cl.acquire(old, "t", time.Second)
		require.NotNil(t, p, "an entry VM that restarted its control state is served: %s", reason)
		require.Len(t, cl.acquireUpTo(next, 5), 1, "the limit of 3 counts the permit from before")
		require.Equal(t, next, cl.nodes[old].control.Snapshot().Coordinator)
		require.EqualValues(t, 1, cl.nodes[old].control.Snapshot().Site.Version, "the configuration stays in force")

		for _, p := range cl.peers {
			if p.Name != old {
				cl.nodes[p.Name].kill()
			}
		}
		require.Equal(t, old, cl.awaitCoordinator("a", 5*time.Second), "it takes the role again when it is needed")
	})
}

// Guards against an entry VM alone in its data centre that stays without coordinator.
func TestPanicOfTheOnlyEntryVM(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 1}, func(cl *cluster) {
		entry := cl.startServing(2, 3)
		before := cl.token(entry)
		for range 3 {
			cl.nodes[entry].panicOnLoop()
			cl.advance(10 * time.Millisecond)
			require.Empty(t, cl.coordinators("a"))
			require.Equal(t, entry, cl.awaitCoordinator("a", restartBackoff+time.Second))
		}
		require.True(t, before.Less(cl.token(entry)))
		p, reason := cl.acquire(entry, "t", time.Second)
		require.NotNil(t, p, reason)
	})
}

// Guards against a call that is never answered because its handling panicked, and against a flag
// that stays set because the call which it tracks did.
func TestPanicsAreAnsweredAndLeaveNoCallOpen(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		entry := cl.startServing(2, 3)
		c := cl.nodes[entry].control
		_, err := callOnLoop(cl.t.Context(), c, func() (int, error) { panic("x") })
		require.ErrorIs(t, err, ErrUnexpected)

		m := c.members[0]
		_, err = callOnLoop(cl.t.Context(), c, func() (int, error) {
			c.lease.writeInFlight, c.fleet.writeInFlight, m.registering, m.probing = true, true, true, true
			c.runAsync(time.Second, func(context.Context) func() { panic("x") })
			return 0, nil
		})
		require.NoError(t, err)
		cl.advance(10 * time.Millisecond)
		open, err := callOnLoop(cl.t.Context(), c, func() (bool, error) {
			return c.lease.writeInFlight || c.fleet.writeInFlight || m.registering || m.probing, nil
		})
		require.NoError(t, err)
		require.False(t, open)

		stale := false
		_, err = callOnLoop(cl.t.Context(), c, func() (int, error) {
			c.runAsync(time.Second, func(context.Context) func() {
				time.Sleep(100 * time.Millisecond)
				return func() { stale = true }
			})
			return 0, nil
		})
		require.NoError(t, err)
		cl.nodes[entry].panicOnLoop()
		cl.advance(200 * time.Millisecond)
		require.False(t, stale, "the end of a call from before the restart has no effect")
	})
}

// Guards against an Acquire that waits until its deadline after a panic, and against a graceful
// shutdown that does not return.
func TestPanicEndsPendingCalls(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 1}, func(cl *cluster) {
		entry := cl.startServing(1, 1)
		c := cl.nodes[entry].control
		held, reason := cl.acquire(entry, "t", time.Second)
		require.NotNil(t, held, reason)
		waiting := make(chan error, 1)
		go func() {
			_, err := c.Handler().Acquire(cl.t.Context(), &peer.Acquire{From: c.self, Attempt: 1, Wait: time.Minute, Request: model.Request{
				Job: model.NewJobID(time.Now(), entry), Queue: "quotes", Team: "t", KeyID: "key-t", Deadline: time.Now().Add(time.Minute)}})
			waiting <- err
		}()
		cl.advance(100 * time.Millisecond)
		cl.nodes[entry].panicOnLoop()
		cl.advance(100 * time.Millisecond)
		require.ErrorIs(t, <-waiting, peer.ErrNotCoordinator)

		done := make(chan struct{})
		c.post(func() {
			c.shutdownCalls[done] = struct{}{}
			panic("x")
		})
		cl.advance(10 * time.Millisecond)
		<-done
	})
}
