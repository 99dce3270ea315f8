package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/standins/fleet"
)

// manyEnds is the number of tasks of a job with more ends than a minion lists at a time.
const manyEnds = 1500

const (
	lastingJob  jobs.ID = "0000000000000002"
	lastingTask string  = "0000000000000002.0.0.0"
)

// newSiteWithManyEnds returns a site with one minion and a term whose writes fail while the returned
// flag is set, and a job of manyEnds short tasks that has just begun.
func newSiteWithManyEnds(t *testing.T) (ts *testSite, term *Term, away *atomic.Bool) {
	ts, away = newTestSite(t, 1), &atomic.Bool{}
	ts.minions.Work = func(task string, _ int) (time.Duration, jobs.End) {
		if task == lastingTask {
			return 0, ""
		}
		return 20 * time.Millisecond, jobs.EndDone
	}
	need := jobs.Resources{CPU: 50}
	ts.minions.Need = func(string) jobs.Resources { return need }
	term = ts.startTerm("e1", func(op string) fleet.Fault {
		if op == "commit" && away.Load() {
			return fleet.Lose
		}
		return fleet.None
	})
	sleep(time.Second)
	ts.submitJob(term, slowJob, jobs.Step{Count: manyEnds, Need: need, Estimate: 20 * time.Millisecond})
	sleep(200 * time.Millisecond)
	return ts, term, away
}

// requireRunOnce requires that each task of the job has run once.
func (s *testSite) requireRunOnce(term *Term) {
	again := 0
	for _, task := range taskNames(slowJob, manyEnds) {
		if s.minions.Starts(task) > 1 {
			again++
		}
	}
	require.Zero(s.t, again, "tasks that ran again")
	require.Equal(s.t, jobs.StateCompleted, s.state(term, slowJob))
	s.requireNoViolations()
}

// Guards against tasks that run again after they have ended as done, because the store is away, no end
// can be acknowledged, and a minion lists only its oldest 500 ends.
func TestEndsThatAreNotListedYetAreNotGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts, term, away := newSiteWithManyEnds(t)
		defer endTerm(term)
		away.Store(true)
		sleep(5 * time.Second)
		away.Store(false)
		sleep(20 * time.Second)
		ts.requireRunOnce(term)
	})
}

// Guards against the same after a takeover: the new coordinator knows the ends of a minion only once
// it has seen all of them.
func TestSuccessorWaitsForEndsThatAreNotListedYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts, term, away := newSiteWithManyEnds(t)
		away.Store(true)
		sleep(1800 * time.Millisecond)
		endTerm(term)
		term = ts.startTerm("e2", nil)
		defer endTerm(term)
		sleep(20 * time.Second)
		ts.requireRunOnce(term)
	})
}

// Guards against a long-running task that stays without a run while its minion has more ends than it
// lists.
func TestStoppedTaskDoesNotWaitForEndsThatAreNotListedYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts, term, away := newSiteWithManyEnds(t)
		defer endTerm(term)
		ts.submitJob(term, lastingJob, jobs.Step{Count: 1, Need: jobs.Resources{CPU: 50}, LongRunning: true})
		sleep(200 * time.Millisecond)
		away.Store(true)
		sleep(1500 * time.Millisecond)
		require.Len(t, ts.minions.Running(lastingTask), 1)
		require.NoError(t, term.do(context.Background(), func() { term.stopRun(term.taskByName(lastingTask), reasonWave) }))
		sleep(200 * time.Millisecond)
		require.Equal(t, 2, ts.minions.Starts(lastingTask))
	})
}
