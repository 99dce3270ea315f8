package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/upstream"
)

// fill takes permits through a node until one is refused or may not be used. Jobs of
// usable permits run on their minion.
func (cl *cluster) fill(at model.EntryVM, limit int) []*model.Permit {
	cl.t.Helper()
	var out []*model.Permit
	for len(out) < limit {
		p, _ := cl.acquire(at, "t", 200*time.Millisecond)
		if p == nil {
			break
		}
		if cl.nodes[at].c.CheckPermit(p, "key-t") != model.ReasonNone {
			cl.nodes[at].c.Release(p, peer.AttemptUnused)
			break
		}
		cl.run(p)
		out = append(out, p)
	}
	return out
}

// Guards against slots that are granted twice because a new coordinator does not know
// the permits of the one before.
func TestPermitsRebuiltAfterTakeover(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.serving(4, 100)
		f := cl.others(old)
		first := cl.fill(f[0], 3)
		require.Len(t, first, 3)
		cl.nodes[old].kill()
		next := cl.coordinator("a", 3*time.Second)
		s, err := cl.nodes[next].c.CoordinatorStatus(cl.t.Context())
		require.NoError(t, err)
		require.Len(t, s.Permits, 3)
		// Two minions of four slots have five left.
		require.Len(t, cl.fill(f[1], 100), 5)
		cl.nodes[f[0]].c.Release(first[0], peer.AttemptOK)
		cl.wait(50 * time.Millisecond)
		require.Len(t, cl.fill(f[1], 100), 1)
	})
}

// Guards against a team above its limit when the entry VM that holds its permits does
// not answer the new coordinator.
func TestTeamLimitOverTakeover(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 4}, func(cl *cluster) {
		old := cl.serving(8, 4)
		f := cl.others(old)
		silent := f[2]
		require.Len(t, cl.fill(silent, 3), 3)
		cl.nodes[silent].pause()
		cl.nodes[old].kill()
		next := cl.coordinator("a", 5*time.Second)
		require.Len(t, cl.fill(next, 100), 1, "three of four are running")
		cl.nodes[silent].resume()
		cl.wait(2 * time.Second)
		require.Empty(t, cl.fill(next, 100))
		s, err := cl.nodes[next].c.CoordinatorStatus(cl.t.Context())
		require.NoError(t, err)
		require.Len(t, s.Permits, 4, "the permits are known again")
	})
}

// Guards against waiting requests that are lost with their coordinator.
func TestWaitingRequestFollowsCoordinator(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.serving(1, 100)
		f := cl.others(old)
		held := cl.fill(f[0], 2)
		require.Len(t, held, 2)
		got := make(chan *model.Permit, 1)
		go func() {
			p, _ := cl.acquire(f[1], "t", 20*time.Second)
			got <- p
		}()
		cl.wait(100 * time.Millisecond)
		cl.nodes[old].kill()
		cl.coordinator("a", 3*time.Second)
		cl.mu.Lock()
		cl.running = map[string][]upstream.RunningJob{}
		cl.mu.Unlock()
		cl.nodes[f[0]].c.Release(held[0], peer.AttemptOK)
		require.NotNil(t, <-got)
	})
}
