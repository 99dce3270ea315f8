package coordinator

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// restartUnanswered lets m0 restart while it runs the task of slowJob. A start of laterJob that was meant for the
// earlier incarnation is carried out by the next one. Neither that one nor any poll is answered from then on, until
// the returned function is called. The returned poll renews the leases on the earlier clock.
func (s *restartSite) restartUnanswered() (*delayedPoll, func()) {
	s.submitJob(s.term, slowJob, longRunningStep(1))
	sleep(time.Second)
	require.Equal(s.t, []jobs.Minion{"m0"}, s.minions.Running(taskOfSlowJob(0)))
	var silent, taken atomic.Bool
	var last atomic.Pointer[delayedPoll]
	s.calls.onPoll(func(ctx context.Context, to site.Receiver, o site.PollRequest) (site.PollReport, error) {
		if to.ID == "m0" && !silent.Load() && o.LeaseUntil > 0 {
			last.Store(&delayedPoll{to, o, time.Now()})
		}
		if to.ID != "m0" || !silent.Load() {
			return s.minions.Poll(ctx, to, o)
		}
		return site.PollReport{}, unanswered(ctx)
	})
	s.calls.onStart(func(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
		if !strings.HasPrefix(o.Task, string(laterJob)) || !taken.CompareAndSwap(false, true) {
			return s.minions.Start(ctx, to, o)
		}
		silent.Store(true)
		sleep(100 * time.Millisecond)
		s.restart()
		_, _ = s.minions.Start(context.Background(), to, o)
		return 0, unanswered(ctx)
	})
	sleep(time.Second)
	s.submitJob(s.term, laterJob, longRunningStep(1))
	sleep(time.Second)
	require.Equal(s.t, 1, s.minions.Starts(string(laterJob)+".0.0.0"))
	return last.Load(), func() { silent.Store(false) }
}

// polled reports whether the term has had an answer from a minion.
func (s *restartSite) polled(id jobs.Minion) (polled bool) {
	require.NoError(s.t, s.term.do(s.t.Context(), func() { polled = s.term.minions[id].LastReported > 0 }))
	return polled
}

// Guards against a successor that counts a lease on the clock of an earlier incarnation from the takeover, although
// a call of its predecessor sets one until the minion has answered the successor.
func TestSuccessorWaitsForALeaseThatIsSetAfterTheTakeover(t *testing.T) {
	for _, after := range []time.Duration{500 * time.Millisecond, 3 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestartSite(t, earlierClock, laterClock)
				p, answer := s.restartUnanswered()
				endTerm(s.term)
				s.takeOver()
				sleep(after)
				s.carryOut(p)
				answer()
				for !s.polled("m0") {
					sleep(10 * time.Millisecond)
				}
				s.cut()
				sleep(restartedTaskWait)
				s.requireNoViolations()
				require.Equal(t, []jobs.Minion{"m1"}, s.minions.Running(string(laterJob)+".0.0.0"))
			})
		})
	}
}

// delayedStart is a start that was sent and not carried out.
type delayedStart struct {
	to    site.Receiver
	order site.StartOrder
}

// Guards against a successor that counts on an ordinary lease on a minion that its predecessor has dropped, and that
// is back under its id: a start for the earlier incarnation has the longest lease.
func TestSuccessorWaitsForALeaseOnAMinionThatWasDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestartSite(t, earlierClock, laterClock)
		var late atomic.Pointer[delayedStart]
		s.calls.onStart(func(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
			if strings.HasPrefix(o.Task, string(slowJob)) && late.Load() == nil {
				late.Store(&delayedStart{to, o})
				s.minions.Change("m0", func(m *fleet.Minion) { m.Down = true })
				s.store.Put("servers/m0", nil)
				return 0, unanswered(ctx)
			}
			return s.minions.Start(ctx, to, o)
		})
		s.submitJob(s.term, slowJob, longRunningStep(1))
		for dropped := false; !dropped; sleep(10 * time.Millisecond) {
			require.NoError(t, s.term.do(t.Context(), func() { dropped = s.term.minions["m0"] == nil }))
		}
		sleep(time.Second)
		endTerm(s.term)
		s.takeOver()
		sleep(500 * time.Millisecond)
		s.minions.Restart("m0")
		_, err := s.minions.Start(context.Background(), late.Load().to, late.Load().order)
		require.NoError(t, err)
		s.list("m0")
		sleep(500 * time.Millisecond)
		s.cut()
		s.requireOneRun()
	})
}
