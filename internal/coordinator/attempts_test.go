package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
)

// Guards against a job that is shown as failed before its queue's number of attempts is used up, because
// the queue has left the configuration and the coordinator has changed since.
func TestJobOfARemovedQueueKeepsItsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		ts.config.Queues[0].MaxAttempts = 4
		ts.config.Index()
		failed := 0
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) {
			if failed++; failed < 4 {
				return 500 * time.Millisecond, jobs.EndFailed
			}
			return 500 * time.Millisecond, jobs.EndDone
		}
		term := ts.startTerm("e1", nil)
		sleep(time.Second)
		ts.submitJob(term, slowJob, step(1))
		sleep(700 * time.Millisecond) // one run has failed
		endTerm(term)
		next := *ts.config
		next.Version, next.Queues = 2, nil
		next.Index()
		ts.config = &next
		term = ts.startTerm("e2", nil)
		defer endTerm(term)
		sleep(10 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(term, slowJob), ts.log.linesWith("run ended", "job ended"))
		require.Equal(t, 4, ts.minions.Starts(taskOfSlowJob(0)))
	})
}
