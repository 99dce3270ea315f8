package coordinator

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
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

// submitAs is submitJob for a team.
func (s *testSite) submitAs(t *Term, team model.Team, id jobs.ID, steps ...jobs.Step) {
	a := jobs.Accepted{ID: id, Queue: testQueue, Service: testService, Team: team, AcceptedAt: time.Now(), Spec: jobs.Spec{Payload: "p", Steps: steps}}
	value, err := json.Marshal(a)
	require.NoError(s.t, err)
	s.store.Put(JobKey(id), value)
	t.JobStored(id, value)
}
