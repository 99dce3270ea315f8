package coordinator

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

// Guards against a wave that never ends, because the list of machines could not be read while a machine
// on standby, which has no minion, was being maintained: nobody has seen it down.
func TestWaveEndsIfAMachineWasNeverSeenDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 1, 1)
		for _, name := range []model.VM{"o0", "o1", "o2", "o3"} {
			s.moving.Add(name, standbyService, jobs.Resources{CPU: 4000, MemoryMB: 4000})
		}
		var away atomic.Bool
		s.moving.ListFails = away.Load
		s.startWithoutBurst()
		sleep(3 * time.Second)
		standby := s.moving.Pool(standbyService)
		require.NotEmpty(t, standby)
		s.begin(site.Wave{ID: 1, Machines: standby, Duration: 20 * time.Second, MaxDown: 1})
		maintained := func() (n int) {
			for _, name := range standby {
				n += s.moving.Maintained(name)
			}
			return n
		}
		for maintained() == 0 {
			sleep(10 * time.Millisecond)
		}
		away.Store(true)
		sleep(5 * time.Second)
		away.Store(false)
		sleep(15 * time.Second)
		require.Equal(t, len(standby), maintained())
		require.Contains(t, s.log.linesWith("wave completed"), "wave completed")
	})
}
