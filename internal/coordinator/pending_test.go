package coordinator

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// Guards against jobs that are not counted as waiting, and are shown as running, though none of their
// tasks has begun: a minion refuses each start, does not answer it, or the start waits for the store.
func TestJobsCountAsWaitingUntilTheyHaveBegun(t *testing.T) {
	const n = 12
	for name, fault := range map[string]func(ts *testSite, on *atomic.Bool) func(op string) fleet.Fault{
		"starts are refused": func(ts *testSite, on *atomic.Bool) func(string) fleet.Fault {
			ts.minions.SetRefuse(func(op string, _ jobs.Minion) error {
				if on.Load() && op == "start" {
					return site.ErrBusy
				}
				return nil
			})
			return nil
		},
		"starts are not answered": func(ts *testSite, on *atomic.Bool) func(string) fleet.Fault {
			ts.minions.SetFault(func(op string) fleet.Fault {
				if on.Load() && op == "start" {
					return fleet.Reset
				}
				return fleet.None
			})
			return nil
		},
		"the store does not answer": func(_ *testSite, on *atomic.Bool) func(string) fleet.Fault {
			return func(op string) fleet.Fault {
				if on.Load() && op == "commit" {
					return fleet.Refuse
				}
				return fleet.None
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestSite(t, 2)
				ts.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return 20 * time.Second, jobs.EndDone })
				var on atomic.Bool
				term := ts.startTerm("e1", fault(ts, &on))
				defer endTerm(term)
				sleep(time.Second)
				on.Store(true)
				for i := range n {
					ts.submitJob(term, jobs.ID(fmt.Sprintf("%016x", i)), jobs.Step{Count: 1, Need: jobs.Resources{CPU: 600}, Estimate: 20 * time.Second})
				}
				for range 3 {
					sleep(400 * time.Millisecond)
					require.Equal(t, n, term.View().Pending[testQueue])
					require.Equal(t, jobs.StateQueued, ts.state(term, "0000000000000000"))
				}
				on.Store(false)
				sleep(4 * time.Second)
				require.Zero(t, term.View().Pending[testQueue])
				require.Equal(t, jobs.StateRunning, ts.state(term, "0000000000000000"))
			})
		})
	}
}
