package coordinator

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

// Guards against a machine that is drained a second time after its maintenance, because the answer to the order
// was lost and no list of machines could be read until the machine's next minion had joined.
func TestMaintainedMachineIsNotDrainedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := newLossySite(t, 2)
		var fails atomic.Bool
		s.moving.ListFails = fails.Load
		l.setFault(func(n int) maintenanceFault { return []maintenanceFault{answerLost, noFault}[min(n, 1)] })
		s.submitJob(s.term, "0000000000000001", spreadStep(2))
		sleep(2 * time.Second)
		s.begin(site.Wave{ID: 1, Machines: []model.VM{"s0"}, Duration: 20 * time.Second, MaxDown: 1})
		for s.moving.Maintained("s0") == 0 {
			sleep(10 * time.Millisecond)
		}
		fails.Store(true)
		sleep(3 * time.Second)
		fails.Store(false)
		go func() {
			for range 20 { // a minion writes its entry all the time
				sleep(time.Second)
				if m := s.moving.MinionOf("s0"); m != "" {
					s.list(m)
				}
			}
		}()
		longest, _ := s.watch(25*time.Second, taskNames("0000000000000001", 2)...)
		require.Equal(t, 1, strings.Count(s.log.linesWith("draining machine"), "draining machine"))
		require.Less(t, longest, maxWait)
	})
}
