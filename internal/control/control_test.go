package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// inBubble runs a test on a cluster in a synctest bubble, that is, with simulated time.
func inBubble(t *testing.T, counts map[model.DataCentre]int, f func(cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, counts)
		defer cl.stopAll()
		f(cl)
	})
}

// Guards against a data centre that elects two coordinators or none, and against permits
// that cannot be used at every entry VM.
func TestElectionConfigurationAndPermits(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		cl.addSite("v1", 8, map[model.Team]int{"t": 100})
		cl.startAll()
		cl.awaitCoordinator("a", 3*time.Second)
		_, err := cl.apply("a-1", "v1", 0)
		require.NoError(t, err)
		cl.awaitConfig(1, 3*time.Second, "a-1", "a-2")
		cl.advance(100 * time.Millisecond)
		for _, entry := range []model.EntryVM{"a-1", "a-2"} {
			p, reason := cl.acquire(entry, "t", time.Second)
			require.NotNil(t, p, reason)
			require.Equal(t, model.ReasonNone, cl.nodes[entry].control.CheckPermit(p, "key-t"))
			require.Equal(t, model.ReasonKeyWithdrawn, cl.nodes[entry].control.CheckPermit(p, "key-u"))
			cl.nodes[entry].control.Release(p, peer.AttemptOK)
			require.Equal(t, model.ReasonPermitExpired, cl.nodes[entry].control.CheckPermit(p, "key-t"))
		}
		cl.advance(100 * time.Millisecond)
		s, err := cl.nodes[cl.awaitCoordinator("a", time.Second)].control.CoordinatorStatus(cl.t.Context())
		require.NoError(t, err)
		require.Empty(t, s.Permits)
	})
}
