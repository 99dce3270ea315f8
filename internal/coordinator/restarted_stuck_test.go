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

// Guards against a start that is neither sent again nor given up, because its minion has restarted and no token can be
// raised while the store does not take the write.
func TestStartLeavesARestartedMinionWhileNoTokenIsRaised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestartSite(t, earlierClock, laterClock)
		s.addMinion("m1")
		sleep(3 * time.Second)
		var lost atomic.Bool
		var at atomic.Value
		s.calls.onStart(func(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
			if lost.CompareAndSwap(false, true) {
				at.Store(string(to.ID))
				return 0, unanswered(ctx)
			}
			return s.minions.Start(ctx, to, o)
		})
		s.submitJob(s.term, slowJob, longRunningStep(1))
		for !lost.Load() {
			sleep(time.Millisecond)
		}
		id := jobs.Minion(at.Load().(string))
		s.calls.onStart(func(ctx context.Context, _ site.Receiver, _ site.StartOrder) (int64, error) {
			return 0, unanswered(ctx)
		})
		for inFlight := true; inFlight; sleep(time.Millisecond) {
			require.NoError(t, s.term.do(t.Context(), func() {
				task := s.term.taskByName(taskOfSlowJob(0))
				inFlight = s.term.pendingStarts[task] == nil || s.term.pendingStarts[task].inFlight || s.term.pendingStarts[task].tries < 2
			}))
		}
		s.calls.onStart(nil)
		s.minions.Restart(id)
		// The store does not take the minion's row, with which the token would be raised.
		require.NoError(t, s.term.do(t.Context(), func() {
			s.term.writer.refused[minionKey(id)] = refusedRow{0, s.term.now + refusedRetry}
		}))
		s.list(id)
		sleep(8 * time.Second)
		require.NotEmpty(t, s.minions.Running(taskOfSlowJob(0)))
	})
}
