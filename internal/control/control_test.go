package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// inBubble runs a test on a cluster with simulated time.
func inBubble(t *testing.T, counts map[model.DataCentre]int, f func(cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, counts)
		defer cl.stopAll()
		f(cl)
	})
}

// Guards against a data centre that elects two coordinators, or none, or whose permits
// cannot be used at another entry VM.
func TestElectDistributeGrant(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		cl.site("v1", 8, map[model.Team]int{"t": 100})
		cl.startAll()
		cl.coordinator("a", 3*time.Second)
		_, err := cl.apply("a-1", "v1", 0)
		require.NoError(t, err)
		cl.inForce(1, 3*time.Second, "a-1", "a-2")
		cl.wait(100 * time.Millisecond)
		for _, at := range []model.EntryVM{"a-1", "a-2"} {
			p, reason := cl.acquire(at, "t", time.Second)
			require.NotNil(t, p, reason)
			require.Equal(t, model.ReasonNone, cl.nodes[at].c.CheckPermit(p, "key-t"))
			require.Equal(t, model.ReasonKeyWithdrawn, cl.nodes[at].c.CheckPermit(p, "key-u"))
			cl.nodes[at].c.Release(p, peer.AttemptOK)
			require.Equal(t, model.ReasonPermitExpired, cl.nodes[at].c.CheckPermit(p, "key-t"))
		}
		cl.wait(100 * time.Millisecond)
		s, err := cl.nodes[cl.coordinator("a", time.Second)].c.CoordinatorStatus(cl.t.Context())
		require.NoError(t, err)
		require.Empty(t, s.Permits)
	})
}
