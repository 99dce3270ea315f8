package coordinator

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against machines that take no work any more because they are being emptied for another service
// when a new configuration has no standby pool, without which no machine is moved or released.
func TestEmptiedMachinesAreReleasedWithoutAStandbyPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 2, 5)
		s.start()
		s.submitJob(s.term, "0000000000000001", spreadStep(3))
		reclaims := 0
		for i := 0; reclaims == 0 && i < 200; i++ {
			sleep(10 * time.Millisecond)
			require.NoError(t, s.term.do(t.Context(), func() { reclaims = len(s.term.machines.reclaims) }))
		}
		require.NotZero(t, reclaims)
		next := *s.config
		next.Services = maps.Clone(next.Services)
		delete(next.Services, standbyService)
		next.Index()
		require.NoError(t, s.term.do(t.Context(), func() { s.config = &next }))
		sleep(5 * time.Second)
		cordoned := 0
		require.NoError(t, s.term.do(t.Context(), func() {
			for _, m := range s.term.minions {
				if m.Cordoned {
					cordoned++
				}
			}
		}))
		require.Zero(t, cordoned)
	})
}
