package coordinator

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// Guards against a task that is being stopped for ever: its start had no answer, was rejected when it was
// sent again, and is stopped on a minion that never ran it and lists no end of it. The minion runs
// long-running tasks only, whose polls take longer than the pause between two stops.
func TestStopOfARunThatNeverBeganIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts, term := startLongRunning(t, 1, 2)
		var starts atomic.Int64
		ts.minions.SetFault(func(op string) fleet.Fault {
			if op == "start" && starts.Add(1) == 1 {
				return fleet.Reset
			}
			return fleet.None
		})
		ts.minions.SetRefuse(func(op string, _ jobs.Minion) error {
			if op == "start" && starts.Load() == 2 {
				return site.ErrBusy
			}
			return nil
		})
		const id jobs.ID = "0000000000000002"
		ts.submitJob(term, id, longRunningStep(1))
		sleep(restartTime)
		require.Len(t, ts.minions.Running(taskNames(id, 1)[0]), 1, ts.log.linesWith(string(id)))
	})
}

// Guards against the same where a minion has restarted under its id before a stop reached it, and lists
// nothing of what it ran before.
func TestStopOfARunOfAnEarlierIncarnationIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts, term := startLongRunning(t, 1, 2)
		ts.minions.SetFault(func(op string) fleet.Fault {
			if op == "stop" {
				return fleet.Reset
			}
			return fleet.None
		})
		require.NoError(t, term.do(t.Context(), func() { term.stopRun(term.taskByName(taskOfSlowJob(0)), reasonWave) }))
		sleep(100 * time.Millisecond)
		ts.minions.Restart("m0")
		ts.list("m0")
		ts.minions.SetFault(nil)
		sleep(restartTime)
		require.Len(t, ts.minions.Running(taskOfSlowJob(0)), 1, ts.log.linesWith(taskOfSlowJob(0)))
	})
}

// Guards against a task that stays without a run after a planned stop: its run has ended as stopped, all
// answers were lost, and the minion restarted under its id before it could list the end. Whether the task
// was stuck depended on when the first answer came, so that many times are tried.
func TestStoppedRunOfARestartedMinionIsOver(t *testing.T) {
	for lost := 100 * time.Millisecond; lost < 700*time.Millisecond; lost += 10 * time.Millisecond {
		t.Run(lost.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts, term := startLongRunning(t, 1, 3)
				ts.minions.SetFault(func(string) fleet.Fault { return fleet.Lose })
				sleep(800 * time.Millisecond)
				require.NoError(t, term.do(t.Context(), func() { term.stopRun(term.taskByName(taskOfSlowJob(0)), reasonWave) }))
				sleep(lost)
				require.Empty(t, ts.minions.Running(taskOfSlowJob(0)))
				ts.minions.Restart("m0")
				ts.list("m0")
				ts.minions.SetFault(nil)
				sleep(restartTime)
				require.Len(t, ts.minions.Running(taskOfSlowJob(0)), 1, ts.log.linesWith(taskOfSlowJob(0)))
			})
		})
	}
}
