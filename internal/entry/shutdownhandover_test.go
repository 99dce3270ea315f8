package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/standins/fleet"
)

// Guards against a handover whose successor is not announced, because a shutdown that does not wait for it ends
// the term.
func TestImpatientShutdownLetsAHandoverAnnounceItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, log := newCutSite(t)
		defer tc.stop()
		tc.cut(true)
		for log.count("Coordinator: handing over") == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		term := tc.nodes["a1"].term.Load()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		tc.nodes["a1"].BeginShutdown(ctx)
		time.Sleep(time.Second)
		require.Equal(t, 1, log.count("Coordinator: lease released."))
		require.NotEmpty(t, tc.coordinatorOtherThan("a1"))
		require.Error(t, term.Wait())
	})
}

// Guards against a read that counts as successful, and so makes an entry VM the successor, although it panicked.
func TestReadThatPanicsIsNoSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		time.Sleep(3 * time.Second)
		n := tc.otherThan(tc.coordinator())
		name := string(n.deps.Self.Entry)
		tc.setFaults(name, false, func(string) fleet.Fault { panic("unexpected") })
		require.Panics(t, n.readStoreDirectly)
		tc.setFaults(name, false, nil)
		n.probe.mu.Lock()
		defer n.probe.mu.Unlock()
		require.False(t, n.probe.ok)
		require.Zero(t, n.probe.succeededAt)
	})
}
