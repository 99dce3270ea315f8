package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
)

// Guards against a start for the earlier incarnation of a minion that the next one carries out while no poll is
// answered, after the coordinator has learned of the restart from the list and has counted the longest lease from then on.
func TestStartThatASilentMinionCarriesOutLateIsWaitedFor(t *testing.T) {
	for _, late := range []time.Duration{2, 5, 8, 11} {
		t.Run((late * time.Second).String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestartSite(t, earlierClock, laterClock)
				var silent, taken atomic.Bool
				var start atomic.Pointer[delayedStart]
				s.calls.onPoll(func(ctx context.Context, to site.Receiver, o site.PollRequest) (site.PollReport, error) {
					if to.ID == "m0" && silent.Load() {
						return site.PollReport{}, unanswered(ctx)
					}
					return s.minions.Poll(ctx, to, o)
				})
				s.calls.onStart(func(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
					if taken.CompareAndSwap(false, true) {
						start.Store(&delayedStart{to, o})
						silent.Store(true)
						s.restart()
						return 0, unanswered(ctx)
					}
					return s.minions.Start(ctx, to, o)
				})
				s.submitJob(s.term, slowJob, longRunningStep(1))
				sleep(late * time.Second)
				_, err := s.minions.Start(context.Background(), start.Load().to, start.Load().order)
				t.Log("late start:", err)
				s.addMinion("m1")
				sleep(restartedTaskWait)
				s.requireNoViolations()
				require.Equal(t, []jobs.Minion{"m1"}, s.minions.Running(taskOfSlowJob(0)))
			})
		})
	}
}
