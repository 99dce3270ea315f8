package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

// Guards against a task that is stopped for maintenance and started on the same machine again, over and
// over: its place is on a minion on which it has failed before, so that the draining one was preferred.
func TestTaskThatIsRelocatedDoesNotRestartOnTheDrainingMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurstSite(t, 2, 0)
		task, other := taskNames("0000000000000001", 1)[0], taskNames("0000000000000002", 1)[0]
		b.minions.Work = func(name string, run int) (time.Duration, jobs.End) {
			switch {
			case name == other:
				return 4 * time.Second, jobs.EndDone
			case name == task && run == 1:
				return 100 * time.Millisecond, jobs.EndFailed
			}
			return 0, ""
		}
		b.start()
		sleep(8 * time.Second)
		b.submitJob(b.term, "0000000000000001", jobs.Step{Count: 1, Need: jobs.Resources{CPU: 3000}, LongRunning: true})
		sleep(time.Second)
		from := model.VM("s0")
		if b.minions.Running(task)[0] != b.moving.MinionOf(from) {
			from = "s1"
		}
		b.submitJob(b.term, "0000000000000002", jobs.Step{Count: 1, Need: jobs.Resources{CPU: 4000}, Estimate: 4 * time.Second})
		sleep(time.Second)
		b.begin(site.Wave{ID: 1, Machines: []model.VM{from}, Duration: 30 * time.Second, MaxDown: 1})
		longest, without := b.watch(20*time.Second, task)
		require.LessOrEqual(t, b.minions.Starts(task), 3, b.minions.Story(task))
		require.Less(t, longest, plannedWait, "without a run at the end: %v", without)
		require.Equal(t, 1, b.moving.Maintained(from))
		b.requireNoViolations()
	})
}
