package coordinator

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/standins/fleet"
)

const (
	restartedJob  jobs.ID = "00000000000000bd"
	restartedTask         = string(restartedJob) + ".0.0.0"
)

// startFailingTask starts a term and a long-running task of which the given number of runs fail one after the
// other. The next one lasts. It returns the term and the minion of that run.
func (s *testSite) startFailingTask(failures int) (*Term, jobs.Minion) {
	var starts atomic.Int64
	s.minions.SetWork(func(string, int) (time.Duration, jobs.End) {
		if starts.Add(1) <= int64(failures) {
			return 5 * time.Millisecond, jobs.EndFailed
		}
		return 0, jobs.EndDone
	})
	s.minions.StopTime = 400 * time.Millisecond
	term := s.startTerm("e1", nil)
	sleep(time.Second)
	wide := longRunningStep(1)
	wide.Need.CPU = 3000 // a minion has no room for a second run beside one that is being stopped
	s.submitJob(term, restartedJob, wide)
	for s.minions.Starts(restartedTask) <= failures {
		sleep(20 * time.Millisecond)
	}
	running := s.minions.Running(restartedTask)
	require.Len(s.t, running, 1)
	return term, running[0]
}

// Guards against a long-running task that runs twice after a takeover: its runs under the earlier coordinator
// were so many that the next one began with a lower number, and took the end of the earlier run for that of its own.
func TestTaskRestartedOftenRunsOnceAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSite(t, 6)
		term, on := s.startFailingTask(1060)
		for _, m := range s.minions.States() { // no run of the task has ended on their successors
			if id := m.Entry.ID; id != on {
				s.minions.Remove(id)
				s.store.Put("servers/"+string(id), nil)
				s.addMinion(id + "-new")
			}
		}
		sleep(2 * time.Second)
		require.Equal(t, []jobs.Minion{on}, s.minions.Running(restartedTask))
		s.minions.Change(on, func(m *fleet.Minion) { m.Cut = true })
		endTerm(term)
		next := s.startTerm("e2", nil)
		defer endTerm(next)
		sleep(5300 * time.Millisecond)
		s.minions.Change(on, func(m *fleet.Minion) { m.Cut = false })
		sleep(6 * time.Second)
		s.requireNoViolations()
		require.Len(t, s.minions.Running(restartedTask), 1)
	})
}
