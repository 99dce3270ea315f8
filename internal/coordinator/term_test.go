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

// Guards against a step that starts before the steps that it comes after have ended.
func TestStepsFollowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		term := b.take("e1", nil)
		defer end(term)
		sleep(time.Second)
		b.accept(term, "0000000000000001", step(3), step(2, 0))
		sleep(300 * time.Millisecond)
		require.Len(t, b.minions.Running("0000000000000001.0.0.2"), 1)
		require.Empty(t, b.minions.Running("0000000000000001.0.1.0"))
		sleep(500 * time.Millisecond)
		require.Len(t, b.minions.Running("0000000000000001.0.1.0"), 1)
		sleep(time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(term, "0000000000000001"))
		b.clean()
	})
}

// Guards against a final state that is shown before a successor would know of it.
func TestFinalStateIsShownOnceStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		var refuse atomic.Bool
		term := b.take("e1", func(op string) fleet.Fault {
			if refuse.Load() && op == "commit" {
				return fleet.Refuse
			}
			return fleet.None
		})
		defer end(term)
		sleep(time.Second)
		b.accept(term, "0000000000000001", step(1))
		sleep(200 * time.Millisecond)
		refuse.Store(true)
		sleep(800 * time.Millisecond)
		require.Equal(t, jobs.StateRunning, b.state(term, "0000000000000001"))
		refuse.Store(false)
		sleep(500 * time.Millisecond)
		require.Equal(t, jobs.StateCompleted, b.state(term, "0000000000000001"))
	})
}

// Guards against a task that runs twice because a start was under way when its
// coordinator was killed.
func TestTakeoverWhileStartsAreInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.minions.Work = func(string, int) (time.Duration, jobs.End) { return 4 * time.Second, jobs.EndDone }
		term := b.take("e1", nil)
		sleep(time.Second)
		b.accept(term, "0000000000000001", step(6))
		sleep(9 * time.Millisecond) // the starts are on their way
		end(term)
		next := b.take("e2", nil)
		defer end(next)
		sleep(15 * time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(next, "0000000000000001"))
		b.clean()
	})
}

// Guards against a task that runs twice because its coordinator was killed between an end
// and its note.
func TestEndListedButNotNotedWhenTheHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		term := b.take("e1", func(op string) fleet.Fault {
			if op == "commit" && time.Since(b.began) > 1200*time.Millisecond {
				return fleet.Refuse
			}
			return fleet.None
		})
		sleep(time.Second)
		b.accept(term, "0000000000000001", step(2), step(2, 0))
		sleep(700 * time.Millisecond) // both ends are listed, none is stored
		end(term)
		next := b.take("e2", nil)
		defer end(next)
		sleep(3 * time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(next, "0000000000000001"))
		require.Equal(t, 1, b.minions.Starts("0000000000000001.0.0.0"))
		b.clean()
	})
}

// Guards against a run that counts as going on after its minion started again under its id.
func TestMinionRebornUnderItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.minions.Work = func(string, int) (time.Duration, jobs.End) { return 2 * time.Second, jobs.EndDone }
		term := b.take("e1", nil)
		defer end(term)
		sleep(time.Second)
		b.accept(term, "0000000000000001", step(2))
		sleep(500 * time.Millisecond)
		b.minions.Restart("m0")
		b.list("m0")
		sleep(4 * time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(term, "0000000000000001"))
		require.Equal(t, 2, b.minions.Starts("0000000000000001.0.0.0"))
		b.clean()
	})
}

// Guards against a second run beside one whose start was carried out seconds after it was
// sent.
func TestStartsCarriedOutLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		var n atomic.Int64
		b.minions.Fault = func(op string) fleet.Fault {
			if op == "start" && n.Add(1)%3 == 0 {
				return fleet.Late
			}
			return fleet.None
		}
		term := b.take("e1", nil)
		defer end(term)
		sleep(time.Second)
		b.accept(term, "0000000000000001", step(8), step(4, 0))
		sleep(12 * time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(term, "0000000000000001"))
		b.clean()
	})
}

// Guards against a silent minion whose lease is prolonged with each look that it might
// still hear: its tasks would never start elsewhere.
func TestSilentMinionIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		b.minions.Work = func(string, int) (time.Duration, jobs.End) { return 0, "" }
		term := b.take("e1", nil)
		defer end(term)
		sleep(time.Second)
		lasting := step(1)
		lasting.LongRunning = true
		b.accept(term, "0000000000000001", lasting)
		sleep(time.Second)
		on := b.minions.Running("0000000000000001.0.0.0")
		require.Len(t, on, 1)
		b.minions.Change(on[0], func(m *fleet.Minion) { m.Cut = true })
		sleep(leaseSpan + 2*time.Second)
		now := b.minions.Running("0000000000000001.0.0.0")
		require.Len(t, now, 1)
		require.NotEqual(t, on[0], now[0])
		b.clean()
	})
}

// Guards against a task that waits for ever for an answer to its start because each
// repetition prolongs the lease of the minion that does not answer.
func TestUnansweredStartIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		term := b.take("e1", nil)
		defer end(term)
		sleep(time.Second)
		b.minions.Change("m0", func(m *fleet.Minion) { m.Cut = true })
		b.accept(term, "0000000000000001", step(1))
		sleep(100 * time.Millisecond)
		b.addMinion("m1")
		sleep(leaseSpan + 2*time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(term, "0000000000000001"))
		b.clean()
	})
}

// Guards against lasting tasks that wait on a leaving minion for its end, instead of being at
// work elsewhere before.
func TestLeavingMinionIsEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.minions.Work = func(string, int) (time.Duration, jobs.End) { return 0, "" }
		term := b.take("e1", nil)
		defer end(term)
		sleep(time.Second)
		lasting := step(2)
		lasting.LongRunning, lasting.MaxUnavailable = true, 1
		b.accept(term, "0000000000000001", lasting)
		sleep(time.Second)
		b.addMinion("m1")
		b.minions.Change("m0", func(m *fleet.Minion) { m.Entry.Leaving = true })
		b.list("m0")
		sleep(3 * time.Second)
		for _, name := range []string{"0000000000000001.0.0.0", "0000000000000001.0.0.1"} {
			require.Equal(t, []jobs.Minion{"m1"}, b.minions.Running(name))
		}
		b.clean()
	})
}

// Guards against a successor that starts tasks which still run on a minion that it cannot
// reach.
func TestTakeoverWithAMinionOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		b.minions.Work = func(string, int) (time.Duration, jobs.End) { return 0, "" }
		term := b.take("e1", nil)
		sleep(time.Second)
		lasting := step(2)
		lasting.LongRunning = true
		b.accept(term, "0000000000000001", lasting)
		sleep(time.Second)
		for _, id := range []jobs.Minion{"m0", "m1"} {
			b.minions.Change(id, func(m *fleet.Minion) { m.Cut = true })
		}
		b.addMinion("m2")
		end(term)
		next := b.take("e2", nil)
		defer end(next)
		sleep(10 * time.Second)
		require.Equal(t, []jobs.Minion{"m2"}, b.minions.Running("0000000000000001.0.0.0"))
		b.clean()
	})
}

// Guards against a hand-over that leaves out where runs are, progress that was not stored
// yet, or orders for machines.
func TestHandOverTellsTheRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		term := b.take("e1", nil)
		sleep(time.Second)
		b.accept(term, "0000000000000001", step(1), step(1, 0))
		b.accept(term, "0000000000000002", step(1))
		sleep(650 * time.Millisecond)
		require.NoError(t, term.do(context.Background(), func() { term.orderAnswered("machine") }))
		require.NoError(t, term.Release(context.Background()))
		var p jobs.Progress
		require.NoError(t, json.Unmarshal(b.store.Row(ProgressKey("0000000000000001")).Value, &p))
		require.Len(t, p.On, 1)
		require.JSONEq(t, `{"e":"completed"}`, string(b.store.Row(ProgressKey("0000000000000002")).Value))
		require.NotZero(t, b.store.Row(dutyKey).Version)
	})
}

// Guards against a start that no successor would look for: the entry VM is killed at any
// moment, and each run that a minion has must be on a minion that the job's row names.
func TestStartsAreCovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4)
		var commits atomic.Int64
		term := b.take("e1", func(op string) fleet.Fault {
			if op == "commit" && commits.Add(1)%4 == 0 {
				return fleet.Late
			}
			return fleet.None
		})
		defer end(term)
		sleep(time.Second)
		for i := range 12 {
			b.accept(term, jobs.ID(fmt.Sprintf("%016x", i)), step(3), step(2, 0), step(4, 1))
		}
		seen := 0
		for range 1500 {
			sleep(5 * time.Millisecond)
			for i := range 12 {
				id := jobs.ID(fmt.Sprintf("%016x", i))
				var p jobs.Progress
				if v := b.store.Row(ProgressKey(id)).Value; v != nil {
					require.NoError(t, json.Unmarshal(v, &p))
				}
				for s, n := range []int{3, 2, 4} {
					for x := range n {
						for _, m := range b.minions.Running(fmt.Sprintf("%s.0.%d.%d", id, s, x)) {
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

// Guards against a successor in which one silent minion holds up every job of its service
// until the leases are over.
func TestSuccessorWaitsOnlyForMinionsThatMayRunAJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		b.minions.Work = func(string, int) (time.Duration, jobs.End) { return 30 * time.Second, jobs.EndDone }
		term := b.take("e1", nil)
		sleep(time.Second)
		wide := jobs.Step{Count: 1, Need: jobs.Resources{CPU: 3000}, Estimate: time.Second}
		b.accept(term, "0000000000000001", wide)
		b.accept(term, "0000000000000002", wide)
		sleep(time.Second)
		silent := b.minions.Running("0000000000000001.0.0.0")[0]
		b.minions.Change(silent, func(m *fleet.Minion) { m.Cut = true })
		b.accept(nil, "0000000000000003", step(1))
		end(term)
		next := b.take("e2", nil)
		defer end(next)
		sleep(time.Second)
		require.Len(t, b.minions.Running("0000000000000003.0.0.0"), 1, "it was never started")
		require.NoError(t, next.do(context.Background(), func() {
			require.True(t, next.book.Get("0000000000000001").Inherited)
			require.False(t, next.book.Get("0000000000000002").Inherited, "it runs elsewhere")
		}))
		b.clean()
	})
}

// Guards against memory, store and takeovers that grow with all jobs that ever were.
func TestOldJobsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		term := b.take("e1", nil)
		defer end(term)
		sleep(time.Second)
		b.accept(term, "0000000000000001", step(1))
		sleep(50 * time.Second) // the retention is a minute
		require.Equal(t, jobs.StateCompleted, b.state(term, "0000000000000001"))
		sleep(time.Minute)
		_, ok, err := term.State(context.Background(), "0000000000000001")
		require.NoError(t, err)
		require.False(t, ok)
		require.Zero(t, b.store.Row(JobKey("0000000000000001")).Version)
	})
}

// Guards against a job whose final state is nowhere between its progress and its row, and
// against rows that keep what only a job that goes on needs.
func TestRowsOfEndedJobsShrink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		var commits atomic.Int64
		term := b.take("e1", func(op string) fleet.Fault {
			if op == "commit" && commits.Add(1)%3 == 0 {
				return fleet.Late
			}
			return fleet.None
		})
		sleep(time.Second)
		const id = jobs.ID("0000000000000001")
		b.accept(term, id, step(1))
		final := func() (inProgress, inRow bool) {
			return strings.Contains(string(b.store.Row(ProgressKey(id)).Value), `"completed"`), strings.Contains(string(b.store.Row(JobKey(id)).Value), `"completed"`)
		}
		for range 600 {
			sleep(50 * time.Millisecond)
			inProgress, inRow := final()
			if b.state(term, id).Final() {
				require.True(t, inProgress || inRow)
			}
		}
		inProgress, inRow := final()
		require.True(t, inRow)
		require.False(t, inProgress)
		end(term)
		next := b.take("e2", nil)
		defer end(next)
		sleep(time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(next, id))
	})
}

// Guards against an availability budget that a successor breaks because it takes a run that
// its predecessor is stopping for one at work.
func TestSuccessorEndsNoLastingTaskAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		b.minions.Work = func(string, int) (time.Duration, jobs.End) { return time.Hour, jobs.EndDone }
		term := b.take("e1", nil)
		sleep(time.Second)
		b.accept(term, "0000000000000001", jobs.Step{Count: 2, Need: jobs.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1})
		sleep(time.Second)
		mayEnd := func(term *Term) (ok bool) {
			require.NoError(t, term.do(context.Background(), func() {
				x := term.book.Get("0000000000000001").Steps[0].Tasks[0]
				require.Equal(t, jobs.Running, x.Phase)
				for _, o := range x.Step.Tasks {
					o.Percent = atWork
				}
				ok = term.mayEnd(x)
			}))
			return ok
		}
		require.True(t, mayEnd(term))
		end(term)
		next := b.take("e2", nil)
		defer end(next)
		sleep(stopSettle / 2)
		require.False(t, mayEnd(next))
		sleep(stopSettle)
		require.True(t, mayEnd(next))
	})
}

// Guards against a wave of several rounds that begins its last round when there is time for
// one, and is late by all others: at 165 machines, 66 at once, it needs three.
func TestWaveLeavesTimeForItsRounds(t *testing.T) {
	require.Equal(t, waveRound+waveMargin, waveNeeds(1, 66))
	require.Equal(t, waveRound+waveMargin, waveNeeds(66, 66))
	require.Equal(t, 3*waveRound+waveMargin, waveNeeds(165, 66))
	require.Equal(t, 4*waveRound+waveMargin, waveNeeds(4, 0))
}

// Guards against looks that take the whole processor when many minions are busy, and
// against ends that are seen late on a small site.
func TestLooksAreBoundedByTheProcessor(t *testing.T) {
	require.Equal(t, holdGap, lookGap(40, 0.4))
	for _, busy := range []int{40, 350, 1200} {
		for _, cores := range []float64{0, 0.2, 0.8, 4} {
			gap := lookGap(busy, cores)
			require.GreaterOrEqual(t, gap, holdGap)
			require.LessOrEqual(t, float64(busy)/gap.Seconds(), max(looksPerCore*max(cores, leastCores), float64(busy)/holdGap.Seconds())+1)
			if cores > 0.1 && float64(busy)/holdGap.Seconds() > looksPerCore*cores {
				require.InDelta(t, looksPerCore*cores, float64(busy)/gap.Seconds(), 1)
			}
		}
	}
}

// Guards against an entry VM that is too small to read the tables and keeps the lease.
func TestSmallCoordinatorGivesWayBeforeItHasLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		term := b.take("e1", func(op string) fleet.Fault {
			if op == "read" {
				return fleet.Lose
			}
			return fleet.None
		})
		defer end(term)
		sleep(5 * time.Second)
		require.NoError(t, term.do(context.Background(), func() {
			require.False(t, term.loaded)
			term.members.byName["e2"] = &memberState{row: MemberRow{Cores: 1}, asking: true, promised: term.now}
		}))
		require.True(t, term.ShouldYield(context.Background()))
	})
}

// Guards against a transaction with a row twice, which the store refuses each time it is
// sent: a run of a job that had ended was reported while the job's progress was being
// removed, and from then on no coordinator could write.
func TestEndAfterTheFinalStateIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		term := b.take("e1", nil)
		defer end(term)
		sleep(time.Second)
		const id = jobs.ID("0000000000000001")
		b.accept(term, id, step(1))
		sleep(50 * time.Millisecond)
		ok, err := term.Cancel(context.Background(), id)
		require.NoError(t, err)
		require.True(t, ok)
		require.NoError(t, term.do(context.Background(), func() {
			term.journal.spent[id] = true
			x := term.book.Get(id).Steps[0].Tasks[0]
			require.True(t, term.book.Finish(x, x.Run+1, "m0", jobs.EndFailed, "", 3, term.now))
			puts, _, _ := term.batch()
			keys := map[string]int{}
			for _, p := range puts {
				keys[p.Key]++
			}
			require.Equal(t, 1, keys[ProgressKey(id)])
			require.Empty(t, term.book.Unsaved())
		}))
		sleep(time.Second)
		require.NoError(t, context.Cause(term.ctx))
	})
}

// Guards against a job that a successor runs again because only its progress says that it
// has ended.
func TestFinalStateIsTakenOverBeforeItsRowSaysIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		term := b.take("e1", nil)
		sleep(time.Second)
		const id = jobs.ID("0000000000000001")
		b.accept(term, id, step(1))
		for !b.state(term, id).Final() {
			sleep(10 * time.Millisecond)
		}
		end(term)
		require.NotContains(t, string(b.store.Row(JobKey(id)).Value), `"completed"`, "the row is written some seconds later")
		next := b.take("e2", nil)
		defer end(next)
		sleep(10 * time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(next, id))
		require.Contains(t, string(b.store.Row(JobKey(id)).Value), `"completed"`)
		require.Zero(t, b.store.Row(ProgressKey(id)).Version)
		b.clean()
	})
}

// Guards against jobs that are never seen because the store's history was dropped and the
// entry VM's offer was lost.
func TestHistoryGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		term := b.take("e1", nil)
		defer end(term)
		sleep(time.Second)
		b.accept(nil, "0000000000000001", step(1))
		b.store.Compact()
		sleep(4 * time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(term, "0000000000000001"))
	})
}

// Guards against more running for a team than its limit, on all minions together.
func TestTeamLimitHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		team := b.config.Teams[testTeam]
		team.Limit.CPU = 5000
		b.config.Teams[testTeam] = team
		term := b.take("e1", nil)
		defer end(term)
		sleep(time.Second)
		b.accept(term, "0000000000000001", step(7))
		b.accept(term, "0000000000000002", step(3))
		sleep(200 * time.Millisecond)
		running := 0
		for _, name := range []string{"1.0.0.0", "1.0.0.1", "1.0.0.2", "1.0.0.3", "1.0.0.4", "1.0.0.5", "1.0.0.6", "2.0.0.0", "2.0.0.1", "2.0.0.2"} {
			running += len(b.minions.Running("000000000000000" + name))
		}
		require.Equal(t, 5, running)
		sleep(3 * time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(term, "0000000000000002"))
		b.clean()
	})
}

// Guards against a job that is cancelled and goes on, and a cancelling that is
// acknowledged before it is stored.
func TestCancelEndsWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		b.minions.Work = func(string, int) (time.Duration, jobs.End) { return time.Minute, jobs.EndDone }
		term := b.take("e1", nil)
		sleep(time.Second)
		b.accept(term, "0000000000000001", step(3))
		sleep(100 * time.Millisecond)
		ok, err := term.Cancel(context.Background(), "0000000000000001")
		require.NoError(t, err)
		require.True(t, ok)
		end(term)
		next := b.take("e2", nil)
		defer end(next)
		sleep(time.Second)
		require.Equal(t, jobs.StateCancelled, b.state(next, "0000000000000001"))
		require.Empty(t, b.minions.Running("0000000000000001.0.0.0"))
	})
}

// Guards against a hopeless job that is tried for ever, and against one that fails for
// fewer ends than its queue allows because a takeover counts some twice.
func TestAttemptsAreCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		b.minions.Work = func(string, int) (time.Duration, jobs.End) { return 300 * time.Millisecond, jobs.EndFailed }
		term := b.take("e1", nil)
		sleep(time.Second)
		b.accept(term, "0000000000000001", step(1))
		sleep(450 * time.Millisecond) // one run has failed
		end(term)
		next := b.take("e2", nil)
		defer end(next)
		sleep(3 * time.Second)
		require.Equal(t, jobs.StateFailed, b.state(next, "0000000000000001"))
		require.Equal(t, 3, b.minions.Starts("0000000000000001.0.0.0"))
	})
}

// Guards against a budget that is broken because a task on a minion with one lost answer
// counts as away and is ended freely.
func TestEvacuationKeepsTheBudget(t *testing.T) {
	term := &Term{minions: nil}
	s := &jobs.StepRun{Spec: &jobs.Step{LongRunning: true, MaxUnavailable: 1}}
	for range 3 {
		s.Tasks = append(s.Tasks, &jobs.Task{Step: s, Phase: jobs.Running, Percent: 0})
	}
	require.False(t, term.mayEnd(s.Tasks[0]), "two others have not been seen at work")
}

// Guards against a successor that takes machines down beside those that its predecessor
// has taken down.
func TestSuccessorCountsMachinesThatMayBeDown(t *testing.T) {
	term := &Term{now: time.Hour, began: time.Hour, d: Deps{Limits: Limits{MachineOrderGap: 3 * time.Second}}}
	term.machines.init()
	term.takeDuties([]byte(`{"m1":0,"m4":3400}`))
	require.True(t, term.mayBeDown(&waveMachine{name: "m1"}), "ordered by the predecessor")
	require.True(t, term.mayBeDown(&waveMachine{name: "m2", state: dutyDown}))
	require.False(t, term.mayBeDown(&waveMachine{name: "m3"}))
	term.machines.byName["m3"] = site.Machine{Name: "m3", State: site.MachineMaintenance}
	require.True(t, term.mayBeDown(&waveMachine{name: "m3"}))
	require.True(t, term.mayBeDown(&waveMachine{name: "m4"}))
	term.now += 200 * time.Millisecond
	require.False(t, term.mayBeDown(&waveMachine{name: "m4"}), "ordered 3.4 s before the row was written")
	require.True(t, term.mayBeDown(&waveMachine{name: "m1"}))
	term.now += time.Minute
	require.False(t, term.mayBeDown(&waveMachine{name: "m1"}))
}

// Guards against a successor that keeps away for seconds from machines that its
// predecessor ordered long ago: the ages in the row are kept up and handed on.
func TestDutiesAge(t *testing.T) {
	term := &Term{now: time.Hour, began: time.Hour, d: Deps{Limits: Limits{MachineOrderGap: 3 * time.Second}}}
	term.machines.init()
	term.takeDuties([]byte(`{"m1":1000}`))
	term.machines.ordered["m2"] = time.Hour
	term.now += 2 * time.Second
	require.Equal(t, map[model.VM]int64{"m1": 3000, "m2": 2000}, term.duties())
	term.now += time.Second
	require.Equal(t, map[model.VM]int64{"m2": 3000}, term.duties())
}
