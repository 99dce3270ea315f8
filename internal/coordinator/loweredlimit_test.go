package coordinator

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

// Guards against a planned stop of a long-running task that can't start again, because its team uses more
// than its limit since that was lowered. A wave whose time is short stops it nevertheless.
func TestNoPlannedStopAboveALoweredTeamLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 3, 0)
		s.startWithoutBurst()
		s.submitJob(s.term, slowJob, jobs.Step{Count: 4, Need: jobs.Resources{CPU: 500}, LongRunning: true})
		sleep(2 * time.Second)
		lowered := *s.config
		lowered.Version++
		lowered.Teams = maps.Clone(lowered.Teams)
		lowered.Teams[testTeam] = site.Team{Weight: 1, Limit: jobs.Resources{CPU: 1000}}
		require.NoError(t, s.term.do(t.Context(), func() { s.config = &lowered }))
		all := []model.VM{"s0", "s1", "s2"}
		s.begin(site.Wave{ID: 1, Machines: all, Duration: 40 * time.Second, MaxDown: 1})
		longest, without := s.watch(15*time.Second, taskNames(slowJob, 4)...)
		require.Zero(t, longest, "without a run: %v", without)
		sleep(45 * time.Second)
		require.Contains(t, s.log.linesWith("wave completed"), "wave completed")
		s.requireNoViolations()
	})
}
