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

// Guards against running work that is started again elsewhere because its minion answers slowly for a
// while: polls must go on renewing its leases.
func TestSlowAnswersKeepLeases(t *testing.T) {
	for _, roundTrip := range []time.Duration{500 * time.Millisecond, 800 * time.Millisecond, time.Second} {
		t.Run(roundTrip.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts, _ := startLongRunning(t, 3, 6)
				ts.minions.SetDelay(func(string, jobs.Minion) time.Duration { return roundTrip })
				gap := ts.watchGaps(6, slowNetworkTime)
				ts.minions.SetDelay(nil)
				gap = max(gap, ts.watchGaps(6, 5*time.Second))
				require.Zero(t, gap)
				ts.requireStarts(6, 1)
				ts.requireNoViolations()
			})
		})
	}
}

// Guards against tasks that run twice, or whose ends are never seen, because each answer takes longer
// than a call may last.
func TestJobsEndWhileAnswersAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 3)
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		ts.minions.SetDelay(func(string, jobs.Minion) time.Duration { return 800 * time.Millisecond })
		sleep(time.Second)
		ts.submitJob(term, slowJob, step(4), step(2, 0))
		sleep(slowNetworkTime)
		require.Equal(t, jobs.StateCompleted, ts.state(term, slowJob))
		ts.requireStarts(4, 1)
		ts.requireNoViolations()
	})
}

// Guards against running work that is started again elsewhere because a share of the connections is
// reset, or takes a second to open.
func TestBrokenConnectionsKeepLeases(t *testing.T) {
	for name, fault := range map[string]func() func(string) fleet.Fault{
		"every third is reset": func() func(string) fleet.Fault {
			var n atomic.Int64
			return func(string) fleet.Fault {
				if n.Add(1)%3 == 0 {
					return fleet.Reset
				}
				return fleet.None
			}
		},
		"connecting takes a second of two": func() func(string) fleet.Fault {
			began := time.Now()
			return func(string) fleet.Fault {
				if time.Since(began)%(2*time.Second) < time.Second {
					return fleet.Connecting
				}
				return fleet.None
			}
		},
		"connecting takes two seconds of three": func() func(string) fleet.Fault {
			began := time.Now()
			return func(string) fleet.Fault {
				if time.Since(began)%(3*time.Second) < 2*time.Second {
					return fleet.Connecting
				}
				return fleet.None
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts, _ := startLongRunning(t, 3, 6)
				ts.minions.SetFault(fault())
				gap := ts.watchGaps(6, slowNetworkTime)
				ts.minions.SetFault(nil)
				require.Zero(t, gap)
				ts.requireStarts(6, 1)
				ts.requireNoViolations()
			})
		})
	}
}
