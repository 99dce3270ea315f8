package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
)

// loseOrders lets all orders to a minion stay without an answer and without effect, while its polls are
// answered. every is how often a poll fails as well: of that many, one; 0 means none.
func (s *testSite) loseOrders(minion jobs.Minion, every int64) {
	var polls atomic.Int64
	s.minions.SetRefuse(func(op string, to jobs.Minion) error {
		if to == minion && (op != "hold" || every > 0 && polls.Add(1)%every == 0) {
			return site.ErrNoAnswer
		}
		return nil
	})
}

// startWait is how long a start that is lost may leave a task without a run: the lease in it, and the
// next start.
const startWait = runLeaseTTL + runLeaseTTL/20 + restartTime

// Guards against a task that stays with a minion for as long as its polls are answered and no order
// reaches it: its start may have had an effect, and no stop that would rule this out arrives.
func TestTaskLeavesAMinionThatNoOrderReaches(t *testing.T) {
	for name, every := range map[string]int64{"all polls answered": 0, "half of the polls answered": 2, "most polls answered": 5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestSite(t, 2)
				ts.minions.Work = runForever
				need := jobs.Resources{CPU: 500}
				ts.minions.Need = func(string) jobs.Resources { return need }
				term := ts.startTerm("e1", nil)
				defer endTerm(term)
				sleep(time.Second)
				ts.loseOrders("m0", every)
				ts.submitJob(term, slowJob, jobs.Step{Count: 6, Need: need, LongRunning: true})
				require.Less(t, ts.watchGaps(6, 20*time.Second), startWait)
				ts.requireNoViolations()
			})
		})
	}
}

// Guards against a task that is being stopped when its minion restarts, and stays there without a run
// because no stop reaches the new incarnation.
func TestStoppedTaskLeavesARestartedMinionThatNoOrderReaches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts, term := startLongRunning(t, 2, 1)
		from := ts.minions.Running(taskOfSlowJob(0))[0]
		ts.loseOrders(from, 0)
		require.NoError(t, term.do(context.Background(), func() { term.stopRun(term.taskByName(taskOfSlowJob(0)), reasonWave) }))
		sleep(100 * time.Millisecond)
		ts.minions.Restart(from)
		require.Less(t, ts.watchGaps(1, 20*time.Second), restartTime)
		ts.requireNoViolations()
	})
}
