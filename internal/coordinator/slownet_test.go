package coordinator

import (
	"fmt"
	"math/rand/v2"
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

// Guards against tasks that run twice and jobs that never end while answers take up to a second,
// connections are reset or do not open, orders are lost or carried out late, and minions restart or
// are cut off.
func TestSoakWithSlowNetwork(t *testing.T) { runSeeds(t, soakSeeds[:30], runSlowSoak) }

func runSlowSoak(t *testing.T, seed uint64) {
	r := &lockedRand{r: rand.New(rand.NewPCG(seed, 2))}
	ts := newTestSite(t, soakMinions)
	ts.minions.Work = func(task string, run int) (time.Duration, jobs.End) {
		return time.Duration(50+len(task)*7+run%3*100) * time.Millisecond, jobs.EndDone
	}
	ts.config.Queues[0].MaxAttempts = 1
	ts.config.Index()
	term := ts.startTerm("e1", nil)
	defer endTerm(term)
	sleep(time.Second)
	var slowest, faulty atomic.Int64 // round trip in ms, and share of faults in percent
	ts.minions.SetDelay(func(string, jobs.Minion) time.Duration {
		return time.Duration(r.IntN(int(slowest.Load())+1)) * time.Millisecond
	})
	ts.minions.SetFault(func(string) fleet.Fault {
		if int64(r.IntN(100)) >= faulty.Load() {
			return fleet.None
		}
		return []fleet.Fault{fleet.Lose, fleet.Late, fleet.Reset, fleet.Connecting}[r.IntN(4)]
	})
	ids := make([]jobs.Minion, soakMinions)
	for n := range ids {
		ids[n] = jobs.Minion(fmt.Sprint("m", n))
	}
	for i := range soakSteps {
		ts.submitJob(term, jobs.ID(fmt.Sprintf("%016x", i)), step(1+r.IntN(5)), step(1+r.IntN(4), 0))
		slowest.Store(int64(r.IntN(3) * r.IntN(500)))
		faulty.Store(int64(r.IntN(2) * r.IntN(40)))
		sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		id := ids[r.IntN(soakMinions)]
		switch r.IntN(6) {
		case 0:
			ts.minions.Change(id, func(m *fleet.Minion) { m.Cut = true })
		case 1:
			ts.minions.Change(id, func(m *fleet.Minion) { m.Down = true })
			sleep(time.Duration(100+r.IntN(900)) * time.Millisecond)
			ts.minions.Restart(id)
			ts.list(id)
		}
		if r.IntN(4) == 0 {
			for _, id := range ids {
				ts.minions.Change(id, func(m *fleet.Minion) { m.Cut = false })
			}
		}
	}
	slowest.Store(0)
	faulty.Store(0)
	for _, id := range ids {
		ts.minions.Change(id, func(m *fleet.Minion) { m.Cut = false })
	}
	sleep(soakSettleTime)
	for i := range soakSteps {
		require.Equal(t, jobs.StateCompleted, ts.state(term, jobs.ID(fmt.Sprintf("%016x", i))), "job %d", i)
	}
	ts.requireNoViolations()
}
