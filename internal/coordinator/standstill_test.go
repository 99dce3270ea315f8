package coordinator

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// leaveNotice is how long before its end a leaving minion says so.
const leaveNotice = 4500 * time.Millisecond

// Guards against a wave whose time is short and that stops a task which starts on the same machine
// again, over and over, because there is no other place for it; the wave never ends.
func TestUrgentWaveStopsATaskOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 2, 2)
		s.start()
		s.submitJob(s.term, "0000000000000001", spreadStep(2))
		sleep(2 * time.Second)
		s.begin(site.Wave{ID: 1, Machines: []model.VM{"s0", "s1"}, Duration: 10 * time.Second, MaxDown: 1})
		s.requireMaintainedOnce("s0", "s1")
	})
}

// Guards against the same where short tasks fill the gaps of the machines, and against an urgent wave
// that stops a long-running task long before the machine is empty.
func TestUrgentWaveOnBusyMachinesStopsATaskOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 0, 2)
		work := s.minions.Work
		s.minions.Work = func(task string, run int) (time.Duration, jobs.End) {
			d, end := work(task, run)
			return 10 * d, end // 4 to 10 s
		}
		s.start()
		s.submitTo(s.term, burstQueue, burstService, "0000000000000001", spreadStep(2))
		sleep(12 * time.Second)
		s.begin(site.Wave{ID: 1, Machines: []model.VM{"b0", "b1"}, Duration: 20 * time.Second, MaxDown: 1})
		s.requireMaintainedOnce("b0", "b1")
	})
}

// requireMaintainedOnce watches the two tasks of a job for a minute in which each of two machines has
// to be maintained once.
func (s *burstSite) requireMaintainedOnce(a, b model.VM) {
	tasks := taskNames("0000000000000001", 2)
	longest, without := s.watch(time.Minute, tasks...)
	require.Less(s.t, longest, maxWait, "without a run at the end: %v", without)
	require.Equal(s.t, []int{1, 1}, []int{s.moving.Maintained(a), s.moving.Maintained(b)})
	for _, task := range tasks {
		require.LessOrEqual(s.t, s.minions.Starts(task), 3, "each wave of two machines may stop a task twice: %s", s.minions.Story(task))
	}
	s.requireNoViolations()
}

// Guards against a machine that is up, but whose minion has ended for good, and that counts as one of
// its service: the service then seems too large to get another machine for a task without a place.
func TestMachineWithoutAMinionIsNoCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 3, 4)
		s.start()
		s.submitJob(s.term, "0000000000000001", spreadStep(3))
		sleep(2 * time.Second)
		lost := s.moving.MinionOf("s1")
		s.minions.Change(lost, func(m *fleet.Minion) { m.Down = true })
		s.store.Put("servers/"+string(lost), nil)
		longest, without := s.watch(20*time.Second, taskNames("0000000000000001", 3)...)
		require.Less(t, longest, unplannedWait, "without a run at the end: %v", without)
		s.requireNoViolations()
	})
}

// Guards against a service that gets no machine any more once its queue, or the service itself, has
// left the configuration, while its jobs are still running.
func TestJobsOfARemovedQueueGetMachines(t *testing.T) {
	for name, remove := range map[string]func(*site.Config){
		"queue":             func(*site.Config) {},
		"queue and service": func(c *site.Config) { delete(c.Services, testService) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newBurstSite(t, 2, 5)
				s.start()
				s.submitJob(s.term, "0000000000000001", spreadStep(2))
				sleep(2 * time.Second)
				next := *s.config
				next.Services = maps.Clone(next.Services)
				next.Queues = slices.DeleteFunc(slices.Clone(next.Queues), func(q site.Queue) bool { return q.Name == testQueue })
				remove(&next)
				next.Index()
				require.NoError(t, s.term.do(t.Context(), func() { s.config = &next }))
				lost := s.moving.MinionOf("s1")
				s.minions.Change(lost, func(m *fleet.Minion) { m.Down = true })
				longest, without := s.watch(20*time.Second, taskNames("0000000000000001", 2)...)
				require.Less(t, longest, unplannedWait, "without a run at the end: %v", without)
				s.requireNoViolations()
			})
		})
	}
}

// Guards against a task that waits for one machine to become empty, on which a task takes long or
// stands still, while others would be empty within a second.
func TestReclaimDoesNotWaitForOneSlowTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow jobs.ID = "ffffffffffffffff"
		s := newBurstSite(t, 2, 6)
		work := s.minions.Work
		s.minions.Work = func(task string, run int) (time.Duration, jobs.End) {
			if task == taskNames(slow, 1)[0] {
				return time.Hour, jobs.EndDone
			}
			return work(task, run)
		}
		// It fills its machine, which thus has the fewest tasks.
		s.submitTo(nil, burstQueue, burstService, slow, jobs.Step{Count: 1, Need: jobs.Resources{CPU: 4000}, Estimate: 700 * time.Millisecond})
		s.start()
		s.submitJob(s.term, "0000000000000001", spreadStep(2))
		sleep(2 * time.Second)
		s.minions.Change(s.moving.MinionOf("s1"), func(m *fleet.Minion) { m.Down = true })
		longest, without := s.watch(20*time.Second, taskNames("0000000000000001", 2)...)
		require.Less(t, longest, unplannedWait, "without a run at the end: %v", without)
		s.requireNoViolations()
	})
}

// Guards against long-running tasks that wait for the limit of their team while the log says only that
// there is free capacity.
func TestLogSaysThatTheTeamLimitKeepsTasksWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 2, 1)
		s.config.Teams["capped"] = site.Team{Weight: 1, Limit: jobs.Resources{CPU: 1000}}
		s.start()
		s.submitAs(s.term, "capped", "0000000000000001", jobs.Step{Count: 5, Need: jobs.Resources{CPU: 500}, LongRunning: true})
		sleep(3 * time.Second)
		require.Contains(t, s.log.linesWith("long-running step waits"), `"over_team_limit":3`)
	})
}

// Guards against a service without a machine that takes work, because all of them wait for a place for
// their long-running tasks.
func TestMachinesThatCanNotBeDrainedDoOtherWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 2, 1)
		work := s.minions.Work
		s.minions.Work = func(task string, run int) (time.Duration, jobs.End) {
			if task == taskNames("000000000000000a", 1)[0] {
				return time.Second, jobs.EndDone
			}
			return work(task, run)
		}
		s.start()
		s.submitJob(s.term, "0000000000000001", spreadStep(2))
		sleep(2 * time.Second)
		s.begin(site.Wave{ID: 1, Machines: []model.VM{"s0", "s1"}, Duration: time.Minute, MaxDown: 4})
		sleep(3 * time.Second)
		s.submitJob(s.term, "000000000000000a", step(1))
		sleep(3 * time.Second)
		require.Equal(t, jobs.StateCompleted, s.state(s.term, "000000000000000a"))
	})
}

// Guards against a reserved place that other tasks take while the task that is to run there is being
// stopped.
func TestReservedPlaceIsKeptDuringAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 0, 2)
		work := s.minions.Work
		s.minions.Work = func(task string, run int) (time.Duration, jobs.End) {
			d, end := work(task, run)
			return 3 * d, end
		}
		s.minions.StopTime = 900 * time.Millisecond
		s.start()
		s.submitTo(s.term, burstQueue, burstService, "0000000000000001", jobs.Step{Count: 1, Need: jobs.Resources{CPU: 3000}, LongRunning: true})
		sleep(8 * time.Second)
		task := taskNames("0000000000000001", 1)
		from := model.VM("b0")
		if s.minions.Running(task[0])[0] != s.moving.MinionOf(from) {
			from = "b1"
		}
		s.begin(site.Wave{ID: 1, Machines: []model.VM{from}, Duration: 30 * time.Second, MaxDown: 1})
		longest, without := s.watch(15*time.Second, task...)
		require.Less(t, longest, plannedWait/2, "without a run at the end: %v", without)
		require.Equal(t, 1, s.moving.Maintained(from))
	})
}

// Guards against a task that runs until its leaving minion ends, without a place for its next run: its
// unsaved work is lost, and its next run waits for the end of its lease.
func TestLeavingMinionLosesItsTasksBeforeItEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 2, 2)
		s.start()
		s.submitJob(s.term, "0000000000000001", spreadStep(2))
		sleep(2 * time.Second)
		minion := s.moving.MinionOf("s0")
		s.moving.Leave("s0", leaveNotice, 3*time.Second)
		longest, without := s.watch(15*time.Second, taskNames("0000000000000001", 2)...)
		require.Less(t, longest, maxWait, "without a run at the end: %v", without)
		require.Contains(t, s.minions.Story("0000000000000001"), "ends on "+string(minion)+": stopped")
		s.requireNoViolations()
	})
}

// Guards against tasks of a lost minion that wait for the end of its leases anew with each orderly
// handover, as in a rolling restart of the entry VMs.
func TestHandoversDoNotProlongTheWaitForALostMinion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 3)
		ts.minions.Work = runForever
		term := ts.startTerm("e1", nil)
		sleep(time.Second)
		ts.submitJob(term, slowJob, longRunningStep(1))
		sleep(time.Second)
		lost := ts.minions.Running(taskOfSlowJob(0))[0]
		ts.minions.Change(lost, func(m *fleet.Minion) { m.Down = true })
		for i := range 5 {
			sleep(2 * time.Second)
			require.NoError(t, term.Release(t.Context()))
			_ = term.Wait()
			term = ts.startTerm(entryName(i+1), nil)
		}
		defer endTerm(term)
		require.Equal(t, 2, ts.minions.Starts(taskOfSlowJob(0)), "within 10 s, of which 4.2 s are for the leases")
		ts.requireNoViolations()
	})
}
