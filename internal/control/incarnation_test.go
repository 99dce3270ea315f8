package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
