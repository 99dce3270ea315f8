package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
)

// Guards against a long-running task that waits for tasks which take long on its service's machines, while
// machines of other services could be emptied for it.
func TestLongRunningTaskDoesNotWaitForTasksThatTakeLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow jobs.ID = "eeeeeeeeeeeeeeee"
		s := newBurstSite(t, 2, 5)
		work := s.minions.Work
		s.minions.Work = func(task string, run int) (time.Duration, jobs.End) {
			if task[0] == 'e' {
				return 25 * time.Second, jobs.EndDone
			}
			return work(task, run)
		}
		s.start()
		s.submitJob(s.term, slow, jobs.Step{Count: 8, Need: jobs.Resources{CPU: 1000}, Estimate: time.Second})
		sleep(time.Second)
		s.submitJob(s.term, "0000000000000001", spreadStep(1))
		longest, without := s.watch(20*time.Second, taskNames("0000000000000001", 1)...)
		require.Less(t, longest, maxWait, "without a run at the end: %v", without)
		s.requireNoViolations()
	})
}
