package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
)

// Guards against leases that a minion with a slow clock does not measure by it.
func TestSlowClockKeepsLeasesLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewMinions()
		s.ClockRate = func(jobs.Minion) float64 { return 0.5 }
		s.Work = func(string, int) (time.Duration, jobs.End) { return 0, jobs.EndDone }
		s.Add(site.MinionEntry{ID: "m", Capacity: jobs.Resources{CPU: 1000}})
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 5000, s.Clock("m"))
		to := site.Receiver{MinionAddress: site.MinionAddress{ID: "m"}, Token: 1}
		_, err := s.Start(t.Context(), to, site.StartOrder{Task: "a", Run: 1, LeaseUntil: 7000})
		require.NoError(t, err)
		time.Sleep(3900 * time.Millisecond)
		require.Len(t, s.Running("a"), 1)
		time.Sleep(200 * time.Millisecond)
		require.Empty(t, s.Running("a"))
	})
}
