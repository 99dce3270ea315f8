package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
)

// Guards against a task that is started over and over on a minion that rejects it, because it has
// failed on all the others before.
func TestTaskDoesNotReturnToAMinionThatRejectsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts, term := startLongRunning(t, 3, 1)
		ts.minions.SetRefuse(func(op string, to jobs.Minion) error {
			if op == "start" && to == "m2" {
				return site.ErrBusy
			}
			return nil
		})
		require.NoError(t, term.do(context.Background(), func() {
			task := term.taskByName(taskOfSlowJob(0))
			task.FailedOn = []jobs.Minion{"m0", "m1"}
			term.stopRun(task, reasonWave)
		}))
		require.Less(t, ts.watchGaps(1, 10*time.Second), restartTime)
	})
}

// Guards against a task that stays with a minion that answers polls and no start, without a run and for
// as long as that lasts.
func TestTaskLeavesAMinionThatAnswersNoStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		ts.minions.Work = runForever
		need := jobs.Resources{CPU: 500}
		ts.minions.Need = func(string) jobs.Resources { return need }
		ts.minions.SetRefuse(func(op string, to jobs.Minion) error {
			if op == "start" && to == "m0" {
				return site.ErrNoAnswer
			}
			return nil
		})
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(term, slowJob, jobs.Step{Count: 6, Need: need, LongRunning: true})
		require.Less(t, ts.watchGaps(6, 20*time.Second), maxWait)
		ts.requireNoViolations()
	})
}
