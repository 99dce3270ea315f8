package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

// Guards against a machine that takes no work any more after its maintenance, because its next minion has
// the id of the one that the order ended, whose entry has never left the list.
func TestMinionUnderTheSameIDTakesWorkAfterAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 1, 0)
		s.moving.KeepIDs = true
		s.startWithoutBurst()
		s.submitJob(s.term, "0000000000000001", spreadStep(1))
		sleep(2 * time.Second)
		s.begin(site.Wave{ID: 1, Machines: []model.VM{"s0"}, Duration: 8 * time.Second, MaxDown: 1})
		longest, without := s.watch(25*time.Second, taskNames("0000000000000001", 1)...)
		require.Less(t, longest, maxWait, "without a run at the end: %v", without)
		require.Equal(t, 1, s.moving.Maintained("s0"))
		s.requireNoViolations()
	})
}
