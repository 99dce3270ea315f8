package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// Guards against slots that stay occupied for the maximum run time of a request, because a new
// coordinator counts the permits of a process that ended during its takeover as permits of the
// process that now runs under the same name, and against slots that are granted twice while jobs
// of the ended process still run.
func TestPermitsOfProcessThatEndsDuringTakeover(t *testing.T) {
	for name, restarted := range map[string]bool{"restarted": true, "gone": false} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[model.DataCentre]int{"a": 4}, func(cl *cluster) {
				old := cl.startServing(4, 100)
				followers := cl.otherNodes(old)
				next, silent, holder := followers[0], followers[1], followers[2]
				held := cl.acquireUpTo(holder, 8)
				require.Len(cl.t, held, 8)
				cl.nodes[holder].cutFromStore.Store(true) // it does not take over
				// The takeover waits for an entry VM that has sent messages until now.
				cl.nodes[silent].pause()
				cl.nodes[old].kill()
				cl.eventually(3*time.Second, func() bool { return cl.takeoverPermits(next) == 8 }, "permits not reported")
				cl.nodes[holder].kill()
				for _, p := range held[:5] {
					cl.finishJob(p) // the other jobs go on without the holder's connections
				}
				if restarted {
					cl.start(holder)
				}
				require.Equal(cl.t, next, cl.awaitCoordinator("a", 3*time.Second))
				cl.advance(time.Second)
				require.Len(cl.t, cl.acquireUpTo(next, 100), 5)
			})
		})
	}
}

// takeoverPermits returns the number of permits that a node has received in the registration
// phase of its takeover, or -1 if it is in none.
func (cl *cluster) takeoverPermits(name model.EntryVM) int {
	cl.t.Helper()
	c := cl.nodes[name].control
	n, err := callOnLoop(cl.t.Context(), c, func() (int, error) {
		if c.takeover == nil {
			return -1, nil
		}
		return len(c.takeover.permits), nil
	})
	require.NoError(cl.t, err)
	return n
}

// Guards against a coordinator that grants on after a pause while another one serves, because what
// it knew of an entry VM's earlier process counts for the next one: that it was gone, so that no
// confirmation is needed.
func TestPausedHolderAndNextProcessOfMember(t *testing.T) {
	for name, heard := range map[string]bool{"not heard of": false, "heard of, has not confirmed": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[model.DataCentre]int{"a": 2, "b": 1}, func(cl *cluster) {
				old := cl.startServing(4, 100)
				other := cl.otherNodes(old)[0]
				cl.addSite("v2", 4, map[model.Team]int{"t": 100})
				// Otherwise the old holder would reject keys, because it knows that its configuration may be out of date.
				cl.sites["v2"].Isolation.Keys = config.KeysServe
				_, err := cl.apply(old, "v2", 1)
				require.NoError(cl.t, err)
				cl.awaitConfig(2, 3*time.Second, old, other)
				cl.nodes[other].kill()
				cl.advance(2 * time.Second)
				cl.nodes[old].cutFromStore.Store(true)
				for range 300 {
					cl.advance(10 * time.Millisecond)
					require.Equal(cl.t, []model.EntryVM{old}, cl.coordinators("a"), "it serves alone without the table")
				}
				if heard {
					cl.setDropMessages(func(from, to model.EntryVM) bool { return from == old && to == other })
					cl.start(other)
					alive := func() bool { return cl.nodes[old].control.Snapshot().Peers[other].Status == MemberAlive }
					cl.eventually(time.Second, alive, "new process not heard of")
				}
				cl.nodes[old].pause()
				cl.setDropMessages(nil)
				if !heard {
					cl.start(other)
				}
				require.Equal(cl.t, other, cl.awaitCoordinator("a", 3*time.Second))
				require.Len(cl.t, cl.acquireUpTo(other, 100), 8)
				first := make(chan *model.Permit, 1)
				go func() {
					p, _ := cl.acquire(old, "t", time.Second)
					if p != nil && cl.nodes[old].control.CheckPermit(p, "key-t") != model.ReasonNone {
						p = nil
					}
					first <- p
				}()
				cl.advance(100 * time.Millisecond) // now it waits for the paused control goroutine
				cl.nodes[old].resume()
				require.Nil(cl.t, <-first, "all slots are in use")
			})
		})
	}
}

// Guards against a coordinator that gives up its role without the table because an entry VM restarts.
func TestRestartOfMemberWithoutTable(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3, "b": 1}, func(cl *cluster) {
		old := cl.startServing(4, 100)
		cl.store.setDown(true)
		cl.advance(3 * time.Second)
		other := cl.otherNodes(old)[0]
		for _, down := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
			cl.nodes[other].kill()
			cl.advance(down)
			cl.start(other)
			for range 400 {
				cl.advance(10 * time.Millisecond)
				require.Equal(cl.t, []model.EntryVM{old}, cl.coordinators("a"))
			}
		}
	})
}

// Guards against a data centre without a coordinator, because the restarted process of its
// coordinator confirms the role that the process before it had, and cannot take it itself.
func TestQuickRestartOfCoordinatorCutFromTable(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.startServing(8, 100)
		if lowest := cl.peers[0].Name; old == lowest { // the lowest name could take the role without the table
			cl.nodes[old].kill()
			old = cl.awaitCoordinator("a", 3*time.Second)
			cl.start(lowest)
			cl.advance(time.Second)
			require.Equal(cl.t, []model.EntryVM{old}, cl.coordinators("a"))
		}
		cl.nodes[old].cutFromStore.Store(true)
		cl.nodes[old].kill()
		cl.start(old) // before connections to it are refused
		next := cl.awaitCoordinator("a", 2200*time.Millisecond)
		require.NotEqual(cl.t, old, next)
		for _, p := range cl.peers {
			permit, reason := cl.acquire(p.Name, "t", time.Second)
			require.NotNil(cl.t, permit, reason)
		}
	})
}
