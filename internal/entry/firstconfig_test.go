package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/peer"
	"boragepulley/standins/fleet"
)

// Guards against a withdrawn key that is in use again after a restart: the coordinator has an older
// configuration than the store, and its heartbeat arrives before the new process has read the store. Without
// the store the coordinator's configuration is used.
func TestRestartedEntryReadsTheStoreFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 2)
		defer tc.stop()
		time.Sleep(3 * time.Second)
		name := tc.coordinator()
		tc.setFaults("e2", false, func(op string) fleet.Fault {
			if op == "read" {
				return fleet.Lose
			}
			return fleet.None
		})
		n := tc.start("e2")
		heartbeat := &peer.CoordinatorHeartbeat{From: tc.nodes[name].deps.Self, Addr: name, Epoch: tc.nodes[name].term.Load().Epoch(), Config: 1}
		time.Sleep(100 * time.Millisecond)
		_, err := n.Handler().CoordinatorHeartbeat(context.Background(), heartbeat)
		require.NoError(t, err)
		time.Sleep(100 * time.Millisecond)
		require.Nil(t, n.Config(), "the first read of the store has not ended")
		time.Sleep(2 * time.Second)
		_, err = n.Handler().CoordinatorHeartbeat(context.Background(), heartbeat)
		require.NoError(t, err)
		time.Sleep(100 * time.Millisecond)
		require.NotNil(t, n.Config())
	})
}
