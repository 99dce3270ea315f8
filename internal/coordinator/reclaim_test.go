package coordinator

import (
	"math"
	"regexp"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// Guards against machines that are emptied and moved one after the other, until the other services
// have none, for a long-running task that none of them can run.
func TestNoMachineIsTakenForATaskThatItCanNotRun(t *testing.T) {
	for name, s := range map[string]jobs.Step{
		"more CPU than a machine has":    {Need: jobs.Resources{CPU: 8000}},
		"more memory than a machine has": {Need: jobs.Resources{MemoryMB: 8000}},
		"accelerators":                   {Need: jobs.Resources{CPU: 500, Accelerators: 1}},
		"label of no machine":            {Need: jobs.Resources{CPU: 500}, Label: "elsewhere"},
		"label of a full machine":        {Need: jobs.Resources{CPU: 500}, Label: "rack-s0", MaxPerMinion: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBurstSite(t, 2, 6)
				b.start()
				s.Count, s.LongRunning = 2, true
				b.submitJob(b.term, "0000000000000001", s)
				sleep(15 * time.Second)
				require.GreaterOrEqual(t, len(b.moving.Pool(burstService)), 6)
			})
		})
	}
}

// Guards against machines that are taken from other services for tasks which their team's limit does
// not let run.
func TestNoMachineIsTakenForTasksAboveTheTeamLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurstSite(t, 2, 6)
		b.config.Teams["capped"] = site.Team{Weight: 1, Limit: jobs.Resources{CPU: 1500}}
		b.start()
		b.submitAs(b.term, "capped", "0000000000000001", jobs.Step{Count: 50, Need: jobs.Resources{CPU: 500}, LongRunning: true, MaxPerMinion: 1})
		for range 300 {
			sleep(50 * time.Millisecond)
			require.GreaterOrEqual(t, len(b.moving.Pool(burstService)), 5, "three tasks may run, and two machines are there")
		}
	})
}

// Guards against one job of long-running tasks that takes the machines of all other services.
func TestOneJobDoesNotTakeTheWholeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurstSite(t, 2, 8)
		b.start()
		b.submitJob(b.term, "0000000000000001", jobs.Step{Count: 200, Need: jobs.Resources{CPU: 500}, LongRunning: true, MaxPerMinion: 1})
		for range 400 {
			sleep(50 * time.Millisecond)
			require.GreaterOrEqual(t, len(b.moving.Pool(burstService)), len(b.moving.Pool(testService)))
		}
	})
}

// Guards against a wave that takes the machine on which a place is reserved while the task that is
// to run there is being stopped.
func TestMachineWithAReservedPlaceIsNotMaintained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurstSite(t, 2, 5)
		// A stop takes up to 0.9 s.
		var stopsAt atomic.Pointer[time.Time]
		b.minions.Fault = func(op string) fleet.Fault {
			if at := stopsAt.Load(); op == "stop" && at != nil {
				time.Sleep(time.Until(*at))
			}
			return fleet.None
		}
		b.start()
		b.submitJob(b.term, "0000000000000001", longRunningStep(1))
		sleep(2 * time.Second)
		task := taskNames("0000000000000001", 1)[0]
		from, other := model.VM("s0"), model.VM("s1")
		if b.minions.Running(task)[0] != b.moving.MinionOf(from) {
			from, other = other, from
		}
		at := time.Now().Add(900 * time.Millisecond)
		stopsAt.Store(&at)
		b.begin(site.Wave{ID: 1, Machines: []model.VM{from}, Duration: 30 * time.Second, MaxDown: 1})
		sleep(300 * time.Millisecond)
		b.begin(site.Wave{ID: 2, Machines: []model.VM{other}, Duration: 30 * time.Second, MaxDown: 1})
		longest, without := b.watch(10*time.Second, task)
		require.Less(t, longest, plannedWait, "without a run at the end: %v", without)
		require.Equal(t, []int{1, 1}, []int{b.moving.Maintained(from), b.moving.Maintained(other)})
		b.requireNoViolations()
	})
}

// Guards against a wave that stands still because the tasks of one machine may not be stopped: a
// sibling of them is missing for good, as their team's limit does not let it run.
func TestWaveGoesOnBesideAMachineThatCanNotBeDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurstSite(t, 3, 2)
		b.config.Teams["capped"] = site.Team{Weight: 1, Limit: jobs.Resources{CPU: 1000}}
		b.start()
		b.submitAs(b.term, "capped", "0000000000000001", jobs.Step{Count: 3, Need: jobs.Resources{CPU: 500}, LongRunning: true, MaxUnavailable: 1})
		sleep(2 * time.Second)
		all := []model.VM{"s0", "s1", "s2", "b0", "b1"}
		b.begin(site.Wave{ID: 1, Machines: all, Duration: 30 * time.Second, MaxDown: 1})
		sleep(60 * time.Second)
		maintained := 0
		for _, name := range all {
			maintained += b.moving.Maintained(name)
		}
		require.Equal(t, len(all)-1, maintained)
		b.requireNoViolations()
	})
}

// Guards against a minion that stays without work, and is still counted as one of its service, after
// the platform has refused the maintenance of its machine for good.
func TestMinionIsUsedAfterAWaveWithoutItsMachine(t *testing.T) {
	term := &Term{}
	term.machines.init()
	term.waves.init()
	m := holding.New(site.MinionEntry{ID: "m"}, 0)
	term.minions = map[jobs.Minion]*holding.Minion{"m": m}
	m.Cordoned, m.Draining = true, true
	machine := &waveMachine{name: "vm", minion: "m", state: maintenanceOrdered}
	term.maintenanceAnswered(&waveRun{}, machine, &site.RefusedError{Reason: site.RefusedNotInWave})
	require.False(t, m.Cordoned)
	require.False(t, m.Draining)
}

// submitAs is submitJob for a team.
func (s *testSite) submitAs(t *Term, team model.Team, id jobs.ID, steps ...jobs.Step) {
	s.submitTeam(t, team, testQueue, testService, id, steps...)
}

// Guards against a machine that is given back to its service, and filled again, while the task for
// which it is being emptied is stopped: the minion of the task is gone before the machine is empty.
func TestMachineIsEmptiedOnWhileItsTaskStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurstSite(t, 2, 5)
		b.minions.Work = func(task string, _ int) (time.Duration, jobs.End) {
			if task[0] == 'f' { // a job of the burst
				return 4*time.Second + time.Duration(fnvOf(task)%4000)*time.Millisecond, jobs.EndDone
			}
			return 0, ""
		}
		b.minions.Fault = func(op string) fleet.Fault {
			if op == "stop" {
				time.Sleep(800 * time.Millisecond)
			}
			return fleet.None
		}
		b.start()
		b.submitJob(b.term, "0000000000000001", spreadStep(2))
		sleep(2 * time.Second)
		leaving := b.moving.MinionOf("s1")
		b.minions.Change(leaving, func(m *fleet.Minion) { m.Entry.Leaving, m.Entry.Remaining = true, 4*time.Second })
		b.list(leaving)
		longest, without := b.watch(20*time.Second, taskNames("0000000000000001", 2)...)
		require.Less(t, longest, maxWait, "without a run at the end: %v", without)
		b.requireFirstIsNotGivenBackBeforeAMove()
		b.requireNoViolations()
	})
}

// requireFirstIsNotGivenBackBeforeAMove fails the test if the first machine that was emptied was given
// back before one had become empty and was moved. A later one may be empty first.
func (s *burstSite) requireFirstIsNotGivenBackBeforeAMove() {
	lines := s.log.linesWith("emptying machine", "no longer needed", "moving machine")
	emptied := regexp.MustCompile(`"machine":"[^"]*"`).FindString(s.log.linesWith("emptying machine"))
	require.NotEmpty(s.t, emptied)
	first := func(pattern string) int {
		found := regexp.MustCompile(pattern).FindStringSubmatch(lines)
		if found == nil {
			return math.MaxInt
		}
		at, err := strconv.Atoi(found[1])
		require.NoError(s.t, err)
		return at
	}
	moved := first(`"at":(\d+),"message":"Coordinator: moving machine`)
	require.NotEqual(s.t, math.MaxInt, moved, lines)
	require.GreaterOrEqual(s.t, first(emptied+`,"at":(\d+),"message":"Coordinator: machine no longer needed`), moved, lines)
}
