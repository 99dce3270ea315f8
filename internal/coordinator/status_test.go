package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/sitestatus"
	"boragepulley/standins/fleet"
)

// Guards against a status that hides why a task does not run, or how old the view of a minion is.
func TestStatusTellsWhyTasksWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSite(t, 2)
		s.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return time.Minute, jobs.EndDone })
		term := s.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		s.submitJob(term, "j", step(9), step(1, 0))
		sleep(time.Second)

		j, ok := term.Job(t.Context(), "j")
		require.True(t, ok)
		require.Equal(t, jobs.StateRunning, j.State)
		phases := map[string]int{}
		for _, task := range j.Tasks {
			phases[task.Phase]++
		}
		require.Equal(t, map[string]int{"running": 8, "waiting": 2}, phases)
		require.Equal(t, "minions of the service: full 2", j.Tasks[8].Waits)
		require.Contains(t, j.Tasks[9].Waits, "earlier steps")

		s.minions.Change("m0", func(m *fleet.Minion) { m.Cut = true })
		sleep(2 * time.Second)
		status := term.Status(t.Context())
		require.Equal(t, uint64(1), status.Epoch)
		require.True(t, status.Loaded)
		require.Positive(t, status.OrdersLeftMS)
		require.Equal(t, []sitestatus.Service{{Name: testService, Minions: 2, Usable: 1, WaitingTasks: 1}}, status.Services)
		require.Equal(t, sitestatus.MinionSilent, status.Minions[0].State)
		require.Greater(t, status.Minions[0].ReplyAgeMS, int64(1000))
		require.Equal(t, sitestatus.MinionUsable, status.Minions[1].State)

		_, ok = term.Job(t.Context(), "unknown")
		require.False(t, ok)
	})
}
