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

// Guards against a stand-in in which an incarnation never receives the calls that were sent to the one
// before, and against leases that are not measured on the clock of the incarnation that grants them.
func TestNextIncarnationCarriesOutCallsOfTheOneBefore(t *testing.T) {
	for _, survive := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := NewMinions()
			s.CallsSurviveRestarts = survive
			s.Work = func(string, int) (time.Duration, jobs.End) { return 0, jobs.EndDone }
			starts := int64(0)
			s.ClockStart = func(jobs.Minion) int64 { starts++; return 1_000_000 / starts }
			s.Fault = func(op string) Fault { return Late }
			s.LateBy = func(string) time.Duration { return 5 * time.Second }
			s.Add(site.MinionEntry{ID: "m", Capacity: jobs.Resources{CPU: 1000}})
			to := site.Receiver{MinionAddress: site.MinionAddress{ID: "m"}, Token: 1}
			_, err := s.Start(t.Context(), to, site.StartOrder{Task: "a", Run: 1, LeaseUntil: s.Clock("m") + 4000})
			require.ErrorIs(t, err, site.ErrNoAnswer)
			s.Restart("m")
			require.EqualValues(t, 500_000, s.Clock("m"))
			time.Sleep(5 * time.Second)
			if !survive {
				require.Empty(t, s.Running("a"))
				return
			}
			require.Len(t, s.Running("a"), 1)
			time.Sleep(maxHold - 500*time.Millisecond)
			require.Len(t, s.Running("a"), 1, "the lease is cut to the longest one")
			time.Sleep(time.Second)
			require.Empty(t, s.Running("a"))
		})
	}
}
