package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// Guards against a step that starts before the steps it depends on have completed.
func TestStepsFollowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(3), step(2, 0))
		sleep(300 * time.Millisecond)
		require.Len(t, ts.minions.Running("0000000000000001.0.0.2"), 1)
		require.Empty(t, ts.minions.Running("0000000000000001.0.1.0"))
		sleep(500 * time.Millisecond)
		require.Len(t, ts.minions.Running("0000000000000001.0.1.0"), 1)
		sleep(time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000001"))
		ts.requireNoViolations()
	})
}

// Guards against a final state that is visible to callers before it is stored: a successor would
// not know of it.
func TestFinalStateIsVisibleOnceStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		var refuse atomic.Bool
		term := ts.startTerm("e1", func(op string) fleet.Fault {
			if refuse.Load() && op == "commit" {
				return fleet.Refuse
			}
			return fleet.None
		})
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(1))
		sleep(200 * time.Millisecond)
		refuse.Store(true)
		sleep(800 * time.Millisecond)
		require.Equal(t, jobs.StateRunning, ts.state(term, "0000000000000001"))
		refuse.Store(false)
		sleep(500 * time.Millisecond)
		require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000001"))
	})
}

// Guards against a task that runs twice because its coordinator was killed while the start was in
// flight.
func TestTakeoverWhileStartsAreInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 3)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 4 * time.Second, jobs.EndDone }
		term := ts.startTerm("e1", nil)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(6))
		sleep(9 * time.Millisecond) // the starts are in flight
		endTerm(term)
		next := ts.startTerm("e2", nil)
		defer endTerm(next)
		sleep(15 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(next, "0000000000000001"))
		ts.requireNoViolations()
	})
}

// Guards against a task that runs twice because its coordinator was killed after the end of the run
// was reported and before it was acknowledged.
func TestEndListedButNotNotedWhenTheHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		term := ts.startTerm("e1", func(op string) fleet.Fault {
			if op == "commit" && time.Since(ts.startedAt) > 1200*time.Millisecond {
				return fleet.Refuse
			}
			return fleet.None
		})
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(2), step(2, 0))
		sleep(700 * time.Millisecond) // both ends are reported, none is stored
		endTerm(term)
		next := ts.startTerm("e2", nil)
		defer endTerm(next)
		sleep(3 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(next, "0000000000000001"))
		require.Equal(t, 1, ts.minions.Starts("0000000000000001.0.0.0"))
		ts.requireNoViolations()
	})
}

// Guards against a run that still counts as running after its minion restarted under the same id.
func TestMinionRebornUnderItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 2 * time.Second, jobs.EndDone }
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(2))
		sleep(500 * time.Millisecond)
		ts.minions.Restart("m0")
		ts.list("m0")
		sleep(4 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000001"))
		require.Equal(t, 2, ts.minions.Starts("0000000000000001.0.0.0"))
		ts.requireNoViolations()
	})
}

// Guards against a minion whose restart is never noticed because its machine's wall clock was set back:
// its tasks would never start again.
func TestMinionRebornWithAClockSetBack(t *testing.T) {
	for name, listed := range map[string]bool{"listed": true, "not listed yet": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestSite(t, 1)
				ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 2 * time.Second, jobs.EndDone }
				term := ts.startTerm("e1", nil)
				defer endTerm(term)
				sleep(time.Second)
				ts.submitJob(term, "0000000000000001", step(2))
				sleep(500 * time.Millisecond)
				ts.minions.RestartAt("m0", -time.Minute)
				if listed {
					ts.list("m0")
				}
				sleep(4 * time.Second)
				require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000001"))
				require.Equal(t, 2, ts.minions.Starts("0000000000000001.0.0.0"))
				ts.requireNoViolations()
			})
		})
	}
}

// Guards against a second run in parallel with one whose start was carried out seconds after it was
// sent.
func TestStartsCarriedOutLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 3)
		var n atomic.Int64
		ts.minions.Fault = func(op string) fleet.Fault {
			if op == "start" && n.Add(1)%3 == 0 {
				return fleet.Late
			}
			return fleet.None
		}
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(8), step(4, 0))
		sleep(12 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000001"))
		ts.requireNoViolations()
	})
}

// Guards against renewing the leases of a minion that does not answer with each poll that it may
// receive: its tasks would never start elsewhere.
func TestSilentMinionIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 0, "" }
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		longRunning := step(1)
		longRunning.LongRunning = true
		ts.submitJob(term, "0000000000000001", longRunning)
		sleep(time.Second)
		on := ts.minions.Running("0000000000000001.0.0.0")
		require.Len(t, on, 1)
		ts.minions.Change(on[0], func(m *fleet.Minion) { m.Cut = true })
		sleep(runLeaseTTL + 2*time.Second)
		now := ts.minions.Running("0000000000000001.0.0.0")
		require.Len(t, now, 1)
		require.NotEqual(t, on[0], now[0])
		ts.requireNoViolations()
	})
}

// Guards against a task that waits for ever for the answer to its start, because each retry extends
// the lease of the minion that does not answer. It waits until the start can't be carried out any more.
func TestUnansweredStartIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		ts.minions.Change("m0", func(m *fleet.Minion) { m.Cut = true })
		ts.submitJob(term, "0000000000000001", step(1))
		sleep(100 * time.Millisecond)
		ts.addMinion("m1")
		sleep(time.Second)
		ts.submitJob(term, "0000000000000002", step(1))
		sleep(runLeaseTTL + time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000002"), "no start of it was sent to the lost minion")
		sleep(inDoubtWait - runLeaseTTL)
		require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000001"))
		ts.requireNoViolations()
	})
}

// Guards against long-running tasks that stay on a leaving minion until it is gone, instead of
// being moved to another minion before.
func TestLeavingMinionIsEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 0, "" }
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		longRunning := step(2)
		longRunning.LongRunning, longRunning.MaxUnavailable = true, 1
		ts.submitJob(term, "0000000000000001", longRunning)
		sleep(time.Second)
		ts.addMinion("m1")
		ts.minions.Change("m0", func(m *fleet.Minion) { m.Entry.Leaving = true })
		ts.list("m0")
		sleep(3 * time.Second)
		for _, name := range []string{"0000000000000001.0.0.0", "0000000000000001.0.0.1"} {
			require.Equal(t, []jobs.Minion{"m1"}, ts.minions.Running(name))
		}
		ts.requireNoViolations()
	})
}

// Guards against a successor that starts tasks that still run on a minion that it cannot reach.
func TestTakeoverWithAMinionOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 0, "" }
		term := ts.startTerm("e1", nil)
		sleep(time.Second)
		longRunning := step(2)
		longRunning.LongRunning = true
		ts.submitJob(term, "0000000000000001", longRunning)
		sleep(time.Second)
		for _, id := range []jobs.Minion{"m0", "m1"} {
			ts.minions.Change(id, func(m *fleet.Minion) { m.Cut = true })
		}
		ts.addMinion("m2")
		endTerm(term)
		next := ts.startTerm("e2", nil)
		defer endTerm(next)
		sleep(10 * time.Second)
		require.Equal(t, []jobs.Minion{"m2"}, ts.minions.Running("0000000000000001.0.0.0"))
		ts.requireNoViolations()
	})
}

// Guards against a handover that does not store the location of runs, unstored progress, or recent
// orders for machines.
func TestHandoverStoresRunsAndRecentOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		term := ts.startTerm("e1", nil)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(1), step(1, 0))
		ts.submitJob(term, "0000000000000002", step(1))
		sleep(650 * time.Millisecond)
		require.NoError(t, term.do(context.Background(), func() { term.machineOrderAnswered("machine") }))
		require.NoError(t, term.Release(context.Background()))
		var p jobs.Progress
		require.NoError(t, json.Unmarshal(ts.store.Row(ProgressKey("0000000000000001")).Value, &p))
		require.Len(t, p.On, 1)
		require.JSONEq(t, `{"e":"completed"}`, string(ts.store.Row(ProgressKey("0000000000000002")).Value))
		require.NotZero(t, ts.store.Row(recentOrdersKey).Version)
	})
}

// Guards against a start that a successor would miss. The entry VM may be killed at any time, so at
// all times the job's stored progress must name every minion that has a run of the job.
func TestStoredProgressNamesMinionsOfAllRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 4)
		var commits atomic.Int64
		term := ts.startTerm("e1", func(op string) fleet.Fault {
			if op == "commit" && commits.Add(1)%4 == 0 {
				return fleet.Late
			}
			return fleet.None
		})
		defer endTerm(term)
		sleep(time.Second)
		for i := range 12 {
			ts.submitJob(term, jobs.ID(fmt.Sprintf("%016x", i)), step(3), step(2, 0), step(4, 1))
		}
		seen := 0
		for range 1500 {
			sleep(5 * time.Millisecond)
			for i := range 12 {
				id := jobs.ID(fmt.Sprintf("%016x", i))
				var p jobs.Progress
				if v := ts.store.Row(ProgressKey(id)).Value; v != nil {
					require.NoError(t, json.Unmarshal(v, &p))
				}
				for s, n := range []int{3, 2, 4} {
					for x := range n {
						for _, m := range ts.minions.Running(fmt.Sprintf("%s.0.%d.%d", id, s, x)) {
							require.Contains(t, p.On, m)
							seen++
						}
					}
				}
			}
		}
		require.Positive(t, seen)
	})
}

// Guards against a successor in which one unreachable minion delays every job of its service until
// the leases have expired.
func TestSuccessorWaitsOnlyForMinionsThatMayRunAJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 30 * time.Second, jobs.EndDone }
		term := ts.startTerm("e1", nil)
		sleep(time.Second)
		wide := jobs.Step{Count: 1, Need: jobs.Resources{CPU: 3000}, Estimate: time.Second}
		ts.submitJob(term, "0000000000000001", wide)
		ts.submitJob(term, "0000000000000002", wide)
		sleep(time.Second)
		silent := ts.minions.Running("0000000000000001.0.0.0")[0]
		ts.minions.Change(silent, func(m *fleet.Minion) { m.Cut = true })
		ts.submitJob(nil, "0000000000000003", step(1))
		endTerm(term)
		next := ts.startTerm("e2", nil)
		defer endTerm(next)
		sleep(time.Second)
		require.Len(t, ts.minions.Running("0000000000000003.0.0.0"), 1, "the job was never started")
		require.NoError(t, next.do(context.Background(), func() {
			require.True(t, next.registry.Get("0000000000000001").Inherited)
			require.False(t, next.registry.Get("0000000000000002").Inherited, "the job runs on the other minion")
		}))
		ts.requireNoViolations()
	})
}

// Guards against memory, store and takeover times that grow with every job that ever ran.
func TestExpiredJobsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(1))
		sleep(50 * time.Second) // the retention is a minute
		require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000001"))
		sleep(time.Minute)
		st, err := term.State(context.Background(), "0000000000000001")
		require.NoError(t, err)
		require.Empty(t, st.State)
		require.Zero(t, ts.store.Row(JobKey("0000000000000001")).Version)
	})
}

// Guards against a final state that is temporarily in neither the job's progress nor its row while
// it is moved from one to the other, and against rows of ended jobs that are not compacted.
func TestRowsOfEndedJobsAreCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		var commits atomic.Int64
		term := ts.startTerm("e1", func(op string) fleet.Fault {
			if op == "commit" && commits.Add(1)%3 == 0 {
				return fleet.Late
			}
			return fleet.None
		})
		sleep(time.Second)
		const id = jobs.ID("0000000000000001")
		ts.submitJob(term, id, step(1))
		final := func() (inProgress, inRow bool) {
			return strings.Contains(string(ts.store.Row(ProgressKey(id)).Value), `"completed"`), strings.Contains(string(ts.store.Row(JobKey(id)).Value), `"completed"`)
		}
		for range 600 {
			sleep(50 * time.Millisecond)
			inProgress, inRow := final()
			if ts.state(term, id).Final() {
				require.True(t, inProgress || inRow)
			}
		}
		inProgress, inRow := final()
		require.True(t, inRow)
		require.False(t, inProgress)
		endTerm(term)
		next := ts.startTerm("e2", nil)
		defer endTerm(next)
		sleep(time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(next, id))
	})
}

// Guards against a job that took long and is forgotten as soon as a successor reads it, because its
// retention is counted from its acceptance.
func TestSuccessorKeepsAJobThatTookLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = jobs.ID("0000000000000001")
		ts := newTestSite(t, 1)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 10 * time.Minute, jobs.EndDone }
		term := ts.startTerm("e1", nil)
		sleep(time.Second)
		ts.submitJob(term, id, step(1))
		for !strings.Contains(string(ts.store.Row(ProgressKey(id)).Value), `"completed"`) {
			sleep(10 * time.Millisecond)
		}
		endTerm(term)
		require.NotContains(t, string(ts.store.Row(JobKey(id)).Value), `"completed"`, "the row is not compacted yet")
		next := ts.startTerm("e2", nil)
		defer endTerm(next)
		sleep(ts.deps("e2", nil).Limits.Retention - time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(next, id))
		require.NotEmpty(t, ts.store.Row(JobKey(id)).Value)
	})
}

// Guards against a successor that violates an availability budget because it counts a run that its
// predecessor is stopping as available.
func TestSuccessorDelaysEvictions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return time.Hour, jobs.EndDone }
		term := ts.startTerm("e1", nil)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", jobs.Step{Count: 2, Need: jobs.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1})
		sleep(time.Second)
		mayEvict := func(term *Term) (ok bool) {
			require.NoError(t, term.do(context.Background(), func() {
				x := term.registry.Get("0000000000000001").Step(0, 0).Task(0)
				require.Equal(t, jobs.Running, x.Phase)
				for _, o := range x.Step.Tasks {
					o.Percent = servingPercent
				}
				ok = term.mayEvict(x)
			}))
			return ok
		}
		require.True(t, mayEvict(term))
		endTerm(term)
		next := ts.startTerm("e2", nil)
		defer endTerm(next)
		sleep(takeoverGrace / 2)
		require.False(t, mayEvict(next))
		sleep(takeoverGrace)
		require.True(t, mayEvict(next))
	})
}

// Guards against a wave of several rounds that reserves time for only one round and ends late by
// all others: 165 machines, 66 at once, need three rounds.
func TestWaveLeavesTimeForItsRounds(t *testing.T) {
	require.Equal(t, waveRound+waveMargin, waveTimeNeeded(1, 66))
	require.Equal(t, waveRound+waveMargin, waveTimeNeeded(66, 66))
	require.Equal(t, 3*waveRound+waveMargin, waveTimeNeeded(165, 66))
	require.Equal(t, 4*waveRound+waveMargin, waveTimeNeeded(4, 0))
}

// Guards against polls that take up the whole processor when many minions are busy, and against
// late detection of ended runs on a small site.
func TestPollRateIsLimitedByCores(t *testing.T) {
	require.Equal(t, minPollGap, pollGapFor(40, 0.4))
	for _, busy := range []int{40, 350, 1200} {
		for _, cores := range []float64{0, 0.2, 0.8, 4} {
			gap := pollGapFor(busy, cores)
			require.GreaterOrEqual(t, gap, minPollGap)
			require.LessOrEqual(t, float64(busy)/gap.Seconds(), max(pollsPerCore*max(cores, minCores), float64(busy)/minPollGap.Seconds())+1)
			if cores > 0.1 && float64(busy)/minPollGap.Seconds() > pollsPerCore*cores {
				require.InDelta(t, pollsPerCore*cores, float64(busy)/gap.Seconds(), 1)
			}
		}
	}
}

// Guards against an entry VM that keeps the lease although it is too small to load the tables.
func TestSmallCoordinatorYieldsBeforeLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		term := ts.startTerm("e1", func(op string) fleet.Fault {
			if op == "read" {
				return fleet.Lose
			}
			return fleet.None
		})
		defer endTerm(term)
		sleep(5 * time.Second)
		require.NoError(t, term.do(context.Background(), func() {
			require.False(t, term.loaded)
			term.members.byName["e2"] = &memberState{row: MemberRow{Cores: 1}, inFlight: true, promisedAt: term.now}
		}))
		require.True(t, term.ShouldYield(context.Background()))
	})
}

// Guards against a transaction that writes a row twice, which the store rejects each time. A run of
// an ended job was reported while the job's progress was being removed; from then on no coordinator
// could write.
func TestEndAfterFinalStateIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		const id = jobs.ID("0000000000000001")
		ts.submitJob(term, id, step(1))
		sleep(50 * time.Millisecond)
		ok, err := term.Cancel(context.Background(), id)
		require.NoError(t, err)
		require.True(t, ok)
		require.NoError(t, term.do(context.Background(), func() {
			term.writer.obsoleteProgress[id] = true
			x := term.registry.Get(id).Step(0, 0).Task(0)
			require.True(t, term.registry.Finish(x, x.Run+1, "m0", jobs.EndFailed, "", 3, term.now))
			puts := term.collectBatch().puts
			keys := map[string]int{}
			for _, p := range puts {
				keys[p.Key]++
			}
			require.Equal(t, 1, keys[ProgressKey(id)])
			require.Empty(t, term.registry.Unsaved())
		}))
		sleep(time.Second)
		require.NoError(t, context.Cause(term.ctx))
	})
}

// Guards against a successor that runs a job again because only the job's progress, but not yet its
// row, holds the final state.
func TestFinalStateInProgressIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		term := ts.startTerm("e1", nil)
		sleep(time.Second)
		const id = jobs.ID("0000000000000001")
		ts.submitJob(term, id, step(1))
		for !ts.state(term, id).Final() {
			sleep(10 * time.Millisecond)
		}
		endTerm(term)
		require.NotContains(t, string(ts.store.Row(JobKey(id)).Value), `"completed"`, "the row is compacted some seconds later")
		next := ts.startTerm("e2", nil)
		defer endTerm(next)
		sleep(10 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(next, id))
		require.Contains(t, string(ts.store.Row(JobKey(id)).Value), `"completed"`)
		require.Zero(t, ts.store.Row(ProgressKey(id)).Version)
		ts.requireNoViolations()
	})
}

// Guards against jobs that are never seen because the store's change history was dropped and the
// entry VM's announcement was lost.
func TestHistoryGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(nil, "0000000000000001", step(1))
		ts.store.Compact()
		sleep(4 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000001"))
	})
}

// Guards against a team that uses more than its limit on all minions together.
func TestTeamLimitHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 3)
		team := ts.config.Teams[testTeam]
		team.Limit.CPU = 5000
		ts.config.Teams[testTeam] = team
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(7))
		ts.submitJob(term, "0000000000000002", step(3))
		sleep(200 * time.Millisecond)
		running := 0
		for _, name := range []string{"1.0.0.0", "1.0.0.1", "1.0.0.2", "1.0.0.3", "1.0.0.4", "1.0.0.5", "1.0.0.6", "2.0.0.0", "2.0.0.1", "2.0.0.2"} {
			running += len(ts.minions.Running("000000000000000" + name))
		}
		require.Equal(t, 5, running)
		sleep(3 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000002"))
		ts.requireNoViolations()
	})
}

// Guards against a cancelled job that continues, and a cancellation that is acknowledged before it
// is stored.
func TestCancelStopsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return time.Minute, jobs.EndDone }
		term := ts.startTerm("e1", nil)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(3))
		sleep(100 * time.Millisecond)
		ok, err := term.Cancel(context.Background(), "0000000000000001")
		require.NoError(t, err)
		require.True(t, ok)
		endTerm(term)
		next := ts.startTerm("e2", nil)
		defer endTerm(next)
		sleep(time.Second)
		require.Equal(t, jobs.StateCancelled, ts.state(next, "0000000000000001"))
		require.Empty(t, ts.minions.Running("0000000000000001.0.0.0"))
	})
}

// Guards against a failing job that is retried for ever, and against a job that fails after fewer
// attempts than its queue allows because a takeover counts some of them twice.
func TestAttemptsAreCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 300 * time.Millisecond, jobs.EndFailed }
		term := ts.startTerm("e1", nil)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(1))
		sleep(450 * time.Millisecond) // one run has failed
		endTerm(term)
		next := ts.startTerm("e2", nil)
		defer endTerm(next)
		sleep(3 * time.Second)
		require.Equal(t, jobs.StateFailed, ts.state(next, "0000000000000001"))
		require.Equal(t, 3, ts.minions.Starts("0000000000000001.0.0.0"))
	})
}

// Guards against exceeding an availability budget because a task whose minion lost one answer
// counts as unavailable, and is therefore evicted freely.
func TestEvacuationKeepsTheBudget(t *testing.T) {
	term := &Term{minions: nil}
	s := &jobs.StepRun{Spec: &jobs.Step{LongRunning: true, MaxUnavailable: 1}}
	for range 3 {
		s.Tasks = append(s.Tasks, &jobs.Task{Step: s, Phase: jobs.Running, Percent: 0})
	}
	require.False(t, term.mayEvict(s.Tasks[0]), "the two other tasks are not known to be available")
}

// Guards against a successor that takes down machines in addition to those that its predecessor has
// taken down.
func TestSuccessorCountsMachinesThatMayBeDown(t *testing.T) {
	term := &Term{now: time.Hour, startedAt: time.Hour, deps: Deps{Limits: Limits{MachineOrderGap: 3 * time.Second}}}
	term.machines.init()
	term.restoreRecentOrders([]byte(`{"m1":0,"m4":3400}`))
	require.True(t, term.mayBeDown(&waveMachine{name: "m1"}), "the predecessor has just ordered it")
	require.True(t, term.mayBeDown(&waveMachine{name: "m2", state: maintenanceDown}))
	require.False(t, term.mayBeDown(&waveMachine{name: "m3"}))
	term.machines.byName["m3"] = site.Machine{Name: "m3", State: site.MachineMaintenance}
	require.True(t, term.mayBeDown(&waveMachine{name: "m3"}))
	require.True(t, term.mayBeDown(&waveMachine{name: "m4"}))
	term.now += 200 * time.Millisecond
	require.False(t, term.mayBeDown(&waveMachine{name: "m4"}), "the predecessor ordered it 3.4 s before it wrote the row")
	require.True(t, term.mayBeDown(&waveMachine{name: "m1"}))
	term.now += time.Minute
	require.False(t, term.mayBeDown(&waveMachine{name: "m1"}))
}

// Guards against a successor that waits for seconds before it orders machines that its predecessor
// ordered long ago: the ages in the stored row must advance and be handed on.
func TestDutiesAge(t *testing.T) {
	term := &Term{now: time.Hour, startedAt: time.Hour, deps: Deps{Limits: Limits{MachineOrderGap: 3 * time.Second}}}
	term.machines.init()
	term.restoreRecentOrders([]byte(`{"m1":1000}`))
	term.machines.lastOrder["m2"] = time.Hour
	term.now += 2 * time.Second
	require.Equal(t, map[model.VM]int64{"m1": 3000, "m2": 2000}, term.recentOrderAges())
	term.now += time.Second
	require.Equal(t, map[model.VM]int64{"m2": 3000}, term.recentOrderAges())
}

// Guards against a minion that gets work although its row is removed: it left the list while its data
// centre was cut off, was given up, and came back before the removal of its row was written. A
// successor does not know of it and starts its tasks again (TWICE on scale-1 of a small site).
func TestReturnedMinionStaysRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		ts.addMinion("back")
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		require.NotZero(t, ts.store.Row(minionKey("back")).Version)
		ts.minions.Change("back", func(m *fleet.Minion) { m.Cut = true })
		entry := ts.minions.EntryRow("back")
		require.NoError(t, term.do(t.Context(), func() { term.applyMinionEntry("back", nil) }))
		known := true
		for known {
			sleep(time.Millisecond)
			require.NoError(t, term.do(t.Context(), func() {
				m := term.minions["back"]
				if known = m != nil; known && term.now > m.RunsExpireAt-50*time.Millisecond {
					term.writer.notBefore = term.now + 100*time.Millisecond // a write takes this long
				}
			}))
		}
		ts.minions.Change("back", func(m *fleet.Minion) { m.Cut = false })
		require.NoError(t, term.do(t.Context(), func() { term.applyMinionEntry("back", entry) }))
		sleep(3 * time.Second)
		row := ts.store.Row(minionKey("back"))
		require.NotZero(t, row.Version)
		require.NotNil(t, row.Value, "the row of a minion that may get work is removed")
	})
}
