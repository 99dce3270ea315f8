package coordinator

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/holding"
	"boragepulley/internal/indoubt"
	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
)

// inDoubtWait is how long a task may wait for a start that got no answer, from the start on: the time for which its
// sender waits, the longest delay of an order and the longest lease.
var inDoubtWait = 1500*time.Millisecond + indoubt.MaxDelay + holding.LongestLease(6*time.Second)

// holdUpStart holds back the first start to m0, which gets no answer. It is carried out when the returned function is
// called.
func (s *restartSite) holdUpStart() (carryOut func()) {
	var taken atomic.Bool
	held := make(chan delayedStart, 1)
	s.calls.onStart(func(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
		if to.ID != "m0" || !taken.CompareAndSwap(false, true) {
			return s.minions.Start(ctx, to, o)
		}
		held <- delayedStart{to, o}
		return 0, unanswered(ctx)
	})
	return func() {
		start := <-held
		_, err := s.minions.Start(context.Background(), start.to, start.order)
		s.t.Log("held start:", err)
	}
}

// fallSilentWithHeldStart orders the task of slowJob on m0, which holds the start back and then answers no call. m1
// can take the task.
func (s *restartSite) fallSilentWithHeldStart() (carryOut func()) {
	carryOut = s.holdUpStart()
	s.submitJob(s.term, slowJob, longRunningStep(1))
	sleep(50 * time.Millisecond)
	s.calls.silent.Store(true)
	s.addMinion("m1")
	return carryOut
}

// Guards against a second run of a task, one of whose starts is carried out late by a restarted minion that does not
// answer: the leases on the clock that was known are over, and the list of minions tells of no restart.
func TestStartCarriedOutBehindACutRunsNoTaskTwice(t *testing.T) {
	for _, late := range []time.Duration{2, 5, 8, 11} {
		for _, answered := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d s late, second attempt answered %t", late, answered), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newRestartSite(t, earlierClock, laterClock)
					carryOut := s.holdUpStart()
					s.submitJob(s.term, slowJob, longRunningStep(1))
					if answered {
						sleep(600 * time.Millisecond)
						require.Equal(t, 1, s.minions.Starts(taskOfSlowJob(0)))
					} else {
						sleep(50 * time.Millisecond)
					}
					s.calls.silent.Store(true)
					s.addMinion("m1")
					sleep(time.Second)
					s.minions.Restart("m0")
					sleep(late*time.Second - 1600*time.Millisecond)
					carryOut()
					s.requireOneRun()
				})
			})
		}
	}
}

// Guards against a start that is waited for without a bound, and against other tasks of the minion that wait with it:
// the minion never answers again.
func TestOnlyTheTaskWithAStartInDoubtWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestartSite(t, earlierClock, laterClock)
		s.submitJob(s.term, slowJob, longRunningStep(1))
		sleep(time.Second)
		s.holdUpStart()
		const later = string(laterJob) + ".0.0.0"
		s.submitJob(s.term, laterJob, longRunningStep(1))
		sleep(50 * time.Millisecond)
		s.calls.silent.Store(true)
		s.addMinion("m1")
		sleep(runLeaseTTL + runLeaseTTL/20 + restartTime)
		require.Contains(t, s.minions.Running(taskOfSlowJob(0)), jobs.Minion("m1"))
		require.NotContains(t, s.minions.Running(later), jobs.Minion("m1"))
		sleep(inDoubtWait - runLeaseTTL - runLeaseTTL/20)
		require.Equal(t, []jobs.Minion{"m1"}, s.minions.Running(later))
		s.requireNoViolations()
	})
}

// Guards against a task that goes on waiting once its minion has answered and told that it does not run it.
func TestWaitForAStartEndsWhenTheMinionAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestartSite(t, earlierClock, laterClock)
		s.holdUpStart()
		s.submitJob(s.term, slowJob, longRunningStep(1))
		sleep(50 * time.Millisecond)
		s.calls.silent.Store(true)
		sleep(6 * time.Second)
		require.Empty(t, s.minions.Running(taskOfSlowJob(0)))
		s.calls.silent.Store(false)
		sleep(restartTime)
		require.Equal(t, []jobs.Minion{"m0"}, s.minions.Running(taskOfSlowJob(0)))
		s.requireNoViolations()
	})
}

// Guards against a task that waits for another answer to its start, or for that of a stop, although its minion answers
// and does not list the run after the lease in the start is over: the minion can't carry it out any more.
func TestExpiredStartIsRequeuedWhenTheMinionAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestartSite(t, earlierClock, laterClock)
		s.calls.onStart(func(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
			if o.Run == 1 {
				return 0, unanswered(ctx)
			}
			return s.minions.Start(ctx, to, o)
		})
		s.submitJob(s.term, slowJob, longRunningStep(1))
		sleep(50 * time.Millisecond)
		s.calls.silent.Store(true)
		s.addMinion("m1")
		sleep(6 * time.Second)
		require.Empty(t, s.minions.Running(taskOfSlowJob(0)))
		s.calls.silent.Store(false)
		for s.log.linesWith("minion answers again") == "" {
			sleep(10 * time.Millisecond)
		}
		sleep(200 * time.Millisecond)
		require.NotEmpty(t, s.minions.Running(taskOfSlowJob(0)))
		s.requireNoViolations()
	})
}

// Guards against a successor that starts a task whose start, sent by its predecessor to a minion that does not answer,
// is carried out later than ordinary leases last, whether or not the list still has the minion.
func TestSuccessorWaitsForAStartInDoubt(t *testing.T) {
	for _, late := range []time.Duration{8, 11} {
		for i := range 4 {
			orderly, listed := i%2 == 1, i/2 == 1
			t.Run(fmt.Sprintf("%d s late, orderly %t, listed %t", late, orderly, listed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newRestartSite(t, earlierClock, laterClock)
					carryOut := s.fallSilentWithHeldStart()
					sleep(2 * time.Second)
					if orderly {
						require.NoError(t, s.term.Release(t.Context()))
						_ = s.term.Wait()
					} else {
						endTerm(s.term)
					}
					s.takeOver()
					s.minions.Restart("m0")
					if !listed {
						s.store.Put("servers/m0", nil) // the entry expires
					}
					sleep(late*time.Second - 2050*time.Millisecond)
					carryOut()
					s.requireOneRun()
				})
			})
		}
	}
}

// Guards against the same second run if the task was being stopped when the minion fell silent, as in an evacuation.
func TestStoppedTaskWithAStartInDoubtRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestartSite(t, earlierClock, laterClock)
		carryOut := s.fallSilentWithHeldStart()
		sleep(time.Second)
		require.NoError(t, s.term.do(t.Context(), func() { s.term.stopRun(s.term.taskByName(taskOfSlowJob(0)), reasonEvacuated) }))
		s.minions.Restart("m0")
		sleep(7 * time.Second)
		carryOut()
		s.requireOneRun()
	})
}
