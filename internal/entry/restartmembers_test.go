package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a restarted entry VM that is not ready while the store rejects its machine, although it is
// connected to others, because its coordinator sends the list of entry VMs only to the process before it.
func TestRestartedEntryVMWithoutStoreLearnsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		time.Sleep(5 * time.Second)
		name := string(tc.otherThan(tc.coordinator()).deps.Self.Entry)
		tc.setFaults(name, false, refuseAll)
		time.Sleep(5 * time.Second)
		require.NoError(t, tc.nodes[name].Submit(t.Context(), newJob(id1)).Err, "through others")
		tc.nodes[name].Stop()
		tc.start(name)
		time.Sleep(5 * time.Second)
		require.True(t, tc.nodes[name].Ready())
		require.NoError(t, tc.nodes[name].Submit(t.Context(), newJob(id2)).Err, "through others")
	})
}
