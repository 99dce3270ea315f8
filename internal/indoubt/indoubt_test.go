package indoubt

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testLease = 6 * time.Second

// Guards against a task that is started elsewhere while a start of it may still be carried out, or while its run
// may be in progress because a later call has renewed the leases of its minion.
func TestNoTaskStartsElsewhereBeforeAllRunsHaveEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Starts
		type call struct {
			task string // "" for a renewal
			at   time.Duration
		}
		var arrivals []call
		now := time.Duration(0)
		within := func(d time.Duration, label string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(d)).Draw(t, label))
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "calls") {
			now += within(3*time.Second, "pause")
			task := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "task")
			if task == "" {
				s.LeaseUnanswered(now)
			} else {
				s.Unanswered(task, i, now)
			}
			arrivals = append(arrivals, call{task, now + within(MaxDelay, "delay")})
		}
		for _, task := range []string{"a", "b", "c"} {
			began, last := time.Duration(-1), time.Duration(0)
			for _, x := range arrivals {
				if x.task == task && (began < 0 || x.at < began) {
					began = x.at
				}
				last = max(last, x.at)
			}
			d := s.Decide(task, testLease)
			if began < 0 {
				require.Equal(t, ReasonNone, d.Reason)
				continue
			}
			require.Equal(t, ReasonStartInDoubt, d.Reason)
			require.GreaterOrEqual(t, d.NotBefore, last+testLease)
			s.Forget(last+testLease, testLease)
			require.NotNil(t, s.Of(task), "its run may be in progress")
		}
		s.Forget(now+MaxDelay+testLease+1, testLease)
		require.Zero(t, s.Len(), "the wait has a bound")
	})
}

// Guards against a wait for a start that has certainly been carried out, and against none for another attempt that
// may still be on its way.
func TestOnlyAttemptThatWasCarriedOutIsNotInDoubt(t *testing.T) {
	for attempts, left := range map[int]bool{1: false, 2: true} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			var s Starts
			for range attempts {
				s.Unanswered("a", 1, time.Second)
			}
			s.CarriedOut("a", 1, attempts)
			require.Equal(t, left, s.Of("a") != nil)
		})
	}
	var s Starts
	s.Unanswered("a", 1, time.Second)
	s.CarriedOut("a", 1, 2) // the other attempt was answered or is in flight
	require.NotNil(t, s.Of("a"))
	s.CarriedOut("a", 2, 1) // a later run
	require.NotNil(t, s.Of("a"))
}

// Guards against starts that are forgotten although a report does not tell of them: it was sent while they could
// still be carried out.
func TestReportTellsOnlyOfStartsThatCannotArriveAnyMore(t *testing.T) {
	var s Starts
	s.Unanswered("a", 3, time.Second)
	s.Reported(time.Second + MaxDelay)
	require.Equal(t, map[string]Attempts{"a": {Run: 3, Count: 1, ArriveBy: time.Second + MaxDelay}}, s.Arriving(time.Second+MaxDelay))
	require.Empty(t, s.Arriving(time.Second+MaxDelay+1))
	s.Reported(time.Second + MaxDelay + 1)
	require.Nil(t, s.Of("a"))
}
