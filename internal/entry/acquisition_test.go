package entry

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/standins/fleet"
)

// Guards against two coordinators that give orders at the same time: an entry VM answers the heartbeat of the lease's
// holder, which the holder counts as a promise, while its own write that acquires the lease is still to be performed.
func TestEntryGivesNoPromiseWhileItMayAcquireTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 2)
		defer tc.stop()
		time.Sleep(4 * time.Second)
		holder := tc.coordinator()
		var begun atomic.Bool
		tc.setFaults(string(tc.otherThan(holder).deps.Self.Entry), false, func(op string) fleet.Fault {
			if op != "commit" {
				return fleet.None
			}
			begun.Store(true)
			return fleet.Lose
		})
		tc.setFaults(holder, true, refuseAll)
		for !begun.Load() {
			time.Sleep(time.Millisecond)
		}
		tc.setFaults(holder, false, refuseAll)
		for range 1000 {
			require.LessOrEqual(t, tc.orderers(), 1)
			time.Sleep(5 * time.Millisecond)
		}
		require.NotEqual(t, holder, tc.coordinator())
	})
}

// Guards against an acquisition that counts as over although its write may still take effect, or never as over.
func TestAcquisitionEndsWithALaterRow(t *testing.T) {
	var a acquisition
	require.False(t, a.mayFollow(7))
	require.False(t, a.begin(7))
	require.True(t, a.begin(7))
	require.True(t, a.mayFollow(6))
	require.True(t, a.mayFollow(7))
	require.False(t, a.mayFollow(8))
	require.False(t, a.mayFollow(7))
	require.False(t, a.begin(0))
	require.True(t, a.mayFollow(0))
	a.end()
	require.False(t, a.mayFollow(0))
}
