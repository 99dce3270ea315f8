package coordinator

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/runspan"
	"boragepulley/internal/site"
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

// eachPredecessor runs a test whose first term is of this version, or of one that used more run numbers than the
// stored lease named. endPredecessor ends it.
func eachPredecessor(t *testing.T, test func(t *testing.T, s *testSite, endPredecessor func(*Term))) {
	for name, spans := range map[string]runspan.Spans{"this version": 0, "without reservations": 1_000_000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestSite(t, 6)
				s.runSpans = spans
				test(t, s, func(term *Term) {
					endTerm(term)
					s.runSpans = 0
				})
			})
		})
	}
}

// Guards against a long-running task that runs twice after a takeover: its runs under the earlier coordinator
// were so many that the next one began with a lower number, and took the end of the earlier run for that of its own.
func TestTaskRestartedOftenRunsOnceAfterATakeover(t *testing.T) {
	eachPredecessor(t, func(t *testing.T, s *testSite, endPredecessor func(*Term)) {
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
		endPredecessor(term)
		next := s.startTerm("e2", nil)
		defer endTerm(next)
		sleep(5300 * time.Millisecond)
		s.minions.Change(on, func(m *fleet.Minion) { m.Cut = false })
		sleep(6 * time.Second)
		s.requireNoViolations()
		require.Len(t, s.minions.Running(restartedTask), 1)
	})
}

// Guards against a long-running task that has no run for long after a takeover: its runs were so many that the
// minions reject the numbers with which the next coordinator begins.
func TestTaskRestartedOftenRunsSoonAfterATakeover(t *testing.T) {
	eachPredecessor(t, func(t *testing.T, s *testSite, endPredecessor func(*Term)) {
		term, on := s.startFailingTask(1060)
		s.minions.Change(on, func(m *fleet.Minion) { m.Down = true })
		endPredecessor(term)
		next := s.startTerm("e2", nil)
		defer endTerm(next)
		sleep(6 * time.Second)
		s.requireNoViolations()
		require.Len(t, s.minions.Running(restartedTask), 1)
	})
}

// Guards against one odd number in the report of a minion that raises the run numbers and fencing tokens of the whole
// site for good.
func TestOddRunNumberOfAMinionIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSite(t, 1)
		s.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return 0, jobs.EndDone })
		term := s.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		s.submitJob(term, restartedJob, longRunningStep(1))
		sleep(time.Second)
		require.NoError(t, term.do(t.Context(), func() {
			m := term.minions["m0"]
			end := site.EndReport{Seq: 7, Task: restartedTask, Run: 1 << 50, Outcome: jobs.EndFailed}
			term.reconcile(m, term.now, site.PollReport{Ended: []site.EndReport{end}, Running: []site.RunReport{{Task: restartedTask, Run: 1}}})
			term.stopRun(term.taskByName(restartedTask), reasonWave)
		}))
		sleep(4 * time.Second)
		require.NotEmpty(t, s.minions.Running(restartedTask))
		stored, err := lease.Decode(s.store.Row(lease.Key))
		require.NoError(t, err)
		require.Zero(t, stored.MaxToken)
	})
}

// Guards against a run with a number that a successor may use as well: it is ordered before the stored lease
// names the number's token, as while the store is away.
func TestRunIsOrderedOnlyOnceItsNumberIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const spans runspan.Spans = 4
		s := newTestSite(t, 3)
		s.runSpans = spans
		var beyond atomic.Int64
		s.minions.OnEvent = func(e fleet.Event) {
			stored, err := lease.Decode(s.store.Row(lease.Key))
			if e.Kind == fleet.RunBegan && (err != nil || e.Run > spans.Last(max(stored.Epoch, stored.MaxToken))) {
				beyond.Add(1)
			}
		}
		var away atomic.Bool
		s.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return 5 * time.Millisecond, jobs.EndFailed })
		term := s.startTerm("e1", func(op string) fleet.Fault {
			if away.Load() && op == "commit" {
				return fleet.Refuse
			}
			return fleet.None
		})
		defer endTerm(term)
		sleep(time.Second)
		s.submitJob(term, restartedJob, longRunningStep(1))
		sleep(2 * time.Second)
		before := s.minions.Starts(restartedTask)
		require.Greater(t, before, 3*int(spans), "more numbers are stored as they are needed")
		away.Store(true)
		sleep(time.Second)
		during := s.minions.Starts(restartedTask)
		require.LessOrEqual(t, during, before+2*int(spans))
		away.Store(false)
		sleep(time.Second)
		require.Greater(t, s.minions.Starts(restartedTask), during)
		require.Zero(t, beyond.Load())
	})
}
