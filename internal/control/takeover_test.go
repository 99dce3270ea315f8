package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/upstream"
)

// acquireUpTo acquires permits through a node until one is refused or may not be used, or
// the limit is reached. It starts the jobs of the permits on their minions.
func (cl *cluster) acquireUpTo(entry model.EntryVM, limit int) []*model.Permit {
	cl.t.Helper()
	var out []*model.Permit
	for len(out) < limit {
		p, _ := cl.acquire(entry, "t", 200*time.Millisecond)
		if p == nil {
			break
		}
		if cl.nodes[entry].control.CheckPermit(p, "key-t") != model.ReasonNone {
			cl.nodes[entry].control.Release(p, peer.AttemptUnused)
			break
		}
		cl.startJob(p)
		out = append(out, p)
	}
	return out
}

// Guards against slots that are granted twice because a new coordinator does not know the
// permits of its predecessor.
func TestPermitsRebuiltAfterTakeover(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.startServing(4, 100)
		followers := cl.otherNodes(old)
		first := cl.acquireUpTo(followers[0], 3)
		require.Len(t, first, 3)
		cl.nodes[old].kill()
		next := cl.awaitCoordinator("a", 3*time.Second)
		s, err := cl.nodes[next].control.CoordinatorStatus(cl.t.Context())
		require.NoError(t, err)
		require.Len(t, s.Permits, 3)
		// Two minions with four slots each and three permits have five free slots.
		require.Len(t, cl.acquireUpTo(followers[1], 100), 5)
		cl.nodes[followers[0]].control.Release(first[0], peer.AttemptOK)
		cl.advance(50 * time.Millisecond)
		require.Len(t, cl.acquireUpTo(followers[1], 100), 1)
	})
}

// Guards against a team that exceeds its limit because the entry VM that holds its permits
// does not answer the new coordinator.
func TestTeamLimitAcrossTakeover(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 4}, func(cl *cluster) {
		old := cl.startServing(8, 4)
		followers := cl.otherNodes(old)
		silent := followers[2]
		require.Len(t, cl.acquireUpTo(silent, 3), 3)
		cl.nodes[silent].pause()
		cl.nodes[old].kill()
		next := cl.awaitCoordinator("a", 5*time.Second)
		require.Len(t, cl.acquireUpTo(next, 100), 1, "three of four are running")
		cl.nodes[silent].resume()
		cl.advance(2 * time.Second)
		require.Empty(t, cl.acquireUpTo(next, 100))
		s, err := cl.nodes[next].control.CoordinatorStatus(cl.t.Context())
		require.NoError(t, err)
		require.Len(t, s.Permits, 4, "the permits are known again")
	})
}

// Guards against waiting requests that are lost when their coordinator dies.
func TestWaitingRequestFollowsCoordinator(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.startServing(1, 100)
		followers := cl.otherNodes(old)
		held := cl.acquireUpTo(followers[0], 2)
		require.Len(t, held, 2)
		got := make(chan *model.Permit, 1)
		go func() {
			p, _ := cl.acquire(followers[1], "t", 20*time.Second)
			got <- p
		}()
		cl.advance(100 * time.Millisecond)
		cl.nodes[old].kill()
		cl.awaitCoordinator("a", 3*time.Second)
		cl.mu.Lock()
		cl.running = map[string][]upstream.RunningJob{}
		cl.mu.Unlock()
		cl.nodes[followers[0]].control.Release(held[0], peer.AttemptOK)
		require.NotNil(t, <-got)
	})
}
